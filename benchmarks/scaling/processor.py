"""Processor time and memory of this process, in units that can be held against another run's.

Time is told in steps of a fixed loop of plain Python that is timed right before and right after each measurement, the
smaller of both: a step is one round of it. So a figure says how much work it is rather than how fast the machine was.
Memory is what malloc has in use; it counts everything, protobuf's too, where Python itself allocates by malloc
(PYTHONMALLOC=malloc, which run.py sets for the jobs that need it).
"""

from __future__ import annotations

import ctypes
import gc
import os
import statistics
import time
from collections.abc import Callable

STEPS_PER_LOOP = 50_000  # rounds of the fixed loop: about 2 ms
LOOPS_PER_TIMING = 3  # times that it is timed before and after; the smallest counts
DEFAULT_REPEATS = 5


class _Mallinfo2(ctypes.Structure):
    _fields_ = [
        (name, ctypes.c_size_t)
        for name in (
            "arena",
            "ordblks",
            "smblks",
            "hblks",
            "hblkhd",
            "usmblks",
            "fsmblks",
            "uordblks",
            "fordblks",
            "keepcost",
        )
    ]


def _fixed_loop() -> int:
    total = 0
    for number in range(STEPS_PER_LOOP):
        total = (total + number * 3) & 0xFFFF
    return total


def step_ns() -> float:
    """Processor time of one step, the smallest of several loops."""
    times = []
    for _ in range(LOOPS_PER_TIMING):
        started = time.process_time_ns()
        _fixed_loop()
        times.append(time.process_time_ns() - started)
    return min(times) / STEPS_PER_LOOP


class Steps:
    """Of one measurement: made before it, asked after it."""

    def __init__(self) -> None:
        self._before = step_ns()

    def of(self, spent_ns: float) -> float:
        """So much processor time in steps."""
        return spent_ns / min(self._before, step_ns())


def steps_of(work: Callable[..., object], *arguments: object, repeats: int = DEFAULT_REPEATS) -> float:
    """The median of so many calls, in steps, with the collector off."""
    steps_by_repeat = []
    gc.collect()
    gc.disable()
    try:
        for _ in range(repeats):
            steps, started = Steps(), time.process_time_ns()
            work(*arguments)
            steps_by_repeat.append(steps.of(time.process_time_ns() - started))
    finally:
        gc.enable()
    return statistics.median(steps_by_repeat)


def memory_in_use() -> int:
    """Bytes. RuntimeError where Python does not allocate by malloc, as most of it would not be counted."""
    if os.environ.get("PYTHONMALLOC") != "malloc":
        raise RuntimeError("memory is counted with PYTHONMALLOC=malloc only")
    gc.collect()
    mallinfo2 = ctypes.CDLL(None).mallinfo2
    mallinfo2.restype = _Mallinfo2
    info = mallinfo2()
    return info.uordblks + info.hblkhd


def memory_of(build: Callable[..., object], *arguments: object) -> int:
    """Bytes that what is built keeps in use."""
    before = memory_in_use()
    built = build(*arguments)
    after = memory_in_use()
    del built
    return after - before

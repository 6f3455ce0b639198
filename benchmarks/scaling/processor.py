"""Processor time and memory of this process, in units that are comparable between runs.

The unit of time is a step, one round of a fixed loop of plain Python that is timed right before and right after each
measurement; the smaller time counts. So a figure shows the amount of work rather than the speed of the machine.
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

STEPS_PER_LOOP = 50_000  # about 2 ms
LOOPS_PER_TIMING = 3  # the smallest time counts
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
    """Return the processor time of one step, the smallest of several loops."""
    times = []
    for _ in range(LOOPS_PER_TIMING):
        started = time.process_time_ns()
        _fixed_loop()
        times.append(time.process_time_ns() - started)
    return min(times) / STEPS_PER_LOOP


class Steps:
    """Converts the processor time of one measurement to steps: create it before, call `of` after."""

    def __init__(self) -> None:
        self._before = step_ns()

    def of(self, spent_ns: float) -> float:
        """Return a processor time in steps."""
        return spent_ns / min(self._before, step_ns())


def steps_of(work: Callable[..., object], *arguments: object, repeats: int = DEFAULT_REPEATS) -> float:
    """Return the median time of the calls in steps, with the garbage collector off."""
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
    """Return the bytes in use. Raise RuntimeError unless Python allocates by malloc, as most would not be counted."""
    if os.environ.get("PYTHONMALLOC") != "malloc":
        raise RuntimeError(
            f"PYTHONMALLOC is {os.environ.get('PYTHONMALLOC')!r}; memory can be counted with malloc only"
        )
    gc.collect()
    mallinfo2 = ctypes.CDLL(None).mallinfo2
    mallinfo2.restype = _Mallinfo2
    info = mallinfo2()
    return info.uordblks + info.hblkhd


def memory_of(build: Callable[..., object], *arguments: object) -> int:
    """Return the bytes that the built object keeps in use."""
    before = memory_in_use()
    built = build(*arguments)
    after = memory_in_use()
    del built
    return after - before

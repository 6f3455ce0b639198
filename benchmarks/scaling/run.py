"""Runs all measurements of a mode, each in a process of its own, with bounded concurrency."""

from __future__ import annotations

import json
import os
import pathlib
import statistics
import subprocess
import sys
from collections.abc import Sequence
from concurrent.futures import ThreadPoolExecutor
from dataclasses import dataclass
from typing import Any

from benchmarks.scaling.checks import key
from benchmarks.scaling.figures import Figure, Quantity, figure, from_json
from benchmarks.scaling.job import FACT_JOBS, JOBS, MEMORY_SUFFIX, SHORT_JOBS, TIMED_JOBS

ROOT = pathlib.Path(__file__).resolve().parent.parent.parent
JOB_TIMEOUT_S = 3600
MAX_WORKERS = 4
SHORT_ROUNDS = 3
TIME = Quantity.TIME


class JobFailedError(RuntimeError):
    """A measurement failed; the text has the last lines of its standard error."""


@dataclass(slots=True)
class Measurements:
    runs: dict[str, list[list[Figure]]]  # by job, the figures of each run
    step_ns: float  # the smallest of all jobs
    touched: dict[str, dict[str, int]]
    sample: dict[str, Any]
    divided: list[dict[str, Any]]  # by exponent

    def all_figures(self) -> list[Figure]:
        """Return one figure of each, combined from all runs."""
        return [median_figure(same) for name in JOBS for same in zip(*self.runs[name], strict=False)]


def measure_all(mode: str, workers: int, rounds: int = 1, plays: list[dict[str, Any]] | None = None) -> Measurements:
    """Run all jobs: timed ones `rounds` times, short ones SHORT_ROUNDS times as often.

    plays: results of divided.py; None: they are measured here. Raise JobFailedError if a job fails, after the others
    have ended."""
    names = ["sample", *JOBS, "touched"]
    if plays is None:
        names.insert(0, "divided")
    times = {name: rounds * (SHORT_ROUNDS if name in SHORT_JOBS else 1) if name in TIMED_JOBS else 1 for name in names}
    results = _jobs([name for name in names for _ in range(times[name])], mode, workers)
    runs = {name: [_figures(row) for job, row in results if job == name] for name in JOBS}
    step_ns = min(row["step_ns"] for _, row in results)
    facts = {name: row["facts"] for name, row in results if name in FACT_JOBS}
    return Measurements(runs, step_ns, facts["touched"], facts["sample"], facts.get("divided", plays))


def remeasure(measurements: Measurements, suspects: set[str], mode: str, workers: int) -> list[str]:
    """Repeat the jobs that timed one of these figures (checks.key), and return their names."""
    names = [
        name
        for name in TIMED_JOBS
        if any(key(each) in suspects for each in measurements.runs[name][0] if each.quantity is TIME)
    ]
    for name, row in _jobs(names, mode, workers):
        measurements.runs[name].append(_figures(row))
    return names


def median_figure(figures: Sequence[Figure]) -> Figure:
    """Combine a figure of several runs: for a time the median at each size (the lower of two), else the first run's.

    Other load on the machine makes a time too high, or too low where it slowed the fixed loop."""
    first = figures[0]
    if first.quantity is not TIME:
        return first
    points = []
    for same in zip(*(each.points for each in figures), strict=False):
        points.append((same[0][0], statistics.median_low(value for _, value in same)))
    return figure(first.role, first.name, first.quantity, first.unit, first.sizes, points)


def _figures(result: dict[str, Any]) -> list[Figure]:
    return [from_json(row) for row in result["figures"]]


def _jobs(names: list[str], mode: str, workers: int) -> list[tuple[str, dict[str, Any]]]:
    with ThreadPoolExecutor(min(workers, MAX_WORKERS)) as pool:
        return list(zip(names, pool.map(lambda name: _job(name, mode), names), strict=False))


def _job(name: str, mode: str) -> dict[str, Any]:
    environment = dict(os.environ)
    environment.pop("PYTHONMALLOC", None)
    if name.endswith(MEMORY_SUFFIX):
        environment["PYTHONMALLOC"] = "malloc"
    completed = subprocess.run(
        [sys.executable, "-m", "benchmarks.scaling.job", name, mode],
        cwd=ROOT,
        env=environment,
        capture_output=True,
        text=True,
        timeout=JOB_TIMEOUT_S,
    )
    if completed.returncode:
        raise JobFailedError(f"{name}: {completed.stderr.strip()[-2000:]}")
    return json.loads(completed.stdout.splitlines()[-1])

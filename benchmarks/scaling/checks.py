"""Checks of budgets, and of figures against the reference.

A figure that is counted (bytes, memory) fails if it differs from the reference by more than COUNT_TOLERANCE either way,
as the capacity page would be wrong; a time fails if it is more than TIME_TOLERANCE above it. The reference lists
exceeded budgets under `over` with their values; such a check fails if the value gets worse, and never reports a fit.
"""

from __future__ import annotations

import json
from collections.abc import Iterable
from dataclasses import dataclass, field
from enum import Enum
from pathlib import Path
from typing import Any

from benchmarks.scaling.figures import Figure, Quantity

COUNT_TOLERANCE = 0.10  # bytes and memory
TIME_TOLERANCE = 0.50  # a ratio of processor times
MIN_SLOPE_STEPS = 1.0  # a slope of time below this is noise, and can be negative
NEAR_BUDGET_FRACTION = 1 / (1 + TIME_TOLERANCE)
TOLERANCE_BY_QUANTITY = {
    Quantity.BYTES: COUNT_TOLERANCE,
    Quantity.MEMORY: COUNT_TOLERANCE,
    Quantity.TIME: TIME_TOLERANCE,
}


class Verdict(Enum):
    FITS = "fits"
    NO_WORSE = "over, no worse"
    FAILED = "FAILED"


@dataclass(slots=True, frozen=True)
class Check:
    name: str
    value: float
    bound: str  # as it is printed
    verdict: Verdict

    def line(self) -> str:
        return f"{self.name}: {self.value:,.4g}, bound {self.bound}: {self.verdict.value}"


@dataclass(slots=True, frozen=True)
class Budget:
    name: str
    quantity: Quantity
    value: float
    limit: float
    unit: str


@dataclass(slots=True)
class Reference:
    """Reference values of one mode of the benchmark."""

    step_ns: float = 0.0  # on the machine that wrote it; budgets of processor time are converted with it
    figures: dict[str, float] = field(default_factory=dict)
    over: dict[str, float] = field(default_factory=dict)


def key(figure: Figure) -> str:
    return f"{figure.role.value}: {figure.name}"


def check_figure(figure: Figure, reference: Reference) -> Check:
    """Compare a slope with the reference's; a figure that the reference lacks fails."""
    name, value = key(figure), figure.line.slope
    known = reference.figures.get(name)
    if known is None:
        return Check(name, value, "none written", Verdict.FAILED)
    if figure.quantity is Quantity.TIME:
        known = max(known, MIN_SLOPE_STEPS)
    tolerance = TOLERANCE_BY_QUANTITY[figure.quantity]
    above = value - known > tolerance * abs(known)
    below = known - value > tolerance * abs(known) and figure.quantity is not Quantity.TIME
    bound = f"{known:,.4g} within {tolerance:.0%}" + (" above" if figure.quantity is Quantity.TIME else "")
    return Check(name, value, bound, Verdict.FAILED if above or below else Verdict.FITS)


def check_budget(budget: Budget, reference: Reference) -> Check:
    known = reference.over.get(budget.name)
    bound = f"{budget.limit:,.4g} {budget.unit}"
    if budget.value <= budget.limit:
        return Check(budget.name, budget.value, bound, Verdict.FITS)
    if known is None:
        return Check(budget.name, budget.value, bound, Verdict.FAILED)
    worse = budget.value > known * (1 + TOLERANCE_BY_QUANTITY[budget.quantity])
    bound += f" (reference over: {known:,.4g})"
    return Check(budget.name, budget.value, bound, Verdict.FAILED if worse else Verdict.NO_WORSE)


def _is_over(budget: Budget) -> bool:
    """Return whether a budget is exceeded; a time near its budget counts, as another run may exceed it."""
    return budget.value > budget.limit * (NEAR_BUDGET_FRACTION if budget.quantity is Quantity.TIME else 1)


def make_reference(step_ns: float, figures: Iterable[Figure], budgets: Iterable[Budget]) -> Reference:
    return Reference(
        step_ns,
        {key(each): each.line.slope for each in figures},
        {each.name: each.value for each in budgets if _is_over(each)},
    )


def read_reference(path: Path, mode: str) -> Reference:
    """Return the reference of a mode, empty if none was written."""
    if not path.exists():
        return Reference()
    table = json.loads(path.read_text()).get(mode)
    return Reference(table["step_ns"], table["figures"], table["over"]) if table else Reference()


def write_reference(path: Path, mode: str, reference: Reference) -> None:
    """Write the reference of a mode and keep those of other modes."""
    tables: dict[str, Any] = json.loads(path.read_text()) if path.exists() else {}
    tables[mode] = {"step_ns": reference.step_ns, "figures": reference.figures, "over": reference.over}
    path.write_text(json.dumps(tables, indent=1, sort_keys=True) + "\n")

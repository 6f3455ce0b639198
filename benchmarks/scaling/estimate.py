"""Estimates the cost of the target size without an assignment of destinations to senders, from the measured slopes.

Any sender may get a message for any destination, so each holds grants for all destinations that it used lately and has
the whole endpoint list. All values here are estimates; sample.py runs a smaller size.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any

from benchmarks.scaling import target
from benchmarks.scaling.checks import Budget, key
from benchmarks.scaling.figures import Figure, Quantity
from scalefall.control.transport.stream_reader import BYTES_PER_REQUEST, REQUEST_RATE
from scalefall.control.service import UNSETTLED_STEP_US
from scalefall.control.streams import MAX_NAMES
from scalefall.lab.proxy.contract import SECOND, USAGE_REPORT_INTERVAL_US

NS_PER_S = 1e9
# While something is down, as something always is at this size.
ALLOCATOR_STEP_INTERVAL_S = UNSETTLED_STEP_US / 1e6
COUNT = Quantity.BYTES  # counts are as exact as bytes


@dataclass(slots=True, frozen=True)
class Row:
    name: str
    quantity: Quantity
    value: float
    unit: str
    budget: float | None = None  # None: informational

    @property
    def verdict(self) -> str:
        if self.budget is None:
            return "-"
        return "fits" if self.value <= self.budget else f"over by x{self.value / self.budget:,.1f}"


class Slopes:
    """Slopes of figures by role and name."""

    def __init__(self, figures: list[Figure]) -> None:
        self._slopes = {key(figure): figure.line.slope for figure in figures}

        self.used_times: set[str] = set()  # names of times that were read
        self._times = {key(figure) for figure in figures if figure.quantity is Quantity.TIME}

    def of(self, name: str) -> float:
        if name in self._times:
            self.used_times.add(name)
        return self._slopes[name]


def without_assignment(slopes: Slopes, step_ns: float, touched: int, reported: int) -> list[Row]:
    """touched: destinations in use at one sender; reported: those in one load report; step_ns: duration of a step
    on the machine for which processor time is estimated."""
    return _sender(slopes, step_ns, touched, reported) + _control(slopes, step_ns, touched) + _list_source(slopes)


def same_size(slopes: Slopes, sample: dict[str, Any]) -> dict[str, float]:
    """Return the estimate for the sample that was run: bytes a second and sender by kind."""
    sender, touched = "sender-control: ", sample["touched"]
    return {
        "grants": slopes.of(sender + "grants on the wire") * touched,
        "usage": slopes.of(sender + "usage on the wire") * touched,
        "loads": slopes.of(sender + "loads on the wire") * sample["reported"],
        "heartbeats": slopes.of(sender + "heartbeats on the wire") * touched,
    }


def by_traffic(slopes: Slopes, step_ns: float, touched: dict[str, dict[str, int]]) -> dict[str, list[Row]]:
    """Return the rows of each kind of traffic; all have the same names in the same order."""
    return {name: without_assignment(slopes, step_ns, row["used"], row["reported"]) for name, row in touched.items()}


def budgets(rows: dict[str, list[Row]]) -> list[Budget]:
    return [
        Budget(f"{traffic}: {row.name}", row.quantity, row.value, row.budget, row.unit)
        for traffic, of_traffic in rows.items()
        for row in of_traffic
        if row.budget is not None
    ]


def _sender(slopes: Slopes, step_ns: float, touched: int, reported: int) -> list[Row]:
    sender = "sender-control: "
    wire = {
        "grants": slopes.of(sender + "grants on the wire") * touched,
        "reports of use": slopes.of(sender + "usage on the wire") * touched,
        "load reports": slopes.of(sender + "loads on the wire") * reported,
        "heartbeats": slopes.of(sender + "heartbeats on the wire") * touched,
        "changes": slopes.of(sender + "configuration change") * target.CHANGES_PER_S,
    }
    whole = slopes.of(sender + "heartbeats on the wire") * target.DESTINATIONS
    steps = slopes.of(sender + "grants and reports") * touched
    steps += slopes.of(sender + "list, one changed") * target.DESTINATIONS * target.CHANGES_PER_S
    entries, module = slopes.of(sender + "list, entries"), slopes.of(sender + "list, module")
    memory = (entries + module) * target.DESTINATIONS + slopes.of(sender + "contract's state") * touched
    rows = [Row("sender, destinations in use and grants held", COUNT, touched, "grants")]
    rows += [Row(f"sender, {name}", Quantity.BYTES, size, "bytes/s") for name, size in wire.items()]
    return [
        *rows,
        Row("sender, heartbeats if all are leased by name", Quantity.BYTES, whole, "bytes/s"),
        Row("sender, names of the whole list on one stream", COUNT, target.DESTINATIONS, "names", MAX_NAMES),
        Row(
            "sender, its reports as control reads them",
            COUNT,
            _report_cost(wire["reports of use"]),
            "/s",
            REQUEST_RATE[1],
        ),
        Row("sender, link", Quantity.BYTES, sum(wire.values()), "bytes/s", target.SENDER_LINK_BYTES_PER_S),
        Row("sender, memory", Quantity.MEMORY, memory, "bytes", target.SENDER_MEMORY_BYTES),
        Row("sender, processor", Quantity.TIME, steps * step_ns / NS_PER_S, "cores", target.SENDER_CPU_CORES),
    ]


def _report_cost(size: float) -> float:
    """Return the cost of usage reports of so many bytes a second, in requests a second against a stream's limit."""
    reports = SECOND / USAGE_REPORT_INTERVAL_US
    return reports * (1 + size / reports // BYTES_PER_REQUEST)


def _control(slopes: Slopes, step_ns: float, touched: int) -> list[Row]:
    control = "control-instance: "
    loop_step_s = step_ns / NS_PER_S
    allocator_step_s = slopes.of(control + "allocator's turn") * target.DESTINATIONS * loop_step_s
    reports = slopes.of(control + "a sender's grants and reports") * touched * target.SENDERS * loop_step_s
    built = slopes.of(control + "catalog, built") * target.DESTINATIONS * loop_step_s
    changed = slopes.of(control + "configuration, one changed") * target.DESTINATIONS * loop_step_s
    memory = (slopes.of(control + "catalog") + slopes.of(control + "module and ledger")) * target.DESTINATIONS
    memory += slopes.of(control + "grant") * touched * target.SENDERS
    memory += slopes.of(control + "stream") * target.SENDERS
    memory += slopes.of(control + "subscribed name") * touched * target.SENDERS
    return [
        Row("control, allocator's turn", Quantity.TIME, allocator_step_s, "s", ALLOCATOR_STEP_INTERVAL_S),
        Row("control, allocator's turns", Quantity.TIME, allocator_step_s / ALLOCATOR_STEP_INTERVAL_S, "cores"),
        Row("control, renewals", COUNT, touched * target.SENDERS, "a second"),
        Row("control, grants, reports and heartbeats", Quantity.TIME, reports, "cores"),
        Row(
            "control, processor in all",
            Quantity.TIME,
            reports + allocator_step_s / ALLOCATOR_STEP_INTERVAL_S,
            "cores",
            target.CONTROL_CPU_CORES,
        ),
        Row("control, a change until it goes out", Quantity.TIME, changed, "s", target.CHANGE_IN_FORCE_S),
        Row("control, a start until all resources are built", Quantity.TIME, built, "s"),
        Row("control, memory", Quantity.MEMORY, memory, "bytes"),
        Row(
            "region cut, lists asked for when it is back",
            Quantity.BYTES,
            slopes.of("sender-control: endpoints on the wire, first") * touched * target.SENDERS / target.REGIONS,
            "bytes",
        ),
    ]


def _list_source(slopes: Slopes) -> list[Row]:
    whole = slopes.of("list-source: list, whole") * target.DESTINATIONS
    changes = slopes.of("list-source: list, changes") * target.CHANGES_PER_S
    return [
        Row("list source, whole list to a sender", Quantity.BYTES, whole, "bytes"),
        Row("list source, whole list to all", Quantity.BYTES, whole * target.SENDERS, "bytes"),
        Row("list source, changes to all", Quantity.BYTES, changes * target.SENDERS, "bytes/s"),
    ]

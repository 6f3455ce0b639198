"""Measures a sender's cost of control: endpoint list, grants, usage and load reports, and changes."""

from __future__ import annotations

import statistics
import time
from collections.abc import Iterator
from dataclasses import dataclass

from benchmarks.scaling import lists
from benchmarks.scaling.figures import Quantity, Role
from benchmarks.scaling.processor import Steps, memory_of, steps_of
from benchmarks.scaling.series import Series
from scalefall.lab.hollow import configuration
from scalefall.lab.hollow.clock import SECOND
from scalefall.lab.hollow.fleet import Fleet, FleetPlan
from scalefall.lab.hollow.traffic import AliasTable, independent, zipf_weights
from scalefall.lab.proxy.meter import Direction, Kind
from scalefall.lab.sizes import deep_size
from scalefall.net.endpoint_list import EndpointList
from scalefall.net.list_stream import ListUpdate, read_list
from scalefall.net.scheduler import Scheduler
from scalefall.policy.engine import Engine

ROLE = Role.SENDER_CONTROL
LIST_ENDPOINTS = {"quick": (1000, 2000, 4000), "full": (20_000, 40_000, 80_000)}
# A usage report of more than 490 destinations exceeds its stream's rate limit (REQUEST_RATE in
# control/transport/stream_reader.py).
GRANTED_DESTINATIONS = {"quick": (100, 200, 400), "full": (120, 240, 480)}
CHANGE_COUNTS = {"quick": (4, 8, 16), "full": (8, 16, 32)}
WARM_UP_US = 4 * SECOND
WINDOW_US = 7 * SECOND
CALLS_PER_S = 4.0  # to each destination, so that each is in nearly every load report
WINDOWS_PER_S = SECOND / WINDOW_US


@dataclass(slots=True, frozen=True)
class _StepRates:
    """Processor time, steps a second."""

    sender: float
    control: float


def list_memory(mode: str) -> list[Series]:
    """Measure the memory of the list: the entries with their indexes, and the engine's record of each."""
    parts = {
        "entries": Series(ROLE, "list, entries", Quantity.MEMORY, "bytes an endpoint", "endpoints"),
        "module": Series(ROLE, "list, module", Quantity.MEMORY, "bytes an endpoint", "endpoints"),
    }
    for count in LIST_ENDPOINTS[mode]:
        events: list = []
        endpoint_list = EndpointList(Scheduler(), ListUpdate(0, True, []), events.append)
        parts["entries"].add(count, memory_of(_load_list, endpoint_list, count))
        engine = Engine(configuration.settings(), 1)
        parts["module"].add(count, memory_of(_notify_engine, engine, events))
    return list(parts.values())


def list_change(mode: str) -> list[Series]:
    """Time the change of one endpoint in lists of several lengths, in the list and in the engine."""
    series = Series(ROLE, "list, one changed", Quantity.TIME, "steps an endpoint of the list", "endpoints")
    for count in LIST_ENDPOINTS[mode]:
        engine, events = Engine(configuration.settings(), 1), []
        endpoint_list = EndpointList(Scheduler(), ListUpdate(0, True, []), events.append)
        _load_list(endpoint_list, count)
        _notify_engine(engine, events)
        versions = iter(range(3, 1 << 20))
        series.add(count, steps_of(_load_change, endpoint_list, engine, events, versions))
    return [series]


def granted(mode: str) -> list[Series]:
    """Measure one sender that uses all its destinations: bytes a second of each kind, processor time and state."""
    bytes_by_kind = {
        kind: Series(
            ROLE, f"{kind.value} on the wire", Quantity.BYTES, "bytes a second and destination", "destinations"
        )
        for kind in (Kind.GRANTS, Kind.USAGE, Kind.LOADS, Kind.HEARTBEATS)
    }
    messages = Series(ROLE, "messages on the wire", Quantity.BYTES, "messages a second and destination", "destinations")
    list_bytes = Series(ROLE, "endpoints on the wire, first", Quantity.BYTES, "bytes a destination", "destinations")
    state = Series(ROLE, "contract's state", Quantity.MEMORY, "bytes a destination", "destinations")
    spent = Series(ROLE, "grants and reports", Quantity.TIME, "steps a second and destination", "destinations")
    control = Series(
        Role.CONTROL, "a sender's grants and reports", Quantity.TIME, "steps a second and destination", "destinations"
    )
    for count in GRANTED_DESTINATIONS[mode]:
        fleet = _one_sender(count)
        fleet.run_for(WARM_UP_US)
        list_bytes.add(count, _bytes(fleet, Kind.RESOURCES))
        bytes_before, messages_before = {kind: _bytes(fleet, kind) for kind in Kind}, _messages(fleet)
        rates = _steps(fleet)
        spent.add(count, rates.sender)
        control.add(count, rates.control)
        for kind, series in bytes_by_kind.items():
            series.add(count, (_bytes(fleet, kind) - bytes_before[kind]) * WINDOWS_PER_S)
        messages.add(count, (_messages(fleet) - messages_before) * WINDOWS_PER_S)
        state.add(count, deep_size(fleet.senders[0].contract))
    return [*bytes_by_kind.values(), messages, list_bytes, state, spent, control]


def changed(mode: str) -> list[Series]:
    """Measure the bytes of changes of one endpoint each to a sender, with their acknowledgements."""
    series = Series(ROLE, "configuration change", Quantity.BYTES, "bytes a change", "changes")
    for count in CHANGE_COUNTS[mode]:
        fleet = _one_sender(max(CHANGE_COUNTS[mode]), calls=0)
        fleet.run_for(WARM_UP_US)
        bytes_before = _bytes(fleet, Kind.RESOURCES)
        for number in range(count):
            fleet.configure(configuration.configuration(max(CHANGE_COUNTS[mode]), set(range(number + 1))))
            fleet.run_for(SECOND // 10)
        series.add(count, _bytes(fleet, Kind.RESOURCES) - bytes_before)
    return [series]


def _load_list(endpoint_list: EndpointList, count: int) -> None:
    """Load a list as the watch does."""
    endpoint_list.handle_update(read_list(lists.full_list(count)))


def _load_change(endpoint_list: EndpointList, engine: Engine, events: list, versions: Iterator[int]) -> None:
    events.clear()
    endpoint_list.handle_update(read_list(lists.changed_list(1) | {"seq": next(versions)}))
    _notify_engine(engine, events)


def _notify_engine(engine: Engine, events: list) -> None:
    engine.handle(0, events)


def _one_sender(destinations: int, calls: float = CALLS_PER_S) -> Fleet:
    table = AliasTable(zipf_weights(destinations, 0))
    return Fleet(
        FleetPlan(
            configuration.settings(),
            configuration.configuration(destinations),
            1,
            lambda _number: list(range(destinations)),
            lambda _number, random_: independent(table, destinations * calls, random_) if calls else iter(()),
            timer=time.process_time_ns,
        ),
        seed=11,
    )


def _steps(fleet: Fleet) -> _StepRates:
    """Return the steps a second of both sides, the median over the seconds of WINDOW_US."""
    sender, control = [], []
    for _ in range(WINDOW_US // SECOND):
        steps, spent_before = Steps(), (fleet.sender_time.spent, fleet.control_time.spent)
        fleet.run_for(SECOND)
        sender.append(steps.of(fleet.sender_time.spent - spent_before[0]))
        control.append(steps.of(fleet.control_time.spent - spent_before[1]))
    return _StepRates(statistics.median(sender), statistics.median(control))


def _bytes(fleet: Fleet, kind: Kind) -> int:
    return sum(fleet.meter.count(direction, kind).bytes for direction in Direction)


def _messages(fleet: Fleet) -> int:
    return sum(fleet.meter.count(direction, kind).messages for direction in Direction for kind in Kind)

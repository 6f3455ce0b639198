"""Measures the cost of failures with hollow senders: control's processor time, messages and bytes, and recovery.

For each size one fleet goes through the failures one after the other, with rest between them. The cost of a failure is
the total over its window, comparable with the same span at rest. All senders use the same few destinations; one of them
is down.
"""

from __future__ import annotations

import gc
import statistics
import time
from collections.abc import Callable, Iterable
from dataclasses import dataclass

from benchmarks.scaling.figures import Quantity, Role
from benchmarks.scaling.processor import step_ns
from benchmarks.scaling.series import Series
from scalefall.lab.hollow import configuration
from scalefall.lab.hollow.clock import SECOND
from scalefall.lab.hollow.fleet import Fleet, FleetPlan
from scalefall.lab.hollow.link import KEEPALIVE_US
from scalefall.lab.hollow.traffic import AliasTable, independent, zipf_weights
from scalefall.lab.proxy.meter import Direction, Kind

ROLE = Role.FAILURES
SENDERS = {"quick": (8, 16, 32), "full": (225, 450, 900)}
DESTINATIONS = 4
DETECTED_AT_ONCE = ("process restarted", "process replaced", "zone cut", "control restarted")
DETECTED_BY_KEEPALIVE = ("machine lost", "rack lost", "zone lost")  # control detects these by its keepalive
CALLS_PER_S = 2.0  # of each sender
REST_US = 4 * SECOND
WINDOW_US = 8 * SECOND
SLICE_US = SECOND // 4  # between timings of the fixed loop
SETTLE_US = KEEPALIVE_US + 3 * SECOND
SEND_CHECK_INTERVAL_US = SECOND // 10  # between checks of which senders may send
RETURN_US = 2 * SECOND  # until lost processes are replaced
CHANGE_LIMIT_US = 16 * SECOND  # bound on the time until a change is in force everywhere


@dataclass(slots=True)
class _Cost:
    bytes: int
    messages: int
    control: float  # steps
    unsent: int  # messages that were refused or used the fallback


def lost(mode: str) -> list[Series]:
    """Measure losses of machines without notice."""
    return _measure(mode, DETECTED_BY_KEEPALIVE, with_rest=False)


def played(mode: str) -> list[Series]:
    """Measure rest, a change, and the other failures."""
    return _measure(mode, DETECTED_AT_ONCE, with_rest=True)


def _measure(mode: str, names: Iterable[str], with_rest: bool) -> list[Series]:
    series_by_name: dict[str, Series] = {}

    def add(name: str, quantity: Quantity, unit: str, size: int, value: float) -> None:
        series_by_name.setdefault(name, Series(ROLE, name, quantity, unit, "senders")).add(size, value)

    for count in SENDERS[mode]:
        fleet = _fleet(count)
        fleet.run_for(REST_US)
        gc.collect()
        gc.freeze()  # else a full collection in one window alone would count as a difference between failures
        if with_rest:
            _rest(fleet, count, add)
        for name in names:
            _failures(fleet)[name]()
            cost = _cost(fleet, WINDOW_US)
            add(f"{name}, bytes", Quantity.BYTES, "bytes in 8 s a sender", count, cost.bytes)
            add(f"{name}, control", Quantity.TIME, "steps in 8 s a sender", count, cost.control)
            add(f"{name}, unsent", Quantity.BYTES, "messages in 8 s a sender", count, cost.unsent)
            fleet.run_for(SETTLE_US if name in DETECTED_BY_KEEPALIVE else SECOND)
            assert fleet.control.streams == 3 * count, (
                f"after {name}: {fleet.control.streams} of {3 * count} streams are open"
            )
    return list(series_by_name.values())


def _rest(fleet: Fleet, count: int, add: Callable[[str, Quantity, str, int, float], None]) -> None:
    rest, seconds = _cost(fleet, WINDOW_US, is_steady=True), WINDOW_US / SECOND
    add("at rest, bytes", Quantity.BYTES, "bytes a second and sender", count, rest.bytes / seconds)
    add("at rest, messages", Quantity.BYTES, "messages a second and sender", count, rest.messages / seconds)
    add("at rest, control", Quantity.TIME, "steps a second and sender", count, rest.control / seconds)
    size, took_us = _change(fleet)
    add("change, bytes", Quantity.BYTES, "bytes a change and sender", count, size)
    assert took_us < CHANGE_LIMIT_US, f"a change took {took_us} us, bound {CHANGE_LIMIT_US} us"


def _fleet(count: int) -> Fleet:
    table = AliasTable(zipf_weights(DESTINATIONS, 1.1))
    return Fleet(
        FleetPlan(
            configuration.settings(),
            configuration.configuration(DESTINATIONS),
            count,
            lambda _number: list(range(DESTINATIONS)),
            lambda _number, random_: independent(table, CALLS_PER_S, random_),
            configuration.is_down,
            timer=time.process_time_ns,
        ),
        seed=7,
    )


def _failures(fleet: Fleet) -> dict[str, Callable[[], None]]:
    """Return the failures by name; the fleet recovers completely from each."""
    zone, rack = fleet.in_zone(0), fleet.in_rack(0)

    def cut_zone() -> None:
        fleet.cut(zone)
        fleet.clock.after(RETURN_US, lambda: fleet.heal(zone))

    return {
        "process restarted": lambda: fleet.restart(0),
        "process replaced": lambda: fleet.replace(1),
        "machine lost": lambda: fleet.lose(fleet.on_machine(0), RETURN_US),
        "rack lost": lambda: fleet.lose(rack, RETURN_US),
        "zone lost": lambda: fleet.lose(zone, RETURN_US),
        "zone cut": cut_zone,
        "control restarted": lambda: fleet.restart_control(RETURN_US),
    }


def _cost(fleet: Fleet, span_us: int, is_steady: bool = False) -> _Cost:
    """Run the fleet and count its cost; is_steady: each second costs the same, so the median second stands for all."""
    size, messages, unsent = _bytes(fleet), _messages(fleet), _unsent(fleet)
    seconds, loop_before = [0.0] * (span_us // SECOND), step_ns()
    for number in range(span_us // SLICE_US):
        spent = fleet.control_time.spent
        fleet.run_for(SLICE_US)
        loop_after = step_ns()
        seconds[number * SLICE_US // SECOND] += (fleet.control_time.spent - spent) / min(loop_before, loop_after)
        loop_before = loop_after
    control = statistics.median(seconds) * len(seconds) if is_steady else sum(seconds)
    return _Cost(_bytes(fleet) - size, _messages(fleet) - messages, control, _unsent(fleet) - unsent)


def _change(fleet: Fleet) -> tuple[int, int]:
    """Drain a destination and restore it; return the first change's bytes and the time until all senders have it."""
    started, before = fleet.clock.now, _resource_bytes(fleet)
    fleet.configure(configuration.configuration(DESTINATIONS, {DESTINATIONS - 1}))
    fleet.run_for(SECOND)
    size, took_us = _resource_bytes(fleet) - before, max(sender.last_change for sender in fleet.senders) - started
    fleet.configure(configuration.configuration(DESTINATIONS))
    fleet.run_for(SECOND)
    return size, took_us


def _unsent(fleet: Fleet) -> int:
    return sum(outcomes.refused + outcomes.fell_back for outcomes in fleet.outcomes)


def _resource_bytes(fleet: Fleet) -> int:
    return sum(fleet.meter.count(direction, Kind.RESOURCES).bytes for direction in Direction)


def _bytes(fleet: Fleet) -> int:
    return sum(fleet.meter.count(direction, kind).bytes for direction in Direction for kind in Kind)


def _messages(fleet: Fleet) -> int:
    return sum(fleet.meter.count(direction, kind).messages for direction in Direction for kind in Kind)

"""A run to compare the estimates with: many hollow senders on many destinations, at a feasible size.

Each sender subscribes to the destinations that it uses within IN_USE_S, and uses them by the same traffic. Messages and
bytes are exact; processor times are the model's without sockets, and control's steps take no virtual time.
"""

from __future__ import annotations

import itertools
import random
import time
from dataclasses import asdict, dataclass
from typing import Any

from benchmarks.scaling import target
from benchmarks.scaling.processor import Steps, step_ns
from scalefall.lab.hollow import configuration
from scalefall.lab.hollow.clock import SECOND
from scalefall.lab.hollow.control import ControlOptions
from scalefall.lab.hollow.fleet import Fleet, FleetPlan
from scalefall.lab.hollow.traffic import AliasTable, distinct, independent, zipf_weights
from scalefall.lab.proxy.meter import Direction, Kind

SIZES = {"quick": (8, 2000), "full": (100, 20_000)}  # senders, destinations
ZIPF_EXPONENT = 1.1
SEED = 31
WARM_UP_US = 4 * SECOND
WINDOW_US = 2 * SECOND


@dataclass(slots=True, frozen=True)
class Sample:
    senders: int
    destinations: int
    touched: float  # destinations used by a sender, on average
    reported: float  # of these in one load report
    bytes_by_kind: dict[str, float]  # a second and sender, both directions
    messages: float  # a second and sender
    sender_cores: float
    control_cores: float
    unsent: float  # fraction of the messages offered


def run(mode: str) -> dict[str, Any]:
    senders, destinations = SIZES[mode]
    table = AliasTable(zipf_weights(destinations, ZIPF_EXPONENT))
    events = [_events(table, number) for number in range(senders)]
    routes = [sorted({destination for _, destination in rows}) for rows in events]
    fleet = Fleet(
        FleetPlan(
            configuration.settings(),
            configuration.configuration(destinations),
            senders,
            lambda number: routes[number],
            lambda number, _random: itertools.cycle(events[number]),
            configuration.is_down,
            timer=time.process_time_ns,
        ),
        SEED,
    )
    fleet.run_for(WARM_UP_US)
    bytes_before, messages_before, outcomes_before = _bytes(fleet), _messages(fleet), _outcomes(fleet)
    spent_before, steps = (fleet.sender_time.spent, fleet.control_time.spent), Steps()
    fleet.run_for(WINDOW_US)
    bytes_after, outcomes_after, sender_seconds = _bytes(fleet), _outcomes(fleet), WINDOW_US / SECOND * senders
    one_step_ns = step_ns()
    sample = Sample(
        senders,
        destinations,
        sum(map(len, routes)) / senders,
        sum(distinct(iter(rows), ControlOptions().report_us) for rows in events) / senders,
        {kind: (bytes_after[kind] - bytes_before[kind]) / sender_seconds for kind in bytes_after},
        (_messages(fleet) - messages_before) / sender_seconds,
        steps.of(fleet.sender_time.spent - spent_before[0]) * one_step_ns / 1e9 / sender_seconds,
        steps.of(fleet.control_time.spent - spent_before[1]) * one_step_ns / 1e9 / (WINDOW_US / SECOND),
        (outcomes_after[1] - outcomes_before[1])
        / max(1, outcomes_after[0] + outcomes_after[1] - outcomes_before[0] - outcomes_before[1]),
    )
    return asdict(sample)


def _events(table: AliasTable, number: int) -> list[tuple[int, int]]:
    """Return IN_USE_S of traffic, which the run repeats."""
    rows, now = [], 0
    for gap, destination in independent(table, target.EVENTS_PER_SENDER_PER_S, random.Random(SEED * 1000 + number)):
        now += gap
        if now >= target.IN_USE_S * SECOND:
            return rows
        rows.append((gap, destination))
    raise AssertionError("the traffic generator ended")


def _bytes(fleet: Fleet) -> dict[str, int]:
    return {kind.value: sum(fleet.meter.count(direction, kind).bytes for direction in Direction) for kind in Kind}


def _messages(fleet: Fleet) -> int:
    return sum(fleet.meter.count(direction, kind).messages for direction in Direction for kind in Kind)


def _outcomes(fleet: Fleet) -> tuple[int, int]:
    """Return the number of messages that were sent, and that were not."""
    sent = sum(each.sent for each in fleet.outcomes)
    return sent, sum(each.refused + each.fell_back for each in fleet.outcomes)

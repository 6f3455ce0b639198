"""The reckoning held against a run: many hollow senders on many destinations, at a size that can be played.

Each sender asks for the destinations that it touches within USED_S, and uses them by the same traffic. Messages and
bytes are exact; processor times are the model's without sockets, and control's turns take no virtual time.
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
EXPONENT, SEED = 1.1, 31
STEADY_US, WINDOW_US = 4 * SECOND, 2 * SECOND


@dataclass(slots=True, frozen=True)
class Sample:
    senders: int
    destinations: int
    touched: float  # destinations a sender, on average
    reported: float  # of these in one load report
    bytes_by_kind: dict[str, float]  # a second and sender, both directions
    messages: float  # a second and sender
    sender_cores: float
    control_cores: float
    unsent: float  # share of the messages offered


def run(mode: str) -> dict[str, Any]:
    senders, destinations = SIZES[mode]
    table = AliasTable(zipf_weights(destinations, EXPONENT))
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
    fleet.run_for(STEADY_US)
    before, sent, outcomes = _bytes(fleet), _messages(fleet), _outcomes(fleet)
    spent, steps = (fleet.sender_time.spent, fleet.control_time.spent), Steps()
    fleet.run_for(WINDOW_US)
    after, done, per = _bytes(fleet), _outcomes(fleet), WINDOW_US / SECOND * senders
    step = step_ns()
    sample = Sample(
        senders,
        destinations,
        sum(map(len, routes)) / senders,
        sum(distinct(iter(rows), ControlOptions().report_us) for rows in events) / senders,
        {kind: (after[kind] - before[kind]) / per for kind in after},
        (_messages(fleet) - sent) / per,
        steps.of(fleet.sender_time.spent - spent[0]) * step / 1e9 / per,
        steps.of(fleet.control_time.spent - spent[1]) * step / 1e9 / (WINDOW_US / SECOND),
        (done[1] - outcomes[1]) / max(1, done[0] + done[1] - outcomes[0] - outcomes[1]),
    )
    return asdict(sample)


def _events(table: AliasTable, number: int) -> list[tuple[int, int]]:
    """USED_S of traffic; it is played over and over."""
    rows, now = [], 0
    for gap, destination in independent(table, target.EVENTS_A_SENDER, random.Random(SEED * 1000 + number)):
        now += gap
        if now >= target.USED_S * SECOND:
            return rows
        rows.append((gap, destination))
    raise AssertionError("traffic has no end")


def _bytes(fleet: Fleet) -> dict[str, int]:
    return {kind.value: sum(fleet.meter.count(way, kind).bytes for way in Direction) for kind in Kind}


def _messages(fleet: Fleet) -> int:
    return sum(fleet.meter.count(way, kind).messages for way in Direction for kind in Kind)


def _outcomes(fleet: Fleet) -> tuple[int, int]:
    """Messages that went out, and that did not."""
    sent = sum(each.sent for each in fleet.outcomes)
    return sent, sum(each.refused + each.fell_back for each in fleet.outcomes)

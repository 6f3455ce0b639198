"""Assigns destinations to hollow senders at the target size and runs a day's failures, one after the other.

    .venv/bin/python -m benchmarks.scaling.divided quick|quarter|full EXPONENT

A day has 150 processes restarted or replaced and 2 machines that fail; here they come a few seconds apart, then a
rack, a zone and control itself. Traffic is benchmarks/scaling/demand.py's. The engine gets one successful call an
endpoint and report, so that the run takes minutes; the cost of a reported call to control is measured as a slope.
Resources are endpoint lists alone; the other three kinds have slopes of their own.
"""

from __future__ import annotations

import gc
import json
import random
import resource
import subprocess
import sys
import time
from collections.abc import Callable
from dataclasses import asdict, dataclass, field
from typing import Any

from benchmarks.scaling import observation, target
from benchmarks.scaling.checks import Budget
from benchmarks.scaling.demand import Demand
from benchmarks.scaling.figures import Quantity
from scalefall.assignment.assembly import AssignmentSettings
from scalefall.lab.hollow import configuration
from scalefall.lab.hollow.control import ControlOptions
from scalefall.lab.hollow.fleet import RESTART_DELAY_US, FleetPlan
from scalefall.lab.sizes import deep_size
from scalefall.lab.hollow.sharded import ShardedFleet, ShardingPlan, sharded_fleet

SECOND = 1_000_000
SEED = 20
CALLS_PER_SENDER_PER_S = 130_000 / 900
SHARDS_PER_SENDER = 16
REPLICA_LOAD_FRACTION = 0.25  # of a sender's mean load: above it a shard has more holders (docs/design/assignment.md)
MOVE_AFTER_US = 3 * SECOND
MAX_LOAD_RATIO = 1.25
MAX_MOVED_RATIO = 1.2
REPORT_US = 60 * SECOND  # between load reports
WARM_UP_US = 400 * SECOND  # until loads are reported and shards balanced
REST_US = 60 * SECOND
REPLACEMENT_INTERVAL_US = 3 * SECOND  # between one replacement and the next
RETURN_US = 20 * SECOND  # until processes lost without notice are replaced
SETTLE_US = 40 * SECOND  # until the fleet is stable after a failure


@dataclass(slots=True, frozen=True)
class Size:
    senders: int
    destinations: int
    replacements: int
    machines: int


EXPONENTS = {"quick": (0.8,), "full": (0.8, 1.1)}
SIZES = {"quick": Size(24, 2_400, 4, 1), "quarter": Size(225, 105_000, 38, 1), "full": Size(900, 420_000, 150, 2)}


@dataclass(slots=True)
class Outcome:
    """Effects of one kind of failure. Times in seconds."""

    times: int
    moved: int  # destinations that got another sender, each time
    lost: int  # moved destinations whose sender was lost
    filled: int  # moved destinations whose new sender had none
    gap_p50: float
    gap_p99: float
    gap_worst: float
    interrupted: int  # interruptions of service, counted by destination
    bytes_p99: float  # per second and sender, during the failures
    bytes_worst: float
    control_cores: float
    sender_cores: float


@dataclass(slots=True)
class Result:
    senders: int
    destinations: int
    shards: int
    exponent: float
    seed: int
    isolated: int
    load_ratio: float  # most loaded sender over the mean, once loads are measured
    rest_bytes_p99: float
    rest_bytes_worst: float
    rest_control_cores: float
    rest_sender_cores: float
    change_s: float  # until a change is in force at every sender, at rest
    change_zone_s: float  # the same, for a change made as a zone is lost
    change_control_s: float  # control's processor time for one change
    sender_bytes: int  # contract state of a sender, the largest of a sample
    process_mb: float  # peak of the process with all senders and control
    steps_s: float  # real time
    failures: dict[str, Outcome] = field(default_factory=dict)


class Play:
    def __init__(self, size: Size, exponent: float) -> None:
        self.size = size
        self.assignment = AssignmentSettings(
            SHARDS_PER_SENDER * size.senders,
            2 * SECOND,
            SECOND // 2,
            MOVE_AFTER_US,
            replica_load=REPLICA_LOAD_FRACTION * CALLS_PER_SENDER_PER_S,
        )
        plan = FleetPlan(
            configuration.settings(),
            configuration.configuration(size.destinations),
            size.senders,
            lambda _number: [],
            is_down=configuration.is_down,
            options=ControlOptions(report_us=REPORT_US, with_static_resources=False, max_reported_calls=1),
            timer=time.process_time_ns,
        )
        self._demand: Demand | None = None
        division = ShardingPlan(self.assignment, lambda shares, span: self._demand.counts(shares, span))
        self.fleet: ShardedFleet = sharded_fleet(plan, division, SEED)
        self._demand = Demand(
            self.fleet.clock, size.destinations, exponent, CALLS_PER_SENDER_PER_S * size.senders, SEED
        )
        self._sizes: tuple[int, dict[int, int]] = (-1, {})
        self.gaps, self.moves = observation.Gaps(), observation.Moves()

    @property
    def coordinator(self) -> object:
        return self.fleet.control.service.coordinator

    def shard_sizes(self) -> dict[int, int]:
        """Return the number of destinations by shard, recounted when the set of isolated destinations changes."""
        if self.fleet.control is not None:
            isolated = len(self.coordinator.sharding.isolated)
            if self._sizes[0] != isolated:
                self._sizes = (isolated, observation.sizes(self.coordinator, self.size.destinations))
        return self._sizes[1]

    def run_for(self, span_us: int) -> None:
        end = self.fleet.clock.now + span_us
        while self.fleet.clock.now < end:
            self.fleet.run_for(min(observation.OBSERVATION_INTERVAL_US, end - self.fleet.clock.now))
            self.gaps.observe(self.fleet.clock.now, observation.served(self.fleet), self.shard_sizes())
            if self.fleet.control is not None:
                self.moves.observe(self.coordinator, self.shard_sizes())

    def load_ratio(self) -> float:
        return observation.load_ratio(self.coordinator, self._demand, self.size.senders)

    # -- failures

    def play(self, times: int, fail: Callable[[int], None], settle_us: int, interval_us: int) -> Outcome:
        """Cause the failure `times` times with fail(number), and measure its effects."""
        self.gaps, fleet = observation.Gaps(), self.fleet
        self.moves.begin(self.coordinator)
        started, before = fleet.clock.now, observation.bytes_by_sender(fleet)
        control, senders = fleet.control_time.spent, fleet.sender_time.spent
        for number in range(times):
            fail(number)
            self.run_for(interval_us)
        self.run_for(settle_us)
        span = fleet.clock.now - started
        rates = observation.rates(before, observation.bytes_by_sender(fleet), span)
        return Outcome(
            times,
            self.moves.moved,
            self.moves.lost,
            self.moves.filled,
            self.gaps.quantile(0.5) / SECOND,
            self.gaps.quantile(0.99) / SECOND,
            max((span for span, _ in self.gaps.ended), default=0) / SECOND,
            sum(count for _, count in self.gaps.ended),
            observation.quantile(rates, 0.99),
            rates[-1],
            (fleet.control_time.spent - control) * SECOND / 1e9 / span,
            (fleet.sender_time.spent - senders) * SECOND / 1e9 / span / self.size.senders,
        )

    def replaced(self, number: int) -> None:
        """Restart a sender in its place for every second number; otherwise replace it under a new name."""
        place = number * 7 % self.size.senders
        if number % 2 == 0:
            self.fleet.restart(place)
        else:
            self.fleet.replace(place)

    def lost(self, numbers: list[int]) -> None:
        """Remove processes without notice; new processes of the same nodes start RETURN_US later."""
        self.fleet.lose(numbers, RETURN_US)

    def change(self, drained: set[int]) -> tuple[float, float]:
        """Change the configuration; return the time until the last sender has it, and control's processor time."""
        fleet = self.fleet
        fleet.configuration = configuration.configuration(self.size.destinations, drained)
        started, spent = fleet.clock.now, fleet.control_time.spent
        fleet.configure(fleet.configuration)
        control_s = (fleet.control_time.spent - spent) / 1e9
        self.run_for(5 * SECOND)
        last_change = max(sender.last_change for sender in fleet.senders)
        return max(0, last_change - started) / SECOND, control_s


def played(mode: str, exponent: float) -> Result:
    """Run the whole scenario; needs a process of its own."""
    size, real_start = SIZES[mode], time.monotonic()
    play = Play(size, exponent)
    fleet = play.fleet
    gc.collect()
    gc.freeze()
    play.run_for(WARM_UP_US)
    before, control, senders = observation.bytes_by_sender(fleet), fleet.control_time.spent, fleet.sender_time.spent
    play.run_for(REST_US)
    rest_rates = observation.rates(before, observation.bytes_by_sender(fleet), REST_US)
    control, senders = fleet.control_time.spent - control, fleet.sender_time.spent - senders
    result = Result(
        size.senders,
        size.destinations,
        play.assignment.shards,
        exponent,
        SEED,
        len(play.coordinator.sharding.isolated),
        play.load_ratio(),
        observation.quantile(rest_rates, 0.99),
        rest_rates[-1],
        control * SECOND / 1e9 / REST_US,
        senders * SECOND / 1e9 / REST_US / size.senders,
        *(0.0, 0.0, 0.0),
        max(deep_size(sender.contract) for sender in random.Random(SEED).sample(fleet.senders, 8)),
        0.0,
        0.0,
    )
    result.change_s, result.change_control_s = play.change({7})
    failures = result.failures
    failures["replacements"] = play.play(size.replacements, play.replaced, SETTLE_US, REPLACEMENT_INTERVAL_US)
    failures["machines"] = play.play(
        size.machines, lambda machine: play.lost(fleet.on_machine(machine)), SETTLE_US, SETTLE_US
    )
    failures["rack"] = play.play(1, lambda _: play.lost(fleet.in_rack(3)), SETTLE_US, 0)
    result.change_zone_s = -1.0

    def zone(_: int) -> None:
        play.lost(fleet.in_zone(1))
        result.change_zone_s, _ = play.change({7, 8})

    failures["zone"] = play.play(1, zone, SETTLE_US, 0)

    failures["control restarted"] = play.play(1, lambda _: fleet.restart_control(RESTART_DELAY_US), SETTLE_US, 0)
    result.process_mb = resource.getrusage(resource.RUSAGE_SELF).ru_maxrss / 1024
    result.steps_s = time.monotonic() - real_start
    return result


def facts(mode: str) -> list[dict[str, Any]]:
    """Run the scenario for each exponent, each in a process of its own, as its peak memory is measured."""
    command = [sys.executable, "-m", "benchmarks.scaling.divided", mode]
    plays = [
        subprocess.Popen([*command, f"{exponent}"], stdout=subprocess.PIPE, text=True) for exponent in EXPONENTS[mode]
    ]
    return [json.loads(play.communicate()[0]) for play in plays]


def budgets(plays: list[dict[str, Any]]) -> list[Budget]:
    """Return the values to check against the target's budgets, by exponent."""
    return [
        Budget(f"divided, Zipf {play['exponent']}: {name}", *row) for play in plays for name, *row in _budget_rows(play)
    ]


def _budget_rows(play: dict[str, Any]) -> list[tuple[str, Quantity, float, float, str]]:
    failures = play["failures"].values()
    moved, unavoidable = sum(row["moved"] for row in failures), sum(row["lost"] + row["filled"] for row in failures)
    in_failures = max(row["bytes_worst"] for row in failures)
    sender, control = max(row["sender_cores"] for row in failures), max(row["control_cores"] for row in failures)
    change, zone_change = play["change_s"] + play["change_control_s"], play["change_zone_s"] + play["change_control_s"]
    return [
        ("most loaded sender over the mean", Quantity.BYTES, play["load_ratio"], MAX_LOAD_RATIO, "times"),
        ("destinations moved over the least", Quantity.BYTES, moved / max(1, unavoidable), MAX_MOVED_RATIO, "times"),
        (
            "sender, link at rest, worst",
            Quantity.BYTES,
            play["rest_bytes_worst"],
            target.SENDER_LINK_BYTES_PER_S,
            "bytes/s",
        ),
        ("sender, link in failures, worst", Quantity.BYTES, in_failures, target.SENDER_LINK_BYTES_PER_S, "bytes/s"),
        ("sender, state", Quantity.MEMORY, play["sender_bytes"], target.SENDER_MEMORY_BYTES, "bytes"),
        ("sender, processor", Quantity.TIME, sender, target.SENDER_CPU_CORES, "cores"),
        ("control, processor", Quantity.TIME, control, target.CONTROL_CPU_CORES, "cores"),
        ("change in force everywhere", Quantity.TIME, change, target.CHANGE_IN_FORCE_S, "s"),
        ("change in force everywhere, zone lost", Quantity.TIME, zone_change, target.CHANGE_IN_FORCE_S, "s"),
    ]


def main(mode: str, exponent: str) -> None:
    print(json.dumps(asdict(played(mode, float(exponent)))))


if __name__ == "__main__":
    main(*sys.argv[1:])

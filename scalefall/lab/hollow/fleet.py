"""Many hollow senders, one control instance and injected failures, on one virtual clock and from one seed.

A sender runs on a machine in a rack in a zone in a region. A failure ends a process and closes its connections, ends it
silently (its machine is lost), or cuts links.
"""

from __future__ import annotations

import random
from collections.abc import Callable, Iterable
from dataclasses import dataclass

from scalefall.lab.hollow.clock import VirtualClock
from scalefall.lab.hollow.control import Control, ControlOptions, ServiceFactory, make_service
from scalefall.lab.hollow.link import Link
from scalefall.lab.hollow.sender import HollowSender, Outcomes, Traffic
from scalefall.lab.hollow.stopwatch import Stopwatch, no_timer
from scalefall.lab.proxy.meter import Meter
from scalefall.net.config import Fleet as Configuration
from scalefall.policy.settings import Settings

REGIONS = 2
ZONES_PER_REGION = 4
SENDERS_PER_MACHINE = 2
SENDERS_PER_RACK = 10
RESTART_DELAY_US = 500_000  # from a process's end to the first message of its successor


@dataclass(slots=True, frozen=True)
class Place:
    """Where a sender runs; zones, racks and machines are numbered over the whole fleet."""

    region: int
    zone: int
    rack: int
    machine: int


def places(count: int) -> list[Place]:
    """Return the places of `count` senders, spread evenly over zones; machines and racks of a zone fill in order."""
    zones = REGIONS * ZONES_PER_REGION
    rows = []
    for number in range(count):
        zone, within = number % zones, number // zones
        rows.append(
            Place(
                zone // ZONES_PER_REGION,
                zone,
                zone + zones * (within // SENDERS_PER_RACK),
                zone + zones * (within // SENDERS_PER_MACHINE),
            )
        )
    return rows


@dataclass(slots=True)
class FleetPlan:
    """A fleet of hollow senders and their traffic."""

    settings: Settings
    configuration: Configuration
    senders: int
    routes: Callable[[int], list[int]]  # destinations that the sender with this number subscribes to
    traffic: Callable[[int, random.Random], Traffic] = lambda _number, _random: iter(())
    is_down: Callable[[int], bool] = lambda _destination: False
    options: ControlOptions = ControlOptions()
    factory: ServiceFactory = make_service
    timer: Callable[[], int] = no_timer  # processor time, passed by benchmarks


class Fleet:
    """The senders, their links, and the control instance, which is None while it is down."""

    def __init__(self, plan: FleetPlan, seed: int) -> None:
        self.plan, self.clock, self.meter = plan, VirtualClock(), Meter()
        self._random = random.Random(seed)
        self.control_time, self.sender_time = Stopwatch(plan.timer), Stopwatch(plan.timer)
        self.configuration = plan.configuration
        self.control: Control | None = self._new_control(0)
        self.places = places(plan.senders)
        self.meters = [Meter() for _ in range(plan.senders)]  # by sender, over all processes in its place
        self.outcomes = [Outcomes() for _ in range(plan.senders)]  # by sender, over all processes in its place
        self._instances = [0] * plan.senders
        self.links: list[Link] = [None] * plan.senders
        self.senders: list[HollowSender] = [None] * plan.senders
        for number in range(plan.senders):
            self._start(number, f"n{number}")

    def run_for(self, span_us: int) -> None:
        self.clock.run_for(span_us)

    def configure(self, configuration: Configuration) -> None:
        """Change the configuration."""
        self.configuration = configuration
        if self.control is not None:
            self.control.configure(configuration)

    def in_zone(self, zone: int) -> list[int]:
        return [number for number, place in enumerate(self.places) if place.zone == zone]

    def in_rack(self, rack: int) -> list[int]:
        return [number for number, place in enumerate(self.places) if place.rack == rack]

    def on_machine(self, machine: int) -> list[int]:
        return [number for number, place in enumerate(self.places) if place.machine == machine]

    # -- failures

    def restart(self, number: int) -> None:
        """End a process; another one starts with its node id."""
        self.senders[number].end(silently=False)
        self._start_later(number, self.senders[number].node, RESTART_DELAY_US)

    def replace(self, number: int) -> None:
        """End a process; another one starts with a new node id."""
        self.senders[number].end(silently=False)
        self._start_later(number, f"n{number}-{self._instances[number]}", RESTART_DELAY_US)

    def lose(self, numbers: Iterable[int], return_us: int) -> None:
        """Lose machines, a rack or a zone without closing connections; new processes start return_us later."""
        for number in numbers:
            self.senders[number].end(silently=True)
            self.links[number].cut()
            self._start_later(number, self.senders[number].node, return_us)

    def cut(self, numbers: Iterable[int]) -> None:
        for number in numbers:
            self.links[number].cut()

    def heal(self, numbers: Iterable[int]) -> None:
        for number in numbers:
            self.links[number].heal()

    def restart_control(self, down_us: int) -> None:
        """Restart the control service; it keeps the number of its last grant and its snapshot, but no streams."""
        stopped, self.control = self.control, None
        number, snapshot = stopped.service.ledger.number, stopped.service.snapshot()
        stopped.stop()
        self.clock.after(down_us, lambda: self._start_control(number, snapshot))

    def _start_control(self, last_grant: int, snapshot: str | None) -> None:
        self.control = self._new_control(last_grant, snapshot)

    def _new_control(self, first_grant: int, snapshot: str | None = None) -> Control:
        plan = self.plan
        return Control(
            self.clock,
            plan.settings,
            self.configuration,
            plan.options,
            self.control_time,
            first_grant,
            plan.factory,
            snapshot,
        )

    def _start_later(self, number: int, node: str, span_us: int) -> None:
        self.clock.after(span_us, lambda: self._start(number, node))

    def _start(self, number: int, node: str) -> None:
        self._instances[number] += 1
        random_ = random.Random(self._random.random())
        link = self.links[number] = Link(self.clock, random_, (self.meter, self.meters[number]))
        sender = self.senders[number] = self._new_sender(number, node, link, random_)
        sender.start()

    def _new_sender(self, number: int, node: str, link: Link, random_: random.Random) -> HollowSender:
        plan = self.plan
        return HollowSender(
            self.clock,
            lambda: self.control,
            link,
            node,
            f"i{self._instances[number]}",
            plan.routes(number),
            random_,
            self.sender_time,
            plan.traffic(number, random_),
            plan.is_down,
            self.outcomes[number],
        )

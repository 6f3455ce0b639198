"""A coordinator put together from its parts: placement that remembers where lost nodes stood, isolation that remembers
for how long a destination was quiet, and a snapshot to start from. No I/O, no clock."""

from __future__ import annotations

from collections.abc import Iterable, Mapping, Sequence
from dataclasses import dataclass

from scalefall.assignment import isolation_policy, placement, snapshot
from scalefall.assignment.coordinator import Coordinator, CoordinatorSettings, CoordinatorState
from scalefall.assignment.model import Node
from scalefall.assignment.placement import PlacementLimits, Plan, Table
from scalefall.assignment.sharding import Sharding
from scalefall.errors import AssignmentError

LOAD_BOUND = 1.15  # of a sender's measured load over the mean: true loads stray from it, and are to stay within 1.25


@dataclass(slots=True, frozen=True)
class AssignmentSettings:
    """How destinations are divided among senders. Times in microseconds, loads in calls a second."""

    shards: int
    lease_us: int
    delay_us: int
    restart_us: int  # a process that comes back within it finds its node's shards
    replica_load: float = 0.0  # a shard above it is held by several senders; 0: always by one

    def fingerprint(self) -> str:
        """Of what a snapshot's shard numbers depend on."""
        return f"shards {self.shards}"


class StatefulPlacement:
    """placement.place, told where nodes that are gone stood, so that their shards stay in their region."""

    def __init__(self, nodes: Iterable[Node] = ()) -> None:
        self._known = {node.name: node for node in nodes}

    def __call__(
        self,
        table: Table,
        loads: Mapping[int, float],
        nodes: Sequence[Node],
        limits: PlacementLimits,
        shards: Iterable[int],
        may_move: bool,
    ) -> Plan:
        self._known |= {node.name: node for node in nodes}
        here = {node.name for node in nodes}
        former_nodes = [node for name, node in self._known.items() if name not in here]
        measured = {shard: load for shard, load in loads.items() if load > 0}
        plan = placement.place(table, measured, nodes, limits, shards, may_move, former_nodes)
        named = {name for names in plan.table.values() for name in names} | here
        self._known = {name: node for name, node in self._known.items() if name in named}
        return plan

    def nodes(self) -> tuple[Node, ...]:
        """Those of the last table."""
        return tuple(self._known[name] for name in sorted(self._known))


class StatefulIsolation:
    """isolation_policy.decide, with its counts kept from call to call."""

    def __init__(self) -> None:
        self._low_load_streaks = isolation_policy.LowLoadStreaks()

    def __call__(
        self, loads: Mapping[int, float], sharding: Sharding, mean: float
    ) -> tuple[tuple[int, ...], tuple[int, ...]]:
        change = isolation_policy.decide(loads, sharding, mean, self._low_load_streaks)
        self._low_load_streaks = change.low_load_streaks
        return change.isolate, change.merge


class Assembly:
    """One coordinator and what is kept beside it."""

    def __init__(self, now: int, settings: AssignmentSettings, text: str | None = None) -> None:
        """text: a snapshot to start from. AssignmentError if it can't be taken."""
        restored = snapshot.decode(text, settings.fingerprint()) if text is not None else None
        self._settings = settings
        self._placement = StatefulPlacement(restored.nodes if restored else ())
        self.coordinator = Coordinator(
            now,
            CoordinatorSettings(
                settings.lease_us,
                settings.delay_us,
                settings.restart_us,
                limits=PlacementLimits(LOAD_BOUND, settings.replica_load),
            ),
            self._placement,
            Sharding(settings.shards, restored.isolated if restored else None),
            StatefulIsolation(),
            CoordinatorState(restored.table, restored.isolated, restored.generation) if restored else None,
        )

    def snapshot(self) -> str:
        """The table as text, for the next service."""
        state = self.coordinator.state()
        saved = snapshot.TableState(state.table, state.isolated, state.generation, self._placement.nodes())
        return snapshot.encode(saved, self._settings.fingerprint())


def assemble(now: int, settings: AssignmentSettings, text: str | None) -> tuple[Assembly, str]:
    """An assembly from a snapshot if it can be taken, else from nothing; and why not, if not. Starting from nothing
    costs movement, not safety: nothing is granted before earlier leases have run out."""
    try:
        return Assembly(now, settings, text), ""
    except AssignmentError as error:
        return Assembly(now, settings), str(error)

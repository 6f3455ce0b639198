"""The assembly of a coordinator from its policies, and its snapshots. No I/O, no clock.

Placement and isolation policy are pure functions. The wrappers here add their state: the regions of lost nodes, and the
streaks of low load.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping, Sequence
from dataclasses import dataclass
from typing import NamedTuple

from scalefall.assignment import isolation_policy, placement, snapshot
from scalefall.assignment.coordinator import Coordinator, CoordinatorSettings, CoordinatorState
from scalefall.assignment.isolation_policy import IsolationChange, LowLoadStreaks
from scalefall.assignment.model import Node
from scalefall.assignment.placement import PlacementLimits, Plan, Table
from scalefall.assignment.sharding import Sharding
from scalefall.errors import AssignmentError

LOAD_BOUND = 1.15  # most measured load of a node over the mean; true loads deviate, and should stay within 1.25


@dataclass(slots=True, frozen=True)
class AssignmentSettings:
    """The settings of an assignment. Times in microseconds, loads in calls per second."""

    shards: int  # the number of shared shards; each isolated destination has one more
    lease_us: int
    delay_us: int  # the longest time that a message may be in transit
    restart_us: int  # a node whose process restarts within this time keeps its shards
    replica_load: float = 0.0  # a shard with a higher load has several holders; 0: always one

    def fingerprint(self) -> str:
        """Return the fingerprint of the settings on which the meaning of a snapshot's shard numbers depends."""
        return f"shards {self.shards}"


class StatefulPlacement:
    """`placement.place` with a record of removed nodes, so that their shards stay in their region."""

    def __init__(self, nodes: Iterable[Node] = ()) -> None:
        """Start with the nodes of a snapshot."""
        self._known = {node.name: node for node in nodes}  # present nodes, and removed ones that the table names

    def __call__(
        self,
        table: Table,
        loads: Mapping[int, float],
        nodes: Sequence[Node],
        limits: PlacementLimits,
        shards: Iterable[int],
        may_move: bool,
    ) -> Plan:
        """Return the next table; see coordinator.Placement."""
        self._known |= {node.name: node for node in nodes}
        present = {node.name for node in nodes}
        former_nodes = [node for name, node in self._known.items() if name not in present]
        measured = {shard: load for shard, load in loads.items() if load > 0}
        plan = placement.place(table, measured, nodes, limits, shards, may_move, former_nodes)
        named = {name for names in plan.table.values() for name in names} | present
        self._known = {name: node for name, node in self._known.items() if name in named}
        return plan

    def nodes(self) -> tuple[Node, ...]:
        """Return the nodes of the last table."""
        return tuple(self._known[name] for name in sorted(self._known))


class StatefulIsolation:
    """`isolation_policy.decide` with its streaks of low load."""

    def __init__(self) -> None:
        """Start without streaks."""
        self._low_load_streaks = LowLoadStreaks()

    def __call__(self, loads: Mapping[int, float], sharding: Sharding, node_load: float) -> IsolationChange:
        """Return the destinations to isolate and merge; see coordinator.IsolationPolicy."""
        change = isolation_policy.decide(loads, sharding, node_load, self._low_load_streaks)
        self._low_load_streaks = change.low_load_streaks
        return change


class Assembly:
    """One coordinator with its policies and its snapshots.

    Attributes:
        coordinator: The coordinator.
    """

    def __init__(self, now: int, settings: AssignmentSettings, text: str | None = None) -> None:
        """Start from a snapshot, or with an empty table.

        Args:
            now: The present time, in microseconds.
            settings: The settings of the assignment.
            text: The snapshot; None for an empty table.

        Raises:
            AssignmentError: The snapshot cannot be used.
        """
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
        """Return the snapshot from which the next service can start."""
        state = self.coordinator.state()
        saved = snapshot.TableState(state.table, state.isolated, state.generation, self._placement.nodes())
        return snapshot.encode(saved, self._settings.fingerprint())


class Assembled(NamedTuple):
    """An assembly, and the reason why the snapshot was rejected."""

    assembly: Assembly
    rejection: str  # empty if the snapshot was used, or if there was none


def assemble(now: int, settings: AssignmentSettings, text: str | None) -> Assembled:
    """Return an assembly from a snapshot if it is valid, else one with an empty table.

    An empty table is safe, but moves shards: nothing is granted before earlier leases have expired.
    """
    try:
        return Assembled(Assembly(now, settings, text), "")
    except AssignmentError as error:
        return Assembled(Assembly(now, settings), str(error))

"""A coordinator put together from its parts, and the snapshot that it starts from or leaves. No I/O, no clock.

The parts remember what the pure decisions do not: placement where lost nodes stood, isolation for how long a
destination had little load.
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

LOAD_BOUND = 1.15  # of a sender's measured load over the mean: true loads stray from it, and are to stay within 1.25


@dataclass(slots=True, frozen=True)
class AssignmentSettings:
    """How destinations are divided among senders. Times in microseconds, loads in calls per second."""

    shards: int  # shared ones; each isolated destination has one more
    lease_us: int
    delay_us: int  # no message arrives later after it was sent
    restart_us: int  # a process that comes back within it finds its node's shards
    replica_load: float = 0.0  # a shard above it has several holders; 0: always one

    def fingerprint(self) -> str:
        """Return the fingerprint of the settings on which the meaning of a snapshot's shard numbers depends."""
        return f"shards {self.shards}"


class StatefulPlacement:
    """placement.place with a memory of where removed nodes stood, so that their shards stay in their region."""

    def __init__(self, nodes: Iterable[Node] = ()) -> None:
        """Start with the nodes of a snapshot."""
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
    """isolation_policy.decide with a memory of its streaks."""

    def __init__(self) -> None:
        """Start without streaks."""
        self._low_load_streaks = LowLoadStreaks()

    def __call__(self, loads: Mapping[int, float], sharding: Sharding, node_load: float) -> IsolationChange:
        """Return what to isolate and merge; see coordinator.IsolationPolicy."""
        change = isolation_policy.decide(loads, sharding, node_load, self._low_load_streaks)
        self._low_load_streaks = change.low_load_streaks
        return change


class Assembly:
    """One coordinator with its decisions and its snapshots.

    Attributes:
        coordinator: Who has which shard.
    """

    def __init__(self, now: int, settings: AssignmentSettings, text: str | None = None) -> None:
        """Start from a snapshot, or from nothing.

        Args:
            now: The time, in microseconds.
            settings: How destinations are divided.
            text: The snapshot.

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
        """Return the table as text, for the next service."""
        state = self.coordinator.state()
        saved = snapshot.TableState(state.table, state.isolated, state.generation, self._placement.nodes())
        return snapshot.encode(saved, self._settings.fingerprint())


class Assembled(NamedTuple):
    """An assembly, and why it did not start from the snapshot; empty if it did, or if there was none."""

    assembly: Assembly
    rejection: str


def assemble(now: int, settings: AssignmentSettings, text: str | None) -> Assembled:
    """Return an assembly from a snapshot if that can be used, else from nothing.

    Starting from nothing costs movement, not safety: nothing is granted before earlier leases have run out.
    """
    try:
        return Assembled(Assembly(now, settings, text), "")
    except AssignmentError as error:
        return Assembled(Assembly(now, settings), str(error))

"""The control service that divides destinations among senders. No I/O, no clock.

A sender gets the resources and grants of the shards that are assigned to it only. The service is a control service with
its own

    ledger      grants quotas of shards instead of amounts by destination (shard_leases.py, coordinator.py); grants of a
                shard carry the allowances of its destinations
    view        which nodes may have which destinations' resources (shard_view.py): those of the shards that the node
                holds, or will hold once the previous holder has released them
    loads       measured from the reported calls, by destination

A service that becomes leader creates a new coordinator, from the previous leader's snapshot if there is one.

Safety does not depend on the view: an endpoint list alone permits no call. A call needs a grant, and the ledger's
invariants cover grants.
"""

from __future__ import annotations

from collections import Counter, deque
from collections.abc import Iterable, Mapping, Sequence
from dataclasses import dataclass

from scalefall.assignment.assembly import AssignmentSettings, assemble
from scalefall.assignment.coordinator import Coordinator
from scalefall.assignment.model import Node, ShardGrant
from scalefall.assignment.shard_leases import ShardLeases
from scalefall.assignment.shard_view import ShardView
from scalefall.control.base_service import BaseControlService
from scalefall.control.catalog import ResourceKey
from scalefall.control.client_streams import Outgoing
from scalefall.control.grants import QuotaAction
from scalefall.control.members import Joined, JoinRejected, MembershipChange, MemberState
from scalefall.control.resource_builder import ResourceBuilder
from scalefall.net.config import Fleet
from scalefall.policy.settings import Settings

LOAD_INTERVAL_US = 30_000_000  # span of the calls in one load report: the placement interval
MAX_UNACKNOWLEDGED_GRANTS = 4096  # per stream; the oldest are dropped, as a client with more does not read its renewals
SECOND_US = 1_000_000


@dataclass(slots=True, frozen=True)
class ShardGrants(QuotaAction):
    """The grants of one step for one holder."""

    grants: tuple[ShardGrant, ...]


class ShardedService(BaseControlService[ShardGrant]):
    """A control service that grants shards. A resource stream belongs to a node, a quota stream to a process."""

    def __init__(
        self,
        now: int,
        settings: Settings,
        seed: int,
        builder: ResourceBuilder,
        lease_us: int,
        delay_us: int,
        silence_us: int,
        assignment: AssignmentSettings,
    ) -> None:
        """Start without a fleet and without senders.

        Args:
            now: The present time in us, as in all methods.
            settings: The engine's settings.
            seed: The seed of the engine's random choices.
            builder: Makes resources.
            lease_us: How long a grant may be used from its receipt.
            delay_us: The longest time that a message may be in transit.
            silence_us: How long after its last message a process counts as unreachable.
            assignment: The settings of the assignment.
        """
        self._assignment = assignment
        self._assembly = assemble(now, assignment, None).assembly
        self._view = ShardView(self.coordinator)
        self._nodes: dict[str, Node] = {}  # by holder
        self._node_streams: dict[str, set[int]] = {}  # resource streams by node
        self._stream_nodes: dict[int, str] = {}  # nodes by resource stream
        self._unacknowledged: dict[int, deque[tuple[int, int]]] = {}  # (grant number, shard) by quota stream, in order
        self._calls: Counter[int] = Counter()  # by destination, since the last load report
        self._counting_since = now
        self._leases = ShardLeases(self.coordinator, delay_us)
        super().__init__(now, settings, seed, builder, lease_us, delay_us, silence_us, self._leases, self._view)

    @property
    def coordinator(self) -> Coordinator:
        """Return the present coordinator."""
        return self._assembly.coordinator

    def become_leader(self, now: int, number: int, snapshot: str | None = None) -> None:
        """Become the leader, with a new coordinator that grants after a grace period.

        Args:
            now: The present time.
            number: The highest grant number that an earlier leader may have used.
            snapshot: The snapshot that the earlier leader stored; if it is rejected, all shards are placed again.
        """
        self._assembly, rejection = assemble(now, self._assignment, snapshot)
        if rejection:
            self._emit("assignment not taken", error=rejection)
        self._leases.switch_to(self.coordinator)
        self._leases.resume(number)
        self._view.switch_to(self.coordinator)
        for holder, node in self._nodes.items():
            self.coordinator.holder_joined(holder, node, now)

    def generation(self) -> int:
        """Return the generation, which increases with each change of the table or of the isolated destinations."""
        return self.coordinator.generation

    def snapshot(self) -> str | None:
        """Return the snapshot from which the next leader starts."""
        return self._assembly.snapshot()

    # -- the fleet

    def configure(self, fleet: Fleet, now: int) -> list[Outgoing]:
        """Put a fleet in force; see BaseControlService.configure."""
        outgoing = super().configure(fleet, now)
        self._view.replace_destinations(fleet.routes)
        return outgoing

    # -- resource streams

    def resource_stream_opened(self, stream: int, node: str, incremental: bool, supports_ttl: bool) -> None:
        """Register a resource stream; see BaseControlService.resource_stream_opened."""
        super().resource_stream_opened(stream, node, incremental, supports_ttl)
        self._node_streams.setdefault(node, set()).add(stream)
        self._stream_nodes[stream] = node

    def resource_stream_closed(self, stream: int) -> None:
        """Drop a closed stream; do nothing if it is no resource stream."""
        super().resource_stream_closed(stream)
        node = self._stream_nodes.pop(stream, None)
        if node is not None:
            self._node_streams[node].discard(stream)
            if not self._node_streams[node]:
                del self._node_streams[node]

    def _receivers(self, keys: set[ResourceKey]) -> Iterable[tuple[int, set[ResourceKey]]]:
        """Return the streams of the nodes that may have some of these resources, with the keys for each."""
        return [
            (stream, keys_of_node)
            for node, keys_of_node in self._by_node(keys).items()
            for stream in self._node_streams.get(node, ())
        ]

    def _by_node(self, keys: Iterable[ResourceKey]) -> dict[str, set[ResourceKey]]:
        """Return the keys for each node; all nodes get those that are removed or belong to no destination."""
        found: dict[str, set[ResourceKey]] = {}
        for key in keys:
            destination = self.catalog.destination_of(key)
            for node in self._node_streams if destination is None else self._view.nodes_of(destination):
                found.setdefault(node, set()).add(key)
        return found

    # -- quota streams and grants

    def quota_stream_joined(
        self, stream: int, node: str, instance: str, now: int, region: str = "", zone: str = ""
    ) -> Joined | JoinRejected:
        """Register the process that a quota stream names, with its region and zone."""
        answer = self.members.join(stream, node, instance, now)
        if isinstance(answer, Joined):
            self._nodes[answer.holder] = Node(node, region, zone)
            self._unacknowledged[stream] = deque(maxlen=MAX_UNACKNOWLEDGED_GRANTS)
            self._holder_reachable(answer.holder, now)
            self._schedule_step(now)
            self._emit("proxy joined", holder=answer.holder, came_back=answer.is_known, twin=answer.shares_node_id)
        return answer

    def quota_stream_closed(self, stream: int, now: int) -> None:
        """Record that a stream is closed; do nothing if it has no holder."""
        super().quota_stream_closed(stream, now)
        self._unacknowledged.pop(stream, None)

    def acknowledged(self, stream: int, number: int, now: int) -> None:
        """Record that the stream's process has received all grants sent on the stream up to this number.

        One number acknowledges all before it, as a stream preserves their order. It does not acknowledge grants that
        were sent on an earlier stream.
        """
        holder = self.members.holder_of(stream)
        if holder is None:
            return
        if self.members.heartbeat_received(stream, now) is not None:
            self._holder_reachable(holder, now)
            self._emit("proxy heard again", holder=holder)
        unacknowledged = self._unacknowledged[stream]
        while unacknowledged and unacknowledged[0][0] <= number:
            grant_number, shard = unacknowledged.popleft()
            self.coordinator.acknowledged(holder, shard, grant_number, now)
        self._schedule_step(now)

    def _holder_reachable(self, holder: str, now: int) -> None:
        self.coordinator.holder_joined(holder, self._nodes[holder], now)

    def _holder_disconnected(self, change: MembershipChange, now: int) -> None:
        super()._holder_disconnected(change, now)
        if change.state is MemberState.EXPIRED:
            self._nodes.pop(change.holder, None)
        else:
            self.coordinator.holder_disconnected(change.holder, now)

    def _outgoing_grants(self, grants: Sequence[ShardGrant], now: int) -> list[Outgoing]:
        by_stream: dict[int, list[ShardGrant]] = {}
        for grant in grants:
            stream = self._live_stream(grant.holder)
            if stream is not None and stream in self._unacknowledged:
                by_stream.setdefault(stream, []).append(grant)
                self._unacknowledged[stream].append((grant.number, grant.shard))
                self._emit_granted(grant, now)
        return [Outgoing(stream, ShardGrants(tuple(of_stream))) for stream, of_stream in by_stream.items()]

    def _emit_granted(self, grant: ShardGrant, now: int) -> None:
        self._emit(
            "granted",
            is_debug=True,
            clock=now,
            holder=grant.holder,
            shard=grant.shard,
            epoch=grant.epoch,
            number=grant.number,
            share=grant.quota,  # log readers depend on this field name
            lease_ms=grant.lease_us // 1000,
            delay_ms=self.ledger.delay_us // 1000,
        )

    # -- loads

    def calls_counted(self, calls: Mapping[int, int]) -> None:
        """Add the calls that senders have made since their last report, by destination."""
        for destination, count in calls.items():
            if count > 0:
                self._calls[destination] += count

    def _report_loads(self, now: int) -> None:
        """Report the calls per second of each destination to the coordinator, once every LOAD_INTERVAL_US."""
        elapsed = now - self._counting_since
        if elapsed >= LOAD_INTERVAL_US:
            loads = {destination: count * SECOND_US / elapsed for destination, count in self._calls.items()}
            self._calls.clear()
            self._counting_since = now
            self.coordinator.loads_reported(loads, now)

    # -- time

    def step(self, now: int) -> list[Outgoing]:
        """Process everything that is due; the resources of changed shards are sent before the rest."""
        self._report_loads(now)
        outgoing = super().step(now)
        return self._send_shard_changes() + outgoing

    def _send_shard_changes(self) -> list[Outgoing]:
        """Return the messages that add and remove resources on the streams of nodes whose shards have changed."""
        self._view.sync_sharding()
        outgoing: list[Outgoing] = []
        for node, shards in self.coordinator.drain_changes().items():
            self._view.update_node(node, shards)
            keys = self._keys_of(shards)
            for stream in self._node_streams.get(node, ()):
                outgoing += self._streams.resources_changed(stream, keys)
        return outgoing

    def _keys_of(self, shards: Iterable[int]) -> list[ResourceKey]:
        """Return the keys of the resources of all destinations of these shards."""
        return [
            key
            for shard in shards
            for destination in self._view.destinations_of(shard)
            for key in self.catalog.keys_of(destination)
        ]

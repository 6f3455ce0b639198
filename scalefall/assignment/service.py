"""The control service where destinations are divided among senders: a sender gets resources and grants of the shards
that are assigned to it, and of no others.

No I/O, no clock. It is `control.service.Service` with three parts replaced:

    ledger      shares of shards instead of amounts by destination (coordinator.py, ledger.py); an allowance travels
                with the grants of its destination's shard
    view        the catalog's answer to which node may have which destinations' resources: those that it holds, or is to
                hold as soon as the holder before it has let go
    loads       calls that are reported, by destination, weigh the shards

A service that begins to grant makes its coordinator anew, from the snapshot of the one before if there is one.

What a node may have is no promise of safety: a list of endpoints alone allows no call. Calls need a grant, and the
rules of grants are the ledger's.
"""

from __future__ import annotations

from collections import Counter, deque
from collections.abc import Iterable, Mapping, Sequence
from dataclasses import dataclass
from itertools import chain

from scalefall import interface as i
from scalefall.assignment.assembly import AssignmentSettings, assemble
from scalefall.assignment.coordinator import Coordinator
from scalefall.assignment.model import UNLIMITED, Node, ShardGrant
from scalefall.control.base_service import BaseControlService
from scalefall.control.catalog import ResourceKey
from scalefall.control.client_streams import Outgoing
from scalefall.control.grants import QuotaAction
from scalefall.control.members import Joined, JoinRejected, MembershipChange, MemberState
from scalefall.control.resource_builder import ResourceBuilder
from scalefall.net.config import Fleet

LOAD_INTERVAL_US = 30_000_000  # calls are counted over so long before they weigh the shards: a placement's interval
MAX_UNACKNOWLEDGED = 4096  # grants of one stream that wait for an answer; more are renewals that nobody reads


@dataclass(slots=True, frozen=True)
class ShardGrants(QuotaAction):
    """All grants that one holder is to be sent now."""

    grants: tuple[ShardGrant, ...]


class ShardLeases:
    """The coordinator as the service's ledger (control.grants.Leases). Holders come and go through the service, which
    knows their nodes."""

    def __init__(self, coordinator: Coordinator, delay_us: int) -> None:
        self._coordinator = coordinator
        self._limited: dict[int, int] = {}  # allowances that are not UNLIMITED
        self.delay_us = delay_us

    def switch_to(self, coordinator: Coordinator) -> None:
        """Another one from now on, which is told all allowances that are not UNLIMITED."""
        coordinator.resume(self._coordinator.number)
        self._coordinator = coordinator
        for destination, amount in self._limited.items():
            coordinator.set_allowance(destination, amount)

    @property
    def number(self) -> int:
        return self._coordinator.number

    def step_down(self) -> None:
        self._coordinator.step_down()

    def become_leader(self, now: int) -> None:
        """A coordinator begins by its making: see ShardedService.become_leader."""

    def resume(self, number: int) -> None:
        self._coordinator.resume(number)

    def allow(self, destination: int, amount: int) -> bool:
        if self._limited.get(destination, UNLIMITED) == amount:
            return False
        if amount >= UNLIMITED:
            del self._limited[destination]
        else:
            self._limited[destination] = amount
        self._coordinator.set_allowance(destination, amount)
        return True

    def join(self, holder: str) -> None:
        """See ShardedService."""

    def disconnected(self, holder: str) -> None:
        """See ShardedService."""

    def step(self, now: int) -> list[ShardGrant]:
        return self._coordinator.step(now)

    def next_deadline(self, now: int) -> int:
        return self._coordinator.next_deadline(now)


class ShardView:
    """Which destinations' resources a node may have (control.catalog.View)."""

    def __init__(self, coordinator: Coordinator) -> None:
        self._coordinator = coordinator
        self._sharding: object = None  # a value: it is another one whenever the isolated destinations are others
        self._isolated: dict[int, int] = {}
        self._by_shard: dict[int, set[int]] = {}
        self._shards: dict[int, int] = {}  # of each destination
        self._nodes: dict[int, set[str]] = {}  # of each shard

    def switch_to(self, coordinator: Coordinator) -> None:
        """Another one from now on."""
        self._coordinator = coordinator
        self._nodes.clear()
        self.sync_sharding()

    def covers(self, node: str, destination: int) -> bool:
        return self._coordinator.serves(node, destination)

    def nodes_of(self, destination: int) -> Iterable[str]:
        """The nodes that may have it."""
        return self._nodes.get(self._shards.get(destination, -1), ())

    def update_node(self, node: str, shards: Iterable[int]) -> None:
        """These shards have come to a node or gone from it."""
        theirs = self._coordinator.shards_of(node)
        for shard in shards:
            if shard in theirs:
                self._nodes.setdefault(shard, set()).add(node)
            else:
                self._nodes.get(shard, set()).discard(node)

    def sync_sharding(self) -> None:
        """Destinations that have got a shard of their own, or lost it, are of another shard."""
        if self._coordinator.sharding is self._sharding:
            return
        self._sharding = self._coordinator.sharding
        isolated = self._sharding.isolated
        moved = [
            number for number in {**self._isolated, **isolated} if self._isolated.get(number) != isolated.get(number)
        ]
        self._isolated = dict(isolated)
        for destination in moved:
            if destination in self._shards:
                self._remove(destination)
                self._add(destination)

    def destinations(self, node: str) -> Iterable[int]:
        return chain.from_iterable(self._by_shard.get(shard, ()) for shard in self._coordinator.shards_of(node))

    def destinations_of(self, shard: int) -> Iterable[int]:
        """The destinations of one shard."""
        return self._by_shard.get(shard, ())

    def replace(self, destinations: Iterable[int]) -> None:
        """All destinations that there are from now on."""
        wanted = set(destinations)
        for destination in self._shards.keys() - wanted:
            self._remove(destination)
        for destination in wanted - self._shards.keys():
            self._add(destination)

    def _add(self, destination: int) -> None:
        shard = self._shards[destination] = self._coordinator.sharding.shard_of(destination)
        self._by_shard.setdefault(shard, set()).add(destination)

    def _remove(self, destination: int) -> None:
        shard = self._shards.pop(destination)
        self._by_shard[shard].discard(destination)
        if not self._by_shard[shard]:
            del self._by_shard[shard]


class ShardedService(BaseControlService[ShardGrant]):
    """Streams of resources are told of by their node, quota streams by their process."""

    def __init__(
        self,
        now: int,
        settings: i.Settings,
        seed: int,
        builder: ResourceBuilder,
        lease_us: int,
        delay_us: int,
        silence_us: int,
        assignment: AssignmentSettings,
    ) -> None:
        self._assignment = assignment
        self._assembly, _ = assemble(now, assignment, None)
        self._view = ShardView(self.coordinator)
        self._nodes: dict[str, Node] = {}  # of each holder
        self._node_streams: dict[str, set[int]] = {}  # resource streams of each node
        self._stream_nodes: dict[int, str] = {}
        self._unacknowledged: dict[int, deque[tuple[int, int]]] = {}  # number and shard, by quota stream, in order
        self._calls: Counter[int] = Counter()  # since they last weighed the shards, by destination
        self._counted_from = now
        self._leases = ShardLeases(self.coordinator, delay_us)
        super().__init__(now, settings, seed, builder, lease_us, delay_us, silence_us, self._leases, self._view)

    @property
    def coordinator(self) -> Coordinator:
        """Who has which shard."""
        return self._assembly.coordinator

    def become_leader(self, now: int, number: int, snapshot: str | None = None) -> None:
        self._assembly, rejection = assemble(now, self._assignment, snapshot)
        if rejection:
            self._emit("assignment not taken", error=rejection)
        self._leases.switch_to(self.coordinator)
        self._leases.resume(number)
        self._view.switch_to(self.coordinator)
        for holder, node in self._nodes.items():
            self.coordinator.holder_joined(holder, node, now)

    def generation(self) -> int:
        return self.coordinator.generation

    def snapshot(self) -> str | None:
        return self._assembly.snapshot()

    # -- the fleet

    def configure(self, fleet: Fleet, now: int) -> list[Outgoing]:
        out = super().configure(fleet, now)
        self._view.replace(fleet.routes)
        return out

    # -- streams of resources

    def resource_stream_opened(self, stream: int, holder: str, incremental: bool, leased: bool) -> None:
        super().resource_stream_opened(stream, holder, incremental, leased)
        self._node_streams.setdefault(holder, set()).add(stream)
        self._stream_nodes[stream] = holder

    def resource_stream_closed(self, stream: int) -> None:
        super().resource_stream_closed(stream)
        node = self._stream_nodes.pop(stream, None)
        if node is not None:
            self._node_streams[node].discard(stream)
            if not self._node_streams[node]:
                del self._node_streams[node]

    # -- processes and their grants

    def quota_stream_joined(
        self, stream: int, node: str, instance: str, now: int, region: str = "", zone: str = ""
    ) -> Joined | JoinRejected:
        """A quota stream has named its process, and where it stands."""
        answer = self.members.join(stream, node, instance, now)
        if isinstance(answer, Joined):
            self._nodes[answer.holder] = Node(node, region, zone)
            self._unacknowledged[stream] = deque(maxlen=MAX_UNACKNOWLEDGED)
            self._holder_reachable(answer.holder, now)
            self._schedule_step(now)
            self._emit("proxy joined", holder=answer.holder, came_back=answer.is_known, twin=answer.shares_node_id)
        return answer

    def quota_stream_closed(self, stream: int, now: int) -> None:
        super().quota_stream_closed(stream, now)
        self._unacknowledged.pop(stream, None)

    def acknowledged(self, stream: int, had: int, now: int) -> None:
        """The stream's process has had all grants sent on it up to this number. A stream keeps their order, so one
        number stands for all before it; what was sent on an earlier stream it does not vouch for."""
        holder = self.members.holder_of(stream)
        if holder is None:
            return
        if self.members.heartbeat_received(stream, now) is not None:
            self._holder_reachable(holder, now)
            self._emit("proxy heard again", holder=holder)
        waiting = self._unacknowledged[stream]
        while waiting and waiting[0][0] <= had:
            number, shard = waiting.popleft()
            self.coordinator.acknowledged(holder, shard, number, now)
        self._schedule_step(now)

    def _holder_reachable(self, holder: str, now: int) -> None:
        self.coordinator.holder_joined(holder, self._nodes[holder], now)

    def _holder_disconnected(self, change: MembershipChange, now: int) -> None:
        super()._holder_disconnected(change, now)
        if change.state is MemberState.FORGOTTEN:
            self._nodes.pop(change.holder, None)
        else:
            self.coordinator.holder_lost(change.holder, now)

    # -- loads

    def calls_counted(self, calls: Mapping[int, int]) -> None:
        """Calls that were made since the last report, by destination."""
        for destination, count in calls.items():
            if count > 0:
                self._calls[destination] += count

    def _report_loads(self, now: int) -> None:
        """Calls a second of each destination with traffic, to the coordinator."""
        elapsed = now - self._counted_from
        if elapsed >= LOAD_INTERVAL_US:
            loads = {destination: count * 1_000_000 / elapsed for destination, count in self._calls.items()}
            self._calls.clear()
            self._counted_from = now
            self.coordinator.loads_reported(loads, now)

    # -- time

    def step(self, now: int) -> list[Outgoing]:
        self._report_loads(now)
        out = super().step(now)
        return self._follow_changes() + out

    def _follow_changes(self) -> list[Outgoing]:
        """What came to a node's shards or went from them, to its streams of resources."""
        self._view.sync_sharding()
        out: list[Outgoing] = []
        for node, shards in self.coordinator.drain_changes().items():
            self._view.update_node(node, shards)
            keys = [
                key
                for shard in shards
                for number in self._view.destinations_of(shard)
                for key in self.catalog.keys_of(number)
            ]
            for stream in self._node_streams.get(node, ()):
                out += self._streams.resources_changed(stream, keys)
        return out

    def _outgoing_grants(self, grants: Sequence[ShardGrant], now: int) -> list[Outgoing]:
        by_stream: dict[int, list[ShardGrant]] = {}
        for grant in grants:
            stream = self._live_stream(grant.holder)
            if stream is not None and stream in self._unacknowledged:
                by_stream.setdefault(stream, []).append(grant)
                self._unacknowledged[stream].append((grant.number, grant.shard))
                self._emit_granted(grant, now)
        return [Outgoing(stream, ShardGrants(tuple(given))) for stream, given in by_stream.items()]

    def _emit_granted(self, grant: ShardGrant, now: int) -> None:
        self._emit(
            "granted",
            is_debug=True,
            clock=now,
            holder=grant.holder,
            shard=grant.shard,
            epoch=grant.epoch,
            number=grant.number,
            share=grant.quota,
            lease_ms=grant.lease_us // 1000,
            delay_ms=self.ledger.delay_us // 1000,
        )

    def _receivers(self, keys: set[ResourceKey]) -> Iterable[tuple[int, set[ResourceKey]]]:
        """Only nodes that hold a destination are told of its resources."""
        return [
            (stream, theirs)
            for node, theirs in self._by_node(keys).items()
            for stream in self._node_streams.get(node, ())
        ]

    def _by_node(self, keys: Iterable[ResourceKey]) -> dict[str, set[ResourceKey]]:
        """The keys that each node with a stream is to be told of; what is gone or shared, all of them."""
        found: dict[str, set[ResourceKey]] = {}
        for key in keys:
            destination = self.catalog.destination_of(key)
            for node in self._node_streams if destination is None else self._view.nodes_of(destination):
                found.setdefault(node, set()).add(key)
        return found

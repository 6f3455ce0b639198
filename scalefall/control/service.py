"""The control service without its network, where calls are granted by destination. No I/O, no clock, no protobuf.

Streams, reports and the time go in, what is to be sent comes out; see base_service.py. Here every proxy may send to
every destination, and reports how much it would send: its grant of a destination follows from that. Where destinations
are divided among senders, `scalefall.assignment.service` stands in its place.
"""

from __future__ import annotations

from collections.abc import Sequence
from math import inf

from scalefall.control.base_service import UNSETTLED_STEP_US, BaseControlService
from scalefall.control.catalog import DestinationView
from scalefall.control.client_streams import Outgoing
from scalefall.control.grants import MIN_GRANT, UNITS_PER_CALL, Grant
from scalefall.control.ledger import Ledger
from scalefall.control.log_events import LogEvent
from scalefall.control.members import Joined, JoinRejected
from scalefall.control.resource_builder import ResourceBuilder, RouteEntries
from scalefall.policy.settings import Settings

__all__ = [
    "UNSETTLED_STEP_US",
    "ControlService",
    "LogEvent",
    "Outgoing",
    "ResourceBuilder",
    "RouteEntries",
]

DEMAND_HEADROOM = 1.25  # a holder's demand by what it reported, so that its traffic may grow between reports
MAX_DEMAND = 10**9  # an amount: what a holder reports is not to be believed without end
DEMAND_PRECISION_BITS = 4  # a demand keeps its highest bits: it changes in steps of an eighth or less


class ControlService(BaseControlService[Grant]):
    """A control service that grants calls by destination."""

    def __init__(
        self,
        now: int,
        settings: Settings,
        seed: int,
        builder: ResourceBuilder,
        lease_us: int,
        delay_us: int,
        silence_us: int,
        view: DestinationView | None = None,
    ) -> None:
        """Start without a fleet; for the arguments see BaseControlService."""
        self._demands = Ledger(now, lease_us, delay_us)
        super().__init__(now, settings, seed, builder, lease_us, delay_us, silence_us, self._demands, view)

    def quota_stream_joined(
        self,
        stream: int,
        node: str,
        instance: str,
        now: int,
        region: str = "",  # where a process stands matters to the assignment only
        zone: str = "",
    ) -> Joined | JoinRejected:
        """A quota stream has named its process; where that stands makes no difference here."""
        answer = self.members.join(stream, node, instance, now)
        if isinstance(answer, Joined):
            self._holder_reachable(answer.holder, now)
            self._schedule_step(now)
            self._emit("proxy joined", holder=answer.holder, came_back=answer.is_known, twin=answer.shares_node_id)
        return answer

    def demand_reported(self, stream: int, route: int, calls: float, acknowledged: int, now: int) -> bool:
        """A holder has reported its demand.

        Args:
            stream: its quota stream.
            route: the route of the demand.
            calls: the calls a second that it would make, allowed or denied.
            acknowledged: the highest number of a grant that it has received; 0: it does not number them.
            now: the time of it.

        Returns:
            Whether there is such a route, and the stream has a holder.
        """
        holder = self.members.holder_of(stream)
        if holder is None or route not in self._in_force.entries:
            return False
        if self.members.heartbeat_received(stream, now) is not None:
            self._holder_reachable(holder, now)
            self._emit("proxy heard again", holder=holder)
        if acknowledged and self._demands.acknowledged(holder, route, acknowledged, now):
            self._emit("had", is_debug=True, clock=now, holder=holder, route=route, number=acknowledged)
        demand = _rounded_demand(calls * DEMAND_HEADROOM * UNITS_PER_CALL)
        self._demands.set_demand(holder, route, max(MIN_GRANT, demand))
        self._schedule_step(now)
        return True

    def _holder_reachable(self, holder: str, now: int) -> None:  # the hook's signature
        self.ledger.join(holder)

    def _outgoing_grants(self, grants: Sequence[Grant], now: int) -> list[Outgoing]:
        outgoing = []
        for grant in grants:
            stream = self._live_stream(grant.holder)
            if stream is not None:
                outgoing.append(Outgoing(stream, grant))
                self._emit_granted(grant, now)
        return outgoing

    def _emit_granted(self, grant: Grant, now: int) -> None:
        self._emit(
            "granted",
            is_debug=True,
            clock=now,
            holder=grant.holder,
            route=grant.destination,
            number=grant.number,
            amount=grant.amount,
            lease_ms=grant.lease_us // 1000,
            delay_ms=self.ledger.delay_us // 1000,
        )


def _rounded_demand(amount: float) -> int:
    """Round up to a step of an eighth, so that a demand that wavers is not a change each time."""
    if not 0 < amount < inf:
        return 0
    step = max(1, 1 << max(0, int(amount).bit_length() - DEMAND_PRECISION_BITS))
    return -(-int(min(amount, MAX_DEMAND)) // step) * step

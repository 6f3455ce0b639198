"""The control service without its transport, for grants by destination. No I/O, no clock, no protobuf.

Its inputs are streams, reports and the time, its outputs the messages to send; see base_service.py. Every proxy may
send to every destination and reports its demand, from which its grant follows. Where destinations are divided among
senders, `scalefall.assignment.service` replaces this service.
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

DEMAND_HEADROOM = 1.25  # factor on the reported demand, so that traffic may grow between reports
MAX_DEMAND = 10**9  # thousandths of a call a second; bounds the demand that a holder may report
DEMAND_PRECISION_BITS = 4  # significant bits of a demand: it changes in steps of an eighth or less


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
        self._demand_ledger = Ledger(now, lease_us, delay_us)
        super().__init__(now, settings, seed, builder, lease_us, delay_us, silence_us, self._demand_ledger, view)

    def quota_stream_joined(
        self,
        stream: int,
        node: str,
        instance: str,
        now: int,
        region: str = "",  # unused, as is `zone`
        zone: str = "",
    ) -> Joined | JoinRejected:
        """Register the process that a quota stream names; region and zone matter to the assignment only."""
        answer = self.members.join(stream, node, instance, now)
        if isinstance(answer, Joined):
            self._holder_reachable(answer.holder, now)
            self._schedule_step(now)
            self._emit("proxy joined", holder=answer.holder, came_back=answer.is_known, twin=answer.shares_node_id)
        return answer

    def demand_reported(self, stream: int, route: int, calls: float, acknowledged: int, now: int) -> bool:
        """Record a holder's reported demand.

        Args:
            stream: the holder's quota stream.
            route: the route of the demand.
            calls: the calls a second that it would make, allowed and denied ones together.
            acknowledged: the highest grant number that it has received; 0 if the client does not report it.
            now: the present time.

        Returns:
            Whether the route exists and the stream has a holder.
        """
        holder = self.members.holder_of(stream)
        if holder is None or route not in self._in_force.entries:
            return False
        if self.members.heartbeat_received(stream, now) is not None:
            self._holder_reachable(holder, now)
            self._emit("proxy heard again", holder=holder)
        if acknowledged and self._demand_ledger.acknowledged(holder, route, acknowledged, now):
            self._emit("had", is_debug=True, clock=now, holder=holder, route=route, number=acknowledged)
        demand = _rounded_demand(calls * DEMAND_HEADROOM * UNITS_PER_CALL)
        self._demand_ledger.set_demand(holder, route, max(MIN_GRANT, demand))
        self._schedule_step(now)
        return True

    def _holder_reachable(self, holder: str, now: int) -> None:  # the base class's signature
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
    """Round up to a step of an eighth, so that small variations of a demand are no changes."""
    if not 0 < amount < inf:
        return 0
    step = max(1, 1 << max(0, int(amount).bit_length() - DEMAND_PRECISION_BITS))
    return -(-int(min(amount, MAX_DEMAND)) // step) * step

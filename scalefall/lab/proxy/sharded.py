"""The contract of a proxy whose destinations are divided among senders: the differences from contract.py. No I/O.

grants      One a shard; a destination's rate is that grant's quota of its allowance. The highest number received on a
            stream acknowledges every grant received on it. A lease counts from the report that its grant answers.
endpoints   Lists have no time to live of their own. One resource has, and its heartbeat proves every list that came
            before it on the stream.
the rest    A message for a destination that this proxy does not hold is treated as one whose grant has expired: it goes
            to the sender's ingress, or is refused with the time of the next try. It is never sent to an endpoint.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable

from scalefall.assignment.holder import ShardHolder
from scalefall.assignment.model import ShardGrant
from scalefall.lab.proxy.contract import SECOND, Contract, Fallback, Refuse, Send

UNASSIGNED_RETRY_US = SECOND  # wait before a message for a destination that is held elsewhere is tried again


class ShardedContract(Contract):
    """What one proxy may send to the destinations that it holds."""

    def __init__(self, shard_of: Callable[[int], int], at_end: str = "fallback") -> None:
        super().__init__([], at_end)
        self.holder = ShardHolder(shard_of)
        self._highest_grant = 0  # the highest grant received on this quota stream
        self._list_ttl_us = 0

    # -- resources

    def lease_received(self, ttl_us: int, first: bool) -> None:
        """Record the resource whose heartbeats cover all lists; first: the response to this stream's first request."""
        self._list_ttl_us = ttl_us
        if first:
            self._proved_at = max(self._proved_at, self._acknowledged_at)

    def list_received(self, route: int, endpoints: dict[str, str], blocked: bool, ttl_us: int, first: bool) -> None:
        """Record the list of a destination that is held, or will be."""
        self._add(route)
        super().list_received(route, endpoints, blocked, ttl_us, first)

    def list_removed(self, route: int) -> None:
        """Drop a destination that is assigned elsewhere."""
        self._routes.pop(route, None)

    def trusts(self, route: int, now: int) -> bool:
        """Return whether the route's list is trusted."""
        return self._proved_at >= 0 and now < self._proved_at + self._list_ttl_us

    # -- grants

    def quota_stream_opened(self) -> None:
        """Start a quota stream; grants received on the one before are no longer acknowledged."""
        self._highest_grant = 0

    def next_report(self, now: int) -> tuple[int, int]:
        """Return the number of this report, and the highest grant received on this stream."""
        return self._number_report(now), self._highest_grant

    def shard_grants_received(self, grants: Iterable[ShardGrant], last_report: int) -> None:
        """Record grants that answer a report of this process.

        If the report is too old for its time to be known, the grants are acknowledged, but have expired.
        """
        since = self._report_times.get(last_report, -(1 << 62))
        for grant in grants:
            self.holder.granted(grant, since)
            self._highest_grant = max(self._highest_grant, grant.number)

    def _granted(self, route: int, now: int) -> int | None:
        return self.holder.budget(route, now) if self.holder.holds(route, now) else None

    # -- decisions

    def choose(self, route: int, now: int) -> Send | Fallback | Refuse:
        """Return what to do with a message now; a Send counts against the grant."""
        if route not in self._routes:
            return Fallback() if self._at_end == "fallback" else Refuse(UNASSIGNED_RETRY_US)
        return super().choose(route, now)

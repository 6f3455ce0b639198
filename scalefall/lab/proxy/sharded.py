"""The contract of a proxy where destinations are divided among senders: what differs from contract.py. No I/O.

grants      One a shard; a destination's budget is the share of its allowance. All that came on a stream is acknowledged
            together by the highest number. A lease counts from the report that the grants were sent upon.
endpoints   Lists have no time to live of their own. One resource has, and its heartbeat proves all lists that came
            before it on the stream.
the rest    A message for a destination that is not held is as one whose grant has ended: it goes to the sender itself,
            or is refused with when to come back. It is never sent to an endpoint from here.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable

from scalefall.assignment.holder import ShardHolder
from scalefall.assignment.model import ShardGrant
from scalefall.lab.proxy.contract import SECOND, Contract, Fallback, Refuse, Send

UNASSIGNED_RETRY_US = SECOND  # when a message for a destination that is held elsewhere may be tried again


class ShardedContract(Contract):
    def __init__(self, shard_of: Callable[[int], int], at_end: str = "fallback") -> None:
        super().__init__([], at_end)
        self.holder = ShardHolder(shard_of)
        self._had = 0  # the highest number that has come on this stream
        self._lease_ttl = 0

    # -- resources

    def lease_received(self, ttl_us: int, first: bool) -> None:
        """The resource whose heartbeats stand for those of all lists; first: the answer to this stream's question."""
        self._lease_ttl = ttl_us
        if first:
            self._proved_at = max(self._proved_at, self._acknowledged_at)

    def list_received(self, route: int, endpoints: dict[str, str], blocked: bool, ttl: int, first: bool) -> None:
        """A list of a destination that is held, or will be."""
        self._add(route)
        super().list_received(route, endpoints, blocked, ttl, first)

    def list_removed(self, route: int) -> None:
        """The destination is another's now."""
        self._routes.pop(route, None)

    def trusts(self, route: int, now: int) -> bool:
        """Whether its endpoints are proved."""
        return self._proved_at >= 0 and now < self._proved_at + self._lease_ttl

    # -- grants

    def quota_stream_opened(self) -> None:
        """A new quota stream: what came on the one before is vouched for no more."""
        self._had = 0

    def next_report(self, now: int) -> tuple[int, int]:
        """The number of this report, and the highest grant had on this stream."""
        return self._number_report(now), self._had

    def shard_grants_received(self, grants: Iterable[ShardGrant], heard: int) -> None:
        """Grants that were sent upon a report of this process. Where that is too long ago to be known, they count as
        had, and nothing may be used."""
        since = self._report_times.get(heard, -(1 << 62))
        for grant in grants:
            self.holder.granted(grant, since)
            self._had = max(self._had, grant.number)

    def _granted(self, route: int, now: int) -> int | None:
        return self.holder.budget(route, now) if self.holder.holds(route, now) else None

    # -- what may go out

    def choose(self, route: int, now: int) -> Send | Fallback | Refuse:
        """Where a message may go now; a Send is used up."""
        if route not in self._routes:
            return Fallback() if self._at_end == "fallback" else Refuse(UNASSIGNED_RETRY_US)
        return super().choose(route, now)

"""Rate limits of clients' requests and stream openings. No I/O, no clock; times are microseconds."""

from __future__ import annotations

from collections import OrderedDict

SECOND = 1_000_000  # us


class TokenBucket:
    """A token bucket: a burst at once, then a steady rate."""

    def __init__(self, now: int, burst: int, per_second: int) -> None:
        """Start full: `burst` requests may come at once, and `per_second` afterwards."""
        self._burst = burst
        self._interval = SECOND // per_second
        self._used_until = now - burst * self._interval  # the time up to which the capacity is used

    def consume(self, now: int, cost: int = 1) -> int:
        """Use `cost` tokens; return the wait in us before the next request may be read, 0 for none."""
        self._used_until = self._start(now) + self._interval * cost
        return max(0, self._used_until - now)

    def rejects(self, now: int) -> bool:
        """Return whether there is no token; if there is one, use it."""
        if self._start(now) + self._interval > now:
            return True
        self.consume(now)
        return False

    def _start(self, now: int) -> int:
        return max(self._used_until, now - self._burst * self._interval)


class ClientRateLimiter:
    """A token bucket for each client. Beyond `max_clients` the least recently seen client's bucket is dropped."""

    def __init__(self, burst: int, per_second: int, max_clients: int) -> None:
        """Set the `burst` and `per_second` of each client's bucket."""
        self._burst = burst
        self._per_second = per_second
        self._max_clients = max_clients
        self._buckets: OrderedDict[str, TokenBucket] = OrderedDict()

    def rejects(self, client: str, now: int) -> bool:
        """Return whether the client has no token; if it has one, use it."""
        bucket = self._buckets.get(client)
        if bucket is None:
            bucket = self._buckets[client] = TokenBucket(now, self._burst, self._per_second)
            if len(self._buckets) > self._max_clients:
                self._buckets.popitem(last=False)
        self._buckets.move_to_end(client)
        return bucket.rejects(now)

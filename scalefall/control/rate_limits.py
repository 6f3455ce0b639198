"""What a client may cost: how fast it may send and open streams. No I/O, no clock; times are microseconds."""

from __future__ import annotations

from collections import OrderedDict

SECOND = 1_000_000  # us


class TokenBucket:
    """A burst at once, then a steady rate."""

    def __init__(self, now: int, burst: int, per_second: int) -> None:
        """Start full: `burst` requests may come at once, and `per_second` after it."""
        self._burst = burst
        self._interval = SECOND // per_second
        self._used_until = now - burst * self._interval  # the moment up to which its capacity is used

    def consume(self, now: int, cost: int = 1) -> int:
        """Use so much; how many microseconds to wait before the next request is read, 0 for none."""
        self._used_until = self._start(now) + self._interval * cost
        return max(0, self._used_until - now)

    def rejects(self, now: int) -> bool:
        """Use one if there is capacity for it; True if there is none."""
        if self._start(now) + self._interval > now:
            return True
        self.consume(now)
        return False

    def _start(self, now: int) -> int:
        return max(self._used_until, now - self._burst * self._interval)


class ClientRateLimiter:
    """How often each client may do something. Beyond `max_clients`, those seen longest ago are forgotten."""

    def __init__(self, burst: int, per_second: int, max_clients: int) -> None:
        """Give each client a bucket of `burst` and `per_second`."""
        self._burst = burst
        self._per_second = per_second
        self._max_clients = max_clients
        self._buckets: OrderedDict[str, TokenBucket] = OrderedDict()

    def rejects(self, client: str, now: int) -> bool:
        """Use one of the client's capacity if there is any; True if there is none."""
        bucket = self._buckets.get(client)
        if bucket is None:
            bucket = self._buckets[client] = TokenBucket(now, self._burst, self._per_second)
            if len(self._buckets) > self._max_clients:
                self._buckets.popitem(last=False)
        self._buckets.move_to_end(client)
        return bucket.rejects(now)

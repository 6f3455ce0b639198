"""What a client may cost: how fast it may speak and open streams. No I/O, no clock."""

from __future__ import annotations

from collections import OrderedDict

SECOND = 1_000_000


class TokenBucket:
    """So many at once, then so many a second."""

    def __init__(self, now: int, burst: int, a_second: int) -> None:
        self._burst, self._gap = burst, SECOND // a_second
        self._next = now - burst * self._gap  # the moment up to which it is used

    def consume(self, now: int, cost: int = 1) -> int:
        """Takes so many; how many us to wait before the next is let through, 0 for at once."""
        self._next = self._used(now) + self._gap * cost
        return max(0, self._next - now)

    def rejects(self, now: int) -> bool:
        """Takes one if there is one; True if there is none."""
        if self._used(now) + self._gap > now:
            return True
        self.consume(now)
        return False

    def _used(self, now: int) -> int:
        return max(self._next, now - self._burst * self._gap)


class ClientRateLimiter:
    """How often each client opens something. The clients seen longest ago are forgotten beyond `most`."""

    def __init__(self, burst: int, a_second: int, most: int) -> None:
        self._burst, self._a_second, self._most = burst, a_second, most
        self._buckets: OrderedDict[str, TokenBucket] = OrderedDict()

    def rejects(self, client: str, now: int) -> bool:
        bucket = self._buckets.get(client)
        if bucket is None:
            bucket = self._buckets[client] = TokenBucket(now, self._burst, self._a_second)
            if len(self._buckets) > self._most:
                self._buckets.popitem(last=False)
        self._buckets.move_to_end(client)
        return bucket.rejects(now)

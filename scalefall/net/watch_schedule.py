"""When the watch on discovery's list makes its calls: pure, with random numbers handed in.

A sender counts as notified of a change 6 s after discovery has the change and is reachable, however long discovery lets
a call wait before it rejects it. So no sum of the times here depends on that wait: a call without an answer gets
another one beside it. docs/design/races.md has the sums.
"""

from __future__ import annotations

import random
from enum import Enum, auto

SECOND_US = 1_000_000  # microseconds in a second
IDLE_TIMEOUT_US = 5 * SECOND_US // 2  # discovery sends a line every 2 s
FIRST_DIAL_TIMEOUT_US = 4 * SECOND_US // 10  # for the first dial after a watch broke
DIAL_TIMEOUT_US = SECOND_US  # for later dials, and for sending the request
# Wait for an answer before another call, by the number of overdue calls before it; the last for all further ones.
HEDGE_DELAYS_US = (2_150_000, 3_600_000, 3_800_000)
MAX_CALLS = 2  # at once: one that waits for its answer, and another beside it
ANSWER_TIMEOUT_US = MAX_CALLS * HEDGE_DELAYS_US[-1]  # from the start of a call to its answer's head
RECONNECT_SPREAD_PER_SENDER_US = SECOND_US // 80  # after an idle timeout: all watches may time out at once
MAX_RECONNECT_SPREAD_US = SECOND_US // 2
CLOSED_RECONNECT_SPREAD_US = 2 * SECOND_US  # after an active watch broke: senders must not all reconnect at once
MIN_BACKOFF_US = SECOND_US // 20  # doubled by each further failure
MAX_PUSHED_BACKOFF_US = SECOND_US // 2  # backoff limit where lists are pushed
MAX_POLLED_BACKOFF_US = SECOND_US  # backoff limit where lists are polled


class WatchEnd(Enum):
    """How a call to discovery ended."""

    FAILED = auto()  # it was not answered, or rejected
    CLOSED = auto()  # the watch broke after a complete object or a blank line
    IDLE = auto()  # the watch received nothing for too long, or discovery restarted its numbering


class WatchSchedule:
    """Decides when the next call is made, after the end of a call or beside one that is not answered."""

    def __init__(self, pushed: bool, replica_count: int, randomness: random.Random) -> None:
        """Start before the first call.

        Args:
            pushed: Discovery pushes lists to an agent of this sender; otherwise one discovery serves all senders.
            replica_count: The number of senders that may reconnect at once.
            randomness: Spreads the senders' calls.
        """
        self._pushed = pushed
        self._idle_spread_us = min(MAX_RECONNECT_SPREAD_US, replica_count * RECONNECT_SPREAD_PER_SENDER_US)
        self._random = randomness
        self._backoff_us = MIN_BACKOFF_US
        self._has_failed = False  # no call has been answered with a list since the last one failed
        self._overdue_calls = 0  # that were not answered before their hedge delay, since a call ended sooner

    def dial_timeout_us(self) -> int:
        """Return how long the next dial may take, in microseconds."""
        return DIAL_TIMEOUT_US if self._has_failed else FIRST_DIAL_TIMEOUT_US

    def hedge_delay_us(self) -> int:
        """Return how long after its start a call without an answer gets another one beside it, in microseconds."""
        return HEDGE_DELAYS_US[min(self._overdue_calls, len(HEDGE_DELAYS_US) - 1)]

    def record_overdue(self) -> None:
        """Record that a call is not answered before its hedge delay."""
        self._has_failed = True
        self._overdue_calls += 1

    def pause_us(self, end: WatchEnd, was_active: bool = False, waited_us: int = 0) -> int:
        """Return the pause after the end of a call, in microseconds.

        Args:
            end: How it ended.
            was_active: It had received a complete object or a blank line.
            waited_us: How long it had waited if it failed, in microseconds.
        """
        self._has_failed = end is WatchEnd.FAILED
        if waited_us >= HEDGE_DELAYS_US[0]:
            return min(self._next_pause_us(end, was_active), max(0, self.hedge_delay_us() - waited_us))
        self._overdue_calls = 0
        return self._next_pause_us(end, was_active)

    def _next_pause_us(self, end: WatchEnd, was_active: bool) -> int:
        """Return the next backoff or spread, in microseconds."""
        if self._pushed:
            self._backoff_us = MIN_BACKOFF_US if was_active else min(2 * self._backoff_us, MAX_PUSHED_BACKOFF_US)
            return int(self._backoff_us * (0.5 + self._random.random()))
        if end is WatchEnd.FAILED:
            self._backoff_us = min(2 * self._backoff_us, MAX_POLLED_BACKOFF_US)
            return int(self._backoff_us * (1 + self._random.random()) / 2)
        self._backoff_us = MIN_BACKOFF_US
        spread_us = self._idle_spread_us if end is WatchEnd.IDLE else CLOSED_RECONNECT_SPREAD_US
        return int(spread_us * self._random.random())

"""The schedule of placements. Times are microseconds. No I/O, no clock."""

from __future__ import annotations

from scalefall.assignment.shard_record import NEVER

SETTLE_US = 1_000_000  # a lost zone's streams end within a heartbeat interval of each other, and cause one placement


class PlacementSchedule:
    """The time of the next placement: shortly after a change of membership, else at regular intervals."""

    def __init__(self, now: int, restart_us: int, rebalance_us: int) -> None:
        """Schedule the first regular placement.

        Args:
            now: The present time.
            restart_us: How long a node may take to restart.
            rebalance_us: The interval between regular placements.
        """
        self._restart_us, self._rebalance_us = restart_us, rebalance_us
        self._paused_until = now
        self._settled_at = NEVER  # when to place because membership has changed
        self._rebalance_at = now + rebalance_us

    def pause_until(self, at: int) -> None:
        """Schedule a placement at this time, and none before."""
        self._paused_until = self._settled_at = at

    def membership_changed(self, now: int, removal_at: int | None = None) -> None:
        """Schedule a placement once membership has settled.

        Args:
            now: The present time.
            removal_at: The time of the latest pending removal of a node; None if there is none.
        """
        at = now + SETTLE_US
        if removal_at is not None:
            at = max(at, min(removal_at, now + self._restart_us))
        self._settled_at = min(self._settled_at, max(self._paused_until, at))

    def placed(self, now: int) -> None:
        """Schedule the next regular placement."""
        self._settled_at, self._rebalance_at = NEVER, now + self._rebalance_us

    def next_at(self) -> int:
        """Return the time of the next placement.

        While membership settles no regular placement takes place, as it might see only half of the lost nodes.
        """
        if self._settled_at != NEVER:
            return self._settled_at
        return max(self._paused_until, self._rebalance_at)

"""When the coordinator places shards. Times are microseconds. No I/O, no clock."""

from __future__ import annotations

from scalefall.assignment.shard_record import NEVER

SETTLE_US = 1_000_000  # a zone's streams end within a heartbeat interval of each other: one decision for all of them


class PlacementSchedule:
    """The time of the next placement: soon after membership has changed, else at regular intervals."""

    def __init__(self, now: int, restart_us: int, rebalance_us: int) -> None:
        """Schedule the first regular placement.

        Args:
            now: The time.
            restart_us: How long a node may take to come back.
            rebalance_us: Between regular placements.
        """
        self._restart_us, self._rebalance_us = restart_us, rebalance_us
        self._paused_until = now
        self._settled_at = NEVER  # the placement for a change of membership
        self._rebalance_at = now + rebalance_us

    def pause_until(self, at: int) -> None:
        """Place at this time, and not before."""
        self._paused_until = self._settled_at = at

    def membership_changed(self, now: int, removal_at: int | None = None) -> None:
        """Place once membership has settled.

        Args:
            now: The time.
            removal_at: When the last node that may yet come back is removed, if there is any.
        """
        at = now + SETTLE_US
        if removal_at is not None:
            at = max(at, min(removal_at, now + self._restart_us))
        self._settled_at = min(self._settled_at, max(self._paused_until, at))

    def placed(self, now: int) -> None:
        """Schedule the next regular placement."""
        self._settled_at, self._rebalance_at = NEVER, now + self._rebalance_us

    def next_at(self) -> int:
        """Return when to place.

        A placement that waits to settle goes before the next regular one, which would see half of a loss.
        """
        if self._settled_at != NEVER:
            return self._settled_at
        return max(self._paused_until, self._rebalance_at)

"""Which process leads, and what a leader leaves to the next one.

The leader is the one that grants. It leaves the numbers above all that it may have given, what the module knew, and
which sender has which shard. The state directory reads and writes; the service decides.
"""

from __future__ import annotations

from enum import Enum

from scalefall.control import snapshot
from scalefall.control.snapshot import SnapshotDocument
from scalefall.control.transport.services import AnyControlService
from scalefall.control.transport.state import NUMBERS_PER_BLOCK, StateDirectory, StateDirectoryError
from scalefall.errors import LeadershipError
from scalefall.net.logs import log
from scalefall.policy.events import Event

MIN_RESERVED_NUMBERS = (
    NUMBERS_PER_BLOCK // 2
)  # unused numbers at which the next block is reserved: long before they run out


class Role(Enum):
    """What this process is among those that share a state directory."""

    STANDBY = "standby"
    LEADER = "leader"


class LeaderState:
    """This process's role, and the state that outlives it."""

    def __init__(self, service: AnyControlService, directory: StateDirectory, startup_wait_us: int) -> None:
        """Stand by.

        Args:
            service: What leads or stands by.
            directory: The state that the processes share.
            startup_wait_us: How long after a start no grants are made, as an earlier process may have granted all.
        """
        self._service = service
        self._directory = directory
        self._quiet_us = startup_wait_us
        self._saved: SnapshotDocument | None = None  # the snapshot that was written last, without its time
        self._saved_generation = 0  # of the assignment that was written last
        self._role = Role.STANDBY

    @property
    def is_leader(self) -> bool:
        """Whether this process is the one that grants."""
        return self._role is Role.LEADER

    def require_leadership(self) -> None:
        """Check that this process leads, for what only the leader serves.

        Raises:
            LeadershipError: Another process does; the text is for the client.
        """
        if not self.is_leader:
            raise LeadershipError("another process grants here")

    def acquire_leadership(self, now_us: int, wall_us: int) -> bool:
        """Try to become the leader; True if this process is one from now on and was not before.

        Nothing is granted before what another process may have granted has run out.

        Args:
            now_us: The monotonic clock.
            wall_us: The wall clock.

        Raises:
            StateDirectoryError: The state directory cannot be used.
        """
        if self.is_leader or not self._directory.acquire_lock():
            return False
        first = self._directory.open_epoch()
        self._service.become_leader(now_us, first, self._load_assignment())
        events = self._load_events(now_us, wall_us)
        self._service.restore(events, now_us)
        self._role = Role.LEADER
        log.info(
            "granting: from number %d, in %.1f s",
            first,
            self._quiet_us / 1e6,
            extra={"fields": {"epoch": first, "recalled": len(events)}},
        )
        return True

    def _load_events(self, now_us: int, wall_us: int) -> list[Event]:
        """What the last leader knew, as events; nothing where it cannot be read."""
        try:
            saved = self._directory.load_snapshot()
            return snapshot.restore(saved, now_us, wall_us) if saved is not None else []
        except (StateDirectoryError, ValueError) as error:
            log.warning("figures of the one before: cannot be read (%s)", error)
            return []

    def _load_assignment(self) -> str | None:
        try:
            return self._directory.load_assignment()
        except StateDirectoryError as error:
            log.error("assignment of the one before: cannot be read, all shards are placed anew: %s", error)
            return None

    def save(self, now_us: int, wall_us: int) -> None:
        """Write what has changed since the last time; what cannot be written is one line in the log."""
        if not self.is_leader:
            return
        service = self._service
        current = snapshot.capture(
            service.allocator.unsettled_allowances(), service.engine.learned_rates(), now_us, wall_us
        )
        try:
            self._save_snapshot(current)
            self._save_assignment()
        except StateDirectoryError as error:
            log.error("figures cannot be kept: %s", error)

    def _save_snapshot(self, current: SnapshotDocument) -> None:
        """Write the snapshot if it differs, or has rows whose age counts: doubts and waits."""
        timeless: SnapshotDocument = {**current, "wall": 0}
        if timeless != self._saved or current["doubts"] or current["waits"]:
            self._directory.save_snapshot(current)
            self._saved = timeless

    def _save_assignment(self) -> None:
        generation = self._service.generation()
        if generation == self._saved_generation:
            return
        self._saved_generation = generation
        text = self._service.snapshot()
        if text is not None:
            self._directory.save_assignment(text)

    def reserve_numbers(self) -> None:
        """Reserve numbers for the next grants; where they cannot be had, this process grants no more."""
        used = self._service.ledger.number
        if not self.is_leader or used <= self._directory.reserved_below - MIN_RESERVED_NUMBERS:
            return
        try:
            self._directory.reserve_numbers(used)
        except StateDirectoryError as error:
            log.error("cannot grant any more: %s", error)
            self._role = Role.STANDBY

    def release(self) -> None:
        """Let another process lead."""
        self._directory.release()

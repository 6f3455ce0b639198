"""Which process leads, and the state that a leader saves for its successor.

Only the leader grants. It saves a number above those of all grants that it may have made, a snapshot of the engine's
knowledge, and the assignment of shards to senders. The state directory reads and writes; the service decides.
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

MIN_RESERVED_NUMBERS = NUMBERS_PER_BLOCK // 2  # the next block is reserved once no more than this remain unused


class Role(Enum):
    """The role of this process among those that share a state directory."""

    STANDBY = "standby"
    LEADER = "leader"


class LeaderState:
    """This process's role, and the state that its successor needs."""

    def __init__(self, service: AnyControlService, directory: StateDirectory, startup_wait_us: int) -> None:
        """Start as a standby.

        Args:
            service: The service that makes the grants.
            directory: The state directory that the processes share.
            startup_wait_us: Time after becoming the leader without grants, as those of an earlier process may be valid.
        """
        self._service = service
        self._directory = directory
        self._startup_wait_us = startup_wait_us
        self._saved: SnapshotDocument | None = None  # the last saved snapshot, without its time
        self._saved_generation = 0  # generation of the last saved assignment
        self._role = Role.STANDBY

    @property
    def is_leader(self) -> bool:
        """Whether this process is the leader."""
        return self._role is Role.LEADER

    def require_leadership(self) -> None:
        """Raise an error unless this process leads, before serving what only the leader serves.

        Raises:
            LeadershipError: This process does not lead; the text is sent to the client.
        """
        if not self.is_leader:
            raise LeadershipError("another process grants here")

    def acquire_leadership(self, now_us: int, wall_us: int) -> bool:
        """Try to become the leader; return whether this call made this process the leader.

        Grants begin only after all that another process may have granted has expired.

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
            "granting: numbers above %d, beginning in %.1f s",
            first,
            self._startup_wait_us / 1e6,
            extra={"fields": {"epoch": first, "recalled": len(events)}},
        )
        return True

    def _load_events(self, now_us: int, wall_us: int) -> list[Event]:
        """Return the saved snapshot as events; none if it is missing or cannot be used."""
        try:
            saved = self._directory.load_snapshot()
            return snapshot.restore(saved, now_us, wall_us) if saved is not None else []
        except (StateDirectoryError, ValueError) as error:
            log.warning("saved snapshot cannot be used: %s; starting without it", error)
            return []

    def _load_assignment(self) -> str | None:
        try:
            return self._directory.load_assignment()
        except StateDirectoryError as error:
            log.error("saved assignment cannot be read: %s; assigning all shards again", error)
            return None

    def save(self, now_us: int, wall_us: int) -> None:
        """Save the snapshot and the assignment if they have changed; a write error is logged."""
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
            log.error("snapshot or assignment cannot be saved: %s; granting continues", error)

    def _save_snapshot(self, current: SnapshotDocument) -> None:
        """Write the snapshot if it has changed, or has failed endpoints or Retry-After times, which need its time."""
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
        """Reserve numbers for further grants; if that fails, this process grants no more until a restart."""
        used = self._service.ledger.number
        if not self.is_leader or used <= self._directory.reserved_below - MIN_RESERVED_NUMBERS:
            return
        try:
            self._directory.reserve_numbers(used)
        except StateDirectoryError as error:
            log.error("grant numbers cannot be reserved: %s; granting nothing more until a restart", error)
            self._role = Role.STANDBY

    def release(self) -> None:
        """Release the leader's lock, so that another process may lead."""
        self._directory.release()

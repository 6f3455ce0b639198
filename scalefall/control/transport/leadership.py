"""Who grants, and what outlasts the process: the folder's lock, numbers above all that were given, what the module
knew, and which sender has which shard. `state.Folder` reads and writes; the service decides."""

from __future__ import annotations

from scalefall.control import snapshot
from scalefall.control.transport import state
from scalefall.control.service import ControlService
from scalefall.net.checks import log


class LeaderState:
    def __init__(self, service: ControlService, folder: state.StateDirectory, quiet_us: int) -> None:
        """quiet_us: for so long nothing is granted after a start, as an earlier process may have granted all."""
        self._service, self._folder, self._quiet = service, folder, quiet_us
        self._kept: object = None
        self._kept_generation = 0  # of the assignment's snapshot that was written last
        self.granting = False

    def acquire_leadership(self, now: int, wall: int) -> bool:
        """Try to be the one that grants; whether it is from now on. Nothing is granted before what another process may
        have granted has run out. state.StateDirectoryError if the folder can't be used."""
        if self.granting or not self._folder.acquire_lock():
            return False
        first = self._folder.open_epoch()
        self._service.become_leader(now, first, self._kept_snapshot())
        events = self._recalled(now, wall)
        self._service.restore(events, now)
        self.granting = True
        log.info(
            "granting: from number %d, in %.1f s",
            first,
            self._quiet / 1e6,
            extra={"fields": {"epoch": first, "recalled": len(events)}},
        )
        return True

    def _recalled(self, now: int, wall: int) -> list:
        try:
            kept = self._folder.load_snapshot()
            return snapshot.restore(kept, now, wall) if kept is not None else []
        except ValueError as error:
            log.warning("figures of the one before: cannot be read (%s)", error)
            return []

    def _kept_snapshot(self) -> str | None:
        try:
            return self._folder.load_assignment()
        except ValueError as error:
            log.error("assignment of the one before: cannot be read, all shards are placed anew: %s", error)
            return None

    def save(self, now: int, wall: int) -> None:
        """Write what has changed since the last time; what can't be written is one line in the log."""
        if not self.granting:
            return
        service = self._service
        kept = snapshot.capture(service.allocator.unsettled_allowances(), service.module.known(), now, wall)
        try:
            if kept | {"wall": 0} != self._kept or kept["doubts"] or kept["waits"]:
                self._folder.save_snapshot(kept)
                self._kept = kept | {"wall": 0}
            if service.generation() != self._kept_generation:
                self._kept_generation = service.generation()
                self._folder.save_assignment(service.snapshot())
        except OSError as error:
            log.error("figures cannot be kept: %s", error.strerror or error)

    def reserve_numbers(self) -> None:
        """Numbers for what is granted next; where they can't be had, this process grants no more."""
        if not self.granting or self._service.ledger.number <= self._folder.reserved - state.BLOCK // 2:
            return
        try:
            self._folder.reserve_numbers(self._service.ledger.number)
        except state.StateDirectoryError as error:
            log.error("cannot grant any more: %s", error)
            self.granting = False

    def release(self) -> None:
        """Another process may grant."""
        self._folder.release()

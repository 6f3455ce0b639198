"""The sender's journal: a write-ahead log in the state folder of the messages that the sender is responsible for.

Each record is appended before the step that it records takes effect, so that recovery finds every accepted message and
every attempt that may have run. An incomplete record at the end, as a killed process leaves it, is truncated. The
journal is compacted when the file and a compacted copy of it would together exceed the journal's limit. A message is
accepted only if its records fit within that limit. An open journal keeps other processes out of its folder.
"""

from __future__ import annotations

import contextlib
import os
from collections.abc import Iterable
from types import TracebackType
from typing import NamedTuple

from scalefall.net import journal_records
from scalefall.net.files import BLOCK_BYTES
from scalefall.net.invariants import assert_invariant
from scalefall.net.journal_records import (
    FILE_HEADER,
    FRAME,
    RESERVED_ZONE_BYTES,
    AttemptFinished,
    AttemptStarted,
    FinalAnswer,
    FinalAnswerGiven,
    Finished,
    PendingDelivery,
    Record,
    RecordError,
)
from scalefall.net.logs import log
from scalefall.net.memory_budget import MemoryBudget
from scalefall.net.pending_memory import PendingMemory
from scalefall.net.state_folder_lock import StateFolderLock

FILE_NAME = "journal"
COPY_FLAGS = os.O_RDWR | os.O_CREAT | os.O_TRUNC | os.O_APPEND  # overwrites an incomplete copy
FILE_MODE = 0o600  # message bodies are confidential
ROUNDING_BYTES = 4 * BLOCK_BYTES  # the file and its copy each occupy whole blocks and begin with FILE_HEADER
MAX_SPARE_BYTES = 64 * 1024  # reserved for small records between two compactions
SPARE_DIVISOR = 8  # the reserve is at most this fraction of the limit


class _OpenFile(NamedTuple):
    descriptor: int
    size: int


class Journal:
    """The open journal file and the deliveries that it records. The caller closes it; it is also a context manager.

    Attributes:
        pending: The deliveries that the sender is responsible for, by message id.
    """

    def __init__(self, folder: str, limit_bytes: int, budget: MemoryBudget | None = None) -> None:
        """Open the journal of a folder, or create it, and replay its records.

        Args:
            folder: The state folder.
            limit_bytes: The most bytes that the file and its compacted copy may take together.
            budget: Accounts for the pending deliveries in memory; None: there is no limit.

        Raises:
            StateFolderInUseError: Another process uses the folder; nothing in it has been changed.
            OSError: The file cannot be opened or read.
        """
        self._lock = StateFolderLock(folder)
        self.pending: dict[str, PendingDelivery] = {}
        self._path = os.path.join(folder, FILE_NAME)
        self._copy_path = self._path + ".new"
        self._limit_bytes = limit_bytes
        self._spare_bytes = min(MAX_SPARE_BYTES, limit_bytes // SPARE_DIVISOR)
        self._memory = PendingMemory(budget or MemoryBudget())
        self._copy_bytes = 0  # size of a compacted copy of all pending deliveries
        self._remove_copy()
        self._file = os.open(self._path, os.O_RDWR | os.O_CREAT | os.O_APPEND, FILE_MODE)
        self._size = self._load()
        if self._size != len(FILE_HEADER) + self._copy_bytes:
            self.compact()

    def __enter__(self) -> Journal:
        """Return the journal, to be closed at the end of the block."""
        return self

    def __exit__(
        self, kind: type[BaseException] | None, error: BaseException | None, traceback: TracebackType | None
    ) -> None:
        """Close the file."""
        self.close()

    def close(self) -> None:
        """Close the file and release the folder; no further record can be written."""
        os.close(self._file)
        self._lock.release()

    @property
    def unused_bytes(self) -> int:
        """The bytes of the limit that neither the file nor its compacted copy uses."""
        return self._limit_bytes - self._size - self._copy_bytes

    # -- writing records

    def has_capacity(self, body_bytes: int) -> bool:
        """Return whether a message with a body of this size would fit; record_accepted checks it exactly."""
        return self._fits(self._copy_bytes + body_bytes + ROUNDING_BYTES) and self._memory.has_room(body_bytes)

    def record_accepted(self, delivery: PendingDelivery) -> bool:
        """Record that the sender is responsible for a message.

        Returns:
            Whether the record was written. If it was not, the message must not be accepted.
        """
        record = journal_records.encode_accepted(delivery)
        copy_bytes = FRAME.size + len(record) + RESERVED_ZONE_BYTES
        if not self._fits(self._copy_bytes + copy_bytes) or not self._memory.try_add(delivery):
            return False
        if not self._append(record, copy_bytes):
            self._memory.remove(delivery)
            return False
        assert_invariant(delivery.id not in self.pending, "a message id is accepted at most once at a time")
        delivery.copy_bytes = copy_bytes
        self.pending[delivery.id] = delivery
        self._copy_bytes += copy_bytes
        return True

    def record_attempt_started(self, message_ids: list[str], wall_us: int, zone: str) -> bool:
        """Record that an attempt is about to start.

        Args:
            message_ids: The messages that it carries; those that are not pending are skipped.
            wall_us: The current time, in microseconds since the epoch.
            zone: The zone of the endpoint.

        Returns:
            Whether it was written and a compacted copy would still fit; if not, the attempt must not start.
        """
        message_ids = [message_id for message_id in message_ids if message_id in self.pending]
        needed = _zone_bytes(zone)
        more = sum(max(0, needed - self.pending[message_id].zone_bytes) for message_id in message_ids)
        if more and not self._fits(self._copy_bytes + more):
            return False
        if not self._append(journal_records.encode_attempt_started(message_ids, wall_us, zone)):
            return False
        for message_id in message_ids:
            self._start_attempt(self.pending[message_id], wall_us, zone)
        return True

    def record_attempt_finished(self, message_id: str, may_have_run: bool) -> None:
        """Record that the attempt in flight ended without delivering the message; see record_finished for delivery."""
        if message_id in self.pending:
            self._append(journal_records.encode_attempt_finished(message_id, may_have_run))
            self.pending[message_id].finish_attempt(may_have_run)

    def record_finished(self, message_id: str) -> None:
        """Record that a message is finished: delivered, withdrawn, or its final answer reported."""
        if message_id in self.pending:
            self._append(journal_records.encode_finished(message_id))
            self._remove(message_id)

    def record_final_answer(self, message_id: str, final_answer: FinalAnswer, retry_after_ms: int) -> None:
        """Record that a message will not be delivered and that its final answer has to be reported."""
        if message_id in self.pending:
            self._append(journal_records.encode_final_answer(message_id, final_answer, retry_after_ms))
            self._give_final_answer(self.pending[message_id], final_answer, retry_after_ms)

    # -- applying records to the pending deliveries

    def _start_attempt(self, delivery: PendingDelivery, wall_us: int, zone: str) -> None:
        more = _zone_bytes(zone) - delivery.zone_bytes
        if more > 0:
            delivery.zone_bytes += more
            delivery.copy_bytes += more
            self._copy_bytes += more
        delivery.attempts += 1
        delivery.in_flight = True
        delivery.attempt_started_wall_us = wall_us
        delivery.attempt_zone = zone

    def _give_final_answer(self, delivery: PendingDelivery, final_answer: FinalAnswer, retry_after_ms: int) -> None:
        self._memory.remove(delivery)
        delivery.final_answer = final_answer
        delivery.retry_after_ms = retry_after_ms
        self._copy_bytes -= len(delivery.body)
        delivery.copy_bytes -= len(delivery.body)
        delivery.body = b""
        self._memory.add(delivery)

    def _remove(self, message_id: str) -> None:
        delivery = self.pending.pop(message_id)
        self._copy_bytes -= delivery.copy_bytes
        self._memory.remove(delivery)

    def _replay(self, record: Record) -> None:
        """Apply a record of the file to the pending deliveries; ignore messages that are not pending."""
        if isinstance(record, PendingDelivery):
            self.pending[record.id] = record
            self._copy_bytes += record.copy_bytes
            self._memory.add(record)
        elif isinstance(record, AttemptStarted):
            for message_id in record.message_ids:
                delivery = self.pending.get(message_id)
                if delivery is not None:
                    self._start_attempt(delivery, record.wall_us, record.zone)
        else:
            delivery = self.pending.get(record.message_id)
            if delivery is not None:
                self._replay_end(delivery, record)

    def _replay_end(self, delivery: PendingDelivery, record: AttemptFinished | FinalAnswerGiven | Finished) -> None:
        """Apply a record that ends an attempt or the delivery itself."""
        match record:
            case AttemptFinished():
                delivery.finish_attempt(record.may_have_run)
            case FinalAnswerGiven():
                self._give_final_answer(delivery, record.final_answer, record.retry_after_ms)
            case Finished():
                self._remove(delivery.id)

    # -- the file

    def _fits(self, copy_bytes: int) -> bool:
        """Return whether a file and its copy, each with this many bytes of records, stay within the limit."""
        return 2 * copy_bytes + self._spare_bytes + ROUNDING_BYTES <= self._limit_bytes

    def _append(self, record: bytes, more_copy_bytes: int = 0) -> bool:
        """Append a record, compacting first if the limit requires it; return whether it was written.

        Args:
            record: The record without its frame.
            more_copy_bytes: The bytes that the record adds to a compacted copy.
        """
        framed = journal_records.frame(record)
        used_bytes = self._size + len(framed) + self._copy_bytes + more_copy_bytes + ROUNDING_BYTES
        if used_bytes > self._limit_bytes and not self.compact():
            return False
        try:
            _write_all(self._file, framed)
        except OSError as error:
            log.error("journal: write failed, record not stored: %s", error)
            self._truncate(self._size)  # recovery stops at an incomplete record and would lose all later ones
            return False
        self._size += len(framed)
        return True

    def _truncate(self, size: int) -> None:
        try:
            os.ftruncate(self._file, size)
        except OSError as error:
            log.error("journal: truncation to %d bytes failed: %s", size, error)

    def compact(self) -> bool:
        """Replace the file with a copy that holds only the pending deliveries; return whether that succeeded."""
        try:
            copy = _write_copy(self.pending.values(), self._copy_path, self._path)
        except OSError as error:
            log.error("journal: compaction failed, the old file stays in use: %s", error)
            self._remove_copy()
            return False
        os.close(self._file)
        self._file, self._size = copy
        return True

    def _remove_copy(self) -> None:
        """Remove the copy of an interrupted compaction; the file is still complete."""
        with contextlib.suppress(FileNotFoundError):
            os.unlink(self._copy_path)

    def _load(self) -> int:
        """Replay the file's records, truncate it after the last readable one, and return its size."""
        with open(self._path, "rb") as file:
            data = file.read()
        if not data.startswith(FILE_HEADER):
            return self._reset_file(len(data))
        end = len(FILE_HEADER)
        try:
            for record, end in journal_records.read_records(data):  # noqa: B007 - used after the loop
                self._replay(record)
        except RecordError as error:
            log.error("journal: unreadable record, it and all later ones are discarded: %s", error)
        if end < len(data):
            log.warning("journal: unreadable tail truncated: %d bytes", len(data) - end)
            self._truncate(end)
        return end

    def _reset_file(self, invalid_bytes: int) -> int:
        """Replace contents that are not a journal with an empty journal, and return the file's size."""
        if invalid_bytes:
            log.error("journal: file has no journal header, replaced by an empty journal: %d bytes lost", invalid_bytes)
        self._truncate(0)
        os.write(self._file, FILE_HEADER)
        return len(FILE_HEADER)


def _write_copy(deliveries: Iterable[PendingDelivery], copy_path: str, path: str) -> _OpenFile:
    """Write a file of these deliveries and rename it to its path; an OSError leaves the old file there unchanged."""
    descriptor = os.open(copy_path, COPY_FLAGS, FILE_MODE)
    try:
        size = os.write(descriptor, FILE_HEADER)
        for delivery in deliveries:
            framed = journal_records.frame(journal_records.encode_accepted(delivery))
            _write_all(descriptor, framed)
            size += len(framed)
        os.rename(copy_path, path)
    except OSError:
        os.close(descriptor)
        raise
    return _OpenFile(descriptor, size)


def _zone_bytes(zone: str) -> int:
    """Return the bytes that a zone may take in a copy: for the first attempt that may have run and for the last."""
    return 2 * len(zone.encode())


def _write_all(descriptor: int, data: bytes) -> None:
    """Write all of the data, in several calls if the system writes less at a time."""
    written = 0
    while written < len(data):
        written += os.write(descriptor, data[written:])

"""The sender's journal: a file in the state folder with all that the sender is responsible for.

Records are appended before what they say takes effect, so that the next process knows of each message that was accepted
and of each attempt that may have run. A tail that was torn by the death of the process is cut off. When the file and a
compacted copy of it would no longer both fit into the folder's limit, the copy takes the file's place. Nothing is
accepted for which that could not be kept.
"""

from __future__ import annotations

import contextlib
import os
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

FILE_NAME = "journal"
COPY_FLAGS = os.O_RDWR | os.O_CREAT | os.O_TRUNC | os.O_APPEND  # a copy that was left behind is overwritten
FILE_MODE = 0o600  # the messages' bodies are nobody else's
ROUNDING_BYTES = 4 * BLOCK_BYTES  # the file and its copy take whole blocks, and each begins with FILE_HEADER
MAX_SPARE_BYTES = 64 * 1024  # kept free for the small records between two compactions,
SPARE_DIVISOR = 8  # but no more than this part of a limit that is small


class _OpenFile(NamedTuple):
    descriptor: int
    size: int


class Journal:
    """The open file, and what it holds. Closing it is the caller's part; it is a context manager too.

    Attributes:
        pending: What the sender is responsible for, by the id of the message.
    """

    def __init__(self, folder: str, limit_bytes: int) -> None:
        """Open the journal of a folder, or start one, and read what the process before was responsible for.

        Args:
            folder: The state folder.
            limit_bytes: What the file and its compacted copy may take together.

        Raises:
            OSError: The file cannot be opened or read.
        """
        self.pending: dict[str, PendingDelivery] = {}
        self._path = os.path.join(folder, FILE_NAME)
        self._copy_path = self._path + ".new"
        self._limit_bytes = limit_bytes
        self._spare_bytes = min(MAX_SPARE_BYTES, limit_bytes // SPARE_DIVISOR)
        self._copy_bytes = 0  # what all of pending takes in a compacted copy
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
        """Close the file; no record can be written any more."""
        os.close(self._file)

    @property
    def unused_bytes(self) -> int:
        """What is left of the limit beside the file and its compacted copy."""
        return self._limit_bytes - self._size - self._copy_bytes

    # -- records that are written

    def has_capacity(self, body_bytes: int) -> bool:
        """Whether a message with so long a body would fit; record_accepted has the last word."""
        return self._fits(self._copy_bytes + body_bytes + ROUNDING_BYTES)

    def record_accepted(self, delivery: PendingDelivery) -> bool:
        """Write that the sender is responsible for a message.

        Returns:
            False if it does not fit or cannot be written: the message must not be accepted then.
        """
        record = journal_records.encode_accepted(delivery)
        copy_bytes = FRAME.size + len(record) + RESERVED_ZONE_BYTES
        if not self._fits(self._copy_bytes + copy_bytes) or not self._append(record, copy_bytes):
            return False
        assert_invariant(delivery.id not in self.pending, "an id is taken on once")
        delivery.copy_bytes = copy_bytes
        self.pending[delivery.id] = delivery
        self._copy_bytes += copy_bytes
        return True

    def record_attempt_started(self, message_ids: list[str], wall_us: int, zone: str) -> bool:
        """Write that an attempt is about to start.

        Args:
            message_ids: The messages that it carries; those that are no longer pending are left out.
            wall_us: The present time, microseconds since the epoch.
            zone: The zone of the endpoint.

        Returns:
            False if a compacted copy would no longer fit, or it cannot be written: the attempt must not start then.
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
        """Write how the attempt in flight ended; one that delivered the message is a record_finished instead."""
        if message_id in self.pending:
            self._append(journal_records.encode_attempt_finished(message_id, may_have_run))
            self._finish_attempt(self.pending[message_id], may_have_run)

    def record_finished(self, message_id: str) -> None:
        """Write that the sender is no longer responsible: delivered, withdrawn, or its final answer reported."""
        if message_id in self.pending:
            self._append(journal_records.encode_finished(message_id))
            self._copy_bytes -= self.pending.pop(message_id).copy_bytes

    def record_final_answer(self, message_id: str, final_answer: FinalAnswer, retry_after_ms: int) -> None:
        """Write that a message will not be delivered any more, which has to be reported."""
        if message_id in self.pending:
            self._append(journal_records.encode_final_answer(message_id, final_answer, retry_after_ms))
            self._give_final_answer(self.pending[message_id], final_answer, retry_after_ms)

    # -- what the records do to what is pending

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

    @staticmethod
    def _finish_attempt(delivery: PendingDelivery, may_have_run: bool) -> None:
        if may_have_run and not delivery.may_have_run_wall_us:
            delivery.may_have_run_wall_us = delivery.attempt_started_wall_us
            delivery.may_have_run_zone = delivery.attempt_zone
        delivery.in_flight = False

    def _give_final_answer(self, delivery: PendingDelivery, final_answer: FinalAnswer, retry_after_ms: int) -> None:
        delivery.final_answer = final_answer
        delivery.retry_after_ms = retry_after_ms
        self._copy_bytes -= len(delivery.body)
        delivery.copy_bytes -= len(delivery.body)
        delivery.body = b""

    def _replay(self, record: Record) -> None:
        """Do to what is pending what the process before has written; what is not pending any more is passed over."""
        if isinstance(record, PendingDelivery):
            self.pending[record.id] = record
            self._copy_bytes += record.copy_bytes
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
        """The same for the end of an attempt or of the message itself."""
        match record:
            case AttemptFinished():
                self._finish_attempt(delivery, record.may_have_run)
            case FinalAnswerGiven():
                self._give_final_answer(delivery, record.final_answer, record.retry_after_ms)
            case Finished():
                self._copy_bytes -= self.pending.pop(delivery.id).copy_bytes

    # -- the file

    def _fits(self, copy_bytes: int) -> bool:
        """Whether an old file and a new one with so many bytes of records stay within the limit together."""
        return 2 * copy_bytes + self._spare_bytes + ROUNDING_BYTES <= self._limit_bytes

    def _append(self, record: bytes, more_copy_bytes: int = 0) -> bool:
        """Write a record at the end, after a compaction if it needs one; False if it cannot be written.

        Args:
            record: The record without its frame.
            more_copy_bytes: What the record will add to a compacted copy.
        """
        framed = journal_records.frame(record)
        used_bytes = self._size + len(framed) + self._copy_bytes + more_copy_bytes + ROUNDING_BYTES
        if used_bytes > self._limit_bytes and not self.compact():
            return False
        try:
            _write_all(self._file, framed)
        except OSError as error:
            log.error("journal: write failed: %s", error)
            self._truncate(self._size)  # half a record in the middle would hide all that follows
            return False
        self._size += len(framed)
        return True

    def _truncate(self, size: int) -> None:
        try:
            os.ftruncate(self._file, size)
        except OSError as error:
            log.error("journal: truncation failed: %s", error)

    def compact(self) -> bool:
        """Replace the file by a copy that holds what is pending and nothing else; False if that cannot be written."""
        try:
            copy = self._write_copy()
        except OSError as error:
            log.error("journal: compaction failed: %s", error)
            self._remove_copy()
            return False
        os.close(self._file)
        self._file, self._size = copy
        return True

    def _write_copy(self) -> _OpenFile:
        """Write the copy and put it in the file's place; OSError if it cannot be written, and the file is as it was."""
        descriptor = os.open(self._copy_path, COPY_FLAGS, FILE_MODE)
        try:
            size = os.write(descriptor, FILE_HEADER)
            for delivery in self.pending.values():
                framed = journal_records.frame(journal_records.encode_accepted(delivery))
                _write_all(descriptor, framed)
                size += len(framed)
            os.rename(self._copy_path, self._path)
        except OSError:
            os.close(descriptor)
            raise
        return _OpenFile(descriptor, size)

    def _remove_copy(self) -> None:
        """Remove the copy of a compaction that was not finished: the file still holds everything."""
        with contextlib.suppress(FileNotFoundError):
            os.unlink(self._copy_path)

    def _load(self) -> int:
        """Replay the file's records and cut off what cannot be read; the file's size afterwards."""
        with open(self._path, "rb") as file:
            data = file.read()
        if not data.startswith(FILE_HEADER):
            return self._start_anew(len(data))
        end = len(FILE_HEADER)
        try:
            for record, end in journal_records.read_records(data):  # noqa: B007 - used behind the loop
                self._replay(record)
        except RecordError as error:
            log.error("journal: unreadable record: %s", error)
        if end < len(data):
            log.warning("journal: torn tail cut: %d bytes", len(data) - end)
            self._truncate(end)
        return end

    def _start_anew(self, foreign_bytes: int) -> int:
        """Drop what the file holds, which is no journal; the file's size afterwards."""
        if foreign_bytes:
            log.error("journal: file is no journal, started anew: %d bytes dropped", foreign_bytes)
        self._truncate(0)
        os.write(self._file, FILE_HEADER)
        return len(FILE_HEADER)


def _zone_bytes(zone: str) -> int:
    """What a copy may need for a zone's name: that of the first attempt that may have run, and of the one in flight."""
    return 2 * len(zone.encode())


def _write_all(descriptor: int, data: bytes) -> None:
    """Write all of the data, in as many parts as the system takes; OSError if it cannot."""
    written = 0
    while written < len(data):
        written += os.write(descriptor, data[written:])

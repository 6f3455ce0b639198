"""The record format of the sender's journal: the fields and the encoding of each record. No I/O and no clock.

A journal is ``FILE_HEADER`` followed by records, each preceded by a ``FRAME`` with its length and its CRC-32. The first
byte of a record is its kind; ``RecordKind`` lists what follows it. Integers are little-endian. A text is its length in
bytes, as 16 bits, and then its UTF-8; the length ``NO_TEXT`` stands for None.

Times are wall-clock times, in microseconds since the epoch: the monotonic clock restarts when the machine does.
"""

from __future__ import annotations

import struct
import zlib
from collections.abc import Callable, Iterator
from dataclasses import dataclass, field
from enum import Enum
from typing import NamedTuple

from scalefall.errors import StorageError
from scalefall.policy.settings import Idempotency

FILE_HEADER = b"scalefall journal 1\n"
FRAME = struct.Struct("<II")  # length and CRC-32 of the record
NO_TEXT = 0xFFFF  # stands for None in place of a text's length
MAX_DURATION_MS = 0xFFFFFFFF  # the longest duration that a record can hold
RESERVED_ZONE_BYTES = 128  # reserved per delivery in a compacted copy, for the zone names of later attempts

# The fixed fields of an ACCEPTED record, before its texts and its body:
#   deadline, destination, attempts, start of the first attempt that may have run (0: none), flags,
#   final answer (0: none), a duration in milliseconds, start of the last attempt (0: none)
# The duration is the retry-after time of a delivery with a final answer, and the lifetime of the idempotency key
# otherwise.
ACCEPTED = struct.Struct("<qiIqBBIq")
ACCEPTED_TEXT_COUNT = 5  # id, class, idempotency key, zone of the first attempt that may have run, of the last one
ATTEMPT_STARTED = struct.Struct("<qH")  # start, number of messages; then the zone and the message ids
FINAL_ANSWER = struct.Struct("<BI")  # the answer, the retry-after time in milliseconds; then the message id
TEXT_LENGTH = struct.Struct("<H")

IN_FLIGHT = 1  # flag: an attempt has started and has not finished
IDEMPOTENCY_SHIFT = 1  # two bits of the flags are an index into IDEMPOTENCIES
IDEMPOTENCY_MASK = 3
KEY_SCOPE_ZONE = 8  # flag: the idempotency key is valid within one zone only
IDEMPOTENCIES = (
    None,
    Idempotency.IDEMPOTENT,
    Idempotency.WITH_KEY,
    Idempotency.NOT_IDEMPOTENT,
)  # None: written by a version that did not record it


class RecordKind:
    """The first byte of a record; the comments list what follows it."""

    ACCEPTED = b"T"  # ACCEPTED, its texts, and the body up to the end of the record
    ATTEMPT_STARTED = b"P"  # ATTEMPT_STARTED, its texts
    ATTEMPT_FINISHED = b"O"  # one byte, whether the attempt may have run; the message id
    FINAL_ANSWER = b"N"  # FINAL_ANSWER, its text
    FINISHED = b"E"  # the message id


class RecordError(StorageError):
    """A record has a valid checksum but cannot be decoded: another version of the program wrote it."""


class FinalAnswer(Enum):
    """The final answer of an accepted message that was not delivered. The values are stored in records."""

    FAILED = 1
    RETURNED = 2


_FINAL_ANSWERS = {answer.value: answer for answer in FinalAnswer}


@dataclass(slots=True)
class PendingDelivery:
    """A message that the sender is responsible for: not delivered yet, or its final answer not reported yet.

    Attributes:
        id: The client's id of the message.
        class_name: Its class.
        destination: The number of its destination.
        due_wall_us: Its deadline.
        idempotency_key: The key by which the destination recognizes a repeated message; None if there is none.
        body: The payload; empty once there is a final answer.
        attempts: The number of attempts that have started.
        may_have_run_wall_us: The start of the first attempt that may have run; 0 if there was none.
        may_have_run_zone: The zone of that attempt.
        in_flight: Whether an attempt has started and has not finished.
        attempt_started_wall_us: The start of the last attempt.
        attempt_zone: The zone of the last attempt.
        final_answer: The final answer of a message that will not be delivered; None before.
        retry_after_ms: With the answer RETURNED, how long the client should wait before it submits the message again.
        idempotency: Whether it may be repeated, by its class as of its acceptance; None if that was not recorded.
        key_scope_zone: Whether its idempotency key is valid within one zone only, by the same class.
        key_ttl_us: How long a destination stores the key, by the same class.
        copy_bytes: The bytes that it takes in a compacted journal.
        zone_bytes: The bytes of copy_bytes that are reserved for zone names.
    """

    id: str
    class_name: str
    destination: int
    due_wall_us: int
    idempotency_key: str | None
    body: bytes
    attempts: int = 0
    may_have_run_wall_us: int = 0
    may_have_run_zone: str = ""
    in_flight: bool = False
    attempt_started_wall_us: int = 0
    attempt_zone: str = ""
    final_answer: FinalAnswer | None = None
    retry_after_ms: int = 0
    idempotency: Idempotency | None = None
    key_scope_zone: bool = False
    key_ttl_us: int = 0
    copy_bytes: int = field(default=0, repr=False)
    zone_bytes: int = field(default=RESERVED_ZONE_BYTES, repr=False)

    def finish_attempt(self, may_have_run: bool) -> None:
        """Note that the attempt in flight has finished without delivering the message."""
        if may_have_run and not self.may_have_run_wall_us:
            self.may_have_run_wall_us = self.attempt_started_wall_us
            self.may_have_run_zone = self.attempt_zone
        self.in_flight = False


class AttemptStarted(NamedTuple):
    """One attempt with one or several messages is about to start.

    Attributes:
        wall_us: The time of its start.
        zone: The zone of its endpoint.
        message_ids: The messages that it carries.
    """

    wall_us: int
    zone: str
    message_ids: list[str]


class AttemptFinished(NamedTuple):
    """The attempt with a message has ended without delivering it.

    Attributes:
        message_id: The message.
        may_have_run: Whether the destination may have processed it.
    """

    message_id: str
    may_have_run: bool


class FinalAnswerGiven(NamedTuple):
    """A message will not be delivered, and its final answer has to be reported.

    Attributes:
        message_id: The message.
        final_answer: The answer to report.
        retry_after_ms: How long the client should wait before it submits the message again.
    """

    message_id: str
    final_answer: FinalAnswer
    retry_after_ms: int


class Finished(NamedTuple):
    """The sender is no longer responsible for a message.

    Attributes:
        message_id: The message.
    """

    message_id: str


Record = PendingDelivery | AttemptStarted | AttemptFinished | FinalAnswerGiven | Finished


# -- encoding


def frame(record: bytes) -> bytes:
    """Return a record as the file holds it, preceded by its length and its checksum."""
    return FRAME.pack(len(record), zlib.crc32(record)) + record


def encode_accepted(delivery: PendingDelivery) -> bytes:
    """Return the record of a delivery, with its history if it has one: for its acceptance and for compaction."""
    answer = delivery.final_answer
    if answer is None:
        duration_ms, body = min(delivery.key_ttl_us // 1000, MAX_DURATION_MS), delivery.body
    else:
        duration_ms, body = delivery.retry_after_ms, b""
    fixed = ACCEPTED.pack(
        delivery.due_wall_us,
        delivery.destination,
        delivery.attempts,
        delivery.may_have_run_wall_us,
        _flags(delivery),
        0 if answer is None else answer.value,
        duration_ms,
        delivery.attempt_started_wall_us,
    )
    texts = _encode_texts(
        delivery.id,
        delivery.class_name,
        delivery.idempotency_key,
        delivery.may_have_run_zone,
        delivery.attempt_zone,
    )
    return RecordKind.ACCEPTED + fixed + texts + body


def encode_attempt_started(message_ids: list[str], wall_us: int, zone: str) -> bytes:
    """Return the record of an AttemptStarted."""
    fixed = ATTEMPT_STARTED.pack(wall_us, len(message_ids))
    return RecordKind.ATTEMPT_STARTED + fixed + _encode_texts(zone, *message_ids)


def encode_attempt_finished(message_id: str, may_have_run: bool) -> bytes:
    """Return the record of an AttemptFinished."""
    return RecordKind.ATTEMPT_FINISHED + bytes([may_have_run]) + _encode_texts(message_id)


def encode_final_answer(message_id: str, final_answer: FinalAnswer, retry_after_ms: int) -> bytes:
    """Return the record of a FinalAnswerGiven."""
    fixed = FINAL_ANSWER.pack(final_answer.value, retry_after_ms)
    return RecordKind.FINAL_ANSWER + fixed + _encode_texts(message_id)


def encode_finished(message_id: str) -> bytes:
    """Return the record of a Finished."""
    return RecordKind.FINISHED + _encode_texts(message_id)


def _flags(delivery: PendingDelivery) -> int:
    idempotency = IDEMPOTENCIES.index(delivery.idempotency) << IDEMPOTENCY_SHIFT
    return IN_FLIGHT * delivery.in_flight | idempotency | KEY_SCOPE_ZONE * delivery.key_scope_zone


def _encode_texts(*texts: str | None) -> bytes:
    parts = []
    for text in texts:
        if text is None:
            parts.append(TEXT_LENGTH.pack(NO_TEXT))
        else:
            encoded = text.encode()
            parts.append(TEXT_LENGTH.pack(len(encoded)) + encoded)
    return b"".join(parts)


# -- decoding


def read_records(data: bytes) -> Iterator[tuple[Record, int]]:
    """Read a journal up to its end, or up to the first incomplete or corrupt record.

    Args:
        data: The journal, which begins with FILE_HEADER.

    Yields:
        Each record, and the offset of its end.

    Raises:
        RecordError: A record has an unknown kind or does not match its kind's format.
    """
    end = len(FILE_HEADER)
    while end + FRAME.size <= len(data):
        length, checksum = FRAME.unpack_from(data, end)
        end += FRAME.size
        record = data[end : end + length]
        if len(record) != length or zlib.crc32(record) != checksum:
            return
        end += length
        yield _decode(record), end


def _decode(record: bytes) -> Record:
    kind = record[:1]
    try:
        return _DECODERS[kind](record)
    except (ValueError, struct.error, KeyError, IndexError) as error:
        raise RecordError(f"record of kind {kind!r}, {len(record)} bytes: {error!r}") from error


def _decode_accepted(record: bytes) -> PendingDelivery:
    deadline, destination, attempts, may_have_run_at, flags, answer, duration_ms, started_at = ACCEPTED.unpack_from(
        record, 1
    )
    texts, end = _decode_texts(record, 1 + ACCEPTED.size, ACCEPTED_TEXT_COUNT)
    message_id, class_name, idempotency_key, may_have_run_zone, attempt_zone = texts
    return PendingDelivery(  # positional arguments save 2 us per message in the replay of a full journal
        message_id or "",
        class_name or "",
        destination,
        deadline,
        idempotency_key,
        record[end:],
        attempts,
        may_have_run_at,
        may_have_run_zone or "",
        bool(flags & IN_FLIGHT),
        started_at,
        attempt_zone or "",
        _FINAL_ANSWERS[answer] if answer else None,
        duration_ms if answer else 0,
        IDEMPOTENCIES[flags >> IDEMPOTENCY_SHIFT & IDEMPOTENCY_MASK],
        bool(flags & KEY_SCOPE_ZONE),
        0 if answer else duration_ms * 1000,
        FRAME.size + len(record) + RESERVED_ZONE_BYTES,
    )


def _decode_attempt_started(record: bytes) -> AttemptStarted:
    wall_us, number = ATTEMPT_STARTED.unpack_from(record, 1)
    texts, _ = _decode_texts(record, 1 + ATTEMPT_STARTED.size, number + 1)
    return AttemptStarted(wall_us, texts[0] or "", [text or "" for text in texts[1:]])


def _decode_attempt_finished(record: bytes) -> AttemptFinished:
    return AttemptFinished(_decode_last_text(record, 2), bool(record[1]))


def _decode_final_answer(record: bytes) -> FinalAnswerGiven:
    answer, retry_after_ms = FINAL_ANSWER.unpack_from(record, 1)
    return FinalAnswerGiven(_decode_last_text(record, 1 + FINAL_ANSWER.size), _FINAL_ANSWERS[answer], retry_after_ms)


def _decode_finished(record: bytes) -> Finished:
    return Finished(_decode_last_text(record, 1))


_DECODERS: dict[bytes, Callable[[bytes], Record]] = {
    RecordKind.ACCEPTED: _decode_accepted,
    RecordKind.ATTEMPT_STARTED: _decode_attempt_started,
    RecordKind.ATTEMPT_FINISHED: _decode_attempt_finished,
    RecordKind.FINAL_ANSWER: _decode_final_answer,
    RecordKind.FINISHED: _decode_finished,
}


def _decode_last_text(data: bytes, start: int) -> str:
    """Return the single text at the end of a record, faster than _decode_texts: replay decodes many of these."""
    length = TEXT_LENGTH.unpack_from(data, start)[0]
    if length == NO_TEXT:
        return ""
    start += TEXT_LENGTH.size
    end = start + length
    if end > len(data):
        raise RecordError(f"text ends at byte {end} of a record of {len(data)} bytes")
    return data[start:end].decode()


def _decode_texts(data: bytes, start: int, number: int) -> tuple[list[str | None], int]:
    """Return this number of texts from an offset on, and the offset of their end."""
    texts: list[str | None] = []
    unpack_length = TEXT_LENGTH.unpack_from
    for _ in range(number):
        end = start + TEXT_LENGTH.size
        length = unpack_length(data, start)[0]
        if length == NO_TEXT:
            texts.append(None)
            start = end
            continue
        start = end + length
        if start > len(data):
            raise RecordError(f"text ends at byte {start} of a record of {len(data)} bytes")
        texts.append(data[end:start].decode())
    return texts, start

"""The sender's journal in the lasting folder: what was taken on, the attempts begun, their outcomes and the ends.

Records are appended to one file, each with its length and a checksum, with absolute wall time. A torn tail is cut.
When the file and a fresh copy of what is still owed would no longer both fit into the folder's limit, the copy takes
the file's place. Nothing is taken on for which that could not be kept.
"""

from __future__ import annotations

import os
import struct
import zlib
from dataclasses import dataclass, field

from scalefall.net.invariants import assert_invariant, log
from scalefall.policy.settings import Idempotency

HEAD = struct.Struct("<II")  # length of the record's body, its CRC-32
TAKEN = struct.Struct("<qiIqBB")  # due, destination, attempts, ran at (0: not), flags, state of the end
OUT, ZONED = 1, 8  # of the flags; between them the effect: 0 where the record does not say
IDEMPOTENCIES = (None, Idempotency.IDEMPOTENT, Idempotency.WITH_KEY, Idempotency.NOT_IDEMPOTENT)
BLOCK = 512  # files are counted in whole blocks of this size
SPARE = 64 * 1024  # kept free for the small records between two compactions, where there is room
ZONES = 128  # room in a copy for the zones that a transaction's history may name
FAILED, RETURNED = 1, 2  # ends that the platform is owed a notice of
MARK = b"scalefall journal 1\n"


@dataclass(slots=True)
class PendingDelivery:
    """A transaction as the journal knows it: not over yet, or over with its notice still to be delivered."""

    id: str
    class_name: str
    destination: int
    due_wall_us: int  # microseconds since the epoch
    idempotency_key: str | None
    body: bytes
    attempts: int = 0
    may_have_run_wall_us: int = 0  # begin of the first pass that may have run
    may_have_run_zone: str = ""
    in_flight: bool = False  # an attempt has begun and has no outcome yet
    attempt_started_wall_us: int = 0
    attempt_zone: str = ""
    final_answer: int = 0  # FAILED or RETURNED: a notice is owed
    retry_after_ms: int = 0
    idempotency: Idempotency | None = None  # its class's, as it was when it was taken on; None: the record does not say
    key_scope_zone: bool = False
    key_ttl_us: int = 0
    size: int = field(default=0, repr=False)
    zones: int = field(default=ZONES, repr=False)  # of it, the room for zones


def _text(*values: str | None) -> bytes:
    parts = []
    for value in values:
        raw = b"" if value is None else value.encode()
        parts.append(struct.pack("<H", 0xFFFF if value is None else len(raw)) + raw)
    return b"".join(parts)


def _untext(data: bytes, at: int, number: int) -> tuple[list[str | None], int]:
    values: list[str | None] = []
    for _ in range(number):
        (length,) = struct.unpack_from("<H", data, at)
        at += 2
        if length == 0xFFFF:
            values.append(None)
            continue
        if at + length > len(data):
            raise ValueError("text cut short")
        values.append(data[at : at + length].decode())
        at += length
    return values, at


def _snapshot(owed: PendingDelivery) -> bytes:
    """One record that holds all of a transaction; its begin, and its history after a compaction."""
    flags = OUT * owed.in_flight | IDEMPOTENCIES.index(owed.idempotency) << 1 | ZONED * owed.key_scope_zone
    head = TAKEN.pack(
        owed.due_wall_us, owed.destination, owed.attempts, owed.may_have_run_wall_us, flags, owed.final_answer
    )
    span = (
        owed.retry_after_ms if owed.final_answer else min(owed.key_ttl_us // 1000, 0xFFFFFFFF)
    )  # each is of use to one alone
    tail = struct.pack("<Iq", span, owed.attempt_started_wall_us)
    return (
        b"T"
        + head
        + tail
        + _text(owed.id, owed.class_name, owed.idempotency_key, owed.may_have_run_zone, owed.attempt_zone)
        + (b"" if owed.final_answer else owed.body)
    )


class Journal:
    def __init__(self, folder: str, most_bytes: int) -> None:
        self._path, self._new = os.path.join(folder, "journal"), os.path.join(folder, "journal.new")
        self._most, self.pending = most_bytes, {}
        self._spare = min(SPARE, most_bytes // 8)
        self._live = 0  # bytes that a fresh copy would take
        self._remove_new()
        self._file = os.open(self._path, os.O_RDWR | os.O_CREAT | os.O_APPEND, 0o600)
        self._size = self._read()
        if self._size != len(MARK) + self._live:
            self.compact()

    # -- what is written

    def has_capacity(self, length: int) -> bool:
        """Whether one more with a body so long would fit; take_on has the last word."""
        return self._fits(self._live + length + 4 * BLOCK)

    def record_accepted(self, owed: PendingDelivery) -> bool:
        """False, and nothing is taken on, if it would not fit or can't be written."""
        size = HEAD.size + len(_snapshot(owed)) + ZONES
        if not self._fits(self._live + size) or not self._append(_snapshot(owed), size):
            return False
        assert_invariant(owed.id not in self.pending, "an id is taken on once")
        owed.size = size
        self.pending[owed.id] = owed
        self._live += size
        return True

    def record_attempt_started(self, ids: list[str], wall: int, zone: str) -> bool:
        """False if it can't be written, or a copy would no longer fit: then the attempt must not begin."""
        ids = [name for name in ids if name in self.pending]
        wider = sum(max(0, self._zones(zone) - self.pending[name].zones) for name in ids)
        if wider and not self._fits(self._live, wider):
            return False
        if not self._append(b"P" + struct.pack("<qH", wall, len(ids)) + _text(zone, *ids)):
            return False
        for name in ids:
            self._begin(self.pending[name], wall, zone)
        return True

    @staticmethod
    def _zones(zone: str) -> int:
        """A copy may have to name it twice: as that of the first pass that may have run, and of the one out."""
        return 2 * len(zone.encode())

    def _widen(self, owed: PendingDelivery, zone: str) -> None:
        more = self._zones(zone) - owed.zones
        if more > 0:
            owed.zones += more
            owed.size += more
            self._live += more

    def record_attempt_finished(self, name: str, may_have_run: bool) -> None:
        """How the attempt that is out ended; a delivery is told by over()."""
        if name in self.pending:
            self._append(b"O" + bytes([may_have_run]) + _text(name))
            self._settle(self.pending[name], may_have_run)

    def record_finished(self, name: str) -> None:
        """Delivered, withdrawn, or its notice has arrived: nothing more is owed."""
        if name in self.pending:
            self._append(b"E" + _text(name))
            self._live -= self.pending.pop(name).size

    def record_final_answer(self, name: str, final_answer: int, retry_after_ms: int) -> None:
        """Ended by the module; the platform is owed a notice."""
        if name in self.pending:
            self._append(b"N" + struct.pack("<BI", final_answer, retry_after_ms) + _text(name))
            self._end(self.pending[name], final_answer, retry_after_ms)

    def close(self) -> None:
        os.close(self._file)

    # -- what the records do to what is owed

    def _begin(self, owed: PendingDelivery, wall: int, zone: str) -> None:
        self._widen(owed, zone)
        owed.attempts += 1
        owed.in_flight, owed.attempt_started_wall_us, owed.attempt_zone = True, wall, zone

    @staticmethod
    def _settle(owed: PendingDelivery, may_have_run: bool) -> None:
        if may_have_run and not owed.may_have_run_wall_us:
            owed.may_have_run_wall_us, owed.may_have_run_zone = owed.attempt_started_wall_us, owed.attempt_zone
        owed.in_flight = False

    def _end(self, owed: PendingDelivery, final_answer: int, retry_after_ms: int) -> None:
        owed.final_answer, owed.retry_after_ms = final_answer, retry_after_ms
        self._live -= len(owed.body)
        owed.size -= len(owed.body)
        owed.body = b""

    # -- the file

    def _fits(self, live: int, more: int = 0) -> bool:
        """Whether twice what is owed, the old file and the new one, stays within the limit."""
        return 2 * (live + more) + self._spare + 4 * BLOCK <= self._most

    def _append(self, record: bytes, grows: int = 0) -> bool:
        framed = HEAD.pack(len(record), zlib.crc32(record)) + record
        if self._size + len(framed) + self._live + grows + 4 * BLOCK > self._most and not self.compact():
            return False
        try:
            written = 0
            while written < len(framed):
                written += os.write(self._file, framed[written:])
        except OSError as error:
            log.error("journal: cannot write (%s)", error)
            self._cut(self._size)  # half a record in the middle would hide all that follows
            return False
        self._size += len(framed)
        return True

    def _cut(self, size: int) -> None:
        try:
            os.ftruncate(self._file, size)
        except OSError as error:
            log.error("journal: cannot cut (%s)", error)

    def compact(self) -> bool:
        try:
            new = os.open(self._new, os.O_RDWR | os.O_CREAT | os.O_TRUNC | os.O_APPEND, 0o600)
            try:
                size = os.write(new, MARK)
                for owed in self.pending.values():
                    record = _snapshot(owed)
                    data = HEAD.pack(len(record), zlib.crc32(record)) + record
                    while data:
                        done = os.write(new, data)
                        size, data = size + done, data[done:]
                os.rename(self._new, self._path)
            except OSError:
                os.close(new)
                raise
        except OSError as error:
            log.error("journal: cannot compact (%s)", error)
            self._remove_new()
            return False
        os.close(self._file)
        self._file, self._size = new, size
        return True

    def _remove_new(self) -> None:
        """A compaction that the process did not live to finish: the old file still holds everything."""
        try:
            os.unlink(self._new)
        except FileNotFoundError:
            pass

    def _read(self) -> int:
        """Take in the file; give back the size up to which it is whole, having cut the rest."""
        with open(self._path, "rb") as file:
            data = file.read()
        at = len(MARK)
        if not data.startswith(MARK):
            if data:
                log.error("journal: not one of ours, or its head is torn; %d bytes are thrown away", len(data))
            self._cut(0)
            os.write(self._file, MARK)
            return at
        while at + HEAD.size <= len(data):
            length, checksum = HEAD.unpack_from(data, at)
            record = data[at + HEAD.size : at + HEAD.size + length]
            if len(record) != length or zlib.crc32(record) != checksum:
                break
            try:
                self._replay(record)
            except (ValueError, struct.error, KeyError, IndexError) as error:
                log.error("journal: a record cannot be read (%r)", error)
                break
            at += HEAD.size + length
        if at < len(data):
            log.warning("journal: torn tail of %d bytes cut", len(data) - at)
            self._cut(at)
        return at

    def _replay(self, record: bytes) -> None:
        kind = record[:1]
        if kind == b"T":
            due, destination, attempts, may_have_run_wall_us, flags, final_answer = TAKEN.unpack_from(record, 1)
            span, attempt_started_wall_us = struct.unpack_from("<Iq", record, 1 + TAKEN.size)
            texts, at = _untext(record, 1 + TAKEN.size + 12, 5)
            owed = PendingDelivery(
                texts[0] or "",
                texts[1] or "",
                destination,
                due,
                texts[2],
                record[at:],
                attempts,
                may_have_run_wall_us,
                texts[3] or "",
                bool(flags & OUT),
                attempt_started_wall_us,
                texts[4] or "",
                final_answer,
                span if final_answer else 0,
                IDEMPOTENCIES[flags >> 1 & 3],
                bool(flags & ZONED),
                0 if final_answer else span * 1000,
            )
            owed.size = HEAD.size + len(record) + ZONES
            self.pending[owed.id] = owed
            self._live += owed.size
        elif kind == b"P":
            wall, number = struct.unpack_from("<qH", record, 1)
            texts, _ = _untext(record, 11, number + 1)
            for name in texts[1:]:
                if name in self.pending:
                    self._begin(self.pending[name], wall, texts[0] or "")
        elif kind == b"O":
            name = _untext(record, 2, 1)[0][0]
            if name in self.pending:
                self._settle(self.pending[name], bool(record[1]))
        elif kind == b"E":
            name = _untext(record, 1, 1)[0][0]
            if name in self.pending:
                self._live -= self.pending.pop(name).size
        elif kind == b"N":
            final_answer, retry_after_ms = struct.unpack_from("<BI", record, 1)
            name = _untext(record, 6, 1)[0][0]
            if name in self.pending:
                self._end(self.pending[name], final_answer, retry_after_ms)
        else:
            raise ValueError(f"unknown record {kind!r}")

"""HTTP/1.1 without sockets: incremental parsers of requests and answers, with size limits, and their encoders."""

from __future__ import annotations

import re
from collections.abc import Callable

from scalefall.net.invariants import assert_invariant
from scalefall.net.memory_budget import FIELD_BYTES

MAX_HEAD_BYTES = 16 * 1024  # start line and header fields
MAX_BODY_BYTES = 64 * 1024
MAX_FIELDS = 100  # lines of a head, and of a trailer; a line that repeats a name counts as well
MAX_LEADING_EMPTY_LINES = 16  # before the start line, where RFC 9112 has them ignored
MAX_CHUNKS = 1024  # of a body, or of what has arrived since its last part was taken
MAX_INTERIM_ANSWERS = 20  # 1xx answers before the final one
STATUS_LINE_PREFIX = b"HTTP/1."
MAX_FRAMING_BYTES = 2 * MAX_BODY_BYTES  # head, chunk lines and trailer together, which the body limit does not bound
TOKEN = re.compile(r"[!#$%&'*+.^_`|~0-9A-Za-z-]+\Z")
METHOD_NOT_ALLOWED = 405
REQUEST_TIMEOUT = 408
SERVICE_UNAVAILABLE = 503
REASONS = {
    200: "OK",
    202: "Accepted",
    204: "No Content",
    400: "Bad Request",
    404: "Not Found",
    METHOD_NOT_ALLOWED: "Method Not Allowed",
    REQUEST_TIMEOUT: "Request Timeout",
    409: "Conflict",
    413: "Content Too Large",
    417: "Expectation Failed",
    429: "Too Many Requests",
    431: "Request Header Fields Too Large",
    500: "Internal Server Error",
    501: "Not Implemented",
    SERVICE_UNAVAILABLE: "Service Unavailable",
    505: "HTTP Version Not Supported",
    507: "Insufficient Storage",
}


class MalformedMessage(Exception):
    """The bytes are not HTTP/1.1 or exceed a limit; status is the HTTP status for the answer."""

    def __init__(self, status: int, reason: str) -> None:
        super().__init__(reason)
        self.status = status


class Reader:
    """Parses one message after another: a head, then a body of known length, in chunks, or up to the end of the stream.

    feed() takes bytes as they arrive; head_done and complete show how much of the message has been parsed. Bytes after
    its end stay in `unparsed` for the next message, which begin_next() starts.
    """

    def __init__(self, max_body_bytes: int = MAX_BODY_BYTES) -> None:
        self.max_body_bytes, self.unparsed = max_body_bytes, bytearray()
        self.begin_next()

    def begin_next(self) -> None:
        self.start_line = ""
        self.fields: dict[str, str] = {}
        self.body = bytearray()
        self.head_done = self.complete = False
        self._scanned = self._remaining_bytes = self._framing_bytes = 0
        self._line_count = self._chunk_count = 0
        # A function, not a bound method: a reader must be freed with its last reference, without the cyclic collector.
        self._state: Callable[[Reader], bool] = type(self)._read_head

    def release(self) -> None:
        """Free all that was received; the reader is not used any more."""
        self.drop_buffers()
        self.begin_next()

    def drop_buffers(self) -> None:
        """Free what has not been parsed and the body; the start line and the fields stay."""
        self.unparsed = bytearray()
        self.body = bytearray()

    @property
    def held_bytes(self) -> int:
        """The memory that what was received takes."""
        buffers = self.unparsed.__alloc__() + self.body.__alloc__()
        return buffers + self._framing_bytes + FIELD_BYTES * len(self.fields)

    @property
    def begun(self) -> bool:
        """Whether any byte of the message has arrived."""
        return bool(self.start_line or self.unparsed or self.head_done)

    def feed(self, data: bytes) -> None:
        self.unparsed += data
        self.advance()

    def advance(self, max_steps: int | None = None) -> bool:
        """Parse what has arrived, up to a number of steps; return whether the limit left something to parse.

        A step is a line, or a piece of the body. Its time does not depend on what has arrived besides.
        """
        steps_left = max_steps
        while not self.complete:
            if steps_left == 0:
                return True
            if not self._state(self):
                return False
            if steps_left is not None:
                steps_left -= 1
        return False

    def end_stream(self) -> None:
        """Mark the end of the stream; it completes a body that runs up to there."""
        if self._state is Reader._read_to_end:
            self.complete = True

    def take_body(self) -> bytes:
        """Remove and return the part of the body that has arrived, for a body that is processed as a stream."""
        data, self._framing_bytes, self._chunk_count = bytes(self.body), 0, 0
        self.body.clear()
        return data

    @property
    def keep(self) -> bool:
        """Whether the connection stays open for another message after this one."""
        options = [option.strip().lower() for option in self.fields.get("connection", "").split(",")]
        return "close" not in options and (self.version != "HTTP/1.0" or "keep-alive" in options)

    version = "HTTP/1.1"
    _takes_body_in_parts = True  # otherwise a body of known length is held once, and moved when it is complete

    def _line(self, max_bytes: int) -> str | None:
        """Return the next line without its line end, or None while it is incomplete."""
        end = self.unparsed.find(b"\n", self._scanned)
        if end < 0:
            self._scanned = len(self.unparsed)
            if len(self.unparsed) > max_bytes:
                raise MalformedMessage(431, "head too long")
            return None
        if end > max_bytes:
            raise MalformedMessage(431, "head too long")
        line = self.unparsed[:end].decode("latin-1")
        del self.unparsed[: end + 1]
        self._scanned = 0
        return line[:-1] if line.endswith("\r") else line

    def _read_head(self) -> bool:
        line = self._line(MAX_HEAD_BYTES - self._framing_bytes)
        if line is None:
            return False
        self._framing_bytes += len(line) + 2
        if not self.start_line:
            self._read_start_line(line)
            return True
        if line:
            self._count_line(MAX_FIELDS, "too many header fields")
            self._parse_field(line)
            return True
        self.head_done, self._line_count = True, 0
        self._start_body()
        return True

    def _read_start_line(self, line: str) -> None:
        """Parse a start line; empty lines before it are ignored."""
        if not line:
            self._count_line(MAX_LEADING_EMPTY_LINES, "too many empty lines")
            return
        self.start_line, self._line_count = line, 0
        self._parse_start_line(line)

    def _count_line(self, max_lines: int, error: str) -> None:
        self._line_count += 1
        if self._line_count > max_lines:
            raise MalformedMessage(431, error)

    def _parse_field(self, line: str) -> None:
        name, colon, value = line.partition(":")
        if not colon or not TOKEN.match(name):
            raise MalformedMessage(400, "malformed header field")
        name, value = name.lower(), value.strip(" \t")
        if "\r" in value or "\0" in value:
            raise MalformedMessage(400, "malformed header value")
        if name in self.fields:
            if name == "content-length" and self.fields[name] != value:
                raise MalformedMessage(400, "two lengths")
            value = value if name == "content-length" else f"{self.fields[name]}, {value}"
        self.fields[name] = value

    def _start_body(self) -> None:
        coding, length = self.fields.get("transfer-encoding"), self.fields.get("content-length")
        if self._has_no_body():
            self.complete = True
        elif coding is not None:
            if length is not None:
                raise MalformedMessage(400, "both a length and a transfer coding")
            if self.version == "HTTP/1.0":
                raise MalformedMessage(400, "a transfer coding in HTTP/1.0")
            if coding.lower() != "chunked":
                raise MalformedMessage(501, "unknown transfer coding")
            self._state = Reader._read_chunk_size
        elif length is not None:
            if not (length.isascii() and length.isdigit() and len(length) < 16):
                raise MalformedMessage(400, "malformed length")
            self._remaining_bytes = int(length)
            self._check_body_size(self._remaining_bytes)
            self._state = Reader._read_length
            self.complete = self._remaining_bytes == 0
        else:
            self._start_unframed_body()

    def _check_body_size(self, more_bytes: int) -> None:
        if len(self.body) + more_bytes > self.max_body_bytes:
            raise MalformedMessage(413, "body too long")

    def _move_to_body(self) -> bool:
        """Move bytes of the current body or chunk into the body, and return whether it is complete."""
        piece = self.unparsed[: self._remaining_bytes]
        del self.unparsed[: len(piece)]
        self.body += piece
        self._remaining_bytes -= len(piece)
        assert_invariant(self._remaining_bytes >= 0, "no more bytes are moved than the declared length")
        return self._remaining_bytes == 0

    def _read_length(self) -> bool:
        if not self.body and len(self.unparsed) == self._remaining_bytes:  # the whole body, and nothing else
            self.body, self.unparsed, self._remaining_bytes = self.unparsed, self.body, 0
            self.complete = True
        elif self._takes_body_in_parts or len(self.unparsed) > self._remaining_bytes:
            self.complete = self._move_to_body()
        return False

    def _read_to_end(self) -> bool:
        self._check_body_size(len(self.unparsed))
        self.body += self.unparsed
        self.unparsed.clear()
        return False

    def _read_chunk_size(self) -> bool:
        line = self._line(1024)
        if line is None:
            return False
        self._framing_bytes += len(line) + 2
        self._chunk_count += 1
        if self._framing_bytes > MAX_FRAMING_BYTES or self._chunk_count > MAX_CHUNKS:
            raise MalformedMessage(413, "too many chunks")
        size = line.partition(";")[0].strip()
        if not re.fullmatch(r"[0-9A-Fa-f]{1,8}", size):
            raise MalformedMessage(400, "malformed chunk")
        self._remaining_bytes = int(size, 16)
        self._check_body_size(self._remaining_bytes)
        self._state = Reader._read_chunk if self._remaining_bytes else Reader._read_trailer
        return True

    def _read_chunk(self) -> bool:
        if not self._move_to_body():
            return False
        self._state = Reader._read_chunk_end
        return True

    def _read_chunk_end(self) -> bool:
        if self.unparsed and not self.unparsed.startswith((b"\r\n", b"\n")) and self.unparsed != b"\r":
            raise MalformedMessage(400, "malformed chunk")
        line = self._line(2)
        self._state = Reader._read_chunk_size if line is not None else self._state
        return line is not None

    def _read_trailer(self) -> bool:
        line = self._line(MAX_HEAD_BYTES)
        if line:
            self._framing_bytes += len(line) + 2
            self._count_line(MAX_FIELDS, "trailer too long")
        if self._framing_bytes > MAX_FRAMING_BYTES:
            raise MalformedMessage(431, "trailer too long")
        self.complete = line == ""
        return bool(line)

    def _parse_start_line(self, line: str) -> None:
        raise NotImplementedError

    def _has_no_body(self) -> bool:
        raise NotImplementedError

    def _start_unframed_body(self) -> None:
        raise NotImplementedError


class RequestReader(Reader):
    """Parses requests."""

    method = target = ""
    _takes_body_in_parts = False

    def _parse_start_line(self, line: str) -> None:
        parts = line.split(" ")
        if len(parts) != 3 or not TOKEN.match(parts[0]) or not parts[1].startswith(("/", "*", "http://")):
            raise MalformedMessage(400, "malformed request line")
        self.method, self.target, self.version = parts
        if self.version not in ("HTTP/1.1", "HTTP/1.0"):
            raise MalformedMessage(505 if re.fullmatch(r"HTTP/\d\.\d", self.version) else 400, "unknown version")

    def _has_no_body(self) -> bool:
        return False

    def _start_unframed_body(self) -> None:
        self.complete = True


class AnswerReader(Reader):
    """Parses answers; status is 0 until the status line has arrived."""

    status = interim_count = 0

    def begin_next(self) -> None:
        super().begin_next()
        self.status = 0

    def _read_head(self) -> bool:
        """Reject bytes that cannot begin a status line at once, without waiting for the end of the line."""
        if (
            not self.start_line
            and self.unparsed
            and not self.unparsed.startswith((b"\r", b"\n", STATUS_LINE_PREFIX))
            and not STATUS_LINE_PREFIX.startswith(self.unparsed)
        ):
            raise MalformedMessage(400, "no status line")
        return super()._read_head()

    def _parse_start_line(self, line: str) -> None:
        match = re.match(r"(HTTP/1\.[01]) ([1-5]\d\d)(?: |\Z)", line)
        if not match:
            raise MalformedMessage(400, "malformed status line")
        self.version, self.status = match[1], int(match[2])

    def _has_no_body(self) -> bool:
        return self.status in (204, 304)

    def _start_body(self) -> None:
        if self.status == 101:
            raise MalformedMessage(400, "another protocol, unasked")
        if self.status < 200:  # an interim answer: the final one follows
            self.interim_count += 1
            if self.interim_count > MAX_INTERIM_ANSWERS:
                raise MalformedMessage(431, "too many interim answers")
            self.begin_next()
        else:
            super()._start_body()

    def _start_unframed_body(self) -> None:
        self._state = Reader._read_to_end

    @property
    def keep(self) -> bool:
        return super().keep and self._state is not Reader._read_to_end


def request(method: str, target: str, host: str, fields: list[tuple[str, str]], body: bytes | None = None) -> bytes:
    lines = [f"{method} {target} HTTP/1.1", f"Host: {host}", *(f"{name}: {value}" for name, value in fields)]
    if body is not None:
        lines.append(f"Content-Length: {len(body)}")
    return "\r\n".join([*lines, "", ""]).encode("latin-1") + (body or b"")


def answer(status: int, fields: list[tuple[str, str]], body: bytes = b"", keep: bool = True) -> bytes:
    lines = [f"HTTP/1.1 {status} {REASONS.get(status, 'Unknown')}", *(f"{name}: {value}" for name, value in fields)]
    if status != 204:
        lines.append(f"Content-Length: {len(body)}")
    if not keep:
        lines.append("Connection: close")
    return "\r\n".join([*lines, "", ""]).encode("latin-1") + body

"""HTTP/1.1 as bytes: an incremental reader for each side, with size limits, and the writers. Opens no socket."""

from __future__ import annotations

import re

from scalefall.net.invariants import assert_invariant

MAX_HEAD_BYTES = 16 * 1024
MAX_BODY_BYTES = 64 * 1024
MOST_FIELDS = 100
MOST_INTERIM = 20
BEGIN = b"HTTP/1."
MOST_FRAMING = 2 * MAX_BODY_BYTES  # head, chunk lines and trailer together: a body may not hide behind them
TOKEN = re.compile(r"[!#$%&'*+.^_`|~0-9A-Za-z-]+\Z")
REASONS = {
    200: "OK",
    202: "Accepted",
    204: "No Content",
    400: "Bad Request",
    404: "Not Found",
    405: "Method Not Allowed",
    408: "Request Timeout",
    409: "Conflict",
    413: "Content Too Large",
    417: "Expectation Failed",
    429: "Too Many Requests",
    431: "Request Header Fields Too Large",
    500: "Internal Server Error",
    501: "Not Implemented",
    503: "Service Unavailable",
    505: "HTTP Version Not Supported",
    507: "Insufficient Storage",
}


class MalformedMessage(Exception):
    """What came in is not HTTP/1.1 within the limits; status is the answer that it deserves."""

    def __init__(self, status: int, why: str) -> None:
        super().__init__(why)
        self.status = status


class Reader:
    """What both sides share: a head, then a body of known length, in chunks, or up to the end.

    feed() takes bytes as they come; head_done and complete tell how far the message has got. Bytes past its end
    stay for the next message, which begins with begin_next().
    """

    def __init__(self, max_body_bytes: int = MAX_BODY_BYTES) -> None:
        self.max_body_bytes, self.unparsed = max_body_bytes, bytearray()
        self.begin_next()

    def begin_next(self) -> None:
        self.start_line = ""
        self.fields: dict[str, str] = {}
        self.body = bytearray()
        self.head_done = self.complete = False
        self._scanned = self._left = self._taken = 0
        self._state = self._read_head

    @property
    def begun(self) -> bool:
        """Whether any byte of the message has come."""
        return bool(self.start_line or self.unparsed or self.head_done)

    def feed(self, data: bytes) -> None:
        self.unparsed += data
        self.advance()

    def advance(self) -> None:
        while not self.complete and self._state():
            pass

    def end_stream(self) -> None:
        """The stream has ended; a body that runs up to the end is complete with it."""
        if self._state == self._read_all:
            self.complete = True

    def take_body(self) -> bytes:
        """The body as far as it has come, handed over: for one that is read as it streams in."""
        data, self._taken = bytes(self.body), 0
        self.body.clear()
        return data

    @property
    def keep(self) -> bool:
        """Whether the connection may carry another message after this one."""
        options = [option.strip().lower() for option in self.fields.get("connection", "").split(",")]
        return "close" not in options and (self.version != "HTTP/1.0" or "keep-alive" in options)

    version = "HTTP/1.1"

    def _line(self, most: int) -> str | None:
        """The next line without its end, or None while it has not all come."""
        end = self.unparsed.find(b"\n", self._scanned)
        if end < 0:
            self._scanned = len(self.unparsed)
            if len(self.unparsed) > most:
                raise MalformedMessage(431, "head too long")
            return None
        if end > most:
            raise MalformedMessage(431, "head too long")
        line = self.unparsed[:end].decode("latin-1")
        del self.unparsed[: end + 1]
        self._scanned = 0
        return line[:-1] if line.endswith("\r") else line

    def _read_head(self) -> bool:
        line = self._line(MAX_HEAD_BYTES - self._taken)
        if line is None:
            return False
        self._taken += len(line) + 2
        if not self.start_line:
            if line:
                self.start_line = line
                self._first_line(line)
            return True  # empty lines before a message are passed over
        if line:
            self._field(line)
            return True
        self.head_done = True
        self._frame()
        return True

    def _field(self, line: str) -> None:
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
        elif len(self.fields) >= MOST_FIELDS:
            raise MalformedMessage(431, "too many header fields")
        self.fields[name] = value

    def _frame(self) -> None:
        coding, length = self.fields.get("transfer-encoding"), self.fields.get("content-length")
        if self._bodiless():
            self.complete = True
        elif coding is not None:
            if length is not None:
                raise MalformedMessage(400, "both a length and a transfer coding")
            if self.version == "HTTP/1.0":
                raise MalformedMessage(400, "a transfer coding in HTTP/1.0")
            if coding.lower() != "chunked":
                raise MalformedMessage(501, "unknown transfer coding")
            self._state = self._read_chunk_size
        elif length is not None:
            if not (length.isascii() and length.isdigit() and len(length) < 16):
                raise MalformedMessage(400, "malformed length")
            self._left = int(length)
            self._room(self._left)
            self._state = self._read_length
            self.complete = self._left == 0
        else:
            self._unframed()

    def _room(self, more: int) -> None:
        if len(self.body) + more > self.max_body_bytes:
            raise MalformedMessage(413, "body too long")

    def _move(self) -> bool:
        """Move what has come of the piece being read into the body; True once it is whole."""
        piece = self.unparsed[: self._left]
        del self.unparsed[: len(piece)]
        self.body += piece
        self._left -= len(piece)
        assert_invariant(self._left >= 0, "a piece is no longer than told")
        return self._left == 0

    def _read_length(self) -> bool:
        self.complete = self._move()
        return False

    def _read_all(self) -> bool:
        self._room(len(self.unparsed))
        self.body += self.unparsed
        self.unparsed.clear()
        return False

    def _read_chunk_size(self) -> bool:
        line = self._line(1024)
        if line is None:
            return False
        self._taken += len(line) + 2
        if self._taken > MOST_FRAMING:
            raise MalformedMessage(413, "too many chunks")
        size = line.partition(";")[0].strip()
        if not re.fullmatch(r"[0-9A-Fa-f]{1,8}", size):
            raise MalformedMessage(400, "malformed chunk")
        self._left = int(size, 16)
        self._room(self._left)
        self._state = self._read_chunk if self._left else self._read_trailer
        return True

    def _read_chunk(self) -> bool:
        if not self._move():
            return False
        self._state = self._read_chunk_end
        return True

    def _read_chunk_end(self) -> bool:
        if self.unparsed and not self.unparsed.startswith((b"\r\n", b"\n")) and self.unparsed != b"\r":
            raise MalformedMessage(400, "malformed chunk")
        line = self._line(2)
        self._state = self._read_chunk_size if line is not None else self._state
        return line is not None

    def _read_trailer(self) -> bool:
        line = self._line(MAX_HEAD_BYTES)
        if line is not None:
            self._taken += len(line) + 2
        if self._taken > MOST_FRAMING:
            raise MalformedMessage(431, "trailer too long")
        self.complete = line == ""
        return bool(line)

    def _first_line(self, line: str) -> None:
        raise NotImplementedError

    def _bodiless(self) -> bool:
        raise NotImplementedError

    def _unframed(self) -> None:
        raise NotImplementedError


class RequestReader(Reader):
    """The client's side: requests as they come in."""

    method = target = ""

    def _first_line(self, line: str) -> None:
        parts = line.split(" ")
        if len(parts) != 3 or not TOKEN.match(parts[0]) or not parts[1].startswith(("/", "*", "http://")):
            raise MalformedMessage(400, "malformed request line")
        self.method, self.target, self.version = parts
        if self.version not in ("HTTP/1.1", "HTTP/1.0"):
            raise MalformedMessage(505 if re.fullmatch(r"HTTP/\d\.\d", self.version) else 400, "unknown version")

    def _bodiless(self) -> bool:
        return False

    def _unframed(self) -> None:
        self.complete = True


class AnswerReader(Reader):
    """The endpoint's side: answers as they come back. status is known once the first line has come."""

    status = interim_count = 0

    def begin_next(self) -> None:
        super().begin_next()
        self.status = 0

    def _read_head(self) -> bool:
        """What cannot become a status line is no answer, however long one waits for the line's end."""
        if (
            not self.start_line
            and self.unparsed
            and not self.unparsed.startswith((b"\r", b"\n", BEGIN))
            and not BEGIN.startswith(self.unparsed)
        ):
            raise MalformedMessage(400, "no status line")
        return super()._read_head()

    def _first_line(self, line: str) -> None:
        found = re.match(r"(HTTP/1\.[01]) ([1-5]\d\d)(?: |\Z)", line)
        if not found:
            raise MalformedMessage(400, "malformed status line")
        self.version, self.status = found[1], int(found[2])

    def _bodiless(self) -> bool:
        return self.status in (204, 304)

    def _frame(self) -> None:
        if self.status == 101:
            raise MalformedMessage(400, "another protocol, unasked")
        if self.status < 200:  # an interim answer: the real one follows
            self.interim_count += 1
            if self.interim_count > MOST_INTERIM:
                raise MalformedMessage(431, "too many interim answers")
            self.begin_next()
        else:
            super()._frame()

    def _unframed(self) -> None:
        self._state = self._read_all

    @property
    def keep(self) -> bool:
        return super().keep and self._state != self._read_all


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

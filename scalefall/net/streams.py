"""TCP operations that pause the calling task: dial, send and receive, each with a deadline."""

from __future__ import annotations

import errno
import os
import socket

from scalefall.net.http import Reader
from scalefall.net.scheduler import READ, TIMED_OUT, WRITE, Scheduler

MAX_READ_BYTES = 64 * 1024  # bytes that one read returns at most


class TimedOut(OSError):
    """The deadline of a socket operation has passed."""


class Interrupted(OSError):
    """Another task has ended the wait for a socket: the operation is cancelled."""


def _wait(scheduler: Scheduler, sock: socket.socket, mask: int, deadline_us: int) -> None:
    if scheduler.now() >= deadline_us:
        raise TimedOut("timed out")
    reason = scheduler.pause(deadline_us, sock, mask)
    if reason is TIMED_OUT:
        raise TimedOut("timed out")
    if isinstance(reason, Interrupted):
        raise Interrupted(*reason.args)  # raising the local itself would leave a cycle of it and its traceback


def dial(scheduler: Scheduler, address: tuple[str, int], deadline_us: int) -> socket.socket:
    sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    try:
        sock.setblocking(False)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        code = sock.connect_ex(address)
        if code == errno.EINPROGRESS:
            _wait(scheduler, sock, WRITE, deadline_us)
            code = sock.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR)
        if code:
            raise OSError(code, os.strerror(code))
    except BaseException:
        sock.close()
        raise
    return sock


def listen(address: tuple[str, int], backlog: int) -> socket.socket:
    listener = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    try:
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        listener.bind(address)
        listener.listen(backlog)
        listener.setblocking(False)
    except OSError:
        listener.close()
        raise
    return listener


def send(scheduler: Scheduler, sock: socket.socket, data: bytes, deadline_us: int) -> None:
    """Write all bytes to the socket's buffer, and return once the last one is there."""
    unsent = memoryview(data)
    while unsent:
        try:
            unsent = unsent[sock.send(unsent) :]
        except BlockingIOError:
            _wait(scheduler, sock, WRITE, deadline_us)


def receive(scheduler: Scheduler, sock: socket.socket, deadline_us: int) -> bytes:
    """Return the next bytes, or b"" at the end of the stream."""
    while True:
        try:
            return sock.recv(MAX_READ_BYTES)
        except BlockingIOError:
            _wait(scheduler, sock, READ, deadline_us)


def discard(scheduler: Scheduler, sock: socket.socket, deadline_us: int) -> int:
    """Read the next bytes and drop them; return their number, 0 at the end of the stream."""
    return len(receive(scheduler, sock, deadline_us))


def receive_into(scheduler: Scheduler, sock: socket.socket, reader: Reader, deadline_us: int) -> bool:
    """Pass the next bytes to a reader, which parses them; return False at the end of the stream.

    The reader alone holds the bytes: a local of the caller would keep the last read for as long as it waits for more.

    Raises:
        http.MalformedMessage: The bytes are not HTTP.
    """
    data = receive(scheduler, sock, deadline_us)
    if data:
        reader.feed(data)
    return bool(data)

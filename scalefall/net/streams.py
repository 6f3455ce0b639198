"""TCP operations that pause the calling task: dial, send and receive, each with a deadline."""

from __future__ import annotations

import errno
import os
import socket

from scalefall.net.http import Reader
from scalefall.net.memory_budget import CONNECTION_BYTES, Reservation
from scalefall.net.scheduler import MAX_READ_BYTES, READ, TIMED_OUT, WRITE, Scheduler

MAX_PARSE_STEPS = 64  # steps of a reader before other tasks run; more than the head of an ordinary request takes
MAX_BACKGROUND_PARSE_STEPS = 512  # the same for a task in the background, of which one runs per poll


class TimedOut(OSError):
    """The deadline of a socket operation has passed."""


class OutOfMemoryBudget(OSError):
    """What was received does not fit into the memory budget."""


class Interrupted(OSError):
    """Another task has ended the wait for a socket: the operation is cancelled."""


def _wait(scheduler: Scheduler, sock: socket.socket, mask: int, deadline_us: int) -> None:
    if scheduler.now() >= deadline_us:
        raise TimedOut("timed out")
    reason = scheduler.pause(deadline_us, sock, mask)
    if reason is TIMED_OUT:
        raise TimedOut("timed out")
    _raise_if_interrupted(reason)


def _raise_if_interrupted(reason: object) -> None:
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


def receive_unparsed(scheduler: Scheduler, sock: socket.socket, reader: Reader, deadline_us: int) -> int:
    """Append the next bytes to what a reader has not parsed yet; return their number, 0 at the end of the stream.

    The reader alone holds the bytes: a local of the caller would keep the last read for as long as it waits for more.
    """
    while True:
        try:
            return receive_available(scheduler, sock, reader)
        except BlockingIOError:
            _wait(scheduler, sock, READ, deadline_us)


def receive_available(scheduler: Scheduler, sock: socket.socket, reader: Reader) -> int:
    """Append what can be read at once to what a reader has not parsed yet; return the number of bytes.

    Raises:
        BlockingIOError: Nothing has arrived.
    """
    number = sock.recv_into(scheduler.read_buffer)
    with memoryview(scheduler.read_buffer) as received:
        reader.unparsed += received[:number]
    return number


def discard(scheduler: Scheduler, sock: socket.socket, deadline_us: int) -> int:
    """Read the next bytes and drop them; return their number, 0 at the end of the stream."""
    while True:
        try:
            return sock.recv_into(scheduler.read_buffer)
        except BlockingIOError:
            _wait(scheduler, sock, READ, deadline_us)


def receive_into(
    scheduler: Scheduler, sock: socket.socket, reader: Reader, deadline_us: int, reservation: Reservation
) -> bool:
    """Pass the next bytes to a reader, which parses them; return False at the end of the stream.

    Args:
        scheduler: The clock, and the wait for the socket.
        sock: The socket.
        reader: The reader.
        deadline_us: When to give up, in monotonic microseconds.
        reservation: Accounts for the connection and for what the reader holds.

    Raises:
        http.MalformedMessage: The bytes are not HTTP.
        OutOfMemoryBudget: The bytes do not fit.
    """
    if not receive_unparsed(scheduler, sock, reader, deadline_us):
        return False
    has_more = reader.advance(MAX_PARSE_STEPS)  # before the rest may not fit: what the head says counts all the same
    reserve_held(reader, reservation)
    while has_more:
        scheduler.sleep(0)
        has_more = reader.advance(MAX_PARSE_STEPS)
    reserve_held(reader, reservation)
    return True


def reserve_held(reader: Reader, reservation: Reservation) -> None:
    """Account for a connection and for what its reader holds.

    Raises:
        OutOfMemoryBudget: It does not fit; what the reader held beside the head has been freed.
    """
    if not reservation.try_resize(CONNECTION_BYTES + reader.held_bytes):
        reader.drop_buffers()
        reservation.resize(CONNECTION_BYTES)
        raise OutOfMemoryBudget("what was received does not fit into the memory budget")


def yield_in_background(scheduler: Scheduler) -> None:
    """Let all other tasks run, and wait for a turn among the tasks in the background.

    Raises:
        Interrupted: Another task has cancelled the operation.
    """
    _raise_if_interrupted(scheduler.yield_in_background())


def parse_in_background(scheduler: Scheduler, reader: Reader, deadline_us: int) -> None:
    """Have a reader parse what has arrived, in parts between which all other tasks run.

    Raises:
        http.MalformedMessage: The bytes are not HTTP.
        TimedOut: The deadline has passed.
        Interrupted: Another task has cancelled the operation.
    """
    max_steps = MAX_PARSE_STEPS
    while reader.advance(max_steps):
        if scheduler.now() >= deadline_us:
            raise TimedOut("timed out")
        yield_in_background(scheduler)
        max_steps = MAX_BACKGROUND_PARSE_STEPS

"""Dial, send and receive on plain TCP, as pauses of a task. A time that is up raises TimedOut, which is an OSError."""

from __future__ import annotations

import errno
import os
import socket

from scalefall.net.scheduler import READ, TIMED_OUT, WRITE, Scheduler

MAX_READ_BYTES = 64 * 1024


class TimedOut(OSError):
    """The time given for a step on a socket has passed."""


class Interrupted(OSError):
    """Somebody woke the task that was waiting for a socket: its work is called off."""


def _wait(scheduler: Scheduler, sock: socket.socket, mask: int, until: int) -> None:
    if scheduler.now() >= until:
        raise TimedOut("time is up")
    why = scheduler.pause(until, sock, mask)
    if why is TIMED_OUT:
        raise TimedOut("time is up")
    if isinstance(why, Interrupted):
        raise why


def dial(scheduler: Scheduler, address: tuple[str, int], until: int) -> socket.socket:
    sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    try:
        sock.setblocking(False)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        code = sock.connect_ex(address)
        if code == errno.EINPROGRESS:
            _wait(scheduler, sock, WRITE, until)
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


def send(scheduler: Scheduler, sock: socket.socket, data: bytes, until: int) -> None:
    """Returns once the last byte has been written."""
    rest = memoryview(data)
    while rest:
        try:
            rest = rest[sock.send(rest) :]
        except BlockingIOError:
            _wait(scheduler, sock, WRITE, until)


def receive(scheduler: Scheduler, sock: socket.socket, until: int) -> bytes:
    """The next bytes; none at the end of the stream."""
    while True:
        try:
            return sock.recv(MAX_READ_BYTES)
        except BlockingIOError:
            _wait(scheduler, sock, READ, until)

"""For the network code: a scheduler on a clock of its own, and the other sides, played step by step by the test."""

from __future__ import annotations

import contextlib
import json
import socket
import sys
from typing import ClassVar

from greenlet import getcurrent

from scalefall.net import http, streams
from scalefall.net.attempt_state import MessageInCall
from scalefall.net.attempts import Attempts
from scalefall.net.list_stream import Entry
from scalefall.net.scheduler import READ, READY, Scheduler
from scalefall.policy.events import Endpoint, EndpointStatus

MS, S = 1000, 1_000_000


class VirtualTimeScheduler(Scheduler):
    """Time stands still while anything happens on the sockets, and then jumps to the next timer."""

    instances: ClassVar[list[VirtualTimeScheduler]] = []  # since they were cleared last

    def __init__(self):
        super().__init__()
        self.clock, self.failure, self.tasks, self.threads = 1000 * S, None, [], 0
        VirtualTimeScheduler.instances.append(self)

    def spawn(self, function, *args):
        self.tasks.append(super().spawn(function, *args))
        return self.tasks[-1]

    def in_thread(self, function, *args):
        self.threads += 1
        return super().in_thread(function, *args)

    def end_tasks(self):
        """End the tasks that still pause. The collector does not see what these hold, so a test's sockets would stay
        open until the end of all tests."""
        self._loop = getcurrent()
        for task in self.tasks:
            if task:  # begun, and not at its end
                task.parent = self._loop
                with contextlib.suppress(BaseException):
                    task.throw()
        for kept in (self.tasks, self._ready, self._tasks_by_fd, self._timers):
            kept.clear()
        for sock in (
            (self._wakeup_receiver, self._wakeup_sender) if not self.threads else ()
        ):  # a thread may still say that it is done
            sock.close()

    def kill(self):
        """Forget all that was to go on, as at the death of a process: tasks, timers, and who waits for a socket."""
        self._ready.clear()
        for task in list(self._tasks_by_fd.values()):
            self._poll.unregister(task.fd)
        self._tasks_by_fd.clear()
        self._timers.clear()

    def now(self):
        return self.clock

    def wall(self):
        return 10**15 + self.clock

    def _poll_sockets(self, until):
        found = self._poll.poll(1 if until is not None else 10_000)
        if not found:
            assert until is not None, "nothing is left that could go on"
            self.clock = max(self.clock, until)
        return found

    def log_failure(self, what, function):
        self.failure = self.failure or sys.exc_info()[1]
        self.stop()

    def play(self, function, *args):
        """Run function as a task to its end; what fails in any task or timer fails the test."""
        done = []

        def main():
            done.append(function(*args))
            self.stop()

        self.spawn(main)
        self.run()
        if self.failure:
            raise self.failure
        return done[0]

    def wait_until(self, condition, most=100 * S):
        """Pause the running task until the condition holds."""
        end, span = self.now() + most, MS
        while not condition():
            assert self.now() < end, "did not come about"
            self.sleep(span)
            span = min(2 * span, S)


class StubServer:
    """A listening socket of the other side."""

    def __init__(self, world, host="127.0.0.1"):
        self.world, self.accepted = world, 0
        self.listener = socket.create_server((host, 0), backlog=64)
        self.listener.setblocking(False)
        self.address = self.listener.getsockname()

    def accept(self):
        while True:
            try:
                sock, _ = self.listener.accept()
            except BlockingIOError:
                assert self.world.pause(self.world.now() + 20 * S, self.listener, READ) is READY, "nobody dialled"
                continue
            sock.setblocking(False)
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)  # or bytes arrive when time has jumped on
            self.accepted += 1
            return sock

    def read(self, sock):
        """One whole request."""
        return read(self.world, sock, http.RequestReader(1 << 20))


def read(world, sock, reader):
    while not reader.complete:
        data = streams.receive(world, sock, world.now() + 20 * S)
        if not data:
            reader.end_stream()
            assert reader.complete, "closed in the middle of a message"
        reader.feed(data)
    return reader


def closed(world, sock):
    """Whether the other side ends the connection within 20 s, having sent nothing more."""
    try:
        return streams.receive(world, sock, world.now() + 20 * S) == b""
    except streams.TimedOut:
        return False
    except OSError:
        return True


def reset(sock):
    """End a connection as a dead process does."""
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, b"\1\0\0\0\0\0\0\0")
    sock.close()


def resume_within_poll(world):
    """Go on in the very look at the sockets that is on: what is done next comes after it, and before the timers that
    have come due."""
    one, other = socket.socketpair()
    with one, other:
        one.send(b"x")
        assert world.pause(None, other, READ) is READY


def host_row(name, address, block=7, health="in_service", kind="one"):
    return {
        "host": name,
        "dial": "{}:{}".format(*address),
        "site": "a",
        "class": kind,
        "block": block,
        "health": health,
        "share": 1.0,
        "born_ms": 0,
    }


def list_update(seq, *hosts, whole=True):
    return {"seq": seq, "whole": whole, "hosts": list(hosts)}


def chunk(*tables):
    data = b"".join(json.dumps(table).encode() + b"\n" if table is not None else b"\n" for table in tables)
    return b"%x\r\n%s\r\n" % (len(data), data)


STREAM_HEAD = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"


class AttemptsHarness:
    """Attempts to one endpoint, and the outcomes that they told."""

    def __init__(self, world, settings, address, most=100):
        self.world, self.outcomes, self.may_begin = world, [], True
        self.entry = Entry(Endpoint("e", "a", "many", 1, EndpointStatus.READY, 1.0), address)
        self.attempts = Attempts(
            world, settings, most, lambda event, _: self.outcomes.append(event), lambda entry: self.may_begin
        )

    def message(self, name, attempt=0, span=2 * S, **more):
        return MessageInCall(name, attempt, self.world.now() + span, "k", b"body", **more)

    def begin(self, *names, **more):
        self.attempts.begin(self.entry, [self.message(name, **more) for name in names])

    def outcome(self, name, attempt=0):
        """Waits for it; told exactly once."""

        def found():
            return [e for e in self.outcomes if (e.id, e.attempt) == (name, attempt)]

        self.world.wait_until(found)
        assert len(found()) == 1
        return found()[0]

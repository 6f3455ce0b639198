"""For the network code: a scheduler on a clock of its own, and an endpoint whose answers the test writes."""
from __future__ import annotations

import socket

from scalefall import interface as i
from scalefall.net import http, streams
from scalefall.net.farm import Entry
from scalefall.net.passes import Load, Passes
from scalefall.net.scheduler import READ, Scheduler

MS, S = 1000, 1_000_000


class World(Scheduler):
    """Time stands still while anything can happen on the sockets, and then jumps to the next timer."""

    def __init__(self):
        super().__init__()
        self.clock, self.broken = 1000 * S, None

    def now(self):
        return self.clock

    def _polled(self, until):
        found = self._poll.poll(1)
        if not found and until is not None:
            self.clock = max(self.clock, until)
        return found or self._poll.poll(0 if until is not None else 20_000)

    def failed(self, what, function):
        import sys
        self.broken = self.broken or sys.exc_info()[1]
        self.stop()

    def play(self, function, *args):
        """Run function as a task to its end; what fails in any task fails the test."""
        done = []

        def main():
            done.append(function(*args))
            self.stop()
        self.spawn(main)
        self.run()
        if self.broken:
            raise self.broken
        assert done, "nothing is left that could go on"
        return done[0]

    def until(self, condition, most=60 * S):
        """Pause the running task until the condition holds."""
        end = self.now() + most
        while not condition():
            assert self.now() < end, "did not come about"
            self.sleep(MS)


class Peer:
    """A listening socket of the other side, driven step by step from the test's own task."""

    def __init__(self, world):
        self.world, self.listener = world, socket.socket()
        self.listener.bind(("127.0.0.1", 0))
        self.listener.listen(64)
        self.listener.setblocking(False)
        self.address = self.listener.getsockname()
        self.accepted = 0

    def accept(self):
        while True:
            try:
                sock, _ = self.listener.accept()
                sock.setblocking(False)
                self.accepted += 1
                return sock
            except BlockingIOError:
                assert self.world.pause(self.world.now() + 10 * S, self.listener, READ) == "ready", "nobody dialled"

    def read(self, sock, reader=None):
        """One whole request."""
        reader = reader or http.RequestReader(1 << 20)
        while not reader.complete:
            data = streams.receive(self.world, sock, self.world.now() + 10 * S)
            assert data, "closed in the middle of a request"
            reader.feed(data)
        return reader

    def close(self):
        self.listener.close()


def reset(sock):
    """End a connection as a dead process does."""
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, b"\1\0\0\0\0\0\0\0")
    sock.close()


class Calls:
    """Passes to one endpoint, and the outcomes that they told."""

    def __init__(self, world, settings, address, most=100, kind="many"):
        self.world, self.told, self.may = world, [], True
        self.entry = Entry(i.Endpoint("e", "a", kind, 1, i.Status.READY, 1.0), address)
        self.passes = Passes(world, settings, most, self.told.append, lambda entry: self.may)

    def load(self, name, attempt=0, span=2 * S, **more):
        return Load(name, attempt, self.world.now() + span, "k", b"body", **more)

    def begin(self, *names, **more):
        self.passes.begin(self.entry, [self.load(name, **more) for name in names])

    def outcome(self, name, attempt=0):
        """Waits for it; told exactly once."""
        self.world.until(lambda: any(e.id == name and e.attempt == attempt for e in self.told))
        found = [e for e in self.told if e.id == name and e.attempt == attempt]
        assert len(found) == 1
        return found[0]

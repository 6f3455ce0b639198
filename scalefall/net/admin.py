"""Where the operators call: an address of its own, HTTP/1.1, one call a connection, answered whatever the load.

A caller has a moment for its call; one that sends nothing, or half a call, is closed, and gives way to others when many
are there. What a call means stands in Duty, which knows no socket, file or clock; the host does what Duty says.
"""

from __future__ import annotations

import json
import os
import socket
from collections.abc import Callable
from urllib.parse import unquote

from scalefall.net import http, streams
from scalefall.net.invariants import log
from scalefall.net.journal import BLOCK
from scalefall.net.scheduler import READ, READY, Scheduler, Task

SECOND = 1_000_000
READ_US = 2 * SECOND  # from a connection's begin to its call's last byte
WRITE_US = SECOND
BACKLOG = 64  # in the listener's queue
MAX_CALLERS = 16  # at a time; the one that has been there longest with no call gives way
MOST_BODY = 4096  # calls need none
OUT_PART, LEAST_ROOM = 32, 8 * 1024  # of the folder's limit, for the names of what is out and the file's next copy


class AdminState:
    """What the operators have asked for and what that means: endpoints in maintenance, and whether the sender drains.

    A call that takes an endpoint out may come twice, and one call back undoes both; the same holds for a drain.
    """

    def __init__(self, out: set[str]) -> None:
        self.in_maintenance, self.draining = set(out), False

    def call(self, method: str, path: str, ready: bool, known: Callable[[str], bool]) -> tuple[int, str]:
        """The status that the call deserves, and what is to be done before it is answered: 'out ID', 'back ID',
        'drain', 'resume' or nothing. ready: the process could serve."""
        words = [unquote(word) for word in path.partition("?")[0].split("/")[1:]]
        if words == ["healthcheck"]:
            if method not in ("GET", "HEAD"):
                return 405, ""
            return (200 if ready and not self.draining else 503), ""
        if len(words) == 3 and words[0] == "endpoints" and words[2] in ("maint", "ready"):
            if method != "PUT":
                return 405, ""
            if not (known(words[1]) or words[1] in self.in_maintenance):
                return 404, ""
            return 200, ("out " if words[2] == "maint" else "back ") + words[1]
        if words in (["healthcheck", "fail"], ["healthcheck", "ok"]):
            return (200, "drain" if words[1] == "fail" else "resume") if method == "PUT" else (405, "")
        return 404, ""

    def done(self, what: str) -> None:
        """It has been carried out, and kept where it must be."""
        verb, _, name = what.partition(" ")
        match verb:
            case "out":
                self.in_maintenance.add(name)
            case "back":
                self.in_maintenance.discard(name)
            case "drain" | "resume":
                self.draining = verb == "drain"


class MaintenanceStore:
    """Which endpoints are out, kept in the lasting folder: it binds across a restart, unlike the learned rates."""

    def __init__(self, folder: str, disk_bytes: int) -> None:
        self.reserved_bytes = max(LEAST_ROOM, disk_bytes // OUT_PART)
        self._path = os.path.join(folder, "maintenance")

    def load(self) -> set[str]:
        try:
            with open(self._path, encoding="utf-8") as file:
                names = json.loads(file.read(self.reserved_bytes))
            if isinstance(names, list) and all(isinstance(name, str) for name in names):
                return set(names)
            raise ValueError("no list of names")
        except FileNotFoundError:
            return set()
        except (OSError, ValueError, RecursionError) as error:
            log.error("maintenance: cannot be read (%s); no endpoint is out", error)
            return set()

    def save(self, names: set[str]) -> bool:
        """False, and all is as it was, if it has no room or can't be written."""
        data = json.dumps(sorted(names)).encode()
        if len(data) > self.reserved_bytes // 2 - BLOCK:
            log.error("maintenance: no room for %d names", len(names))
            return False
        try:
            with open(self._path + ".new", "wb") as file:
                file.write(data)
            os.replace(self._path + ".new", self._path)
        except OSError as error:
            log.error("maintenance: cannot write (%s)", error)
            return False
        return True


class AdminServer:
    """The listener. decide(method, path) gives the status; it is asked in the caller's own turn."""

    def __init__(self, scheduler: Scheduler, decide: Callable[[str, str], int]) -> None:
        self._scheduler, self._decide = scheduler, decide
        self._callers: dict[socket.socket, Task] = {}  # that have not sent a whole call yet, the first one in front
        self._listener: socket.socket | None = None

    def listen(self, address: tuple[str, int]) -> tuple[str, int]:
        self._listener = streams.listen(address, BACKLOG)
        self._accepting = self._scheduler.spawn(self._accept)
        return self._listener.getsockname()

    def close(self) -> None:
        if self._listener is not None:
            listener, self._listener = self._listener, None
            self._scheduler.wake(self._accepting, None)
            listener.close()

    def _accept(self) -> None:
        while self._listener is not None:
            if self._scheduler.pause(None, self._listener, READ) is not READY or self._listener is None:
                continue
            try:
                sock = self._listener.accept()[0]
            except BlockingIOError:
                continue
            except OSError as error:
                log.warning("cannot accept: %s", error)
                self._scheduler.sleep(SECOND // 10)
                continue
            sock.setblocking(False)
            if len(self._callers) >= MAX_CALLERS:
                self._scheduler.wake(next(iter(self._callers.values())), streams.Interrupted("others call"))
            self._callers[sock] = self._scheduler.spawn(self._serve, sock)

    def _serve(self, sock: socket.socket) -> None:
        reader, until = http.RequestReader(MOST_BODY), self._scheduler.now() + READ_US
        try:
            try:
                while not reader.complete:
                    data = streams.receive(self._scheduler, sock, until)
                    if not data:
                        return
                    reader.feed(data)
                del self._callers[sock]
                status, text = self._decide(reader.method, reader.target), ""
                log.info("operators: %s %.200s: %d", reader.method, reader.target, status)
            except http.Malformed as error:
                status, text = error.status, f"{error}\n"
            except streams.TimeUp:
                status, text = 408, "the call took too long\n"
            streams.send(
                self._scheduler,
                sock,
                http.answer(status, [], text.encode(), keep=False),
                self._scheduler.now() + WRITE_US,
            )
        except OSError:
            pass
        finally:
            self._callers.pop(sock, None)
            sock.close()

"""Notices to the platform of messages that were taken on and not delivered: POST /reports, again until 204.

A notice has to arrive within moments of its message's time, so nothing here waits for luck. A POST with no answer yet
is followed by another one on a new connection, while the first goes on: a connection that was kept may have died
unseen, and a way that was cut off is found open again within a step. Twice told does no harm.
"""

from __future__ import annotations

import json
import socket
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

from scalefall.net import http, streams
from scalefall.net.invariants import debug_event, log
from scalefall.net.scheduler import Scheduler, Task

MS = 1000
STEP_US = 120 * MS  # if a POST has no answer after this, another one goes out beside it
MOST_TRIES = 8  # at the same time
TRY_US = MOST_TRIES * STEP_US  # one may take so long
FIRST_PAUSE_US, MOST_PAUSE_US = 20 * MS, 160 * MS  # after one that was refused or broke
MOST_LINES, MOST_BYTES = 100, 48 * 1024  # in one POST; the protocol allows a body of 64 KiB
LATE_US = 300 * MS  # so long after its time a message without its notice is lost
SAID_US = 1000 * MS  # failures are logged so often


class LoggedDeliveryReports:
    """Where no platform hears notices: each is a line in the log, and that was its end."""

    idle = True

    def __init__(self, delivered: Callable[[str], None]) -> None:
        self._delivered = delivered

    def report_failed(self, name: str, due: int = 0) -> None:
        log.warning("notice: %s failed", name, extra={"fields": {"id": name, "state": "failed"}})
        self._delivered(name)

    def report_returned(self, name: str, after_ms: int, due: int = 0) -> None:
        log.warning(
            "notice: %s returned, to come back after %d ms",
            name,
            after_ms,
            extra={"fields": {"id": name, "state": "returned", "after_ms": after_ms}},
        )
        self._delivered(name)

    def move(self, platform: tuple[str, int]) -> None:
        pass


@dataclass(slots=True)
class Notice:
    due: int  # the time of its message is up then, monotonic, microseconds
    line: bytes


@dataclass(slots=True, eq=False)
class Try:
    """One POST that is out."""

    names: list[str]
    alone: bool  # no other was out when it began


class DeliveryReports:
    def __init__(self, scheduler: Scheduler, platform: tuple[str, int], delivered: Callable[[str], None]) -> None:
        self._scheduler, self._platform, self._delivered = scheduler, platform, delivered
        self._due: dict[str, Notice] = {}
        self._sock: socket.socket | None = None  # kept from the POST before, idle
        self._at = platform  # the address that it leads to
        self._tries: dict[Try, None] = {}
        self._most, self._pause, self._said_at = MOST_LINES, FIRST_PAUSE_US, -SAID_US
        self._task: Task | None = None

    def move(self, platform: tuple[str, int]) -> None:
        """The platform hears us at another address now; a POST that is out may still be answered at the old one."""
        if platform != self._platform:
            self._platform, self._pause = platform, FIRST_PAUSE_US
            self._drop()
            if self._task is not None:
                self._scheduler.wake(self._task, None)

    @property
    def idle(self) -> bool:
        return not self._due

    def report_failed(self, name: str, due: int = 0) -> None:
        """due: when the message's time is up, monotonic microseconds; what is due first goes first."""
        self._add(due, {"id": name, "state": "failed"})

    def report_returned(self, name: str, after_ms: int, due: int = 0) -> None:
        self._add(due, {"id": name, "state": "returned", "after_ms": after_ms})

    def _add(self, due: int, notice: dict[str, Any]) -> None:
        self._due[notice["id"]] = Notice(due, json.dumps(notice, separators=(",", ":")).encode() + b"\n")
        if self._task is None or self._task.dead:
            self._task = self._scheduler.spawn(self._deliver)

    def _deliver(self) -> None:
        """Begin a POST, and another whenever one has ended or a step has passed, as long as anything is due."""
        while self._due:
            if len(self._tries) < MOST_TRIES:
                one = Try(self._first(), not self._tries)
                self._tries[one] = None
                self._scheduler.spawn(self._carry, one)
            ended = self._scheduler.sleep(STEP_US)
            if ended is False:  # refused or broken: at once again would only be refused again
                pause, self._pause = self._pause, min(MOST_PAUSE_US, 2 * self._pause)
                self._scheduler.sleep(pause)

    def _first(self) -> list[str]:
        """What goes into the next POST: what can still be in time, the most urgent first; then what is late already."""
        late, names, size = self._scheduler.now() - LATE_US, [], 0
        for name in sorted(self._due, key=lambda name: (self._due[name].due < late, self._due[name].due)):
            size += len(self._due[name].line)
            if names and size > MOST_BYTES:
                break
            names.append(name)
            if len(names) == self._most:
                break
        return names

    def _carry(self, one: Try) -> None:
        begun = self._scheduler.now()
        try:
            status = self._post(one, b"".join(self._due[name].line for name in one.names if name in self._due))
        finally:
            del self._tries[one]
        debug_event("notices: %s after %d ms: %d", " ".join(one.names), (self._scheduler.now() - begun) // MS, status)
        if status == 204:
            self._pause, self._most = FIRST_PAUSE_US, MOST_LINES
            for name in one.names:
                if self._due.pop(name, None) is not None:
                    self._delivered(name)
        elif status == 400:  # one line that cannot be read must not hold back the others
            self._unreadable(one.names)
        if self._task is not None and (status or one.alone):
            self._scheduler.wake(self._task, status == 204)

    def _unreadable(self, names: list[str]) -> None:
        self._most = 1
        if len(names) == 1 and names[0] in self._due:
            log.error("notice for %s cannot be read by the platform; tried again behind the others", names[0])
            last = max(notice.due for notice in self._due.values())
            self._due[names[0]].due = max(last, self._due[names[0]].due) + 1

    def _post(self, one: Try, body: bytes) -> int:
        """The answer's status; 0 if none came. An idle connection that has gone meanwhile is replaced at once."""
        while body:
            sock, self._sock = self._sock, None
            try:
                return self._try(sock, body)
            except (OSError, http.Malformed) as error:
                if sock is not None and not isinstance(error, streams.TimeUp):
                    continue
                now = self._scheduler.now()
                if now >= self._said_at + SAID_US:
                    self._said_at = now
                    log.warning(
                        "notices: %d not delivered (%s), trying again", len(self._due), error or type(error).__name__
                    )
                return 0
        return 0

    def _try(self, sock: socket.socket | None, body: bytes) -> int:
        until, at = self._scheduler.now() + TRY_US, self._at
        try:
            if sock is None:
                at = self._platform
                sock = streams.dial(self._scheduler, at, until)
            reader = http.AnswerReader()
            streams.send(self._scheduler, sock, http.request("POST", "/reports", "discovery", [], body), until)
            while not reader.complete:
                data = streams.receive(self._scheduler, sock, until)
                if not data:
                    reader.ended()
                    if reader.complete:
                        break
                    raise OSError("the platform closed the connection")
                reader.feed(data)
            if reader.keep and not reader.rest and self._sock is None and at == self._platform:
                self._sock, self._at, sock = sock, at, None
            return reader.status
        finally:
            if sock is not None:
                sock.close()

    def _drop(self) -> None:
        if self._sock is not None:
            self._sock.close()
            self._sock = None

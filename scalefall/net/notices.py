"""Notices to the platform of messages that were taken on and not delivered: POST /reports, again until 204."""
from __future__ import annotations

import json
import socket
from collections.abc import Callable
from typing import Any

from scalefall.net import http, streams
from scalefall.net.checks import debug, log
from scalefall.net.scheduler import Scheduler, Task

TRY_US = 1_000_000              # one POST may take so long
FIRST_PAUSE_US, MOST_PAUSE_US = 20_000, 1_000_000
MOST_LINES = 100                # in one POST


class LoggedNotices:
    """Where no platform hears notices: each is a line in the log, and that was its end."""
    idle = True

    def __init__(self, delivered: Callable[[str], None]) -> None:
        self._delivered = delivered

    def failed(self, name: str) -> None:
        log.warning("notice: %s failed", name, extra={"fields": {"id": name, "state": "failed"}})
        self._delivered(name)

    def returned(self, name: str, after_ms: int) -> None:
        log.warning("notice: %s returned, to come back after %d ms", name, after_ms,
                    extra={"fields": {"id": name, "state": "returned", "after_ms": after_ms}})
        self._delivered(name)

    def move(self, platform: tuple[str, int]) -> None:
        pass


class Notices:
    def __init__(self, scheduler: Scheduler, platform: tuple[str, int], delivered: Callable[[str], None]) -> None:
        self._scheduler, self._platform, self._delivered = scheduler, platform, delivered
        self._due: dict[str, bytes] = {}
        self._sock: socket.socket | None = None
        self._at = platform         # the address that the connection leads to
        self._resting, self._pause = False, FIRST_PAUSE_US
        self._task: Task | None = None

    def move(self, platform: tuple[str, int]) -> None:
        """The platform hears us at another address now; a POST that is out may still be answered at the old one."""
        if platform != self._platform:
            self._platform, self._pause = platform, FIRST_PAUSE_US
            if self._resting:
                self._scheduler.wake(self._task, None)

    @property
    def idle(self) -> bool:
        return not self._due

    def failed(self, name: str) -> None:
        self._add({"id": name, "state": "failed"})

    def returned(self, name: str, after_ms: int) -> None:
        self._add({"id": name, "state": "returned", "after_ms": after_ms})

    def _add(self, notice: dict[str, Any]) -> None:
        self._due[notice["id"]] = json.dumps(notice, separators=(",", ":")).encode() + b"\n"
        if self._task is None or self._task.dead:
            self._task = self._scheduler.spawn(self._deliver)

    def _deliver(self) -> None:
        most = MOST_LINES
        while self._due:
            names = list(self._due)[:most]
            begun = self._scheduler.now()
            status = self._post(b"".join(self._due[name] for name in names))
            debug("notices: %s after %d ms: %d", " ".join(names), (self._scheduler.now() - begun) // 1000, status)
            if status == 204:
                for name in names:
                    del self._due[name]
                    self._delivered(name)
                self._pause, most = FIRST_PAUSE_US, MOST_LINES
                continue
            if status == 400:   # one line that cannot be read must not hold back the others
                most = 1
                if len(names) == 1:
                    log.error("notice for %s cannot be read by the platform; tried again behind the others", names[0])
                    self._due[names[0]] = self._due.pop(names[0])
            pause, self._pause = self._pause, min(MOST_PAUSE_US, 2 * self._pause)
            self._resting = True
            self._scheduler.sleep(pause)
            self._resting = False

    def _post(self, body: bytes) -> int:
        """The answer's status; 0 if none came. An idle connection that has gone meanwhile is replaced at once."""
        while True:
            reused = self._sock is not None
            try:
                return self._try(body)
            except (OSError, http.Malformed) as error:
                self._drop()
                if reused:
                    continue
                log.warning("notices: not delivered (%s), trying again", error or type(error).__name__)
                return 0

    def _try(self, body: bytes) -> int:
        until = self._scheduler.now() + TRY_US
        if self._sock is not None and self._at != self._platform:
            self._drop()
        if self._sock is None:
            self._at = self._platform
            self._sock = streams.dial(self._scheduler, self._at, until)
        sock, reader = self._sock, http.AnswerReader()
        streams.send(self._scheduler, sock, http.request("POST", "/reports", "discovery", [], body), until)
        while not reader.complete:
            data = streams.receive(self._scheduler, sock, until)
            if not data:
                reader.ended()
                if reader.complete:
                    break
                raise OSError("the platform closed the connection")
            reader.feed(data)
        if not reader.keep or reader.rest:
            self._drop()
        return reader.status

    def _drop(self) -> None:
        if self._sock is not None:
            self._sock.close()
            self._sock = None

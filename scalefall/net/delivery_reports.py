"""Reports to the platform of messages that were accepted and not delivered: POST /reports, again until it answers 204.

A report has to arrive within moments of its message's deadline, so nothing here waits for a lost connection to be found
out. While a POST has no answer, another one goes out beside it on a new connection: a kept connection may have died
unseen, and a path that was cut is found open again within a step. A report that arrives twice does no harm.
"""

from __future__ import annotations

import json
import socket
from collections.abc import Callable
from dataclasses import dataclass
from enum import Enum
from typing import Protocol

from scalefall.net import http, streams
from scalefall.net.logs import debug_event, log
from scalefall.net.scheduler import Scheduler, Task

MS = 1000  # microseconds
STEP_US = 120 * MS  # a POST with no answer after this gets another one beside it
MAX_POSTS = 8  # in flight at a time, so that a platform that hangs holds few sockets
POST_US = MAX_POSTS * STEP_US  # a POST may take so long: the first has ended when the last may start
MIN_BACKOFF_US, MAX_BACKOFF_US = 20 * MS, 160 * MS  # after a POST that was refused or broke, doubled each time
MAX_LINES = 100  # reports in one POST
MAX_BODY_BYTES = 48 * 1024  # of one POST; the protocol allows 64 KiB
LATE_US = 300 * MS  # a message counts as lost if its report comes so long after its deadline
LOG_INTERVAL_US = 1000 * MS  # failures are logged no more often
NO_CONTENT, BAD_REQUEST = 204, 400  # the platform has taken the reports; it cannot read one of them
NO_STATUS = 0  # of a POST that had no answer


class DeliveryReporter(Protocol):
    """Where the failures of accepted messages are reported."""

    @property
    def idle(self) -> bool:
        """Whether nothing is left to report."""

    def report_failed(self, message_id: str, due_us: int = 0) -> None:
        """Report that a message was given up, with no promise about its effect.

        Args:
            message_id: The message.
            due_us: Its deadline, monotonic, in microseconds; the earliest is reported first.
        """

    def report_returned(self, message_id: str, retry_after_ms: int, due_us: int = 0) -> None:
        """Report that a message had no effect and may be submitted again.

        Args:
            message_id: The message.
            retry_after_ms: How long the client should wait before it does so.
            due_us: Its deadline, monotonic, in microseconds; the earliest is reported first.
        """

    def move(self, platform: tuple[str, int]) -> None:
        """Report to another address from now on."""


class LoggedDeliveryReports:
    """Where no platform listens: each report is a line in the log, and has been delivered with it."""

    idle = True

    def __init__(self, delivered: Callable[[str], None]) -> None:
        """Set what is called with the id of each message that is reported."""
        self._delivered = delivered

    def report_failed(self, message_id: str, due_us: int = 0) -> None:
        """Log that a message was given up."""
        fields = {"id": message_id, "state": "failed"}
        log.warning("delivery report: %s failed", message_id, extra={"fields": fields})
        self._delivered(message_id)

    def report_returned(self, message_id: str, retry_after_ms: int, due_us: int = 0) -> None:
        """Log that a message may be submitted again, and when."""
        fields = {"id": message_id, "state": "returned", "after_ms": retry_after_ms}
        log.warning(
            "delivery report: %s returned, retry after %d ms", message_id, retry_after_ms, extra={"fields": fields}
        )
        self._delivered(message_id)

    def move(self, platform: tuple[str, int]) -> None:
        """Do nothing: there is no platform."""


@dataclass(slots=True)
class _Report:
    """A report that has not been delivered.

    Attributes:
        due_us: The deadline of its message, monotonic, in microseconds; only the order matters.
        line: Its line in the body of a POST.
    """

    due_us: int
    line: bytes


@dataclass(slots=True, eq=False)
class _Post:
    """A POST that is in flight.

    Attributes:
        message_ids: The messages whose reports it carries.
        alone: Whether no other was in flight when it started.
    """

    message_ids: list[str]
    alone: bool


class _PostEnd(Enum):
    """How the POST ended that wakes the task which starts them."""

    DELIVERED = "delivered"
    NOT_DELIVERED = "not delivered"


class DeliveryReports:
    """The reports that the platform has not confirmed, and the POSTs that carry them."""

    def __init__(self, scheduler: Scheduler, platform: tuple[str, int], delivered: Callable[[str], None]) -> None:
        """Set up with nothing to report.

        Args:
            scheduler: Runs the tasks.
            platform: Where reports are posted.
            delivered: Called with the id of each message whose report the platform has confirmed.
        """
        self._scheduler = scheduler
        self._platform = platform
        self._delivered = delivered
        self._reports: dict[str, _Report] = {}
        self._idle_socket: socket.socket | None = None  # kept from the POST before
        self._idle_socket_peer = platform
        self._posts: dict[_Post, None] = {}
        self._max_lines = MAX_LINES
        self._backoff_us = MIN_BACKOFF_US
        self._logged_at = -LOG_INTERVAL_US
        self._task: Task | None = None

    @property
    def idle(self) -> bool:
        """Whether the platform has confirmed all reports."""
        return not self._reports

    @property
    def posts_in_flight(self) -> int:
        """How many POSTs have not ended."""
        return len(self._posts)

    def move(self, platform: tuple[str, int]) -> None:
        """Post to another address from now on; a POST in flight may still be answered at the old one."""
        if platform != self._platform:
            self._platform = platform
            self._backoff_us = MIN_BACKOFF_US
            if self._idle_socket is not None:
                self._idle_socket.close()
                self._idle_socket = None
            if self._task is not None:
                self._scheduler.wake(self._task, None)

    def report_failed(self, message_id: str, due_us: int = 0) -> None:
        """Report that a message was given up; see DeliveryReporter."""
        self._add(message_id, due_us, {"id": message_id, "state": "failed"})

    def report_returned(self, message_id: str, retry_after_ms: int, due_us: int = 0) -> None:
        """Report that a message may be submitted again; see DeliveryReporter."""
        self._add(message_id, due_us, {"id": message_id, "state": "returned", "after_ms": retry_after_ms})

    def _add(self, message_id: str, due_us: int, fields: dict[str, str | int]) -> None:
        line = json.dumps(fields, separators=(",", ":")).encode() + b"\n"
        self._reports[message_id] = _Report(due_us, line)
        if self._task is None or self._task.dead:
            self._task = self._scheduler.spawn(self._start_posts)

    # -- which POSTs go out

    def _start_posts(self) -> None:
        """Start a POST, and another whenever one has ended or a step has passed, until all reports are delivered."""
        while self._reports:
            if len(self._posts) < MAX_POSTS:
                post = _Post(self._most_urgent(), alone=not self._posts)
                self._posts[post] = None
                self._scheduler.spawn(self._carry_out, post)
            woken_by = self._scheduler.sleep(STEP_US)
            if woken_by is _PostEnd.NOT_DELIVERED:  # the next one at once would end as this one
                backoff_us = self._backoff_us
                self._backoff_us = min(MAX_BACKOFF_US, 2 * backoff_us)
                self._scheduler.sleep(backoff_us)

    def _most_urgent(self) -> list[str]:
        """The messages of the next POST: those whose report can be in time, the most urgent first; then late ones."""
        late = self._scheduler.now() - LATE_US
        message_ids: list[str] = []
        size = 0
        for message_id in sorted(self._reports, key=lambda key: _urgency(self._reports[key], late)):
            size += len(self._reports[message_id].line)
            if message_ids and size > MAX_BODY_BYTES:
                break
            message_ids.append(message_id)
            if len(message_ids) == self._max_lines:
                break
        return message_ids

    # -- one POST

    def _carry_out(self, post: _Post) -> None:
        started = self._scheduler.now()
        lines = [self._reports[message_id].line for message_id in post.message_ids if message_id in self._reports]
        try:
            status = self._post(b"".join(lines))
        finally:
            del self._posts[post]
        elapsed_ms = (self._scheduler.now() - started) // MS
        debug_event("delivery reports: %s after %d ms: %d", " ".join(post.message_ids), elapsed_ms, status)
        if status == NO_CONTENT:
            self._confirm(post.message_ids)
        elif status == BAD_REQUEST:
            self._isolate_unreadable(post.message_ids)
        if self._task is not None and (status != NO_STATUS or post.alone):
            delivered = status == NO_CONTENT
            self._scheduler.wake(self._task, _PostEnd.DELIVERED if delivered else _PostEnd.NOT_DELIVERED)

    def _confirm(self, message_ids: list[str]) -> None:
        self._backoff_us = MIN_BACKOFF_US
        self._max_lines = MAX_LINES
        for message_id in message_ids:
            if self._reports.pop(message_id, None) is not None:
                self._delivered(message_id)

    def _isolate_unreadable(self, message_ids: list[str]) -> None:
        """Send one report at a time, and one that the platform cannot read after the others: it must not block them."""
        self._max_lines = 1
        if len(message_ids) == 1 and message_ids[0] in self._reports:
            log.error("delivery report unreadable for the platform, retried after the others: %s", message_ids[0])
            self._reports[message_ids[0]].due_us = max(report.due_us for report in self._reports.values()) + 1

    def _post(self, body: bytes) -> int:
        """Post a body; an idle connection that has gone meanwhile is replaced at once.

        Returns:
            The answer's status; NO_STATUS if none came, or all of the body's reports were delivered meanwhile.
        """
        if not body:
            return NO_STATUS
        while True:
            sock, self._idle_socket = self._idle_socket, None
            try:
                return self._exchange(sock, body)
            except (OSError, http.MalformedMessage) as error:
                if sock is not None and not isinstance(error, streams.TimedOut):
                    continue
                self._log_failure(error)
                return NO_STATUS

    def _log_failure(self, error: Exception) -> None:
        now = self._scheduler.now()
        if now >= self._logged_at + LOG_INTERVAL_US:
            self._logged_at = now
            log.warning("delivery reports: %d not delivered, retrying: %s", len(self._reports), error)

    def _exchange(self, sock: socket.socket | None, body: bytes) -> int:
        """Post a body over an idle connection, or else over a new one; the answer's status.

        Raises:
            OSError: The connection was not made, or broke.
            http.MalformedMessage: The answer is no HTTP.
        """
        until = self._scheduler.now() + POST_US
        peer = self._idle_socket_peer
        try:
            if sock is None:
                peer = self._platform
                sock = streams.dial(self._scheduler, peer, until)
            streams.send(self._scheduler, sock, http.request("POST", "/reports", "discovery", [], body), until)
            reader = self._read_answer(sock, until)
            if reader.keep and not reader.unparsed and self._idle_socket is None and peer == self._platform:
                self._idle_socket, self._idle_socket_peer = sock, peer
                sock = None
            return reader.status
        finally:
            if sock is not None:
                sock.close()

    def _read_answer(self, sock: socket.socket, until: int) -> http.AnswerReader:
        reader = http.AnswerReader()
        while not reader.complete:
            data = streams.receive(self._scheduler, sock, until)
            if data:
                reader.feed(data)
                continue
            reader.end_stream()
            if not reader.complete:
                raise OSError("the platform closed the connection")
        return reader


def _urgency(report: _Report, late: int) -> tuple[bool, int]:
    """A key to sort by: reports of messages whose deadline was before a time come last."""
    return report.due_us < late, report.due_us

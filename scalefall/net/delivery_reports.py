"""Delivery reports to the platform, of accepted messages that were not delivered: POST /reports until it answers 204.

A report has to arrive shortly after its message's deadline, too soon to wait until a lost connection is detected. So
POSTs are hedged: while one has no answer, another one starts on a new connection. This covers an idle connection that
was lost unnoticed, and finds a restored network path within one hedging delay. A duplicate report is harmless.
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
from scalefall.net.memory_budget import MemoryBudget, Reservation
from scalefall.net.scheduler import Scheduler, Task

MILLISECOND_US = 1000  # microseconds in a millisecond
HEDGE_DELAY_US = 120 * MILLISECOND_US  # another POST starts if none was answered within this time
MAX_POSTS_IN_FLIGHT = 8  # bounds the sockets that an unresponsive platform can hold
POST_TIMEOUT_US = MAX_POSTS_IN_FLIGHT * HEDGE_DELAY_US  # the first POST has ended when the last one may start
MIN_BACKOFF_US = 20 * MILLISECOND_US  # wait after a failed POST; doubles with each further failure
MAX_BACKOFF_US = 160 * MILLISECOND_US
MAX_REPORTS_PER_POST = 100
MAX_BODY_BYTES = 48 * 1024  # size of one POST's body; the protocol allows 64 KiB
MAX_REPORT_DELAY_US = 300 * MILLISECOND_US  # time from the deadline; a message with a later report counts as lost
LOG_INTERVAL_US = 1000 * MILLISECOND_US  # least time between two log lines about failures
NO_CONTENT = 204  # the platform confirms the reports
BAD_REQUEST = 400  # the platform cannot read one of the reports
NO_STATUS = 0  # the POST had no answer


class DeliveryReporter(Protocol):
    """Reports accepted messages that were not delivered."""

    @property
    def idle(self) -> bool:
        """Whether nothing is left to report."""

    def report_failed(self, message_id: str, due_us: int = 0) -> None:
        """Report that a message was given up; whether it had an effect is unknown.

        Args:
            message_id: The message.
            due_us: Its deadline, monotonic, in microseconds; the earliest is reported first.
        """

    def report_returned(self, message_id: str, retry_after_ms: int, due_us: int = 0) -> None:
        """Report that a message had no effect and may be submitted again.

        Args:
            message_id: The message.
            retry_after_ms: How long the client should wait before it submits the message again.
            due_us: Its deadline, monotonic, in microseconds; the earliest is reported first.
        """

    def move(self, platform: tuple[str, int]) -> None:
        """Report to another address."""


class LoggedDeliveryReports:
    """Stands in for a platform: logs each report, which then counts as confirmed."""

    idle = True

    def __init__(self, report_confirmed: Callable[[str], None]) -> None:
        """Set the function that is called with the id of each reported message."""
        self._report_confirmed = report_confirmed

    def report_failed(self, message_id: str, due_us: int = 0) -> None:
        """Log that a message was given up."""
        fields = {"id": message_id, "state": "failed"}
        log.warning("delivery report: %s failed", message_id, extra={"fields": fields})
        self._report_confirmed(message_id)

    def report_returned(self, message_id: str, retry_after_ms: int, due_us: int = 0) -> None:
        """Log that a message may be submitted again, and when."""
        fields = {"id": message_id, "state": "returned", "after_ms": retry_after_ms}
        log.warning(
            "delivery report: %s returned, retry after %d ms", message_id, retry_after_ms, extra={"fields": fields}
        )
        self._report_confirmed(message_id)

    def move(self, platform: tuple[str, int]) -> None:
        """Do nothing: there is no platform."""


@dataclass(slots=True)
class _Report:
    """A report that the platform has not confirmed.

    Attributes:
        due_us: The deadline of its message, monotonic, in microseconds; used for ordering only.
        line: Its line in the body of a POST.
    """

    due_us: int
    line: bytes


@dataclass(slots=True, eq=False)
class _Post:
    """A POST in flight.

    Attributes:
        message_ids: The messages whose reports it carries.
        started_alone: Whether no other POST was in flight when it started.
    """

    message_ids: list[str]
    started_alone: bool


class _PostEnd(Enum):
    """The result of a POST, with which it resumes the task that starts POSTs."""

    CONFIRMED = "confirmed"
    NOT_CONFIRMED = "not confirmed"


class DeliveryReports:
    """Queues the reports that the platform has not confirmed, and posts them."""

    def __init__(
        self,
        scheduler: Scheduler,
        platform: tuple[str, int],
        report_confirmed: Callable[[str], None],
        budget: MemoryBudget | None = None,
    ) -> None:
        """Start with nothing to report.

        Args:
            scheduler: Runs the tasks.
            platform: The address that reports are posted to.
            report_confirmed: Called with the id of each message whose report the platform has confirmed.
            budget: Accounts for the POSTs; the journal accounts for the reports. None: there is no limit.
        """
        self._scheduler = scheduler
        self._platform = platform
        self._report_confirmed = report_confirmed
        self._budget = budget or MemoryBudget()
        self._reports: dict[str, _Report] = {}
        self._idle_socket: socket.socket | None = None  # reused by the next POST
        self._idle_socket_peer = platform
        self._posts: dict[_Post, None] = {}
        self._max_reports = MAX_REPORTS_PER_POST
        self._backoff_us = MIN_BACKOFF_US
        self._logged_at = -LOG_INTERVAL_US
        self._task: Task | None = None

    @property
    def idle(self) -> bool:
        """Whether the platform has confirmed all reports."""
        return not self._reports

    @property
    def posts_in_flight(self) -> int:
        """The number of POSTs in flight."""
        return len(self._posts)

    def move(self, platform: tuple[str, int]) -> None:
        """Post to another address; POSTs in flight to the old one continue."""
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

    # -- scheduling POSTs

    def _start_posts(self) -> None:
        """Start a POST whenever one has ended or a hedging delay has passed, until all reports are confirmed."""
        while self._reports:
            if len(self._posts) < MAX_POSTS_IN_FLIGHT:
                post = _Post(self._most_urgent(), started_alone=not self._posts)
                self._posts[post] = None
                self._scheduler.spawn(self._run_post, post)
            woken_by = self._scheduler.sleep(HEDGE_DELAY_US)
            if woken_by is _PostEnd.NOT_CONFIRMED:  # an immediate retry would fail as well
                backoff_us = self._backoff_us
                self._backoff_us = min(MAX_BACKOFF_US, 2 * backoff_us)
                self._scheduler.sleep(backoff_us)

    def _most_urgent(self) -> list[str]:
        """Return the messages of the next POST: by deadline, with those whose report is already too late last."""
        too_late = self._scheduler.now() - MAX_REPORT_DELAY_US
        message_ids: list[str] = []
        size = 0
        for message_id in sorted(self._reports, key=lambda key: _urgency(self._reports[key], too_late)):
            size += len(self._reports[message_id].line)
            if message_ids and size > MAX_BODY_BYTES:
                break
            message_ids.append(message_id)
            if len(message_ids) == self._max_reports:
                break
        return message_ids

    # -- one POST

    def _run_post(self, post: _Post) -> None:
        started = self._scheduler.now()
        lines = [self._reports[message_id].line for message_id in post.message_ids if message_id in self._reports]
        try:
            status = self._post(b"".join(lines))
        finally:
            del self._posts[post]
        elapsed_ms = (self._scheduler.now() - started) // MILLISECOND_US
        debug_event(
            "delivery reports: %s posted, after %d ms status %d", " ".join(post.message_ids), elapsed_ms, status
        )
        if status == NO_CONTENT:
            self._confirm(post.message_ids)
        elif status == BAD_REQUEST:
            self._isolate_unreadable(post.message_ids)
        if self._task is not None and (status != NO_STATUS or post.started_alone):
            confirmed = status == NO_CONTENT
            self._scheduler.wake(self._task, _PostEnd.CONFIRMED if confirmed else _PostEnd.NOT_CONFIRMED)

    def _confirm(self, message_ids: list[str]) -> None:
        self._backoff_us = MIN_BACKOFF_US
        self._max_reports = MAX_REPORTS_PER_POST
        for message_id in message_ids:
            if self._reports.pop(message_id, None) is not None:
                self._report_confirmed(message_id)

    def _isolate_unreadable(self, message_ids: list[str]) -> None:
        """Post one report at a time, and one that the platform cannot read last: it must not block the others."""
        self._max_reports = 1
        if len(message_ids) == 1 and message_ids[0] in self._reports:
            log.error(
                "delivery report rejected by the platform with status 400, retried after all others: %s", message_ids[0]
            )
            self._reports[message_ids[0]].due_us = max(report.due_us for report in self._reports.values()) + 1

    def _post(self, body: bytes) -> int:
        """Post a body; if the idle connection turns out to be closed, retry at once on a new one.

        Returns:
            The answer's status; NO_STATUS if there was none, or if the body is empty because another POST has
            had all of its reports confirmed.
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
            log.warning("delivery reports: POST failed, %d reports pending, retrying: %s", len(self._reports), error)

    def _exchange(self, sock: socket.socket | None, body: bytes) -> int:
        """Post a body over an idle connection, or over a new one if None is given; return the answer's status.

        Raises:
            OSError: The connection could not be made, or broke.
            http.MalformedMessage: The answer is not valid HTTP.
        """
        until = self._scheduler.now() + POST_TIMEOUT_US
        peer = self._idle_socket_peer
        try:
            if sock is None:
                peer = self._platform
                sock = streams.dial(self._scheduler, peer, until)
            streams.send(self._scheduler, sock, http.request("POST", "/reports", "discovery", [], body), until)
            with self._budget.open() as reservation:
                reader = self._read_answer(sock, until, reservation)
            if reader.keep and not reader.unparsed and self._idle_socket is None and peer == self._platform:
                self._idle_socket, self._idle_socket_peer = sock, peer
                sock = None
            return reader.status
        finally:
            if sock is not None:
                sock.close()

    def _read_answer(self, sock: socket.socket, until: int, reservation: Reservation) -> http.AnswerReader:
        reader = http.AnswerReader()
        while not reader.complete:
            if streams.receive_into(self._scheduler, sock, reader, until, reservation):
                continue
            reader.end_stream()
            if not reader.complete:
                raise OSError("platform closed the connection before the end of its answer")
        return reader


def _urgency(report: _Report, too_late_us: int) -> tuple[bool, int]:
    """Return a sort key: by deadline, with the deadlines before a time last."""
    return report.due_us < too_late_us, report.due_us

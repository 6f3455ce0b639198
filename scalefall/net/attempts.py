"""Carries out attempts: one call to an endpoint, with one message or several, over a pool of connections.

`attempt_state` defines an attempt, `attempt_request` encodes it, `connection_pool` provides its connection, and
`attempt_result` reads its result from the answer.
"""

from __future__ import annotations

import socket
from collections.abc import Callable

from scalefall.net import http, streams
from scalefall.net.answer_fields import NO_ANSWER_FIELDS, AnswerFields, read_answer_fields
from scalefall.net.attempt_request import encode_request
from scalefall.net.attempt_result import (
    AttemptResult,
    MessageResult,
    read_answer,
    read_broken_answer,
)
from scalefall.net.attempt_state import Attempt, MessageInCall
from scalefall.net.connection_pool import MAX_STALE_LOSS_RATE, Connection, ConnectionPool
from scalefall.net.invariants import assert_invariant
from scalefall.net.list_stream import Entry
from scalefall.net.logs import log
from scalefall.net.memory_budget import CONNECTION_BYTES, MemoryBudget, Reservation
from scalefall.net.scheduler import Scheduler
from scalefall.policy.events import AttemptFinished, Outcome
from scalefall.policy.settings import Settings

MILLISECOND_US = 1000  # microseconds in a millisecond
MAX_ANSWER_DURATION_US = 1000 * MILLISECOND_US  # from the first byte to the last; leaves time for a retry
MAX_DELIVERED_ANSWER_DURATION_US = 200 * MILLISECOND_US  # limit if a status of 200 has already decided the outcome


class Attempts:
    """Carries out the engine's sends, cancels and closes; reports an outcome once for each message of an attempt."""

    def __init__(
        self,
        scheduler: Scheduler,
        settings: Settings,
        max_sockets: int,
        report_outcome: Callable[[AttemptFinished], None],
        may_begin: Callable[[Entry], bool],
        is_pending: Callable[[str], bool] = lambda _: True,
        budget: MemoryBudget | None = None,
    ) -> None:
        """Start with no attempt in flight.

        Args:
            scheduler: The clock, and the tasks that run the attempts.
            settings: The time limits of dials and idle connections, and whether answers carry load reports.
            max_sockets: The limit of connections to endpoints.
            report_outcome: Called with the outcome of an attempt for one message.
            may_begin: Returns whether a call may still go out to an endpoint, once its connection is up.
            is_pending: Returns whether the message with this id still waits for an answer.
            budget: Accounts for the attempts and the idle connections; None: there is no limit.
        """
        self._scheduler = scheduler
        self._settings = settings
        self._report_outcome = report_outcome
        self._may_begin = may_begin
        self._is_pending = is_pending
        self._budget = budget or MemoryBudget()
        self._pool = ConnectionPool(scheduler, settings, max_sockets, self._budget)
        self._in_flight: dict[tuple[str, int], Attempt] = {}  # by a message's id and the number of its attempt

    @property
    def in_flight(self) -> int:
        """The number of attempts that have not ended for all of their messages."""
        return len({id(attempt) for attempt in self._in_flight.values()})

    def begin(self, entry: Entry, messages: list[MessageInCall]) -> None:
        """Start an attempt with these messages, at least one; it runs as a task of its own."""
        attempt = Attempt(entry, messages, self._scheduler.now())
        for message in messages:
            assert_invariant((message.id, message.attempt) not in self._in_flight, "an attempt is started once")
            self._in_flight[message.id, message.attempt] = attempt
        attempt.task = self._scheduler.spawn(self._run, attempt)

    def cancel(self, message_id: str, attempt_number: int) -> None:
        """Cancel one message of an attempt.

        The connection stays open until the last message of the attempt ends. While it is open, a cancelled message
        is still in flight and must not be reported as ended.
        """
        attempt = self._in_flight.get((message_id, attempt_number))
        if attempt is None or attempt.over:
            return
        now_us = self._scheduler.now()
        for message in attempt.messages:
            if message.id == message_id:
                message.ends_at_us = min(message.ends_at_us, now_us)
        if all(message.ends_at_us <= now_us for message in attempt.messages):
            outcome = Outcome.CANCELLED if attempt.written else Outcome.CONNECT_FAILED
            self._end(attempt, MessageResult(outcome))

    def close_idle(self, entry: Entry) -> None:
        """Close the idle connections to an endpoint."""
        self._pool.close_idle(entry)

    def endpoint_left(self, entry: Entry) -> None:
        """Close the idle connections to an endpoint that drains or has been removed, and drop its statistics."""
        self._pool.remove_endpoint(entry)

    def close(self) -> None:
        """Close all idle connections; attempts in flight go on."""
        self._pool.close()

    # -- one attempt

    def _run(self, attempt: Attempt) -> None:
        """Run an attempt to its end, whatever fails on the way; runs as a task."""
        if attempt.over:
            return
        self._pool.in_use += 1
        reader = http.AnswerReader()
        reservation = self._budget.open()
        try:
            self._perform(attempt, reader, reservation)
        except Exception as error:  # noqa: BLE001 - a program error must leave no message without an outcome
            if not isinstance(error, (OSError, http.MalformedMessage)):
                self._scheduler.log_failure("attempt", self._perform)
            if not attempt.over:
                self._end_broken(attempt, reader, error)
        finally:
            self._pool.in_use -= 1
            reservation.release()
            if not attempt.over:
                log.error("attempt ended with no result: endpoint %s", attempt.entry.endpoint.id)
                self._end(attempt, MessageResult(Outcome.ERROR if attempt.written else Outcome.CONNECT_FAILED))

    def _perform(self, attempt: Attempt, reader: http.AnswerReader, reservation: Reservation) -> None:
        """Connect, send the call and read its answer.

        An endpoint runs a call only after its last byte, so a call that is cut off before that never ran. Sending stops
        at the earliest end of a message's time, as that message has its final answer by then, or at the earliest end of
        the time in which endpoints drop a repeat.

        Raises:
            OSError: The connection failed or broke, or the time was up.
            http.MalformedMessage: The answer is not valid HTTP.
        """
        deadline_us = max(message.ends_at_us for message in attempt.messages)
        pool = self._pool
        if not reservation.try_resize(CONNECTION_BYTES + _request_bytes(attempt)):
            self._end(attempt, MessageResult(Outcome.NOT_SENT))
            return
        avoid_stale = pool.stale_loss_rate > MAX_STALE_LOSS_RATE and any(
            message.not_idempotent for message in attempt.messages
        )
        connection = attempt.connection = pool.connect(attempt.entry, deadline_us, avoid_stale)
        if attempt.over:
            self._close_connection(attempt)
            return
        if not self._may_still_send(attempt, connection):
            return
        request = encode_request(attempt, self._scheduler.now())
        send_deadline_us = int(
            min(end for message in attempt.messages for end in (message.ends_at_us, message.start_by_us))
        )
        streams.send(self._scheduler, connection.sock, request, send_deadline_us)
        attempt.written = True
        del request
        reservation.resize(CONNECTION_BYTES)
        if self._receive(attempt, reader, connection.sock, deadline_us, reservation):
            self._end_answered(attempt, connection, reader)

    def _may_still_send(self, attempt: Attempt, connection: Connection) -> bool:
        """Return whether an attempt has messages to send, now that its connection is up; otherwise end it unsent."""
        may_begin = self._may_begin(attempt.entry)  # a drain or a Retry-After may have come during the dial
        if may_begin:
            self._drop_late_messages(attempt)
            if attempt.messages:
                return True
        self._pool.release(connection, attempt.entry)
        attempt.connection = None
        if may_begin:
            attempt.over = True
        else:
            self._end(attempt, MessageResult(Outcome.NOT_SENT))
        return False

    def _drop_late_messages(self, attempt: Attempt) -> None:
        """Drop from the call the messages that might take effect twice by now, or have ended.

        A dial may take over a second, and a call with several messages waits until the latest deadline among them.
        """
        now_us = self._scheduler.now()
        late = [
            message
            for message in attempt.messages
            if message.start_by_us < now_us or message.ends_at_us <= now_us or not self._is_pending(message.id)
        ]
        for message in late:
            attempt.messages.remove(message)
            self._report(attempt, message, MessageResult(Outcome.NOT_SENT), NO_ANSWER_FIELDS)

    def _receive(
        self, attempt: Attempt, reader: http.AnswerReader, sock: socket.socket, deadline_us: int, held: Reservation
    ) -> bool:
        """Read the complete answer; return False if the attempt ended before.

        Raises:
            OSError: The connection broke, or the time was up.
            http.MalformedMessage: The answer is not valid HTTP.
        """
        started_at_us = 0
        while not reader.complete:
            is_open = streams.receive_into(self._scheduler, sock, reader, deadline_us, held)
            started_at_us = started_at_us or self._scheduler.now()
            if attempt.over:
                return False
            if not is_open:
                reader.end_stream()
                if reader.complete:
                    break
                raise ConnectionResetError("the endpoint closed the connection")
            is_delivered = reader.status == 200 and len(attempt.messages) == 1
            max_answer_us = MAX_DELIVERED_ANSWER_DURATION_US if is_delivered else MAX_ANSWER_DURATION_US
            deadline_us = min(deadline_us, started_at_us + max_answer_us)
        return True

    # -- end of an attempt

    def _end_answered(self, attempt: Attempt, connection: Connection, reader: http.AnswerReader) -> None:
        """End an attempt with its complete answer, and release its connection if it is reusable."""
        self._pool.record_use(connection, was_lost=False)
        results = read_answer(attempt, reader, self._settings.answers_carry_report)
        if connection.is_new:
            if isinstance(results, MessageResult) and results.outcome is Outcome.CONNECTIONS_EXHAUSTED:
                self._pool.retention.connection_rejected(connection.key)
            else:
                self._pool.retention.connection_accepted(connection.key)
        if results is None:
            results = MessageResult(Outcome.ERROR)
        elif reader.keep and not reader.unparsed:
            self._pool.release(connection, attempt.entry)
            attempt.connection = None
        self._end(attempt, results, read_answer_fields(reader, self._scheduler.wall()))

    def _end_broken(self, attempt: Attempt, reader: http.AnswerReader, error: Exception) -> None:
        """End an attempt that got no complete answer. Its Retry-After counts if the connection broke within it."""
        broken = read_broken_answer(attempt, reader, error, self._settings.answers_carry_report)
        if attempt.written and attempt.connection is not None:
            self._pool.record_use(attempt.connection, was_lost=broken.result.outcome is Outcome.RESET)
        fields = read_answer_fields(reader, self._scheduler.wall(), broken.has_retry_after)
        self._end(attempt, broken.result, fields)

    def _end(self, attempt: Attempt, results: AttemptResult, fields: AnswerFields = NO_ANSWER_FIELDS) -> None:
        """Report every message's outcome, once. Later events of the attempt are ignored."""
        attempt.over = True
        self._close_connection(attempt)
        for message in attempt.messages:
            result = results if isinstance(results, MessageResult) else results[message.id]
            self._report(attempt, message, result, fields)

    def _report(self, attempt: Attempt, message: MessageInCall, result: MessageResult, fields: AnswerFields) -> None:
        """Report the outcome of the attempt for one message."""
        del self._in_flight[message.id, message.attempt]
        event = AttemptFinished(
            message.id,
            message.attempt,
            attempt.entry.endpoint.id,
            result.outcome,
            self._scheduler.now() - attempt.started_at_us,
            result.finished,
            fields.retry_after_us,
            dict(fields.load_report),
            result.unreadable,
        )
        self._report_outcome(event)

    def _close_connection(self, attempt: Attempt) -> None:
        """Close an attempt's connection, if it has one, and resume the task that waits on it."""
        if attempt.task is not None:
            self._scheduler.wake(attempt.task, streams.Interrupted("the attempt has ended"))
        if attempt.connection is not None:
            attempt.connection.sock.close()
            attempt.connection = None


def _request_bytes(attempt: Attempt) -> int:
    """Return the memory that the request of an attempt takes until it is written."""
    return sum(message.batch_bytes for message in attempt.messages)

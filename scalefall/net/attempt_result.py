"""Reads the results of an attempt's messages from the endpoint's answer, by the protocol's table of outcomes.

If the dial failed, or the connection broke before the call's last byte was written, nothing has run; after that byte
the messages may have run.
"""

from __future__ import annotations

import json
from dataclasses import dataclass
from typing import TypeAlias

from scalefall.net import http, streams
from scalefall.net.attempt_state import Attempt
from scalefall.net.logs import log
from scalefall.policy.events import Outcome

STATE_OUTCOMES = {  # outcomes by the protocol's state of one message in an answer for several
    "accepted": Outcome.OK,
    "fault": Outcome.ERROR,
    "deferred": Outcome.OVERLOADED,
    "expired": Outcome.NOT_SENT,
    "no_more": Outcome.NOT_SENT,
}
FINAL_STATES = ("accepted", "expired")  # a message in one of these needs no further attempt


@dataclass(slots=True)
class MessageResult:
    """The result of an attempt for one message, or the same result for all of them.

    Attributes:
        outcome: The outcome of the attempt.
        finished: The message needs no further attempt.
        unreadable: The endpoint could not read a call with several messages; one of them may be the cause.
    """

    outcome: Outcome
    finished: bool = False
    unreadable: bool = False


@dataclass(slots=True)
class BrokenAnswer:
    """What an attempt that got no complete answer counts as.

    Attributes:
        result: The result for all of its messages.
        has_retry_after: A Retry-After in the received part counts: the connection was lost within the answer.
    """

    result: MessageResult
    has_retry_after: bool = False


AttemptResult: TypeAlias = MessageResult | dict[str, MessageResult]  # for all messages, or by message id


def read_answer(attempt: Attempt, reader: http.AnswerReader, answers_carry_report: bool) -> AttemptResult | None:
    """Return the result in a complete answer; None if the answer is unusable.

    Args:
        attempt: The attempt that it answers.
        reader: The reader of the complete answer.
        answers_carry_report: Endpoints add a load report to each answer to a call that they accepted.
    """
    if reader.status == 200 and len(attempt.messages) > 1:
        return _read_batch(attempt, reader)
    return _read_status(attempt, reader, answers_carry_report)


def read_broken_answer(
    attempt: Attempt, reader: http.AnswerReader, error: Exception, answers_carry_report: bool
) -> BrokenAnswer:
    """Return what an attempt that got no complete answer counts as.

    A status of 200 is final for a single message. After any other malformed answer the call may have run. If the
    connection broke within an answer, its status line counts.

    Args:
        attempt: The attempt.
        reader: The reader of the part of the answer that was received.
        error: The error that ended the attempt.
        answers_carry_report: Endpoints add a load report to each answer to a call that they accepted.
    """
    is_time_up = isinstance(error, streams.TimedOut)
    is_malformed = isinstance(error, http.MalformedMessage)
    result = _read_broken(attempt, reader, error, answers_carry_report)
    return BrokenAnswer(result, has_retry_after=not (is_time_up or is_malformed))


def _read_broken(
    attempt: Attempt, reader: http.AnswerReader, error: Exception, answers_carry_report: bool
) -> MessageResult:
    """Return the result of an attempt that got no complete answer, for all of its messages."""
    if not attempt.written:
        return MessageResult(Outcome.CONNECT_FAILED)
    status = reader.status
    if status == 200 and len(attempt.messages) == 1:
        return MessageResult(Outcome.OK, finished=True)
    is_time_up = isinstance(error, streams.TimedOut)
    is_connection_lost = isinstance(error, OSError) and not is_time_up
    if (reader.begun or reader.interim_count) and not is_connection_lost:
        log.warning("answer cannot be used: endpoint %s, %s", attempt.entry.endpoint.id, error)
        return MessageResult(Outcome.ERROR)
    if status and status != 200:
        return _read_status(attempt, reader, answers_carry_report)
    if is_time_up:
        return MessageResult(Outcome.TIMEOUT)
    return MessageResult(Outcome.RESET if is_connection_lost else Outcome.ERROR)


def _read_status(attempt: Attempt, reader: http.AnswerReader, answers_carry_report: bool) -> MessageResult:
    """Return the result for all messages of an attempt from an answer's status and fields."""
    is_single = len(attempt.messages) == 1
    match reader.status:
        case 200:
            return MessageResult(Outcome.OK if is_single else Outcome.ERROR, finished=is_single)
        case 429 | 503:
            return MessageResult(_rejection(attempt, reader, answers_carry_report))
        case 504:
            return MessageResult(Outcome.NOT_SENT)
        case 410:
            return MessageResult(Outcome.NOT_SENT, finished=True)
        case 500:
            return MessageResult(Outcome.ERROR)
        case status:
            log.warning("answer cannot be used: endpoint %s, status %d", attempt.entry.endpoint.id, status)
            if status in (400, 413) and not is_single:
                return MessageResult(Outcome.NOT_SENT, unreadable=True)
            return MessageResult(Outcome.ERROR)


def _rejection(attempt: Attempt, reader: http.AnswerReader, answers_carry_report: bool) -> Outcome:
    """Return the outcome of a 429 or 503: not sent by the local egress, overloaded, or out of connections.

    An endpoint that rejects a call reports its load. One that rejects a new connection answers without a load report.
    """
    if "x-egress-full" in reader.fields:
        return Outcome.NOT_SENT
    connection = attempt.connection
    is_connection_rejected = (
        reader.status == 503
        and connection is not None
        and connection.is_new
        and reader.head_done
        and "retry-after" not in reader.fields
        and answers_carry_report
        and "x-load" not in reader.fields
    )
    return Outcome.CONNECTIONS_EXHAUSTED if is_connection_rejected else Outcome.OVERLOADED


def _read_batch(attempt: Attempt, reader: http.AnswerReader) -> dict[str, MessageResult] | None:
    """Return the result of each message from an answer for several; None if the answer is unusable."""
    results: dict[str, MessageResult] = {}
    try:
        for row in json.loads(bytes(reader.body)):
            state = row["state"]
            results[row["id"]] = MessageResult(STATE_OUTCOMES[state], state in FINAL_STATES)
    except (ValueError, TypeError, KeyError, RecursionError) as error:
        log.warning("answer cannot be used: endpoint %s, %r", attempt.entry.endpoint.id, error)
        return None
    missing = [message.id for message in attempt.messages if message.id not in results]
    if missing:
        log.warning(
            "answer without the state of a message: endpoint %s, messages %s", attempt.entry.endpoint.id, missing
        )
    return {message.id: results.get(message.id) or MessageResult(Outcome.ERROR) for message in attempt.messages}

"""What became of an attempt's messages, read off the endpoint's answer by the protocol's table of outcomes.

A connection that could not be had, or that broke before the call's last byte was written, proves that nothing has run;
after that byte it may have.
"""

from __future__ import annotations

import json
import math
import re
from dataclasses import dataclass
from typing import TypeAlias

from scalefall.net import http, streams
from scalefall.net.attempt_state import Attempt
from scalefall.net.logs import log
from scalefall.policy.events import Outcome

SECOND_US = 1_000_000  # microseconds in a second
SECONDS = re.compile(r"\d{1,9}(\.\d{0,9})?\Z")  # a Retry-After: decimals are the protocol's own, HTTP has none
STATE_OUTCOMES = {  # the protocol's states of one message in an answer for several
    "accepted": Outcome.OK,
    "fault": Outcome.ERROR,
    "deferred": Outcome.OVERLOADED,
    "expired": Outcome.NOT_SENT,
    "no_more": Outcome.NOT_SENT,
}
FINAL_STATES = ("accepted", "expired")  # those after which a message needs no further attempt


@dataclass(slots=True)
class MessageResult:
    """What became of one message of an attempt, or of all of them alike.

    Attributes:
        outcome: How the attempt ended for it.
        retry_after_us: For how long the endpoint wants nothing more, in microseconds; 0 if it said nothing of it.
        finished: The message needs no further attempt.
        unreadable: The endpoint could not read the call with several messages; one of them may spoil the others.
    """

    outcome: Outcome
    retry_after_us: int = 0
    finished: bool = False
    unreadable: bool = False


AttemptResult: TypeAlias = MessageResult | dict[str, MessageResult]  # one for all messages, or one for each by its id


def read_answer(attempt: Attempt, reader: http.AnswerReader, answers_carry_report: bool) -> AttemptResult | None:
    """Return what a whole answer says; None if it cannot be used.

    Args:
        attempt: The attempt that it answers.
        reader: Has read the whole answer.
        answers_carry_report: The endpoints report their load with each answer to a call that they took up.
    """
    if reader.status == 200 and len(attempt.messages) > 1:
        return _read_batch(attempt, reader)
    return _read_status(attempt, reader, answers_carry_report)


def read_broken_answer(
    attempt: Attempt, reader: http.AnswerReader, error: Exception, answers_carry_report: bool
) -> MessageResult:
    """Return what became of an attempt to which no whole answer came.

    A first line of 200 is true for a single message; whatever else a spoilt answer says, the call may have run. Where
    the connection broke within an answer, the first line counts.

    Args:
        attempt: The attempt.
        reader: Has read what came of the answer.
        error: What ended the attempt.
        answers_carry_report: The endpoints report their load with each answer to a call that they took up.
    """
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


def read_retry_after(fields: dict[str, str]) -> int:
    """Return an answer's Retry-After in microseconds, rounded up as a wait is not cut short; 0 if it has none."""
    value = fields.get("retry-after", "")
    return math.ceil(float(value) * SECOND_US) if SECONDS.match(value) else 0


def read_load_report(fields: dict[str, str]) -> dict[str, float]:
    """Return the load report that an answer carries, figures by name; one that cannot be read is as good as none."""
    text = fields.get("x-load")
    if not text:
        return {}
    try:
        report: dict[str, float] = {name: float(value) for name, value in json.loads(text).items()}
        if all(0 <= value < math.inf for value in report.values()):
            return report
    except (ValueError, TypeError, AttributeError, OverflowError, RecursionError):
        pass  # not an object of numbers either
    log.warning("load report cannot be read: %.80r", text)
    return {}


def _read_status(attempt: Attempt, reader: http.AnswerReader, answers_carry_report: bool) -> MessageResult:
    """Return what an answer's status and fields say of all messages of an attempt."""
    retry_after_us = read_retry_after(reader.fields)
    is_single = len(attempt.messages) == 1
    match reader.status:
        case 200:
            return MessageResult(Outcome.OK if is_single else Outcome.ERROR, retry_after_us, is_single)
        case 429 | 503:
            return MessageResult(_rejection(attempt, reader, retry_after_us, answers_carry_report), retry_after_us)
        case 504:
            return MessageResult(Outcome.NOT_SENT, retry_after_us)
        case 410:
            return MessageResult(Outcome.NOT_SENT, retry_after_us, finished=True)
        case 500:
            return MessageResult(Outcome.ERROR, retry_after_us)
        case status:
            log.warning("answer cannot be used: endpoint %s, status %d", attempt.entry.endpoint.id, status)
            if status in (400, 413) and not is_single:
                return MessageResult(Outcome.NOT_SENT, retry_after_us, unreadable=True)
            return MessageResult(Outcome.ERROR, retry_after_us)


def _rejection(attempt: Attempt, reader: http.AnswerReader, retry_after_us: int, answers_carry_report: bool) -> Outcome:
    """Return who rejected an attempt with 429 or 503: this side's egress, the endpoint, or its limit of connections.

    What rejects a call knows its load and reports it; what rejects a new connection does not get so far.
    """
    if "x-egress-full" in reader.fields:
        return Outcome.NOT_SENT
    connection = attempt.connection
    is_connection_rejected = (
        reader.status == 503
        and connection is not None
        and connection.is_new
        and reader.head_done
        and not retry_after_us
        and answers_carry_report
        and "x-load" not in reader.fields
    )
    return Outcome.CONNECTIONS_EXHAUSTED if is_connection_rejected else Outcome.OVERLOADED


def _read_batch(attempt: Attempt, reader: http.AnswerReader) -> dict[str, MessageResult] | None:
    """Return what an answer for several messages says of each; None if it cannot be used."""
    retry_after_us = read_retry_after(reader.fields)
    results: dict[str, MessageResult] = {}
    try:
        for row in json.loads(bytes(reader.body)):
            state = row["state"]
            results[row["id"]] = MessageResult(STATE_OUTCOMES[state], retry_after_us, state in FINAL_STATES)
    except (ValueError, TypeError, KeyError, RecursionError) as error:
        log.warning("answer cannot be used: endpoint %s, %r", attempt.entry.endpoint.id, error)
        return None
    return {
        message.id: results.get(message.id) or MessageResult(Outcome.ERROR, retry_after_us)
        for message in attempt.messages
    }

"""Timeouts and retries: how long an attempt may take, whether and when a message goes out again."""

from __future__ import annotations

from scalefall.policy.envelope import Envelope
from scalefall.policy.events import Outcome
from scalefall.policy.settings import Idempotency, MessageClass
from scalefall.policy.state import Attempt, EngineState, QueuedMessage
from scalefall.policy.units import SECOND

TIMEOUT_MULTIPLE = 4  # a call is overdue, or timed out, after so many times its high-percentile time
MIN_TIMEOUT_US = SECOND // 2  # and never before this
DEADLINE_DIVISOR = 4  # before there are figures, a call is given this part of its class's deadline
MAX_TIMEOUT_DOUBLINGS = 4  # of the timeout, one for each further attempt
INITIAL_BACKOFF_US = SECOND // 5  # first pause before a message goes out again after a failure
MAY_HAVE_RUN = (Outcome.ERROR, Outcome.TIMEOUT, Outcome.RESET, Outcome.CANCELLED)
BACKS_OFF = (*MAY_HAVE_RUN, Outcome.CONNECT_FAILED, Outcome.CONNECTIONS_EXHAUSTED)


def expected_us(envelope: Envelope, message_class: MessageClass) -> int:
    """Return the time after which a call that has not ended is overdue."""
    basis = envelope.basis()
    if basis is None:
        return message_class.deadline_us // DEADLINE_DIVISOR
    return max(MIN_TIMEOUT_US, int(TIMEOUT_MULTIPLE * basis.delay_us(1)))


def timeout_us(state: EngineState, message: QueuedMessage, envelope: Envelope) -> int:
    """Return how long the next attempt may take.

    Only what may be sent again is cut short; each further attempt is given twice the time. A message with an
    idempotency key is cut short only if another attempt still fits into the time that its key is known.
    """
    now = state.now
    left = message.due - now
    idempotency = message.message_class.idempotency
    if idempotency is Idempotency.NOT_IDEMPOTENT or message.attempts + 1 >= message.max_attempts:
        return left
    timeout = expected_us(envelope, message.message_class) << min(message.attempts, MAX_TIMEOUT_DOUBLINGS)
    if idempotency is Idempotency.WITH_KEY:
        first_sent = message.may_have_run_at if message.may_have_run_at >= 0 else now
        another_ends = now + timeout + expected_us(envelope, message.message_class)
        if another_ends > first_sent + message.message_class.key_ttl_us:
            return left
    return min(left, timeout)


def attempts_exhausted(message: QueuedMessage) -> bool:
    """Return whether no further attempt is allowed; before a restart the message may have run too."""
    if message.attempts >= message.max_attempts:
        return True
    return message.may_have_run_at >= 0 and message.message_class.idempotency is Idempotency.NOT_IDEMPOTENT


def record_failed_attempt(state: EngineState, message: QueuedMessage, attempt: Attempt, outcome: Outcome) -> None:
    """Note what a failed attempt means for the next: whether it may have run, and the pause before it."""
    if outcome in MAY_HAVE_RUN and message.may_have_run_at < 0:
        message.may_have_run_at = attempt.sent_at
        if message.message_class.key_scope_zone:
            message.required_zone = attempt.endpoint.endpoint.zone
    if outcome in BACKS_OFF:
        pause = INITIAL_BACKOFF_US * message.attempts * state.random.uniform(0.5, 1.5)
        message.not_before = state.now + int(pause)

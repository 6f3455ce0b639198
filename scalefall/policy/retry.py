"""Timeouts and retries: how long an attempt may take, and whether and when a message is sent again."""

from __future__ import annotations

from scalefall.policy.envelope import Envelope
from scalefall.policy.events import Outcome
from scalefall.policy.settings import Idempotency, MessageClass
from scalefall.policy.state import Attempt, EngineState, QueuedMessage
from scalefall.policy.units import SECOND

TIMEOUT_MULTIPLE = 4  # multiple of the high-percentile time after which a call is overdue or times out
MIN_TIMEOUT_US = SECOND // 2  # shortest time after which a call is overdue or times out
DEADLINE_DIVISOR = 4  # without figures, a call may take the deadline of its class divided by this
MAX_TIMEOUT_DOUBLINGS = 4  # limit of the doublings of the timeout, one for each further attempt
INITIAL_BACKOFF_US = SECOND // 5  # mean backoff after the first failed attempt
MAY_HAVE_RUN = (Outcome.ERROR, Outcome.TIMEOUT, Outcome.RESET, Outcome.CANCELLED)
BACKS_OFF = (*MAY_HAVE_RUN, Outcome.CONNECT_FAILED, Outcome.CONNECTIONS_EXHAUSTED)


def expected_us(envelope: Envelope, message_class: MessageClass) -> int:
    """Return the time after which a call without an outcome is overdue."""
    basis = envelope.basis()
    if basis is None:
        return message_class.deadline_us // DEADLINE_DIVISOR
    return max(MIN_TIMEOUT_US, int(TIMEOUT_MULTIPLE * basis.delay_us(1)))


def timeout_us(state: EngineState, message: QueuedMessage, envelope: Envelope) -> int:
    """Return how long the next attempt may take.

    Only an attempt that another may follow times out before the deadline, and each gets twice the time of the last.
    With an idempotency key, that is so only if another attempt still fits into the lifetime of the key.
    """
    now = state.now
    remaining = message.due - now
    idempotency = message.message_class.idempotency
    if idempotency is Idempotency.NOT_IDEMPOTENT or message.attempts + 1 >= message.max_attempts:
        return remaining
    timeout = expected_us(envelope, message.message_class) << min(message.attempts, MAX_TIMEOUT_DOUBLINGS)
    if idempotency is Idempotency.WITH_KEY:
        first_sent = message.may_have_run_at if message.may_have_run_at >= 0 else now
        another_ends = now + timeout + expected_us(envelope, message.message_class)
        if another_ends > first_sent + message.message_class.key_ttl_us:
            return remaining
    return min(remaining, timeout)


def attempts_exhausted(message: QueuedMessage) -> bool:
    """Return whether no further attempt is allowed; the message may have run before a restart, too."""
    if message.attempts >= message.max_attempts:
        return True
    return message.may_have_run_at >= 0 and message.message_class.idempotency is Idempotency.NOT_IDEMPOTENT


def record_failed_attempt(state: EngineState, message: QueuedMessage, attempt: Attempt, outcome: Outcome) -> None:
    """Record whether a failed attempt may have run, and set the backoff before the next one."""
    if outcome in MAY_HAVE_RUN and message.may_have_run_at < 0:
        message.may_have_run_at = attempt.sent_at
        if message.message_class.key_scope_zone:
            message.required_zone = attempt.endpoint.endpoint.zone
    if outcome in BACKS_OFF:
        pause = INITIAL_BACKOFF_US * message.attempts * state.random.uniform(0.5, 1.5)
        message.not_before = state.now + int(pause)

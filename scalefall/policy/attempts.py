"""Attempts in flight: batching into calls, outcomes, and cancelling overdue attempts when call slots run out."""

from __future__ import annotations

from itertools import chain
from math import inf

from scalefall.policy.actions import CancelAttempt, CloseIdleConnections, Send
from scalefall.policy.admission import Admission
from scalefall.policy.endpoint_list import EndpointList
from scalefall.policy.envelope import Envelope
from scalefall.policy.events import AttemptFinished, Outcome
from scalefall.policy.ordering import Ordering
from scalefall.policy.outcomes import OutcomeEvaluation
from scalefall.policy.pacing import Pacing
from scalefall.policy.retry import expected_us, timeout_us
from scalefall.policy.schedule import Schedule
from scalefall.policy.slow_start import OutlierDetection
from scalefall.policy.state import Attempt, EndpointState, EngineState, QueuedMessage


MAX_BATCH_BYTES = 64 * 1024  # the protocol's limit for any body, that of a call with several messages included


class Attempts:
    """Starts and ends calls.

    It alone decides which messages share a call: limits, rates and slow starts count calls, so each of the calls that
    it starts has to go out as one.
    """

    def __init__(
        self,
        state: EngineState,
        schedule: Schedule,
        admission: Admission,
        ordering: Ordering,
        pacing: Pacing,
        outliers: OutlierDetection,
        evaluation: OutcomeEvaluation,
        endpoint_list: EndpointList,
    ) -> None:
        """Start with nothing in flight."""
        self._state = state
        self._schedule = schedule
        self._admission = admission
        self._ordering = ordering
        self._pacing = pacing
        self._outliers = outliers
        self._evaluation = evaluation
        self._endpoint_list = endpoint_list
        self.in_flight: dict[tuple[str, int], tuple[QueuedMessage, Attempt]] = {}  # by message id and attempt number
        self._calls_of_step: dict[str, Attempt] = {}  # started in this step, by endpoint; messages may still join
        self._calls_started = 0

    def begin_step(self) -> None:
        """Close the calls of the last step to further messages."""
        self._calls_of_step = {}

    def joinable(self, message: QueuedMessage, endpoint: EndpointState) -> Attempt | None:
        """Return this step's call to the endpoint if it can carry the message as well."""
        attempt = self._calls_of_step.get(endpoint.endpoint.id)
        if attempt is None or message.sent_alone:
            return None
        limit = self._state.settings.messages_per_call.get(endpoint.endpoint.kind, 1)
        fits = attempt.batch_bytes + message.batch_bytes <= MAX_BATCH_BYTES
        return attempt if fits and attempt.carried < limit else None

    def send(self, message: QueuedMessage, endpoint: EndpointState) -> None:
        """Send the message to the endpoint, in this step's call or in a new one."""
        envelope = self._admission.envelope(endpoint.route, message.message_class.name)
        attempt = self.joinable(message, endpoint)
        if attempt is None:
            attempt = self._begin_call(endpoint, envelope, message)
        attempt.unfinished += 1
        attempt.carried += 1
        attempt.batch_bytes += message.batch_bytes
        message.attempt = attempt
        message.span = envelope.record_start(self._state.now)
        timeout = timeout_us(self._state, message, envelope)
        self.in_flight[message.id, message.attempts] = (message, attempt)
        message.attempts += 1
        del message.destination.waiting[message.id]
        self._ordering.record_send(message)
        self._state.actions.append(Send(message.id, endpoint.endpoint.id, timeout, attempt.number))

    def _begin_call(self, endpoint: EndpointState, envelope: Envelope, message: QueuedMessage) -> Attempt:
        state, route = self._state, endpoint.route
        attempt = Attempt(endpoint, state.now, self._calls_started)
        self._calls_started += 1
        attempt.overdue_at = state.now + expected_us(envelope, message.message_class)
        state.calls_in_flight += 1
        endpoint.attempts[id(attempt)] = attempt
        if not message.sent_alone:
            self._calls_of_step[endpoint.endpoint.id] = attempt
        self._pacing.record_call(route)
        if route.rate < inf:
            route.tokens -= 1
        self._outliers.record_call(route.slow_start)
        self._outliers.record_call(endpoint.slow_start)
        return attempt

    def finish(self, event: AttemptFinished) -> tuple[QueuedMessage, Attempt] | None:
        """Record the outcome of an attempt; return its message and call, or None if the attempt is unknown.

        Only the first outcome of a call is evaluated, but the Retry-After of every outcome applies.
        """
        found = self.in_flight.pop((event.id, event.attempt), None)
        if found is None:
            return None
        message, attempt = found
        message.sent_alone |= event.batch_unreadable
        route = attempt.endpoint.route
        now = self._state.now
        self._schedule.evaluate_in_step(message.destination)
        self._ordering.record_outcome(message, event.outcome)
        if event.retry_after_us:
            route.retry_after_until = max(route.retry_after_until, now + event.retry_after_us)
        self._finish_one(attempt)
        if not attempt.evaluated:
            attempt.evaluated = True
            self._evaluation.evaluate(attempt, event)
        if message.span is not None:
            if event.outcome is Outcome.OK:
                self._admission.envelope(route, message.message_class.name).record_completion(now, message.span)
            else:
                message.span[1] = now
        return found

    def _finish_one(self, attempt: Attempt) -> None:
        """Remove a message from the call, and end the call with the last one."""
        attempt.unfinished -= 1
        if attempt.unfinished:
            return
        endpoint = attempt.endpoint
        self._state.calls_in_flight -= 1
        del endpoint.attempts[id(attempt)]
        self._schedule.evaluate_waiting_for_slot()
        if not endpoint.attempts and self._evaluation.has_too_many_connections(endpoint):
            self._state.actions.append(CloseIdleConnections(endpoint.endpoint.id))
        self._endpoint_list.drop_if_unused(endpoint)

    def cancel_overdue(self) -> None:
        """Cancel overdue attempts if no call slot is free, at most one for each destination whose messages wait.

        Their calls hang, lost their answers, or are only slow.
        """
        state = self._state
        if state.calls_in_flight < state.settings.call_slots or not state.settings.cancelling:
            return
        evaluated = chain(self._schedule.waiting_for_slot.values(), self._schedule.step_destinations.values())
        wanted = sum(1 for destination in evaluated if destination.waiting)
        for message_id, number in self._overdue()[:wanted]:
            self.in_flight[message_id, number][1].cancelled = True
            state.actions.append(CancelAttempt(message_id, number))

    def _overdue(self) -> list[tuple[str, int]]:
        """Return message id and number of the overdue attempts that are not cancelled, longest overdue first."""
        now, messages = self._state.now, self._state.messages
        overdue = [
            (attempt.overdue_at, message_id, number)
            for (message_id, number), (message, attempt) in self.in_flight.items()
            if attempt.overdue_at <= now and not attempt.cancelled and message.id in messages
        ]
        return [(message_id, number) for _, message_id, number in sorted(overdue)]

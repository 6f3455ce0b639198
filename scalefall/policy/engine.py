"""Entry point of the policy package: passes each event to its component and collects the step's actions.

    engine = Engine(settings, seed)
    actions = engine.handle(now_us, events)

The engine is deterministic and does no input or output: time is an argument, and all random numbers come from one
seeded generator. The same settings, seed, times and events give the same actions in the same order.
"""

from __future__ import annotations

import random

from scalefall.policy.actions import Action, Fail, PollEndpointList, RouteAllowance
from scalefall.policy.admission import Admission
from scalefall.policy.attempts import Attempts
from scalefall.policy.dispatch import Dispatcher
from scalefall.policy.endpoint_list import POLL_TIMER, EndpointList
from scalefall.policy.events import (
    AttemptFinished,
    EndpointListConfirmed,
    EndpointListUnconfirmed,
    EndpointListUpdate,
    EndpointReport,
    Event,
    LearnedRate,
    Message,
    MessageWithdrawn,
    Outcome,
    ShuttingDown,
    TimerFired,
)
from scalefall.policy.final_answers import FinalAnswers
from scalefall.policy.ordering import Ordering
from scalefall.policy.outcomes import OutcomeEvaluation
from scalefall.policy.pacing import Pacing
from scalefall.policy.priority import Priority
from scalefall.policy.retry import attempts_exhausted, record_failed_attempt
from scalefall.policy.routing import Routing
from scalefall.policy.schedule import Schedule
from scalefall.policy.settings import MessageClass, Settings
from scalefall.policy.slow_start import OutlierDetection
from scalefall.policy.state import Attempt, EngineState, QueuedMessage, RouteState
from scalefall.policy.suspension import Suspension


class Engine:
    """Makes all decisions of one sender.

    Attributes:
        state: the shared state; read-only outside this package. The other attributes are the components, one a module.
    """

    def __init__(self, settings: Settings, seed: int) -> None:
        """Start with no endpoint and no message."""
        state = EngineState(settings, random.Random(seed))
        self.state = state
        self._sequence = 0  # number of the last message
        self.schedule = Schedule(state)
        self.pacing = Pacing(state)
        self.outliers = OutlierDetection(state, self.pacing)
        self.evaluation = OutcomeEvaluation(state, self.pacing, self.outliers)
        self.endpoint_list = EndpointList(state, self.schedule, self.pacing, self.evaluation)
        self.admission = Admission(state, self.pacing)
        self.ordering = Ordering(state, self.schedule)
        self.priority = Priority(state)
        self.suspension = Suspension(state, self.schedule, self.pacing)
        self.final_answers = FinalAnswers(state, self.schedule, self.admission, self.ordering, self.suspension)
        self.attempts = Attempts(
            state,
            self.schedule,
            self.admission,
            self.ordering,
            self.pacing,
            self.outliers,
            self.evaluation,
            self.endpoint_list,
        )
        self.routing = Routing(state, self.schedule, self.admission, self.pacing, self.outliers, self.attempts)
        self.dispatcher = Dispatcher(
            state,
            self.schedule,
            self.priority,
            self.ordering,
            self.admission,
            self.routing,
            self.attempts,
            self.final_answers,
        )

    def handle(self, now_us: int, events: list[Event]) -> list[Action]:
        """Run one step with the events since the last one.

        Args:
            now_us: The caller's time in microseconds; never decreases.
            events: The events in order of arrival.

        Returns:
            The actions, to be performed in this order.
        """
        state = self.state
        state.now = now_us
        state.actions = []
        self.attempts.begin_step()
        if state.started_at < 0:
            state.started_at = now_us
        for event in events:
            self._handle_event(event)
        self.dispatcher.run()
        return state.actions

    def _handle_event(self, event: Event) -> None:
        match event:
            case Message():
                self._accept(event)
            case AttemptFinished():
                self._finish_attempt(event)
            case EndpointReport():
                self.evaluation.evaluate_endpoint_report(event)
            case EndpointListUpdate() | EndpointListUnconfirmed() | EndpointListConfirmed():
                self._handle_list_event(event)
            case MessageWithdrawn():
                self.final_answers.withdraw(event.id)
            case TimerFired():
                if event.token == POLL_TIMER:
                    self.state.actions.append(PollEndpointList())
            case LearnedRate():
                self.endpoint_list.restore_rate(event)
            case ShuttingDown():
                self.state.ends_at = event.ends_at_us

    def _handle_list_event(self, event: EndpointListUpdate | EndpointListUnconfirmed | EndpointListConfirmed) -> None:
        match event:
            case EndpointListUpdate():
                self.endpoint_list.update(event)
            case EndpointListUnconfirmed():
                self.suspension.begin(event)
            case EndpointListConfirmed():
                self.suspension.end()

    def _accept(self, event: Message) -> None:
        """Queue a message; answer it at once if no attempt is possible (after a restart), or too many messages wait."""
        message_class = event.message_class or self.state.settings.classes.get(event.class_name)
        if message_class is None:
            self.state.actions.append(Fail(event.id))
            return
        message = self._queue(event, message_class)
        if attempts_exhausted(message) or self.final_answers.is_late(message):
            self.final_answers.give_up(message)
            return
        self.final_answers.plan_deadline_check(message)
        self.admission.admit(message)
        if event.restored:
            return
        is_full = len(message.destination.waiting) > self.admission.max_waiting(message)
        if is_full or not self.final_answers.outlasts_suspension(message):
            self.final_answers.shed(message)

    def _queue(self, event: Message, message_class: MessageClass) -> QueuedMessage:
        state = self.state
        self._sequence += 1
        message = QueuedMessage(
            event.id,
            message_class,
            state.destination(event.destination),
            event.due_us,
            self._sequence,
            state.settings.attempts.get(event.destination, state.settings.max_attempts),
            event.ordering_key if message_class.ordered else None,
            attempts=event.attempts,
            batch_bytes=event.batch_bytes,
        )
        if event.may_have_run_at_us is not None:
            message.may_have_run_at = max(0, event.may_have_run_at_us)
            message.required_zone = event.may_have_run_zone if message_class.key_scope_zone else ""
        self.admission.set_target(message_class)
        self.priority.set_class(message_class)
        state.messages[message.id] = message
        message.destination.waiting[message.id] = message
        self.ordering.add(message)
        self.schedule.evaluate_in_step(message.destination)
        return message

    def _finish_attempt(self, event: AttemptFinished) -> None:
        """Process the outcome of an attempt: the message is done or is retried."""
        found = self.attempts.finish(event)
        if found is None:
            return
        message, attempt = found
        if self.state.messages.get(event.id) is not message:
            return  # the message already has its final answer
        message.attempt = None
        if event.finished or event.outcome is Outcome.OK:
            self.final_answers.remove(message)
            return
        self._retry(message, attempt, event.outcome)

    def _retry(self, message: QueuedMessage, attempt: Attempt, outcome: Outcome) -> None:
        """Queue a message again after a failed attempt, or give it up if no further attempt is possible."""
        record_failed_attempt(self.state, message, attempt, outcome)
        if self.final_answers.is_late(message) or attempts_exhausted(message):
            self.final_answers.give_up(message)  # the idempotency key may have expired during the attempt
            return
        message.destination.waiting[message.id] = message
        self.schedule.evaluate_at(message.not_before, message.destination)
        self.final_answers.plan_deadline_check(message)

    def learned_rates(self) -> list[LearnedRate]:
        """Return the learned rates for a later process of this sender; may be called at any time."""
        return self.endpoint_list.learned_rates()

    def allowances(self, among: set[int] | None = None) -> list[RouteAllowance]:
        """Return what all proxies together may send on each route, after a step.

        Args:
            among: Numbers of the destinations to include; None: all.
        """
        destinations = self.state.destinations
        numbers = destinations if among is None else destinations.keys() & among
        return [
            self._allowance(number, name, route)
            for number in numbers
            for name, route in destinations[number].routes.items()
        ]

    def _allowance(self, number: int, name: str, route: RouteState) -> RouteAllowance:
        outliers = self.outliers
        endpoints = {
            endpoint.endpoint.id: outliers.budget(outliers.slow_start_in_force(route, endpoint))
            for endpoint in route.endpoints
            if endpoint.ready
        }
        rate = min(route.rate, outliers.budget(route.slow_start))
        return RouteAllowance(number, name, endpoints, rate, route.retry_after_until)

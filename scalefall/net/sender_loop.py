"""The loop around the engine: each step passes it the gathered events and performs the actions that it returns."""

from __future__ import annotations

from typing import Protocol

from scalefall.net.admission import RETRY_AFTER_WHEN_FULL_US, Admission
from scalefall.net.attempt_dispatcher import AttemptDispatcher
from scalefall.net.delivery_request import Accepted, AdmissionResult, Rejected
from scalefall.net.delivery_tracker import DeliveryTracker
from scalefall.net.endpoint_list import EndpointList
from scalefall.net.event_queue import EventQueue
from scalefall.net.final_answers import FinalAnswers
from scalefall.net.invariants import assert_invariant
from scalefall.net.logs import log
from scalefall.net.scheduler import Scheduler
from scalefall.policy.actions import (
    Action,
    CancelAttempt,
    CloseIdleConnections,
    Fail,
    LogLine,
    PollEndpointList,
    Send,
    SetTimer,
    Shed,
)
from scalefall.policy.events import Event, Message, TimerFired


class DecisionEngine(Protocol):
    """Takes all decisions: events in, actions out."""

    def handle(self, now_us: int, events: list[Event]) -> list[Action]:
        """Return the actions that follow from these events at this time (monotonic, microseconds)."""


class SenderLoop:
    """Calls the engine once per step and performs its actions.

    The order within a step is part of the contract. Final answers come first, so that a message that is shed in its
    first step is never journaled; then the accepted messages are journaled; attempts start last.
    """

    def __init__(
        self,
        scheduler: Scheduler,
        engine: DecisionEngine,
        events: EventQueue,
        tracker: DeliveryTracker,
        admission: Admission,
        dispatcher: AttemptDispatcher,
        final_answers: FinalAnswers,
        endpoint_list: EndpointList,
    ) -> None:
        """Route the engine's actions to these components.

        Args:
            scheduler: The clock, and the engine's timers.
            engine: Takes all decisions.
            events: Gathers the events for the engine.
            tracker: The open requests.
            admission: Journals the messages that the engine has admitted.
            dispatcher: Starts attempts, and closes connections.
            final_answers: Ends messages that are shed or failed.
            endpoint_list: Subscribes to updates at the engine's request.
        """
        self._scheduler = scheduler
        self._engine = engine
        self._events = events
        self._open = tracker.open
        self._admission = admission
        self._dispatcher = dispatcher
        self._attempts = dispatcher.attempts
        self._final_answers = final_answers
        self._endpoint_list = endpoint_list

    def step(self) -> None:
        """Pass the gathered events to the engine, perform its actions, and answer the requests among the events."""
        events = self._events.take_all()
        if not events:
            return
        submitted = [
            event.id
            for event in events
            if isinstance(event, Message) and event.id in self._open and self._open[event.id].admission is None
        ]
        admission: AdmissionResult
        try:
            self._perform(self._engine.handle(self._scheduler.now(), events), submitted)
            admission = Accepted()
        except Exception:  # noqa: BLE001 - the step's new requests are unanswered: rejecting lets clients go elsewhere
            log.exception("engine step failed, its new messages are rejected with 503")
            assert_invariant(False, "an engine step completes without an exception")
            admission = Rejected(RETRY_AFTER_WHEN_FULL_US, True)
        for message_id in submitted:
            request = self._open.get(message_id)
            if request is not None:
                request.decide(admission)
                if not isinstance(admission, Accepted):
                    self._admission.discard(request)

    def _perform(self, actions: list[Action], submitted: list[str]) -> None:
        """Perform the actions of a step; sends come last, grouped into the engine's calls."""
        calls: dict[int, list[Send]] = {}
        for action in actions:
            match action:
                case Shed(id=message_id, retry_after_us=retry_after_us):
                    self._final_answers.shed(message_id, retry_after_us)
                case Fail(id=message_id):
                    self._final_answers.fail(message_id)
                case Send(call=call):
                    calls.setdefault(call, []).append(action)
                case CancelAttempt(id=message_id, attempt=attempt):
                    self._attempts.cancel(message_id, attempt)
                case SetTimer(token=token, delay_us=delay_us):
                    self._scheduler.call_at(self._scheduler.now() + delay_us, self._events.gather, TimerFired(token))
                case _:
                    self._perform_global(action)
        for message_id in submitted:
            if message_id in self._open:
                self._admission.accept(self._open[message_id])
        self._dispatcher.dispatch(calls.values())

    def _perform_global(self, action: Action) -> None:
        """Perform an action that belongs to no single message."""
        match action:
            case CloseIdleConnections(endpoint=endpoint):
                if endpoint in self._endpoint_list.entries:
                    self._attempts.close_idle(self._endpoint_list.entries[endpoint])
            case PollEndpointList():
                self._endpoint_list.subscribe()
            case LogLine(line=line):
                log.info("engine: %s", line)
            case _:
                assert_invariant(
                    False, f"the engine returns only actions that a sender performs, not {type(action).__name__}"
                )

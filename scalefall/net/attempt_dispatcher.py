"""Turns the engine's calls into attempts, and the results of attempts into events for the engine."""

from __future__ import annotations

import logging
from collections.abc import Iterable
from math import inf

from scalefall.net.attempt_state import MessageInCall
from scalefall.net.attempts import Attempts
from scalefall.net.delivery_request import DeliveryRequest
from scalefall.net.delivery_tracker import DeliveryTracker
from scalefall.net.endpoint_list import DRAIN_MARGIN_US, EndpointList
from scalefall.net.event_queue import EventQueue
from scalefall.net.invariants import assert_invariant
from scalefall.net.journal import Journal
from scalefall.net.list_stream import Entry
from scalefall.net.logs import debug_event, log
from scalefall.net.memory_budget import MemoryBudget
from scalefall.net.scheduler import Scheduler
from scalefall.policy.actions import Send
from scalefall.policy.events import NEVER_RAN, AttemptFinished, Endpoint, Outcome
from scalefall.policy.settings import Idempotency, Settings

MILLISECOND_US = 1000  # microseconds in a millisecond


class AttemptDispatcher:
    """Starts one attempt for each of the engine's calls, and reports the outcome of each message.

    The start of an attempt is recorded in the journal before the attempt is sent. The dispatcher keeps the end of
    each Retry-After wait, because an attempt whose connection came up late must obey it too.

    Attributes:
        attempts: The attempts in flight, and the connection pool.
    """

    def __init__(
        self,
        scheduler: Scheduler,
        settings: Settings,
        max_sockets: int,
        events: EventQueue,
        tracker: DeliveryTracker,
        journal: Journal,
        endpoint_list: EndpointList,
        wall_offset_us: int,
        budget: MemoryBudget | None = None,
    ) -> None:
        """Start with no attempt in flight.

        Args:
            scheduler: The clock, and the tasks that run the attempts.
            settings: The drain grace, and which kinds have a Retry-After for each endpoint.
            max_sockets: The limit of connections to endpoints.
            events: Passes outcomes to the engine.
            tracker: The requests in flight.
            journal: Records the starts and outcomes of attempts.
            endpoint_list: The endpoints and their addresses.
            wall_offset_us: Wall time minus monotonic time, in microseconds.
            budget: Accounts for attempts and idle connections; None: there is no limit.
        """
        self._scheduler = scheduler
        self._settings = settings
        self._events = events
        self._tracker = tracker
        self._open = tracker.open
        self._journal = journal
        self._endpoint_list = endpoint_list
        self._wall_offset_us = wall_offset_us
        self._retry_after_until: dict[int | str, int] = {}  # by wait scope, in monotonic microseconds
        self.attempts = Attempts(
            scheduler, settings, max_sockets, self._handle_outcome, self.may_begin, tracker.open.__contains__, budget
        )

    # -- sends

    def dispatch(self, calls: Iterable[list[Send]]) -> None:
        """Start one attempt for each call of a step; a call is the list of its sends, which have the same endpoint."""
        for sends in calls:
            endpoint_id = sends[0].endpoint
            entry = self._endpoint_list.entries.get(endpoint_id)
            if entry is None:
                assert_invariant(False, "the engine sends only to listed endpoints")
                self._report_unsent(endpoint_id, sends)
            else:
                self._begin(entry, sends)

    def _report_unsent(self, endpoint_id: str, sends: list[Send]) -> None:
        """Report sends to an unknown endpoint as attempts that were not sent."""
        for send in sends:
            request = self._open.get(send.id)
            attempt = request.attempts if request else 0
            if request:
                request.attempts += 1
            self._events.gather(AttemptFinished(send.id, attempt, endpoint_id, Outcome.NOT_SENT, 0))

    def _begin(self, entry: Entry, sends: list[Send]) -> None:
        """Start one attempt with the messages of these sends.

        The message with the latest deadline comes first: an answer after the deadline of an attempt's first message
        ends none of the messages, and no attempt lasts longer than the latest deadline.
        """
        now_us = self._scheduler.now()
        messages, ids = [], []
        for send in sorted(sends, key=self._due_us, reverse=True):
            request = self._open.get(send.id)
            if request is None:  # the request was not accepted: the attempt ends unsent
                self._events.gather(AttemptFinished(send.id, 0, entry.endpoint.id, Outcome.NOT_SENT, 0, True))
                continue
            message_class = request.message_class
            messages.append(
                MessageInCall(
                    send.id,
                    request.attempts,
                    now_us + send.timeout_us,
                    request.idempotency_key,
                    request.body,
                    request.batch_bytes,
                    message_class is not None and message_class.idempotency is Idempotency.NOT_IDEMPOTENT,
                    self._start_by_us(request),
                )
            )
            request.attempts += 1
            ids.append(send.id)
        if not messages:
            return
        if log.isEnabledFor(logging.DEBUG):
            _log_begin(entry, messages, ids, now_us)
        if self._journal.record_attempt_started(ids, now_us + self._wall_offset_us, entry.endpoint.zone):
            self.attempts.begin(entry, messages)
        else:
            for message in messages:
                self._events.gather(
                    AttemptFinished(message.id, message.attempt, entry.endpoint.id, Outcome.NOT_SENT, 0)
                )

    def _due_us(self, send: Send) -> int:
        """Return the deadline of a send's message; 0 if the message is no longer open."""
        return self._open[send.id].due_us if send.id in self._open else 0

    def _start_by_us(self, request: DeliveryRequest) -> float:
        """Return the latest start of a request's next attempt, in monotonic microseconds.

        Endpoints drop a repeat only within the key's time to live after an attempt that may have run.
        """
        message_class = request.message_class
        pending = self._journal.pending.get(request.id)
        if (
            message_class is None
            or message_class.idempotency is not Idempotency.WITH_KEY
            or pending is None
            or not pending.may_have_run_wall_us
        ):
            return inf
        return pending.may_have_run_wall_us - self._wall_offset_us + message_class.key_ttl_us

    # -- results

    def may_begin(self, entry: Entry) -> bool:
        """Return whether an attempt may still be sent, now that its connection is up."""
        now_us, endpoint = self._scheduler.now(), entry.endpoint
        left_at_us = self._endpoint_list.left_at.get(endpoint.id, now_us)
        drained = now_us - left_at_us > self._settings.drain_grace_us - DRAIN_MARGIN_US
        return (
            self._endpoint_list.may_send_to(endpoint.id)
            and not drained
            and not self._endpoint_list.is_replaced(entry)
            and self._retry_after_until.get(self._wait_scope(endpoint), 0) <= now_us
        )

    def drop_expired_waits(self) -> None:
        """Drop the Retry-After waits that are over, so that those of removed destinations do not accumulate."""
        now_us = self._scheduler.now()
        self._retry_after_until = {
            scope: until_us for scope, until_us in self._retry_after_until.items() if until_us > now_us
        }

    def close_idle_to_draining(self) -> None:
        """Close the idle connections to endpoints that drain or have been removed."""
        for endpoint_id in self._endpoint_list.left_at:
            self.attempts.endpoint_left(self._endpoint_list.entries[endpoint_id])

    def _handle_outcome(self, event: AttemptFinished) -> None:
        """Record the outcome of an attempt for one message, and report it to the engine."""
        if log.isEnabledFor(logging.DEBUG):
            _log_outcome(event)
        if event.retry_after_us and event.endpoint in self._endpoint_list.entries:
            scope = self._wait_scope(self._endpoint_list.entries[event.endpoint].endpoint)
            until_us = self._scheduler.now() + event.retry_after_us
            self._retry_after_until[scope] = max(self._retry_after_until.get(scope, 0), until_us)
        if event.outcome is Outcome.OK:
            self._endpoint_list.record_served(event.endpoint, self._scheduler.now() - event.latency_us)
        if event.finished:
            self._journal.record_finished(event.id)
            self._tracker.finish(event.id)
        else:
            self._journal.record_attempt_finished(event.id, event.outcome not in NEVER_RAN)
            event.finished = event.id not in self._open
        self._events.gather(event)

    def _wait_scope(self, endpoint: Endpoint) -> int | str:
        """Return the scope of an endpoint's Retry-After: its destination, or the endpoint alone."""
        return endpoint.id if self._settings.route_per_endpoint.get(endpoint.kind) else endpoint.destination


def _log_begin(entry: Entry, messages: list[MessageInCall], ids: list[str], now_us: int) -> None:
    """Log the start of an attempt at debug level."""
    debug_event(
        "attempt started: endpoint %s, messages %s",
        entry.endpoint.id,
        " ".join(
            f"{message.id}/{message.attempt} for {(message.ends_at_us - now_us) // MILLISECOND_US} ms"
            for message in messages
        ),
        ids=ids,
        endpoint=entry.endpoint.id,
        dest=entry.endpoint.destination,
    )


def _log_outcome(event: AttemptFinished) -> None:
    """Log the outcome of an attempt for one message at debug level."""
    debug_event(
        "attempt ended: message %s/%d, endpoint %s, %s after %d ms, Retry-After %d ms, load report %s",
        event.id,
        event.attempt,
        event.endpoint,
        event.outcome.value,
        event.latency_us // MILLISECOND_US,
        event.retry_after_us // MILLISECOND_US,
        event.load_report,
        id=event.id,
        attempt=event.attempt,
        endpoint=event.endpoint,
        outcome=event.outcome.value,
        latency_us=event.latency_us,
        told=event.load_report,
    )

"""Carries out operators' calls at run time: maintenance of endpoints, and draining the sender."""

from __future__ import annotations

from collections.abc import Callable
from typing import NamedTuple

from scalefall.net.admin_state import AdminAction, AdminState
from scalefall.net.endpoint_list import EndpointList
from scalefall.net.event_queue import EventQueue
from scalefall.net.ingress_server import IngressServer
from scalefall.net.maintenance_store import MaintenanceStore
from scalefall.net.scheduler import Scheduler
from scalefall.policy.events import EndpointReport, Outcome

ASSUMED_OUTAGE_US = 2_000_000  # how long an endpoint counts as unreachable before its return from maintenance
INSUFFICIENT_STORAGE = 507  # the status of a call whose change could not be stored


class AdminAnswer(NamedTuple):
    """The answer to a call.

    Attributes:
        status: Its HTTP status.
        text: What it tells the operator beside that; may be empty.
    """

    status: int
    text: str = ""


class AdminActions:
    """Carries out the calls of the admin server, and stores the state that persists across restarts.

    Attributes:
        state: The state that operators have set.
        store: Stores the endpoints in maintenance.
    """

    def __init__(
        self,
        scheduler: Scheduler,
        tick_us: int,
        state: AdminState,
        store: MaintenanceStore,
        events: EventQueue,
        endpoint_list: EndpointList,
        ingress: IngressServer,
        describe_suspension: Callable[[], str],
    ) -> None:
        """Set up the calls on these components.

        Args:
            scheduler: The clock.
            tick_us: The length of the engine's tick in microseconds.
            state: Decides on the calls.
            store: Stores the endpoints in maintenance.
            events: Notifies the engine of endpoints that return from maintenance.
            endpoint_list: Starts and ends maintenance of endpoints.
            ingress: Drains the clients' connections.
            describe_suspension: Returns a sentence on the suspension of sending; empty while there is none.
        """
        self._scheduler = scheduler
        self._tick_us = tick_us
        self.store = store
        self._events = events
        self._endpoint_list = endpoint_list
        self._ingress = ingress
        self._describe_suspension = describe_suspension
        self.state = state

    def resume_maintenance(self) -> None:
        """Restart the maintenance of the endpoints that were in maintenance when the previous process ended."""
        self._endpoint_list.start_maintenance(self.state.in_maintenance)

    def handle(self, method: str, target: str) -> AdminAnswer:
        """Carry out a call, and return its answer: success only once it is done and stored."""
        ready = not self._ingress.shutting_down
        status, command = self.state.decide(method, target, ready, self._endpoint_list.has_endpoint)
        if command is None:
            return AdminAnswer(status, self._describe_suspension() if method == "GET" else "")
        endpoint, in_maintenance = command.endpoint, self.state.in_maintenance
        match command.action:
            case AdminAction.START_MAINTENANCE:
                if not self._store(in_maintenance | {endpoint}):
                    return AdminAnswer(INSUFFICIENT_STORAGE)
                self._endpoint_list.start_maintenance({endpoint})
            case AdminAction.END_MAINTENANCE:
                if not self._store(in_maintenance - {endpoint}):
                    return AdminAnswer(INSUFFICIENT_STORAGE)
                if endpoint in in_maintenance:
                    self._endpoint_list.end_maintenance(endpoint)
                    self._report_restarted(endpoint)
            case AdminAction.START_DRAIN:
                self._ingress.drain(True)
            case AdminAction.END_DRAIN:
                self._ingress.drain(False)
        self.state.apply(command)
        return AdminAnswer(status)

    def _store(self, in_maintenance: set[str]) -> bool:
        """Store the endpoints in maintenance if they change; return whether the store is up to date."""
        return in_maintenance == self.state.in_maintenance or self.store.save(in_maintenance)

    def _report_restarted(self, endpoint: str) -> None:
        """Report an endpoint that returns from maintenance to the engine as one that was unreachable.

        It has been restarted, so it goes through slow start. If other endpoints of its destination have served
        meanwhile, the engine does not treat the whole destination as down.
        """
        if self._endpoint_list.has_endpoint(endpoint):
            now_us = self._scheduler.now()
            # The second report's call counts as sent after the engine has handled the first report.
            for sent_us in (now_us - ASSUMED_OUTAGE_US, now_us + 2 * self._tick_us):
                self._events.gather(EndpointReport(endpoint, sent_us, Outcome.CONNECT_FAILED))

"""What operators ask for at run time, carried out: maintenance of endpoints, and a drain of the sender."""

from __future__ import annotations

from scalefall.net.admin_state import AdminAction, AdminState
from scalefall.net.endpoint_list import EndpointList
from scalefall.net.event_queue import EventQueue
from scalefall.net.ingress_server import IngressServer
from scalefall.net.maintenance_store import MaintenanceStore
from scalefall.net.scheduler import Scheduler
from scalefall.policy.events import EndpointReport, Outcome

OUTAGE_SEEN_US = 2_000_000  # an endpoint back from maintenance counts as seen down for so long already
INSUFFICIENT_STORAGE = 507  # the status of a call that could not be kept


class AdminActions:
    """Carries out the calls of the admin server, and keeps what has to outlive a restart.

    Attributes:
        state: What the operators have asked for so far.
        store: Keeps which endpoints are in maintenance, across a restart.
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
    ) -> None:
        """Carry out calls on these parts.

        Args:
            scheduler: The clock.
            tick_us: Length of the engine's tick in microseconds.
            state: Understands the calls.
            store: Keeps which endpoints are in maintenance.
            events: Tells the engine of endpoints that come back.
            endpoint_list: Lets endpoints drain and come back.
            ingress: Drains.
        """
        self._scheduler = scheduler
        self._tick_us = tick_us
        self.store = store
        self._events = events
        self._endpoint_list = endpoint_list
        self._ingress = ingress
        self.state = state

    def resume_maintenance(self) -> None:
        """Take out the endpoints that were in maintenance when the last process ended."""
        self._endpoint_list.start_maintenance(self.state.in_maintenance)

    def handle(self, method: str, target: str) -> int:
        """Carry out a call, and return its HTTP status: success only once it is done and kept."""
        ready = not self._ingress.shutting_down
        status, command = self.state.decide(method, target, ready, self._endpoint_list.has_endpoint)
        if command is None:
            return status
        endpoint, in_maintenance = command.endpoint, self.state.in_maintenance
        match command.action:
            case AdminAction.START_MAINTENANCE:
                if not self._store(in_maintenance | {endpoint}):
                    return INSUFFICIENT_STORAGE
                self._endpoint_list.start_maintenance({endpoint})
            case AdminAction.END_MAINTENANCE:
                if not self._store(in_maintenance - {endpoint}):
                    return INSUFFICIENT_STORAGE
                if endpoint in in_maintenance:
                    self._endpoint_list.end_maintenance(endpoint)
                    self._report_restarted(endpoint)
            case AdminAction.START_DRAIN:
                self._ingress.drain(True)
            case AdminAction.END_DRAIN:
                self._ingress.drain(False)
        self.state.apply(command)
        return status

    def _store(self, in_maintenance: set[str]) -> bool:
        """Store which endpoints are in maintenance, if that changes; False if it could not be written."""
        return in_maintenance == self.state.in_maintenance or self.store.save(in_maintenance)

    def _report_restarted(self, endpoint: str) -> None:
        """Have an endpoint that is back from maintenance met as after an outage that others have seen.

        It has been restarted, so it gets a few calls and then more. Where its neighbours have served meanwhile, the
        destination as a whole was not down.
        """
        if self._endpoint_list.has_endpoint(endpoint):
            now_us = self._scheduler.now()
            # The second call counts as sent after the moment at which the engine hears of the first.
            for sent_us in (now_us - OUTAGE_SEEN_US, now_us + 2 * self._tick_us):
                self._events.gather(EndpointReport(endpoint, sent_us, Outcome.CONNECT_FAILED))

"""The sender: its parts put together, from the sockets to the engine, and its life from start to shutdown."""

from __future__ import annotations

import signal
from dataclasses import replace

from scalefall.net import http, invariants, learned_rates
from scalefall.net.admin import AdminServer
from scalefall.net.admin_actions import AdminActions
from scalefall.net.admin_state import AdminState
from scalefall.net.admission import Admission
from scalefall.net.attempt_dispatcher import AttemptDispatcher
from scalefall.net.config import Address, Config
from scalefall.net.deadline_watch import DeadlineWatch
from scalefall.net.delivery_reports import DeliveryReporter, DeliveryReports, LoggedDeliveryReports
from scalefall.net.delivery_tracker import DeliveryTracker
from scalefall.net.discovery_list import DiscoveryList
from scalefall.net.endpoint_list import EndpointList
from scalefall.net.event_queue import EventQueue
from scalefall.net.final_answers import FinalAnswers
from scalefall.net.ingress_server import IngressServer
from scalefall.net.journal import Journal
from scalefall.net.logs import log
from scalefall.net.maintenance_store import MaintenanceStore
from scalefall.net.rate_keeper import RateKeeper
from scalefall.net.recovery import Recovery
from scalefall.net.reloader import FleetReloader, ReadAgain, Reloader, SettingsReloader, forget_endpoints_after_us
from scalefall.net.route_table import RouteTable
from scalefall.net.scheduler import Scheduler
from scalefall.net.sender_loop import SenderLoop
from scalefall.net.shutdown import Shutdown
from scalefall.net.static_list import StaticList
from scalefall.policy.engine import Engine
from scalefall.policy.events import EndpointListUpdate

HOUSEKEEPING_US = 10_000_000  # microseconds between two reports of broken invariants, and clean-ups
OWN_SOCKETS = 24  # descriptors that are neither a client's nor an endpoint's
LIST_MEMORY_DIVISOR = 16  # one object of discovery's list may take this part of the memory limit
INGRESS_MEMORY_DIVISOR = 4  # and what all clients have sent so far may take this part


class Sender:
    """A sender on the sockets: it accepts messages over HTTP and delivers them as the engine decides.

    To embed one, call `start()` on a scheduler of your own and `close()` to end it; the scheduler stops when it has
    ended. Its parts are public, for those who put another ingress beside it or watch it; only its own code changes
    what they are.

    Attributes:
        config: The configuration that it was made from.
        address: Where clients submit messages; with the true port once started.
        admin_address: Where operators call; None if nowhere.
        wall_offset_us: What to add to monotonic time for wall time, in microseconds.
        engine: Takes every decision.
        events: What the engine hears with the next step.
        loop: Runs the steps.
        tracker: The messages in flight.
        deadline_watch: Sees to it that none is open past its deadline.
        admission: Where an ingress submits and withdraws requests.
        dispatcher: The attempts, and what stops one from beginning.
        journal: What outlives the process.
        recovery: What the last process left.
        rate_keeper: Saves the learned rates.
        endpoint_list: The endpoints, from discovery or from the operator's file.
        routes: The rules of routes from that file.
        delivery_reports: Tells the platform of messages that were given up.
        ingress: The clients' connections.
        admin_server: The operators' connections; None without an address for them.
        admin_actions: What the operators' calls do; None without an address for them.
        reloader: Puts a configuration that is read again into force.
        shutdown: The way to the end.
    """

    def __init__(self, scheduler: Scheduler, config: Config) -> None:
        """Put the parts together and read the state folder; nothing is sent or listened to yet.

        Raises:
            OSError: The state folder cannot be used.
        """
        max_sockets = (config.sockets - OWN_SOCKETS) // 2  # as many for clients as for endpoints
        settings = replace(config.settings, call_slots=min(config.settings.call_slots, max_sockets))
        self.config = config
        self.address: Address = config.listen
        self.admin_address: Address | None = config.admin
        self._scheduler = scheduler
        self._settings = settings
        self.engine = Engine(settings, config.seed)
        self.events = EventQueue(scheduler, settings.tick_us)
        self.tracker = DeliveryTracker(scheduler, config.memory_bytes)
        self.routes = RouteTable()
        self.wall_offset_us = scheduler.wall() - scheduler.now()
        self._open_state_folder()
        self._connect_delivery(max_sockets)
        bytes_per_client = http.MAX_HEAD_BYTES + http.MAX_BODY_BYTES
        self._connect_lifecycle(min(max_sockets, config.memory_bytes // INGRESS_MEMORY_DIVISOR // bytes_per_client))

    def _open_state_folder(self) -> None:
        """Divide the state folder's limit, and open what is kept there."""
        config = self.config
        rates_bytes = learned_rates.reserved_bytes(config.disk_bytes)
        self._maintenance_store = MaintenanceStore(config.state, config.disk_bytes) if config.admin else None
        self._admin_state = AdminState(self._maintenance_store.load() if self._maintenance_store else set())
        maintenance_bytes = self._maintenance_store.reserved_bytes if self._maintenance_store else 0
        self.journal = Journal(config.state, config.disk_bytes - rates_bytes - maintenance_bytes)
        self.rate_keeper = RateKeeper(self._scheduler, self.engine.learned_rates, config.state, rates_bytes)

    def _connect_delivery(self, max_sockets: int) -> None:
        """Connect what a message passes through, from its submission to its final answer."""
        scheduler, settings = self._scheduler, self._settings
        self.delivery_reports = self._make_delivery_reports()
        self.endpoint_list, self.reloader = self._make_list_and_reloader()
        final_answers = FinalAnswers(self.tracker, self.journal, self.delivery_reports, self.routes)
        self.deadline_watch = DeadlineWatch(scheduler, self.tracker.open, self.events, final_answers)
        self.admission = Admission(
            scheduler,
            settings,
            self.events,
            self.tracker,
            self.deadline_watch,
            self.journal,
            self.endpoint_list,
            self.routes,
            self.wall_offset_us,
        )
        self.dispatcher = AttemptDispatcher(
            scheduler,
            settings,
            max_sockets,
            self.events,
            self.tracker,
            self.journal,
            self.endpoint_list,
            self.wall_offset_us,
        )
        self.loop = SenderLoop(
            scheduler,
            self.engine,
            self.events,
            self.tracker,
            self.admission,
            self.dispatcher,
            final_answers,
            self.endpoint_list,
        )
        self.events.connect(self.loop.step)

    def _make_list_and_reloader(self) -> tuple[EndpointList, Reloader]:
        """Make the endpoint list, from discovery or from the operator's file, and what reloads the one or the other."""
        scheduler, config, settings = self._scheduler, self.config, self._settings
        if config.fleet is None:
            assert config.discovery is not None, "only a fleet comes without discovery"
            endpoint_list = DiscoveryList(
                scheduler,
                config.discovery,
                config.known,
                self._endpoint_list_changed,
                not settings.polls_endpoint_list,
                config.memory_bytes // LIST_MEMORY_DIVISOR,
                config.seed,
                forget_endpoints_after_us(settings),
            )
            return endpoint_list, SettingsReloader(settings, endpoint_list, self.delivery_reports)
        static_list = StaticList(scheduler, config.known, self._endpoint_list_changed, settings.drain_grace_us)
        reloader = FleetReloader(scheduler, settings, static_list, self.routes)
        reloader.apply_routes(config.fleet)
        return static_list, reloader

    def _make_delivery_reports(self) -> DeliveryReporter:
        """Make what tells the platform of messages that were given up; without a platform that is the log."""
        platform = self.config.discovery or self.config.reports
        if platform is None:
            return LoggedDeliveryReports(self.journal.record_finished)
        return DeliveryReports(self._scheduler, platform, self.journal.record_finished)

    def _connect_lifecycle(self, max_clients: int) -> None:
        """Connect the ingress, and what starts, serves operators and ends."""
        scheduler, settings = self._scheduler, self._settings
        self.ingress = IngressServer(
            scheduler, settings.classes, max_clients, self.admission.submit, self.admission.withdraw
        )
        self.recovery = Recovery(
            settings.classes,
            self.events,
            self.tracker,
            self.deadline_watch,
            self.journal,
            self.delivery_reports,
            self.wall_offset_us,
        )
        self.admin_actions: AdminActions | None = None
        self.admin_server: AdminServer | None = None
        if self._maintenance_store is not None:
            self.admin_actions = AdminActions(
                scheduler,
                settings.tick_us,
                self._admin_state,
                self._maintenance_store,
                self.events,
                self.endpoint_list,
                self.ingress,
            )
            self.admin_server = AdminServer(scheduler, self.admin_actions.handle)
        self.shutdown = Shutdown(
            scheduler,
            open_requests=self.tracker.open,
            events=self.events,
            admission=self.admission,
            ingress=self.ingress,
            attempts=self.dispatcher.attempts,
            delivery_reports=self.delivery_reports,
            rate_keeper=self.rate_keeper,
            admin_server=self.admin_server,
        )

    def start(self) -> None:
        """Carry on with what the last process left, and listen.

        Raises:
            OSError: An address cannot be listened on.
        """
        for doubt in self.config.warnings:
            log.warning("configuration: %s", doubt)
        self.recovery.hold_learned_rates(self.rate_keeper.load())
        if self.admin_actions is not None:
            self.admin_actions.resume_maintenance()
        self.endpoint_list.start()
        self.recovery.restore()
        self.loop.step()
        self.address = self.ingress.listen(self.config.listen)
        log.info("ready: %s at %s:%d", self.config.name, *self.address)
        if self.admin_server is not None and self.config.admin is not None:
            self.admin_address = self.admin_server.listen(self.config.admin)
        self._scheduler.call_at(self._scheduler.now() + HOUSEKEEPING_US, self._run_housekeeping)
        self._scheduler.spawn(self.rate_keeper.keep_saving)

    def reload(self, read_again: ReadAgain) -> None:
        """Read the configuration again, as SIGHUP asks for, and take what needs no restart."""
        self.reloader.reload(read_again)

    def close(self) -> None:
        """Shut down gracefully, as SIGTERM asks for; the scheduler stops within 3.3 s."""
        self.shutdown.start()

    def _endpoint_list_changed(self, event: EndpointListUpdate) -> None:
        """Pass on what the endpoint list has learned."""
        self.dispatcher.close_unwanted_connections()
        self.events.gather(event)
        self.recovery.release_learned_rates()

    def _run_housekeeping(self) -> None:
        """Report broken invariants, and forget what is over; every so often."""
        invariants.log_violations()
        self.dispatcher.forget_expired_waits()
        self._scheduler.call_at(self._scheduler.now() + HOUSEKEEPING_US, self._run_housekeeping)


def run(config: Config, read_again: ReadAgain | None = None) -> None:
    """Serve until SIGTERM or SIGINT has been heeded.

    Args:
        config: What to serve.
        read_again: Reads the configuration once more at a SIGHUP; without it, SIGHUP takes `config` again.

    Raises:
        OSError: The state folder or an address cannot be used.
    """
    scheduler = Scheduler()
    sender = Sender(scheduler, config)
    for number in (signal.SIGTERM, signal.SIGINT):
        scheduler.on_signal(number, sender.close)
    scheduler.on_signal(signal.SIGHUP, lambda: sender.reload(read_again or (lambda: config)))
    sender.start()
    scheduler.run()

"""The sender: connects its components, from the sockets to the engine, and runs them from start to shutdown."""

from __future__ import annotations

import signal
from dataclasses import replace

from scalefall.net import invariants, learned_rates
from scalefall.net.admin import AdminServer
from scalefall.net.admin_actions import AdminActions
from scalefall.net.admin_state import AdminState
from scalefall.net.admission import Admission
from scalefall.net.attempt_dispatcher import AttemptDispatcher
from scalefall.net.config import Address, Config
from scalefall.net.deadline_monitor import DeadlineMonitor
from scalefall.net.delivery_reports import DeliveryReporter, DeliveryReports, LoggedDeliveryReports
from scalefall.net.delivery_tracker import DeliveryTracker
from scalefall.net.discovery_list import DiscoveryList
from scalefall.net.endpoint_list import EndpointList, ListEvent
from scalefall.net.event_queue import EventQueue
from scalefall.net.final_answers import FinalAnswers
from scalefall.net.ingress_server import IngressServer
from scalefall.net.journal import Journal
from scalefall.net.logs import log
from scalefall.net.maintenance_store import MaintenanceStore
from scalefall.net.memory_budget import MemoryBudget, budget_bytes
from scalefall.net.rate_saver import RateSaver
from scalefall.net.recovery import Recovery
from scalefall.net.reloader import FleetReloader, LoadConfig, Reloader, SettingsReloader, endpoint_retention_us
from scalefall.net.resource_log import log_resources
from scalefall.net.route_table import RouteTable
from scalefall.net.scheduler import Scheduler
from scalefall.net.sender_loop import SenderLoop
from scalefall.net.shutdown import Shutdown
from scalefall.net.static_list import StaticList
from scalefall.net.suspension_report import SuspensionReport
from scalefall.policy.engine import Engine

HOUSEKEEPING_INTERVAL_US = 10_000_000
RESERVED_SOCKETS = 24  # descriptors for other uses than clients and endpoints
LIST_MEMORY_DIVISOR = 16  # one object of discovery's list may take this fraction of the memory limit


class Sender:
    """A sender: accepts messages over HTTP and delivers them as the engine decides.

    To embed one, call `start()` on a scheduler of your own, and `close()` to shut it down; that stops the scheduler.
    Its components are public, so that callers can add another ingress or inspect them; only this class reassigns them.

    Attributes:
        config: The configuration that it was made from.
        address: The address for clients; with the actual port once started.
        admin_address: The address for operators; None if there is none.
        wall_offset_us: Wall time minus monotonic time, in microseconds.
        budget: Accounts for the memory that input makes the process hold.
        engine: Takes all decisions.
        events: The events for the engine's next step.
        loop: Runs the steps.
        tracker: The open requests.
        deadline_monitor: Fails messages that are open past their deadline.
        admission: Lets an ingress submit and withdraw requests.
        dispatcher: The attempts, and the conditions that prevent one from starting.
        journal: The journal of pending messages.
        recovery: Restores the state of the previous process.
        rate_saver: Saves the learned rates.
        endpoint_list: The endpoints, from discovery or from the operator's file.
        routes: The rules of the routes in that file.
        delivery_reports: Reports messages that were given up to the platform.
        ingress: The clients' connections.
        admin_server: The operators' connections; None without an address for them.
        admin_actions: Carries out the operators' calls; None without an address for them.
        suspension_report: Tells operators that sending is suspended.
        reloader: Applies a reloaded configuration.
        shutdown: Shuts the sender down.
    """

    def __init__(self, scheduler: Scheduler, config: Config) -> None:
        """Connect the components and read the state folder; send nothing and do not listen yet.

        Raises:
            OSError: The state folder cannot be used, or another process uses it.
        """
        max_sockets = (config.sockets - RESERVED_SOCKETS) // 2  # as many for clients as for endpoints
        settings = replace(config.settings, call_slots=min(config.settings.call_slots, max_sockets))
        self.config = config
        self.address: Address = config.listen
        self.admin_address: Address | None = config.admin
        self._scheduler = scheduler
        self._settings = settings
        self.engine = Engine(settings, config.seed)
        self.events = EventQueue(scheduler, settings.tick_us)
        self.budget = MemoryBudget(budget_bytes(config.memory_bytes))
        self.tracker = DeliveryTracker(scheduler, config.memory_bytes, self.budget)
        self.routes = RouteTable()
        self.wall_offset_us = scheduler.wall() - scheduler.now()
        self._open_state_folder()
        self._connect_delivery(max_sockets)
        self._connect_lifecycle(max_sockets)

    def _open_state_folder(self) -> None:
        """Divide the state folder's limit among its files, and open them."""
        config = self.config
        rates_bytes = learned_rates.reserved_bytes(config.disk_bytes)
        self._maintenance_store = MaintenanceStore(config.state, config.disk_bytes) if config.admin else None
        self._admin_state = AdminState(self._maintenance_store.load() if self._maintenance_store else set())
        maintenance_bytes = self._maintenance_store.reserved_bytes if self._maintenance_store else 0
        self.journal = Journal(config.state, config.disk_bytes - rates_bytes - maintenance_bytes, self.budget)
        self.rate_saver = RateSaver(self._scheduler, self.engine.learned_rates, config.state, rates_bytes)

    def _connect_delivery(self, max_sockets: int) -> None:
        """Connect the components that a message passes through, from submission to final answer."""
        scheduler, settings = self._scheduler, self._settings
        self.delivery_reports = self._make_delivery_reports()
        self.endpoint_list, self.reloader = self._make_list_and_reloader()
        final_answers = FinalAnswers(self.tracker, self.journal, self.delivery_reports, self.routes)
        self.deadline_monitor = DeadlineMonitor(scheduler, self.tracker.open, self.events, final_answers)
        self.admission = Admission(
            scheduler,
            settings,
            self.events,
            self.tracker,
            self.deadline_monitor,
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
            self.budget,
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
        """Return the endpoint list, from discovery or from the operator's file, and the reloader that matches."""
        scheduler, config, settings = self._scheduler, self.config, self._settings
        if config.fleet is None:
            assert config.discovery is not None, "a configuration without a fleet has a discovery address"
            endpoint_list = DiscoveryList(
                scheduler,
                config.discovery,
                config.known,
                self._endpoint_list_changed,
                not settings.polls_endpoint_list,
                config.memory_bytes // LIST_MEMORY_DIVISOR,
                config.seed,
                endpoint_retention_us(settings),
                self.budget,
                settings.replica_count,
                settings.drain_grace_us,
            )
            return endpoint_list, SettingsReloader(config.keys, settings, endpoint_list, self.delivery_reports)
        static_list = StaticList(scheduler, config.known, self._endpoint_list_changed, settings.drain_grace_us)
        reloader = FleetReloader(scheduler, settings, static_list, self.routes)
        reloader.apply_routes(config.fleet)
        return static_list, reloader

    def _make_delivery_reports(self) -> DeliveryReporter:
        """Return the reporter of messages that were given up; without a platform it writes to the log."""
        platform = self.config.discovery or self.config.reports
        if platform is None:
            return LoggedDeliveryReports(self.journal.record_finished)
        return DeliveryReports(self._scheduler, platform, self.journal.record_finished, self.budget)

    def _connect_lifecycle(self, max_clients: int) -> None:
        """Connect the ingress, recovery, the admin server and the shutdown."""
        scheduler, settings = self._scheduler, self._settings
        self.ingress = IngressServer(
            scheduler, settings.classes, max_clients, self.admission.submit, self.admission.withdraw, self.budget
        )
        self.recovery = Recovery(
            settings.classes,
            self.events,
            self.tracker,
            self.deadline_monitor,
            self.journal,
            self.delivery_reports,
            self.wall_offset_us,
        )
        self._connect_admin()
        self.shutdown = Shutdown(
            scheduler,
            open_requests=self.tracker.open,
            events=self.events,
            admission=self.admission,
            ingress=self.ingress,
            attempts=self.dispatcher.attempts,
            delivery_reports=self.delivery_reports,
            rate_saver=self.rate_saver,
            admin_server=self.admin_server,
        )

    def _connect_admin(self) -> None:
        """Connect what operators see, and the admin server if there is an address for it."""
        scheduler = self._scheduler
        self.suspension_report = SuspensionReport(scheduler, self.endpoint_list, self.tracker, self.journal)
        self.admin_actions: AdminActions | None = None
        self.admin_server: AdminServer | None = None
        if self._maintenance_store is not None:
            self.admin_actions = AdminActions(
                scheduler,
                self._settings.tick_us,
                self._admin_state,
                self._maintenance_store,
                self.events,
                self.endpoint_list,
                self.ingress,
                self.suspension_report.text,
            )
            self.admin_server = AdminServer(scheduler, self.admin_actions.handle, self.budget)

    def start(self) -> None:
        """Restore the state of the previous process, and listen.

        Raises:
            OSError: An address cannot be listened on.
        """
        for warning in self.config.warnings:
            log.warning("configuration: %s", warning)
        self.recovery.defer_learned_rates(self.rate_saver.load())
        if self.admin_actions is not None:
            self.admin_actions.resume_maintenance()
        self.endpoint_list.start()
        self.recovery.restore()
        self.loop.step()
        self.address = self.ingress.listen(self.config.listen)
        log.info("ready: %s at %s:%d", self.config.name, *self.address)
        if self.admin_server is not None and self.config.admin is not None:
            self.admin_address = self.admin_server.listen(self.config.admin)
        self._scheduler.call_at(self._scheduler.now() + HOUSEKEEPING_INTERVAL_US, self._run_housekeeping)
        self._scheduler.spawn(self.rate_saver.save_periodically)

    def reload(self, load_config: LoadConfig) -> None:
        """Reload the configuration, as SIGHUP requests, and apply the settings that need no restart."""
        self.reloader.reload(load_config)

    def close(self) -> None:
        """Shut down gracefully, as SIGTERM requests; the scheduler stops within 3.3 s."""
        self.shutdown.start()

    def _endpoint_list_changed(self, event: ListEvent) -> None:
        """Pass an event of the endpoint list to the engine."""
        self.dispatcher.close_idle_to_draining()
        self.events.gather(event)
        self.recovery.release_learned_rates()

    def _run_housekeeping(self) -> None:
        """Log violated invariants, resources and a suspension, and drop expired waits, periodically."""
        invariants.log_violations()
        log_resources(self.budget, self.ingress.describe_connections(), self.ingress.ends.take_text())
        self.suspension_report.log()
        self.dispatcher.drop_expired_waits()
        self._scheduler.call_at(self._scheduler.now() + HOUSEKEEPING_INTERVAL_US, self._run_housekeeping)


def run(config: Config, load_config: LoadConfig | None = None) -> None:
    """Run a sender until SIGTERM or SIGINT has shut it down.

    Args:
        config: The configuration.
        load_config: Loads the configuration again on SIGHUP; without it, SIGHUP applies `config` again.

    Raises:
        OSError: The state folder or an address cannot be used.
    """
    scheduler = Scheduler()
    sender = Sender(scheduler, config)
    for number in (signal.SIGTERM, signal.SIGINT):
        scheduler.on_signal(number, sender.close)
    scheduler.on_signal(signal.SIGHUP, lambda: sender.reload(load_config or (lambda: config)))
    sender.start()
    scheduler.run()

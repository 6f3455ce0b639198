"""SIGHUP: the configuration is read again, and what may change while the sender runs is put into force."""

from __future__ import annotations

import gc
from collections.abc import Callable
from typing import Protocol

from scalefall.net.config import Config, ConfigError, Fleet
from scalefall.net.delivery_reports import DeliveryReporter
from scalefall.net.discovery_list import DiscoveryList
from scalefall.net.logs import log
from scalefall.net.route_table import RouteTable
from scalefall.net.scheduler import Scheduler
from scalefall.net.static_list import StaticList
from scalefall.policy.settings import Settings

ReadAgain = Callable[[], Config]


class Reloader(Protocol):
    """Puts a configuration that is read again into force, as far as that needs no restart."""

    def reload(self, read_again: ReadAgain) -> None:
        """Read the configuration and take it; one that cannot be used is logged and changes nothing."""


class SettingsReloader:
    """For a sender that discovery serves: discovery's address, message classes and attempts may change.

    Discovery, and with it the platform, may have moved. Everything else is settled at the start.
    """

    def __init__(
        self,
        settings: Settings,
        endpoint_list: DiscoveryList,
        delivery_reports: DeliveryReporter,
    ) -> None:
        """Reload into these parts.

        Args:
            settings: The settings in force. Ingress, admission and engine share their table of classes with it.
            endpoint_list: Moves its watch to discovery's new address.
            delivery_reports: Move there as well.
        """
        self._settings = settings
        self._endpoint_list = endpoint_list
        self._delivery_reports = delivery_reports

    def reload(self, read_again: ReadAgain) -> None:
        """Read the configuration and take it at once; see `Reloader.reload`."""
        try:
            config = read_again()
        except ConfigError as error:
            log.error("configuration not taken, the old settings stay: %s", error)
            return
        assert config.discovery is not None, "only a fleet comes without discovery"
        log.info("configuration read again: discovery at %s:%d", *config.discovery)
        self._endpoint_list.move(config.discovery)
        self._delivery_reports.move(config.discovery)
        self._apply(config.settings)

    def _apply(self, new: Settings) -> None:
        """Put classes and attempts into force. What is open keeps the rules that it was accepted under."""
        self._log_changes(new)
        classes = dict(new.classes)
        self._settings.classes.clear()
        self._settings.classes.update(classes)
        self._settings.max_attempts = new.max_attempts
        self._endpoint_list.remember_for(forget_endpoints_after_us(self._settings))

    def _log_changes(self, new: Settings) -> None:
        """Log what differs from the settings in force, if anything does."""
        before, after = self._settings.classes, new.classes
        added = sorted(after.keys() - before.keys())
        dropped = sorted(before.keys() - after.keys())
        changed = sorted(name for name in after.keys() & before.keys() if after[name] != before[name])
        if added or dropped or changed or new.max_attempts != self._settings.max_attempts:
            log.info(
                "retuned: classes new: %s; gone: %s; changed: %s; attempts %d",
                " ".join(added) or "none",
                " ".join(dropped) or "none",
                " ".join(changed) or "none",
                new.max_attempts,
            )


class FleetReloader:
    """For a sender on a file of the operator's own: endpoints and routes' rules may change.

    The file may be long, and is read in a thread beside the sending. A signal that comes meanwhile has it read once
    more.

    Attributes:
        reloading: Whether a read is under way.
    """

    def __init__(self, scheduler: Scheduler, settings: Settings, endpoint_list: StaticList, routes: RouteTable) -> None:
        """Reload into these parts.

        Args:
            scheduler: Runs the read in a thread.
            settings: The settings in force; attempts by route are replaced in them.
            endpoint_list: Takes the file's endpoints.
            routes: Takes the routes' rules.
        """
        self._scheduler = scheduler
        self._settings = settings
        self._endpoint_list = endpoint_list
        self._routes = routes
        self._read_once_more = False
        self.reloading = False

    def apply_routes(self, fleet: Fleet) -> None:
        """Put the routes' rules into force; what is open keeps its attempts.

        A large fleet stays as it is for long: the garbage collector, which held everything up for 0.1 s over 20,000
        endpoints, need not go through it again.
        """
        self._routes.replace(fleet.routes)
        self._scheduler.call_at(self._scheduler.now(), gc.freeze)
        self._settings.attempts = {number: rules.attempts for number, rules in fleet.routes.items()}

    def reload(self, read_again: ReadAgain) -> None:
        """Have the configuration read in a thread and taken afterwards; see `Reloader.reload`."""
        self._read_once_more = True
        if not self.reloading:
            self.reloading = True
            self._scheduler.spawn(self._reload, read_again)

    def _reload(self, read_again: ReadAgain) -> None:
        try:
            while self._read_once_more:
                self._read_once_more = False
                try:
                    config = self._scheduler.in_thread(read_again)
                except ConfigError as error:
                    for line in str(error).splitlines():
                        log.error("configuration not taken, the old settings stay: %s", line)
                    continue
                self._apply(config)
        finally:
            self.reloading = False

    def _apply(self, config: Config) -> None:
        """Take the routes and endpoints of a configuration that was read again."""
        for line in config.needs_restart:
            log.warning("left as it was until a restart: %s", line)
        fleet = config.fleet
        assert fleet is not None, "a sender on a file has its fleet from there"
        self.apply_routes(fleet)
        added, gone, changed = self._endpoint_list.replace(fleet.entries)
        log.info(
            "configuration read again: %d endpoints, %d new, %d gone, %d changed; %d routes",
            len(fleet.entries),
            added,
            gone,
            changed,
            len(fleet.routes),
        )


def forget_endpoints_after_us(settings: Settings) -> int:
    """Return for how long an endpoint that went has to be known: twice as long as any message may take."""
    return 2 * max((message_class.deadline_us for message_class in settings.classes.values()), default=0)

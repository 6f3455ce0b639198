"""Reload on SIGHUP: reads the configuration again and applies the settings that can change at run time."""

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

LoadConfig = Callable[[], Config]


class Reloader(Protocol):
    """Reloads the configuration and applies the settings that need no restart."""

    def reload(self, load_config: LoadConfig) -> None:
        """Load the configuration and apply it; one that is invalid is logged and changes nothing."""


class SettingsReloader:
    """Reloads a sender that uses discovery: the address of discovery, the message classes and the attempt limit.

    The platform has the same address as discovery. All other settings need a restart.

    A file that lacks a key of the file in force is incomplete, and nothing of it is applied. At the start the
    environment or a default may stand in for a missing key; later the value in force may be another.
    """

    def __init__(
        self,
        keys: frozenset[str],
        settings: Settings,
        endpoint_list: DiscoveryList,
        delivery_reports: DeliveryReporter,
    ) -> None:
        """Set up reloading of these components.

        Args:
            keys: The keys of the configuration file in force.
            settings: The current settings. Ingress, admission and engine share its table of classes.
            endpoint_list: Moves its watch to the new address of discovery.
            delivery_reports: Posts to the new address as well.
        """
        self._keys = keys
        self._settings = settings
        self._endpoint_list = endpoint_list
        self._delivery_reports = delivery_reports

    def reload(self, load_config: LoadConfig) -> None:
        """Load the configuration and apply it at once; see `Reloader.reload`."""
        try:
            config = load_config()
            self._check_complete(config)
        except ConfigError as error:
            log.error("configuration not taken, the old settings stay: %s", error)
            return
        assert config.discovery is not None, "a configuration without a fleet has a discovery address"
        log.info("configuration read again: discovery at %s:%d", *config.discovery)
        self._endpoint_list.move(config.discovery)
        self._delivery_reports.move(config.discovery)
        self._keys = config.keys
        self._apply(config.settings)

    def _check_complete(self, config: Config) -> None:
        """Raise ConfigError if the configuration lacks keys of the one in force."""
        missing = self._keys - config.keys
        if missing:
            raise ConfigError(f"missing keys: {', '.join(sorted(missing))}")

    def _apply(self, new: Settings) -> None:
        """Apply message classes and the attempt limit; pending messages keep the rules of their acceptance."""
        self._log_changes(new)
        classes = dict(new.classes)
        self._settings.classes.clear()
        self._settings.classes.update(classes)
        self._settings.max_attempts = new.max_attempts
        self._endpoint_list.extend_removed_retention(endpoint_retention_us(self._settings))

    def _log_changes(self, new: Settings) -> None:
        """Log the differences from the current settings, if there are any."""
        before, after = self._settings.classes, new.classes
        added = sorted(after.keys() - before.keys())
        removed = sorted(before.keys() - after.keys())
        changed = sorted(name for name in after.keys() & before.keys() if after[name] != before[name])
        if added or removed or changed or new.max_attempts != self._settings.max_attempts:
            log.info(
                "settings changed: classes added: %s; removed: %s; changed: %s; max attempts %d",
                " ".join(added) or "none",
                " ".join(removed) or "none",
                " ".join(changed) or "none",
                new.max_attempts,
            )


class FleetReloader:
    """Reloads a sender that uses a configuration file of the operator: the endpoints and the routes' rules.

    The file may be large, so a thread reads it while the sender runs. A signal during a reload starts another one
    afterwards.

    Attributes:
        reloading: Whether a reload is in progress.
    """

    def __init__(self, scheduler: Scheduler, settings: Settings, endpoint_list: StaticList, routes: RouteTable) -> None:
        """Set up reloading of these components.

        Args:
            scheduler: Runs the load in a thread.
            settings: The current settings; their attempt limits by route are replaced.
            endpoint_list: Receives the file's endpoints.
            routes: Receives the routes' rules.
        """
        self._scheduler = scheduler
        self._settings = settings
        self._endpoint_list = endpoint_list
        self._routes = routes
        self._reload_wanted = False
        self.reloading = False

    def apply_routes(self, fleet: Fleet) -> None:
        """Apply the routes' rules; pending messages keep their attempt limits.

        Calls gc.freeze afterwards: a fleet rarely changes, and a garbage collection over 20,000 endpoints blocks the
        process for 0.1 s.
        """
        self._routes.replace(fleet.routes)
        self._scheduler.call_at(self._scheduler.now(), gc.freeze)
        self._settings.attempts = {number: rules.attempts for number, rules in fleet.routes.items()}

    def reload(self, load_config: LoadConfig) -> None:
        """Load the configuration in a thread and apply it afterwards; see `Reloader.reload`."""
        self._reload_wanted = True
        if not self.reloading:
            self.reloading = True
            self._scheduler.spawn(self._reload, load_config)

    def _reload(self, load_config: LoadConfig) -> None:
        try:
            while self._reload_wanted:
                self._reload_wanted = False
                try:
                    config = self._scheduler.in_thread(load_config)
                except ConfigError as error:
                    for line in str(error).splitlines():
                        log.error("configuration not taken, the old settings stay: %s", line)
                    continue
                self._apply(config)
        finally:
            self.reloading = False

    def _apply(self, config: Config) -> None:
        """Apply the routes and endpoints of a reloaded configuration."""
        for line in config.needs_restart:
            log.warning("setting not applied, needs a restart: %s", line)
        fleet = config.fleet
        assert fleet is not None, "a sender without discovery has a fleet"
        self.apply_routes(fleet)
        added, removed, changed = self._endpoint_list.replace(fleet.entries)
        log.info(
            "configuration read again: %d endpoints, %d added, %d removed, %d changed; %d routes",
            len(fleet.entries),
            added,
            removed,
            changed,
            len(fleet.routes),
        )


def endpoint_retention_us(settings: Settings) -> int:
    """Return how long to retain a removed endpoint: twice the longest deadline of any class."""
    return 2 * max((message_class.deadline_us for message_class in settings.classes.values()), default=0)

"""Differences between a fleet and the one before it. No I/O, no clock."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass, replace

from scalefall.control.resource_builder import RouteEntries
from scalefall.net.config import Fleet, RouteRules
from scalefall.policy.events import Endpoint, EndpointStatus

NO_STATUS = "none"  # the status that is logged for an endpoint that is not in the list


@dataclass(slots=True, frozen=True)
class FleetInForce:
    """A fleet, with its endpoints by route."""

    fleet: Fleet
    entries: RouteEntries

    @classmethod
    def of(cls, fleet: Fleet) -> FleetInForce:
        """Group a fleet's endpoints by route; a route without endpoints has an empty list."""
        entries: RouteEntries = {route: [] for route in fleet.routes}
        for entry in fleet.entries:
            entries.setdefault(entry.endpoint.destination, []).append(entry)
        return cls(fleet, entries)

    def changed_routes(self, before: FleetInForce) -> dict[int, RouteRules]:
        """Return the routes whose endpoints or rules differ from those before, with their rules."""
        return {route: rules for route, rules in self.fleet.routes.items() if self._differs(route, before)}

    def _differs(self, route: int, before: FleetInForce) -> bool:
        if self.entries[route] != before.entries.get(route):
            return True
        return self.fleet.routes[route] != before.fleet.routes.get(route)


@dataclass(slots=True, frozen=True)
class StatusChange:
    """A change of an endpoint's status."""

    endpoint: Endpoint
    address: str
    before: str  # the status's name, or NO_STATUS
    after: str


@dataclass(slots=True, frozen=True)
class EndpointChanges:
    """The endpoints that are new, changed or removed, and the changes of status."""

    endpoints: list[Endpoint]
    status_changes: list[StatusChange]


def endpoint_changes(before: Fleet, after: Fleet) -> EndpointChanges:
    """Compare the endpoints of two fleets, by endpoint id."""
    old = {entry.endpoint.id: entry.endpoint for entry in before.entries}
    new = {entry.endpoint.id: entry.endpoint for entry in after.entries}
    changed = [endpoint for name, endpoint in new.items() if old.get(name) != endpoint]
    changed += [replace(endpoint, status=EndpointStatus.GONE) for name, endpoint in old.items() if name not in new]
    return EndpointChanges(changed, list(_status_changes(changed, old, before, after)))


def _status_changes(
    changed: list[Endpoint], old: dict[str, Endpoint], before: Fleet, after: Fleet
) -> Iterable[StatusChange]:
    ids = {endpoint.id for endpoint in changed}
    entries = (*before.entries, *after.entries)
    addresses = {entry.endpoint.id: entry.address for entry in entries if entry.endpoint.id in ids}
    for endpoint in changed:
        was, now = _status(old.get(endpoint.id)), _status(endpoint)
        if was != now:
            host, port = addresses[endpoint.id]
            yield StatusChange(endpoint, f"{host}:{port}", was, now)


def _status(endpoint: Endpoint | None) -> str:
    return endpoint.status.name.lower() if endpoint is not None else NO_STATUS

"""The catalog: all resources at their versions, consistent or refused, and what of them each proxy has to itself.

No I/O, no clock, no protobuf: a resource's body is whatever the transport will send, and its version is the caller's (a
hash of the body, so that what did not change keeps its version over a restart).
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass, field
from typing import Protocol

LDS = "type.googleapis.com/envoy.config.listener.v3.Listener"
RDS = "type.googleapis.com/envoy.config.route.v3.RouteConfiguration"
CDS = "type.googleapis.com/envoy.config.cluster.v3.Cluster"
EDS = "type.googleapis.com/envoy.config.endpoint.v3.ClusterLoadAssignment"
RESOURCE_TYPES = (CDS, EDS, LDS, RDS)  # in the order in which they are made: what is referred to comes first
SHARED = -1  # the destination of a resource that belongs to none: every client may have it
ResourceKey = tuple[str, str]  # a resource's type and name


class DestinationView(Protocol):
    """Which destinations' resources a node may have, where destinations are divided among nodes."""

    def covers(self, node: str, destination: int) -> bool:
        """Whether the node may have the destination's resources."""

    def destinations(self, node: str) -> Iterable[int]:
        """All destinations that the node may have."""


@dataclass(slots=True, frozen=True)
class Resource:
    type: str
    name: str
    version: str
    body: object = field(compare=False, repr=False)
    needs: frozenset[ResourceKey] = frozenset()  # what it refers to: no client is to have it without these
    ttl_us: int = 0  # a client that has not heard of it for so long drops it; 0: it keeps it
    destination: int = SHARED  # whose it is

    @property
    def key(self) -> ResourceKey:
        return self.type, self.name


class InconsistentResources(ValueError):
    """A set of resources in which one refers to another that is not there; nothing was changed."""

    def __init__(self, missing: list[tuple[ResourceKey, ResourceKey]]) -> None:
        self.missing = missing
        rows = [f"{name} needs {needed}" for (_, name), (_, needed) in missing[:5]]
        super().__init__("; ".join(rows) + (f"; and {len(missing) - 5} more" if len(missing) > 5 else ""))


class Catalog:
    """One shared set, and for some holders a set of their own that goes before it, name by name. A view, if there is
    one, says which destinations' resources a holder may have; what it may not have is as good as absent."""

    def __init__(self, view: DestinationView | None = None) -> None:
        self._view = view
        self._shared: dict[ResourceKey, Resource] = {}
        self._own: dict[str, dict[ResourceKey, Resource]] = {}
        self._names: dict[str, dict[str, None]] = {kind: {} for kind in RESOURCE_TYPES}
        self._by_destination: dict[int, dict[ResourceKey, None]] = {}
        self.generation = 0

    def replace(self, resources: Iterable[Resource]) -> set[ResourceKey]:
        """The whole shared set from now on; the keys of what is new, changed or gone. Inconsistent if it is."""
        new = {resource.key: resource for resource in resources}
        _consistent(new, new)
        return self._apply(new, self._shared.keys() - new.keys())

    def update(self, resources: Iterable[Resource], removed: Iterable[ResourceKey] = ()) -> set[ResourceKey]:
        """A part of the shared set changes and the rest stays; Inconsistent if the whole would be. Where nothing goes,
        the cost is that of what changes, not of the set."""
        changed = {resource.key: resource for resource in resources}
        lost = {key for key in removed if key in self._shared and key not in changed}
        if lost:
            whole = {key: resource for key, resource in (self._shared | changed).items() if key not in lost}
            _consistent(whole, whole)
        else:
            _consistent(changed, self._shared, changed)
        return self._apply(changed, lost)

    def _apply(self, new: dict[ResourceKey, Resource], removed: Iterable[ResourceKey]) -> set[ResourceKey]:
        """Takes in what is new and takes out what is gone; the keys of both that differ from before."""
        old = self._shared
        changed = {key for key, resource in new.items() if key not in old or old[key].version != resource.version}
        removed = set(removed)
        if changed or removed:
            self.generation += 1
        for key in removed:
            self._forget(key)
        for key, resource in new.items():
            self._put(key, resource)
        return changed | removed

    def _put(self, key: ResourceKey, resource: Resource) -> None:
        self._shared[key] = resource
        self._names[key[0]][key[1]] = None
        self._by_destination.setdefault(resource.destination, {})[key] = None

    def _forget(self, key: ResourceKey) -> None:
        destination = self._shared.pop(key).destination
        del self._names[key[0]][key[1]]
        keys = self._by_destination[destination]
        del keys[key]
        if not keys:
            del self._by_destination[destination]

    def override(self, holder: str, resources: Iterable[Resource]) -> set[ResourceKey]:
        """What one holder has instead of the shared ones of these names; the keys that change for it. An own resource
        has a shared one under its name, so that everybody has something there."""
        new = {resource.key: resource for resource in resources}
        missing = [(key, key) for key in new if key not in self._shared]
        if missing:
            raise InconsistentResources(missing)
        _consistent(new, self._shared)
        old = self._own.get(holder, {})
        changed = {key for key in old.keys() | new.keys() if old.get(key) != new.get(key)}
        if new:
            self._own[holder] = new
        else:
            self._own.pop(holder, None)
        return changed

    def get(self, key: ResourceKey, holder: str = "") -> Resource | None:
        """The resource as the holder is to have it; None if there is none for it."""
        shared = self._shared.get(key)
        if shared is None or not self._may_have(holder, shared.destination):
            return None
        return self._own[holder].get(key, shared) if holder in self._own else shared

    def _may_have(self, holder: str, destination: int) -> bool:
        return self._view is None or destination == SHARED or self._view.covers(holder, destination)

    def names(self, kind: str, holder: str = "") -> Iterable[str]:
        """The names of all resources of a type that the holder may have."""
        if self._view is None:
            return self._names[kind].keys()
        destinations = (SHARED, *self._view.destinations(holder))
        return [name for number in destinations for of, name in self._by_destination.get(number, ()) if of == kind]

    def destination_of(self, key: ResourceKey) -> int | None:
        """Whose resource it is; None if it is everyone's, or there is none."""
        resource = self._shared.get(key)
        return None if resource is None or resource.destination == SHARED else resource.destination

    def keys_of(self, destination: int) -> Iterable[ResourceKey]:
        """All resources of one destination."""
        return self._by_destination.get(destination, {}).keys()


def _consistent(checked: dict[ResourceKey, Resource], *among: dict[ResourceKey, Resource]) -> None:
    """Inconsistent if one of the checked resources needs what none of the sets has."""
    missing = [
        (key, needed)
        for key, resource in checked.items()
        for needed in resource.needs
        if not any(needed in resources for resources in among)
    ]
    if missing:
        raise InconsistentResources(sorted(missing))

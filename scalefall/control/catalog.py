"""The catalog: a consistent set of versioned resources, and which of them each node may have.

No I/O, no clock, no protobuf: a resource's body is the message that the transport sends, and its version comes from the
caller (a hash of the body, so that an unchanged resource keeps its version over a restart).
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field
from typing import Protocol

from scalefall.errors import ConfigurationError

LDS = "type.googleapis.com/envoy.config.listener.v3.Listener"
RDS = "type.googleapis.com/envoy.config.route.v3.RouteConfiguration"
CDS = "type.googleapis.com/envoy.config.cluster.v3.Cluster"
EDS = "type.googleapis.com/envoy.config.endpoint.v3.ClusterLoadAssignment"
RESOURCE_TYPES = (CDS, EDS, LDS, RDS)  # sent in this order: referenced types precede those that refer to them
SHARED = -1  # the destination of resources that belong to none: every node may have them
MAX_MISSING_SHOWN = 5  # missing resources named in an error, whose text is one line of the log

# A resource's type URL and name. A plain tuple, as each look-up of each stream makes one.
ResourceKey = tuple[str, str]


class DestinationView(Protocol):
    """Defines which destinations' resources a node may have, where destinations are divided among nodes."""

    def covers(self, node: str, destination: int) -> bool:
        """Return whether the node may have the destination's resources."""
        ...

    def destinations(self, node: str) -> Iterable[int]:
        """Return all destinations whose resources the node may have."""
        ...


@dataclass(slots=True, frozen=True)
class Resource:
    """A resource at one version."""

    type: str  # its type URL
    name: str
    version: str
    body: object = field(compare=False, repr=False)  # the transport's message, not read here
    needs: frozenset[ResourceKey] = frozenset()  # the resources it refers to, without which no client may have it
    ttl_us: int = 0  # how long a client keeps it without a heartbeat; 0: without limit
    destination: int = SHARED  # the destination that it belongs to

    @property
    def key(self) -> ResourceKey:
        """Return the resource's type URL and name."""
        return self.type, self.name


class InconsistentResourcesError(ConfigurationError, ValueError):
    """A resource would refer to one that is missing; the catalog is unchanged.

    Also a ValueError: the set has the right type and an unacceptable value.
    """

    def __init__(self, missing: list[tuple[ResourceKey, ResourceKey]]) -> None:
        """Name the first few of `missing`, pairs of a referring resource and the missing one."""
        self.missing = missing
        rows = [f"{name} needs {needed}" for (_, name), (_, needed) in missing[:MAX_MISSING_SHOWN]]
        more = f"; and {len(missing) - MAX_MISSING_SHOWN} more" if len(missing) > MAX_MISSING_SHOWN else ""
        super().__init__("; ".join(rows) + more)


class Catalog:
    """One shared set of resources, and overrides of single resources for some nodes.

    A view, if there is one, defines which destinations' resources a node may have; others appear absent to the node.
    """

    def __init__(self, view: DestinationView | None = None) -> None:
        """Start empty; without a view every node may have all resources."""
        self._view = view
        self._shared: dict[ResourceKey, Resource] = {}
        self._overrides: dict[str, dict[ResourceKey, Resource]] = {}  # by node
        self._names: dict[str, dict[str, None]] = {kind: {} for kind in RESOURCE_TYPES}
        self._by_destination: dict[int, dict[ResourceKey, None]] = {}
        self.generation = 0  # counts the changes of the shared set

    # -- changes

    def replace(self, resources: Iterable[Resource]) -> set[ResourceKey]:
        """Replace the whole shared set; return the keys of new, changed and removed resources.

        Raises:
            InconsistentResourcesError: a resource refers to one that is not in the set.
        """
        new = {resource.key: resource for resource in resources}
        _require_consistent(new, new)
        return self._apply(new, self._shared.keys() - new.keys())

    def update(self, resources: Iterable[Resource], removed: Iterable[ResourceKey] = ()) -> set[ResourceKey]:
        """Change some of the shared set; return the keys of new, changed and removed resources.

        Without removals the cost depends on the size of the change, not on that of the set.

        Raises:
            InconsistentResourcesError: a resource of the resulting set would refer to one that is not in it.
        """
        changed = {resource.key: resource for resource in resources}
        dropped = {key for key in removed if key in self._shared and key not in changed}
        if dropped:
            remaining = {key: resource for key, resource in (self._shared | changed).items() if key not in dropped}
            _require_consistent(remaining, remaining)
        else:
            _require_consistent(changed, self._shared, changed)
        return self._apply(changed, dropped)

    def _apply(self, new: dict[ResourceKey, Resource], removed: Iterable[ResourceKey]) -> set[ResourceKey]:
        """Add and remove resources; return the keys of those that differ from before."""
        old = self._shared
        changed = {key for key, resource in new.items() if key not in old or old[key].version != resource.version}
        removed = set(removed)
        if changed or removed:
            self.generation += 1
        for key in removed:
            self._remove(key)
        for key, resource in new.items():
            self._add(key, resource)
        return changed | removed

    def _add(self, key: ResourceKey, resource: Resource) -> None:
        self._shared[key] = resource
        self._names[key[0]][key[1]] = None
        self._by_destination.setdefault(resource.destination, {})[key] = None

    def _remove(self, key: ResourceKey) -> None:
        destination = self._shared.pop(key).destination
        del self._names[key[0]][key[1]]
        keys = self._by_destination[destination]
        del keys[key]
        if not keys:
            del self._by_destination[destination]

    def override(self, node: str, resources: Iterable[Resource]) -> set[ResourceKey]:
        """Set one node's replacements of shared resources; return the keys that change for it.

        Raises:
            InconsistentResourcesError: a name has no shared resource (one is required so that every node has a resource
                of that name), or a resource refers to one that is not in the shared set.
        """
        new = {resource.key: resource for resource in resources}
        missing = [(key, key) for key in new if key not in self._shared]
        if missing:
            raise InconsistentResourcesError(missing)
        _require_consistent(new, self._shared)
        old = self._overrides.get(node, {})
        changed = {key for key in old.keys() | new.keys() if old.get(key) != new.get(key)}
        if new:
            self._overrides[node] = new
        else:
            self._overrides.pop(node, None)
        return changed

    # -- look-ups

    def get(self, key: ResourceKey, node: str = "") -> Resource | None:
        """Return the node's version of a resource; None if there is none for it."""
        shared = self._shared.get(key)
        if shared is None or not self._may_have(node, shared.destination):
            return None
        return self._overrides[node].get(key, shared) if node in self._overrides else shared

    def _may_have(self, node: str, destination: int) -> bool:
        return self._view is None or destination == SHARED or self._view.covers(node, destination)

    def names(self, kind: str, node: str = "") -> Iterable[str]:
        """Return the names of all resources of a type URL that the node may have."""
        if self._view is None:
            return self._names[kind].keys()
        destinations = (SHARED, *self._view.destinations(node))
        return [
            name
            for destination in destinations
            for type_url, name in self._by_destination.get(destination, ())
            if type_url == kind
        ]

    def destination_of(self, key: ResourceKey) -> int | None:
        """Return the destination of a resource; None if the resource is shared by all or does not exist."""
        resource = self._shared.get(key)
        return None if resource is None or resource.destination == SHARED else resource.destination

    def keys_of(self, destination: int) -> Iterable[ResourceKey]:
        """Return the keys of all resources of one destination."""
        return self._by_destination.get(destination, {}).keys()


def _require_consistent(checked: Mapping[ResourceKey, Resource], *available: Mapping[ResourceKey, Resource]) -> None:
    """Raise InconsistentResourcesError if a checked resource refers to one that is in none of the available sets."""
    missing = [
        (key, needed)
        for key, resource in checked.items()
        for needed in resource.needs
        if not any(needed in resources for resources in available)
    ]
    if missing:
        raise InconsistentResourcesError(sorted(missing))

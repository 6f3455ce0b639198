"""The catalog: all resources at their versions, consistent or refused, and what of them each proxy has to itself.

No I/O, no clock, no protobuf: a resource's body is whatever the transport will send, and its version is the caller's (a
hash of the body, so that what did not change keeps its version over a restart).
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass, field

LDS = "type.googleapis.com/envoy.config.listener.v3.Listener"
RDS = "type.googleapis.com/envoy.config.route.v3.RouteConfiguration"
CDS = "type.googleapis.com/envoy.config.cluster.v3.Cluster"
EDS = "type.googleapis.com/envoy.config.endpoint.v3.ClusterLoadAssignment"
TYPES = (CDS, EDS, LDS, RDS)  # in the order in which they are made: what is referred to comes first
Key = tuple[str, str]  # a resource's type and name


@dataclass(slots=True, frozen=True)
class Resource:
    type: str
    name: str
    version: str
    body: object = field(compare=False, repr=False)
    needs: frozenset[Key] = frozenset()  # what it refers to: no client is to have it without these
    ttl_us: int = 0  # a client that has not heard of it for so long drops it; 0: it keeps it

    @property
    def key(self) -> Key:
        return self.type, self.name


class Inconsistent(ValueError):
    """A set of resources in which one refers to another that is not there; nothing was changed."""

    def __init__(self, missing: list[tuple[Key, Key]]) -> None:
        self.missing = missing
        rows = [f"{name} needs {needed}" for (_, name), (_, needed) in missing[:5]]
        super().__init__("; ".join(rows) + (f"; and {len(missing) - 5} more" if len(missing) > 5 else ""))


class Catalog:
    """One shared set, and for some holders a set of their own that goes before it, name by name."""

    def __init__(self) -> None:
        self._shared: dict[Key, Resource] = {}
        self._own: dict[str, dict[Key, Resource]] = {}
        self._names: dict[str, dict[str, None]] = {kind: {} for kind in TYPES}
        self.generation = 0

    def replace(self, resources: Iterable[Resource]) -> set[Key]:
        """The whole shared set from now on; the keys of what is new, changed or gone. Inconsistent if it is."""
        new = {resource.key: resource for resource in resources}
        _consistent(new, new)
        return self._change(new)

    def update(self, resources: Iterable[Resource], gone: Iterable[Key] = ()) -> set[Key]:
        """A part of the shared set changes and the rest stays; Inconsistent if the whole would be."""
        new = dict(self._shared)
        changed = {resource.key: resource for resource in resources}
        new |= changed
        lost = [key for key in gone if new.pop(key, None) is not None]
        _consistent(new if lost else changed, new)
        return self._change(new)

    def _change(self, new: dict[Key, Resource]) -> set[Key]:
        old = self._shared
        changed = {key for key, resource in new.items() if key not in old or old[key].version != resource.version}
        gone = old.keys() - new.keys()
        if changed or gone:
            self.generation += 1
        for kind, name in gone:
            del self._names[kind][name]
        for kind, name in changed:
            self._names[kind][name] = None
        self._shared = new
        return changed | gone

    def own(self, holder: str, resources: Iterable[Resource]) -> set[Key]:
        """What one holder has instead of the shared ones of these names; the keys that change for it. An own resource
        has a shared one under its name, so that everybody has something there."""
        new = {resource.key: resource for resource in resources}
        missing = [(key, key) for key in new if key not in self._shared]
        if missing:
            raise Inconsistent(missing)
        _consistent(new, self._shared)
        old = self._own.get(holder, {})
        changed = {key for key in old.keys() | new.keys() if old.get(key) != new.get(key)}
        if new:
            self._own[holder] = new
        else:
            self._own.pop(holder, None)
        return changed

    def get(self, key: Key, holder: str = "") -> Resource | None:
        """The resource as the holder is to have it; None if there is none."""
        shared = self._shared.get(key)
        return self._own[holder].get(key, shared) if shared is not None and holder in self._own else shared

    def names(self, kind: str) -> Iterable[str]:
        return self._names[kind].keys()


def _consistent(checked: dict[Key, Resource], among: dict[Key, Resource]) -> None:
    missing = [(key, needed) for key, resource in checked.items() for needed in resource.needs if needed not in among]
    if missing:
        raise Inconsistent(sorted(missing))

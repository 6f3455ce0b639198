"""One xDS stream as a state machine: requests in, responses out. No I/O, no clock, no protobuf.

Both variants of the protocol (state of the world and incremental) are implemented; the transport converts between its
messages and these types. Source: the xDS protocol's specification, "xDS REST and gRPC protocol", v3.

Theory of operation. For each type a `Watch` records the client's subscription, the resources that it was sent and those
that it has acknowledged. Three rules decide when a resource is sent:

  1. Make before break. A resource is not sent while the client watches, but has not acknowledged, one that it refers
     to; and a resource is not removed while one that the client has, or may have, still refers to it. A delayed change
     is sent with the acknowledgement that it waits for, so no timer is needed, and an endpoint's drain, which refers to
     nothing, never waits. A client that subscribes to clusters only after it received a route that names them does not
     watch them before, so the route does not wait.
  2. A window. At most MAX_UNANSWERED responses of a type are unanswered. Further changes are stored as names, not as
     messages: a client that reads slowly or never answers costs the memory of its subscription and no more.
  3. A rejected version is not sent to that client again; it stays on its last accepted version until the resource
     changes, and resources that refer to the rejected version wait for that client alone. A client rejects a whole
     response: where it held several new resources, each is sent again in a response of its own, so that the valid ones
     are not held back by the invalid one.
"""

from __future__ import annotations

from collections.abc import Iterable
from math import inf

from scalefall.control.catalog import RESOURCE_TYPES, Catalog, Resource, ResourceKey
from scalefall.control.discovery_messages import CloseStream, Request, Response, ResponseRejected, StreamAction
from scalefall.control.watch import HEARTBEATS_PER_TTL, MAX_ERROR_TEXT, MAX_UNANSWERED, UnansweredResponse, Watch

__all__ = [
    "HEARTBEATS_PER_TTL",
    "MAX_ERROR_TEXT",
    "MAX_NAMES",
    "MAX_NAME_LENGTH",
    "MAX_UNANSWERED",
    "CloseStream",
    "Request",
    "Response",
    "ResponseRejected",
    "StreamAction",
    "XdsStream",
]

MAX_NAMES = 20_000  # names in one client's subscription to one type, to bound the memory that a client can use here
MAX_NAME_LENGTH = 512  # characters, to bound the memory that a client can use here
WILDCARD = "*"  # the protocol's name for a subscription to all


class XdsStream:
    """One client's stream; each call returns the actions for the transport, in order."""

    def __init__(self, catalog: Catalog, node: str, incremental: bool, supports_ttl: bool = True) -> None:
        """Serve one client of a catalog.

        Args:
            catalog: the resources.
            node: the node whose view and overrides of the catalog apply to the client.
            incremental: whether it uses the incremental variant of the protocol.
            supports_ttl: whether it declares support of times to live; without it no heartbeats are sent.
        """
        self._catalog = catalog
        self._node = node
        self._incremental = incremental
        self._supports_ttl = supports_ttl
        self._watches: dict[str, Watch] = {}
        self._nonce = 0
        self.closed = False
        self.repeats_names = False  # whether the last request had the names of the one before it

    # -- inputs

    def request(self, request: Request) -> list[StreamAction]:
        """Handle a request, an acknowledgement or a rejection."""
        if self.closed:
            return []
        reason = self._protocol_violation(request)
        if reason is not None:
            return self._close(reason)
        is_first = request.type not in self._watches
        watch = self._watches.setdefault(request.type, Watch(request.type))
        actions: list[StreamAction] = []
        if request.nonce:
            rejections = watch.answer(request, self._incremental)
            if rejections is None:
                return []  # stale: the client has answered this or a later response before
            actions += rejections
        if self._incremental:
            self._subscribe_incrementally(watch, request, is_first)
        else:
            self._subscribe(watch, request, is_first)
        if len(watch.names) > MAX_NAMES:
            return self._close(f"more than {MAX_NAMES} names")
        return actions + self._flush()

    def _protocol_violation(self, request: Request) -> str | None:
        if request.type not in RESOURCE_TYPES:
            return f"unknown type {request.type[:MAX_NAME_LENGTH]!r}"
        if any(not name or len(name) > MAX_NAME_LENGTH for name in (*request.names, *request.unsubscribed)):
            return "a name is empty or too long"
        if request.type not in self._watches and (request.nonce or request.error is not None):
            return "the first request of a type answers nothing"
        return None

    def changed(self, keys: Iterable[ResourceKey]) -> list[StreamAction]:
        """Handle changes of the catalog at these keys."""
        for kind, name in keys:
            watch = self._watches.get(kind)
            if watch is not None and watch.covers(name):
                watch.pending[name] = None
        return self._flush()

    def heartbeats(self, now: int) -> list[StreamAction]:
        """Return heartbeats that keep resources from expiring at the client, HEARTBEATS_PER_TTL per time to live.

        None is sent while a response of that type is unanswered. A heartbeat therefore proves to the client that its
        last answer was received, so a client that counts its lease from that answer is right whatever the link's delay.
        """
        actions: list[StreamAction] = []
        if not self._supports_ttl:
            return actions
        for watch in self._watches.values():
            if now >= watch.heartbeat_at:
                resources = watch.heartbeat(now)
                if resources:
                    actions.append(self._respond(watch, resources, is_heartbeat=True))
        return actions

    def next_heartbeat(self, now: int) -> float:
        """Return when `heartbeats` has to be called, us; inf while none will be due.

        None will be due while no resource has a time to live or a response is unanswered; call this again after the
        answer.
        """
        if not self._supports_ttl:
            return inf
        return max(now, min((watch.heartbeat_at for watch in self._watches.values()), default=inf))

    def acknowledged_resource(self, key: ResourceKey) -> Resource | None:
        """Return the version of a resource that the client acknowledged last; None if there is none."""
        watch = self._watches.get(key[0])
        return watch.acknowledged.get(key[1]) if watch else None

    @property
    def pending_names(self) -> int:
        """Return the number of names with changes that cannot be sent yet."""
        return sum(len(watch.pending) for watch in self._watches.values())

    # -- subscriptions

    def _subscribe(self, watch: Watch, request: Request, is_first: bool) -> None:
        """Apply a state-of-the-world request, which names everything that the client subscribes to."""
        self.repeats_names = request.names == watch.last_names and not is_first
        if self.repeats_names:
            return  # an acknowledgement
        watch.last_names = request.names
        names = set(request.names) - {WILDCARD}
        wildcard = WILDCARD in request.names
        if not request.names and watch.removable:  # the protocol's legacy wildcard: no names
            wildcard = is_first or (watch.wildcard and not watch.names)
        self._set_subscription(watch, names, wildcard)

    def _subscribe_incrementally(self, watch: Watch, request: Request, is_first: bool) -> None:
        """Apply an incremental request; a resource that is subscribed again is sent again even if unchanged."""
        is_legacy_wildcard = is_first and not request.names and watch.removable
        wildcard = watch.wildcard or is_legacy_wildcard or WILDCARD in request.names
        wildcard = wildcard and WILDCARD not in request.unsubscribed
        names = (watch.names | set(request.names)) - set(request.unsubscribed) - {WILDCARD}
        if is_first:
            self._read_initial_versions(watch, request)
        self._set_subscription(watch, names, wildcard)
        for name in set(request.names) - {WILDCARD}:
            watch.send_anyway.add(name)
            watch.pending[name] = None

    def _read_initial_versions(self, watch: Watch, request: Request) -> None:
        """Record the versions that a reconnecting client has; mark those that differ to be sent or removed."""
        for name, version in request.initial_versions:
            resource = self._catalog.get((watch.type, name), self._node)
            if resource is None or resource.version != version:
                resource = Resource(watch.type, name, version, None)
                watch.pending[name] = None
            watch.sent[name] = watch.acknowledged[name] = resource

    def _set_subscription(self, watch: Watch, names: set[str], wildcard: bool) -> None:
        is_new_wildcard = wildcard and not watch.wildcard
        watch.subscribe(names, wildcard, self._catalog.names(watch.type, self._node) if is_new_wildcard else ())

    # -- responses

    def _flush(self) -> list[StreamAction]:
        """Return all responses that may be sent now: updates in the order of types, then removals in reverse."""
        actions: list[StreamAction] = []
        watches = [self._watches[kind] for kind in RESOURCE_TYPES if kind in self._watches]
        for watch in watches:
            if watch.has_unsent and watch.window_is_open:
                actions += self._send(watch)
        for watch in reversed(watches):
            if watch.pending and watch.window_is_open:
                actions += self._remove(watch)
        return actions

    def _send(self, watch: Watch) -> list[StreamAction]:
        ready = self._ready(watch)
        alone = [resource for resource in ready if resource.name in watch.send_alone]
        ready = [resource for resource in ready if resource.name not in watch.send_alone]
        if alone and not ready and not watch.unanswered:
            ready = alone[:1]
        if not ready and (watch.has_responded or watch.pending or not watch.wildcard):
            return []  # only a wildcard's first response may be empty
        for resource in ready:
            watch.record_sent(resource, self._nonce + 1)
        return [self._respond(watch, ready)]

    def _ready(self, watch: Watch) -> list[Resource]:
        """Return the pending resources that may be sent; drop names that need no sending from the pending ones."""
        ready = []
        for name in list(watch.pending):
            resource = self._catalog.get((watch.type, name), self._node)
            if resource is None:
                continue  # handled by _remove
            if not watch.must_send(resource):
                del watch.pending[name]
            elif all(self._is_with_client(key) for key in resource.needs):
                ready.append(resource)
        return ready

    def _remove(self, watch: Watch) -> list[StreamAction]:
        names = [name for name in watch.pending if self._catalog.get((watch.type, name), self._node) is None]
        if names and any(name in watch.sent for name in names):
            needed = self._needed()
            names = [name for name in names if (watch.type, name) not in needed]
        if not self._incremental and not watch.removable:
            for name in names:  # the protocol cannot express it: the client keeps the resource until it unsubscribes
                del watch.pending[name]
            return []
        removed = [name for name in names if name in watch.sent or (name in watch.names and name not in watch.absent)]
        for name in names:
            watch.record_removed(name)
        return [self._respond(watch, [], tuple(removed))] if removed else []

    def _is_with_client(self, key: ResourceKey) -> bool:
        watch = self._watches.get(key[0])
        return watch is None or not watch.covers(key[1]) or key[1] in watch.acknowledged

    def _needed(self) -> set[ResourceKey]:
        """Return the keys that the resources refer to which the client has or may have."""
        needed: set[ResourceKey] = set()
        for watch in self._watches.values():
            for resources in (watch.sent, watch.acknowledged):
                needed.update(*(resource.needs for resource in resources.values()))
        return needed

    def _respond(
        self, watch: Watch, resources: list[Resource], removed: tuple[str, ...] = (), is_heartbeat: bool = False
    ) -> Response:
        """Make a response; in state of the world it holds all listeners or clusters, not only the changed ones."""
        self._nonce += 1
        nonce = f"{self._nonce}"
        if not self._incremental and watch.removable and not is_heartbeat:
            resources, removed = list(watch.sent.values()), ()
        watch.has_responded = True
        by_name = {resource.name: resource for resource in resources}
        watch.unanswered.append(UnansweredResponse(nonce, by_name, is_heartbeat))
        watch.last_nonce = nonce
        version = f"{self._catalog.generation}"
        return Response(watch.type, nonce, version, tuple(resources), removed, is_heartbeat)

    def _close(self, reason: str) -> list[StreamAction]:
        self.closed = True
        self._watches.clear()
        return [CloseStream(reason)]

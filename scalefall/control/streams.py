"""One xDS stream as a state machine: requests in, responses out. No I/O, no clock, no protobuf.

Both forms of the protocol (state of the world, and incremental) are here; the transport turns messages into these
types and back. Source: the xDS protocol's specification, "xDS REST and gRPC protocol", v3.

Theory of operation. For each type a `Watch` knows what its client asked for, what it has been sent and what it has
acknowledged. Three rules decide when something goes out:

  1. Make before break. A resource is not sent while the client watches something that it needs and has not acknowledged
     it, and one is not removed while something that the client has, or may have, still needs it. What waits goes out as
     soon as the other is done; no timer is needed, and an endpoint's drain, which needs nothing, never waits. A client
     that subscribes to clusters only once a route names them watches none before, so nothing waits for it.
  2. A window. At most MAX_UNANSWERED responses of a type go without an answer. Further changes are stored as names, not
     as messages: a client that reads slowly or never answers costs its subscription and no more.
  3. A rejected version is not sent again to that client until it changes; it stays on its last good one, and what needs
     the rejected one waits for that client alone. A client rejects a whole response: where several resources in it were
     new, they go out again one by one, so that the good ones do not wait with the bad one.
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

MAX_NAMES = 20_000  # that one client may subscribe to: bounds its memory
MAX_NAME_LENGTH = 512  # characters, likewise
WILDCARD = "*"  # the name that subscribes to all, as the protocol has it


class XdsStream:
    """One client's stream; each call gives what is to be sent, in order."""

    def __init__(self, catalog: Catalog, node: str, incremental: bool, supports_ttl: bool = True) -> None:
        """Serve one client of a catalog.

        Args:
            catalog: the resources.
            node: whose view and overrides of the catalog the client has.
            incremental: which form of the protocol it speaks.
            supports_ttl: it declares that it knows times to live; one that does not gets no heartbeat.
        """
        self._catalog = catalog
        self._node = node
        self._incremental = incremental
        self._supports_ttl = supports_ttl
        self._watches: dict[str, Watch] = {}
        self._nonce = 0
        self.closed = False
        self.repeats_names = False  # the last request had the same names as the one before it

    # -- what comes

    def request(self, request: Request) -> list[StreamAction]:
        """Take in a request, an acknowledgement or a rejection."""
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
                return []  # an answer to what was answered before: the client has seen later ones since
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
        """The catalog has changed there."""
        for kind, name in keys:
            watch = self._watches.get(kind)
            if watch is not None and watch.covers(name):
                watch.pending[name] = None
        return self._flush()

    def heartbeats(self, now: int) -> list[StreamAction]:
        """Heartbeats for what the client would drop otherwise, HEARTBEATS_PER_TTL in a time to live.

        None goes out while a response of that type has no answer: so a heartbeat proves to its client that its last
        answer was received, and a client that counts its lease from when it gave that answer is right whatever the
        link's delay.
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
        """When `heartbeats` has to be called, us; inf while there are none to come.

        There are none while nothing has a time to live, and while an answer is waited for: then it is to be called
        again with that answer.
        """
        if not self._supports_ttl:
            return inf
        return max(now, min((watch.heartbeat_at for watch in self._watches.values()), default=inf))

    def acknowledged_resource(self, key: ResourceKey) -> Resource | None:
        """What the client has of a resource, as it acknowledged itself."""
        watch = self._watches.get(key[0])
        return watch.acknowledged.get(key[1]) if watch else None

    @property
    def pending_names(self) -> int:
        """How many names have changes that cannot go out yet."""
        return sum(len(watch.pending) for watch in self._watches.values())

    # -- subscriptions

    def _subscribe(self, watch: Watch, request: Request, is_first: bool) -> None:
        """State of the world: a request names all that the client subscribes to."""
        self.repeats_names = request.names == watch.last_names and not is_first
        if self.repeats_names:
            return  # an acknowledgement
        watch.last_names = request.names
        names = set(request.names) - {WILDCARD}
        wildcard = WILDCARD in request.names
        if not request.names and watch.removable:  # the protocol's older form of a wildcard: no names at all
            wildcard = is_first or (watch.wildcard and not watch.names)
        self._set_subscription(watch, names, wildcard)

    def _subscribe_incrementally(self, watch: Watch, request: Request, is_first: bool) -> None:
        """Incremental: a name that is subscribed again is sent again, whatever the client has."""
        is_older_wildcard = is_first and not request.names and watch.removable
        wildcard = watch.wildcard or is_older_wildcard or WILDCARD in request.names
        wildcard = wildcard and WILDCARD not in request.unsubscribed
        names = (watch.names | set(request.names)) - set(request.unsubscribed) - {WILDCARD}
        if is_first:
            self._read_initial_versions(watch, request)
        self._set_subscription(watch, names, wildcard)
        for name in set(request.names) - {WILDCARD}:
            watch.send_anyway.add(name)
            watch.pending[name] = None

    def _read_initial_versions(self, watch: Watch, request: Request) -> None:
        """A client that reconnects has resources from before: what differs now is to be sent or removed."""
        for name, version in request.initial_versions:
            resource = self._catalog.get((watch.type, name), self._node)
            if resource is None or resource.version != version:
                resource = Resource(watch.type, name, version, None)
                watch.pending[name] = None
            watch.sent[name] = watch.acknowledged[name] = resource

    def _set_subscription(self, watch: Watch, names: set[str], wildcard: bool) -> None:
        is_new_wildcard = wildcard and not watch.wildcard
        watch.subscribe(names, wildcard, self._catalog.names(watch.type, self._node) if is_new_wildcard else ())

    # -- what goes out

    def _flush(self) -> list[StreamAction]:
        """All that may go out now: what is new in the order of types, then what is removed in the other."""
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
        if not ready and (watch.was_answered or watch.pending or not watch.wildcard):
            return []  # an empty set is sent too, once
        for resource in ready:
            watch.record_sent(resource, self._nonce + 1)
        return [self._respond(watch, ready)]

    def _ready(self, watch: Watch) -> list[Resource]:
        """The pending resources that may go out; names that turn out to be unchanged are pending no more."""
        ready = []
        for name in list(watch.pending):
            resource = self._catalog.get((watch.type, name), self._node)
            if resource is None:
                continue  # see _remove
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
            for name in names:  # this form cannot say so: the client has it until it unsubscribes
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
        """What the resources that the client has, or may have, refer to."""
        needed: set[ResourceKey] = set()
        for watch in self._watches.values():
            for resources in (watch.sent, watch.acknowledged):
                needed.update(*(resource.needs for resource in resources.values()))
        return needed

    def _respond(
        self, watch: Watch, resources: list[Resource], removed: tuple[str, ...] = (), is_heartbeat: bool = False
    ) -> Response:
        """State of the world sends all listeners or clusters whenever one of them changes; the rest, what changed."""
        self._nonce += 1
        nonce = f"{self._nonce}"
        if not self._incremental and watch.removable and not is_heartbeat:
            resources, removed = list(watch.sent.values()), ()
        watch.was_answered = True
        by_name = {resource.name: resource for resource in resources}
        watch.unanswered.append(UnansweredResponse(nonce, by_name, is_heartbeat))
        watch.last_nonce = nonce
        version = f"{self._catalog.generation}"
        return Response(watch.type, nonce, version, tuple(resources), removed, is_heartbeat)

    def _close(self, reason: str) -> list[StreamAction]:
        self.closed = True
        self._watches.clear()
        return [CloseStream(reason)]

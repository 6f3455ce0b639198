"""One xDS stream as a state machine: requests in, responses out. No I/O, no clock, no protobuf.

Both forms of the protocol (state of the world, and incremental) are here; the transport turns messages into these
types and back. Source: the xDS protocol's specification, "xDS REST and gRPC protocol", v3.

Theory of operation. For each type a Watch knows what its client asked for, what it has been sent and what it has
acknowledged. Three rules decide when something goes out:

  1. Make before break. A resource is not sent while the client watches something that it needs and has not acknowledged
     it, and one is not taken away while something that the client has, or may have, still needs it. What is held back
     goes as soon as the other is done; no timer is needed, and an endpoint's drain, which needs nothing, is never held
     back. A client that asks for clusters only once a route names them watches none before, so nothing waits for it.
  2. A window. At most WINDOW responses of a type are out without an answer. More news are kept as names, not as
     messages: a client that reads slowly or never answers costs its subscription and no more.
  3. A rejected version is not sent again to that client until it changes; it stays on its last good one, and what needs
     the rejected one is held back for that client alone. A client rejects a whole response: where several resources in
     it were new, they go out again one by one, so that the good ones aren't held back with the bad one.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Iterable
from dataclasses import dataclass, field
from math import inf

from scalefall.control.catalog import CDS, LDS, RESOURCE_TYPES, Catalog, ResourceKey, Resource

WINDOW = 4  # responses of one type without an answer
MAX_NAMES = 20_000  # that one client may ask for by name
MOST_LENGTH = 512  # of a name
MOST_TEXT = 500  # of a rejection's text that is kept for the log
WILDCARD = "*"
BEATS = 2  # heartbeats in the shortest time to live


@dataclass(slots=True, frozen=True)
class Request:
    """State of the world: names are all that is asked for. Incremental: names are added, less are taken away, and known
    are the versions that a client has from before."""

    type: str
    nonce: str = ""
    names: tuple[str, ...] = ()
    unsubscribed: tuple[str, ...] = ()
    initial_versions: tuple[tuple[str, str], ...] = ()
    error: str | None = None


@dataclass(slots=True, frozen=True)
class Response:
    type: str
    nonce: str
    version: str
    resources: tuple[Resource, ...]
    removed: tuple[str, ...] = ()  # incremental only
    is_heartbeat: bool = False  # a heartbeat: names, versions and times to live, without bodies


@dataclass(slots=True, frozen=True)
class ResponseRejected:
    """For the log: the client keeps what it had."""

    type: str
    names: tuple[str, ...]
    text: str


@dataclass(slots=True, frozen=True)
class CloseStream:
    """The client breaks the protocol or asks for too much; the stream ends with this reason."""

    reason: str


StreamAction = Response | ResponseRejected | CloseStream


@dataclass(slots=True)
class _Out:
    nonce: str
    resources: dict[str, Resource]
    beat: bool = False


@dataclass(slots=True)
class Watch:
    """One type on one stream."""

    type: str
    wildcard: bool = False
    names: set[str] = field(default_factory=set)
    said: tuple[str, ...] | None = None  # the names of the last request, where each has them all
    sent: dict[str, Resource] = field(default_factory=dict)  # what the client has, or will have when it has read all
    since: dict[str, int] = field(default_factory=dict)  # the response from which on it is with the client
    good: dict[str, Resource] = field(default_factory=dict)  # what it has acknowledged
    bad: dict[str, str] = field(default_factory=dict)  # versions that it has rejected
    out: deque[_Out] = field(default_factory=deque)
    dirty: dict[str, None] = field(default_factory=dict)  # names to look at, in the order of the news
    alone: set[str] = field(default_factory=set)  # were in a response that was rejected
    again: set[str] = field(default_factory=set)  # to be sent even if nothing changed: asked for anew
    absent: set[str] = field(default_factory=set)  # asked for by name, and told that there is none
    answered: bool = False  # the first answer has gone out
    last: str = ""  # the nonce of the last one
    beaten: float = -inf
    ttl: int = 0  # the shortest time to live of what was sent; 0: nothing has one

    def wants(self, name: str) -> bool:
        return self.wildcard or name in self.names


class XdsStream:
    """One client. `holder` names it in the catalog; each call gives what is to be sent, in order."""

    def __init__(self, catalog: Catalog, holder: str, incremental: bool, leased: bool = True) -> None:
        """leased: the client says that it knows times to live; one that does not has none and gets no heartbeat."""
        self._catalog, self._holder, self._incremental, self._leased = catalog, holder, incremental, leased
        self._watches: dict[str, Watch] = {}
        self._nonce = 0
        self.closed = False
        self.repeats = False  # the last request said the names again that the one before it had

    # -- what comes

    def request(self, request: Request) -> list[StreamAction]:
        if self.closed:
            return []
        if request.type not in RESOURCE_TYPES:
            return self._close(f"unknown type {request.type[:MOST_LENGTH]!r}")
        if any(not name or len(name) > MOST_LENGTH for name in (*request.names, *request.unsubscribed)):
            return self._close("a name is empty or too long")
        new = request.type not in self._watches
        if new and (request.nonce or request.error is not None):
            return self._close("the first request of a type answers nothing")
        watch = self._watches.setdefault(request.type, Watch(request.type))
        actions: list[StreamAction] = []
        if request.nonce:
            answered = self._answered(watch, request)
            if answered is None:
                return []  # an answer to what was answered before: the client has seen later ones since
            actions += answered
        self._subscribe(watch, request, new)
        if len(watch.names) > MAX_NAMES:
            return self._close(f"more than {MAX_NAMES} names")
        return actions + self._flush()

    def changed(self, keys: Iterable[ResourceKey]) -> list[StreamAction]:
        """The catalog has changed there."""
        for kind, name in keys:
            watch = self._watches.get(kind)
            if watch is not None and watch.wants(name):
                watch.dirty[name] = None
        return self._flush()

    def heartbeats(self, now: int) -> list[StreamAction]:
        """Heartbeats for what the client would drop otherwise, BEATS in a time to live; next_beat says when. None goes
        out while a response of that type has no answer: so one tells its client that its last answer was heard, and
        a client that counts its lease from when it gave that answer is right whatever the link's delay."""
        actions: list[StreamAction] = []
        for watch in self._watches.values() if self._leased else ():
            if watch.ttl and not watch.out and now >= watch.beaten + watch.ttl // BEATS:
                leased = [resource for resource in watch.sent.values() if resource.ttl_us]
                watch.ttl = min((resource.ttl_us for resource in leased), default=0)
                if leased:
                    watch.beaten = now
                    actions.append(self._respond(watch, leased, (), True))
        return actions

    def next_heartbeat(self, now: int) -> float:
        """inf while nothing has one, or an answer is waited for: then it is to be asked again with that."""
        return (
            min(
                (
                    max(now, watch.beaten + watch.ttl // BEATS)
                    for watch in self._watches.values()
                    if watch.ttl and not watch.out
                ),
                default=inf,
            )
            if self._leased
            else inf
        )

    def acknowledged_resource(self, key: ResourceKey) -> Resource | None:
        """What the client is known to have of a resource, as it said itself."""
        watch = self._watches.get(key[0])
        return watch.good.get(key[1]) if watch else None

    @property
    def pending_names(self) -> int:
        """Names with news that cannot go out yet."""
        return sum(len(watch.dirty) for watch in self._watches.values())

    # -- answers and subscriptions

    def _answered(self, watch: Watch, request: Request) -> list[StreamAction] | None:
        """Takes in an acknowledgement or a rejection; None if its nonce is of no response that is out."""
        at = next((at for at, out in enumerate(watch.out) if out.nonce == request.nonce), None)
        if at is None:  # state of the world: a change of names bears the last nonce, which was answered before
            return [] if self._incremental or request.nonce == watch.last and request.error is None else None
        for _ in range(at):  # an answer answers all before it
            self._accept(watch, watch.out.popleft())
        out = watch.out.popleft()
        if request.error is None:
            self._accept(watch, out)
            return []
        if out.beat:
            watch.beaten = inf  # it does not take heartbeats, whatever it said
            return [ResponseRejected(watch.type, (), request.error[:MOST_TEXT])]
        suspects = [name for name, resource in out.resources.items() if watch.good.get(name) != resource]
        for name in suspects:
            if len(suspects) == 1:
                watch.bad[name] = out.resources[name].version
                watch.alone.discard(name)
            else:
                watch.alone.add(name)
            later = any(name in other.resources for other in watch.out)  # on its way once more
            if watch.sent.get(name) == out.resources[name] and not later:
                watch.dirty[name] = None
                del watch.sent[name]
                if name in watch.good:
                    watch.sent[name] = watch.good[name]
        return [ResponseRejected(watch.type, tuple(sorted(suspects)), request.error[:MOST_TEXT])]

    def _accept(self, watch: Watch, out: _Out) -> None:
        for name, resource in out.resources.items():
            watch.alone.discard(name)
            if name in watch.sent and int(out.nonce) >= watch.since.get(name, 0):  # else it was away meanwhile
                watch.good[name] = resource

    def _subscribe(self, watch: Watch, request: Request, new: bool) -> None:
        if self._incremental:
            self._more_or_less(watch, request, new)
            return
        self.repeats = request.names == watch.said and not new
        if self.repeats:
            return  # an acknowledgement
        watch.said = request.names
        asked = set(request.names) - {WILDCARD}
        wildcard = WILDCARD in request.names or (
            watch.type in (LDS, CDS) and not request.names and (new or watch.wildcard and not watch.names)
        )
        self._set(watch, asked, wildcard)

    def _more_or_less(self, watch: Watch, request: Request, new: bool) -> None:
        """Incremental: a name that is asked for again is sent again, whatever the client has."""
        legacy = new and not request.names and watch.type in (LDS, CDS)
        wildcard = (watch.wildcard or legacy or WILDCARD in request.names) and WILDCARD not in request.unsubscribed
        asked = (watch.names | set(request.names)) - set(request.unsubscribed) - {WILDCARD}
        for name, version in request.initial_versions if new else ():
            resource = self._catalog.get((watch.type, name), self._holder)
            if resource is not None and resource.version == version:
                watch.sent[name] = watch.good[name] = resource
            else:
                watch.sent[name] = watch.good[name] = Resource(watch.type, name, version, None)
                watch.dirty[name] = None
        self._set(watch, asked, wildcard)
        for name in set(request.names) - {WILDCARD}:
            watch.again.add(name)
            watch.dirty[name] = None

    def _set(self, watch: Watch, names: set[str], wildcard: bool) -> None:
        added, less = names - watch.names, watch.names - names
        if wildcard and not watch.wildcard:
            added = added | set(self._catalog.names(watch.type, self._holder))
        watch.names, watch.wildcard = names, wildcard
        if not wildcard:
            less = less | {name for name in watch.sent if name not in names}
            for name in less:  # the client drops what it does not ask for any more
                for held in (watch.sent, watch.good, watch.bad, watch.dirty):
                    held.pop(name, None)
                for held in (watch.again, watch.absent, watch.alone):
                    held.discard(name)
        watch.dirty |= dict.fromkeys(sorted(added))

    # -- what goes out

    def _flush(self) -> list[StreamAction]:
        """All that may go now: what is made in the order of types, then what is taken away in the other."""
        actions: list[StreamAction] = []
        for watch in [self._watches[kind] for kind in RESOURCE_TYPES if kind in self._watches]:
            if len(watch.out) < WINDOW:
                actions += self._send(watch)
        for watch in [self._watches[kind] for kind in reversed(RESOURCE_TYPES) if kind in self._watches]:
            if len(watch.out) < WINDOW:
                actions += self._take_away(watch)
        return actions

    def _send(self, watch: Watch) -> list[StreamAction]:
        ready = []
        for name in list(watch.dirty):
            resource = self._catalog.get((watch.type, name), self._holder)
            if resource is None:
                continue  # taken away below
            if watch.bad.get(name) == resource.version or (
                name in watch.sent and watch.sent[name].version == resource.version and name not in watch.again
            ):
                del watch.dirty[name]
            elif all(self._with_client(key) for key in resource.needs):
                ready.append(resource)
        alone = [resource for resource in ready if resource.name in watch.alone]
        ready = [resource for resource in ready if resource.name not in watch.alone]
        if alone and not ready and not watch.out:
            ready = alone[:1]
        if not ready and (watch.answered or watch.dirty or not watch.wildcard):
            return []  # an empty set is told too, once
        for resource in ready:
            del watch.dirty[resource.name]
            watch.bad.pop(resource.name, None)
            if resource.name not in watch.sent:
                watch.since[resource.name] = self._nonce + 1
            watch.sent[resource.name] = resource
            if resource.ttl_us:
                watch.ttl = min(watch.ttl or resource.ttl_us, resource.ttl_us)
            watch.again.discard(resource.name)
            watch.absent.discard(resource.name)
        return [self._respond(watch, ready, ())]

    def _take_away(self, watch: Watch) -> list[StreamAction]:
        gone = [name for name in watch.dirty if self._catalog.get((watch.type, name), self._holder) is None]
        if gone and any(name in watch.sent for name in gone):
            needed = self._needed()
            gone = [name for name in gone if (watch.type, name) not in needed]
        if not self._incremental and watch.type not in (LDS, CDS):
            for name in gone:  # this form cannot say so: the client has it until it asks for it no more
                del watch.dirty[name]
            return []
        told = [name for name in gone if name in watch.sent or name in watch.names and name not in watch.absent]
        for name in gone:
            del watch.dirty[name]
            watch.sent.pop(name, None)
            watch.good.pop(name, None)
            watch.bad.pop(name, None)
            watch.again.discard(name)
            watch.alone.discard(name)
            if name in watch.names:
                watch.absent.add(name)
        return [self._respond(watch, [], tuple(told))] if told else []

    def _with_client(self, key: ResourceKey) -> bool:
        watch = self._watches.get(key[0])
        return watch is None or not watch.wants(key[1]) or key[1] in watch.good

    def _needed(self) -> set[ResourceKey]:
        """What the resources that the client has, or may have, refer to."""
        return set().union(
            *(
                resource.needs
                for watch in self._watches.values()
                for held in (watch.sent, watch.good)
                for resource in held.values()
            )
        )

    def _respond(
        self, watch: Watch, resources: list[Resource], removed: tuple[str, ...], beat: bool = False
    ) -> Response:
        """State of the world sends all listeners or clusters whenever one of them changes; the rest, what changed."""
        self._nonce += 1
        nonce = f"{self._nonce}"
        if not self._incremental and watch.type in (LDS, CDS) and not beat:
            resources, removed = list(watch.sent.values()), ()
        watch.answered = True
        watch.out.append(_Out(nonce, {resource.name: resource for resource in resources}, beat))
        watch.last = nonce
        return Response(watch.type, nonce, f"{self._catalog.generation}", tuple(resources), removed, beat)

    def _close(self, reason: str) -> list[StreamAction]:
        self.closed = True
        self._watches.clear()
        return [CloseStream(reason)]

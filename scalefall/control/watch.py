"""One resource type on one xDS stream: the subscription, and the resources sent and acknowledged. No I/O, no clock."""

from __future__ import annotations

from collections import deque
from collections.abc import Iterable
from dataclasses import dataclass, field
from math import inf

from scalefall.control.catalog import CDS, LDS, Resource
from scalefall.control.discovery_messages import Request, ResponseRejected

MAX_UNANSWERED = 4  # responses of one type, to bound the cost of a client that never answers
MAX_ERROR_TEXT = 500  # characters of a rejection's reason that are logged
HEARTBEATS_PER_TTL = 2  # one may be lost


@dataclass(slots=True)
class UnansweredResponse:
    """A response without an answer so far."""

    nonce: str
    resources: dict[str, Resource]
    is_heartbeat: bool = False


@dataclass(slots=True)
class Watch:
    """The state of one type on one stream, by resource name."""

    type: str  # the type URL
    wildcard: bool = False
    names: set[str] = field(default_factory=set)
    last_names: tuple[str, ...] | None = None  # names in the last request; state of the world only
    sent: dict[str, Resource] = field(default_factory=dict)  # what the client has once it has read all responses
    sent_since: dict[str, int] = field(default_factory=dict)  # the nonce of the first response in which it was sent
    acknowledged: dict[str, Resource] = field(default_factory=dict)
    rejected: dict[str, str] = field(default_factory=dict)  # rejected versions
    unanswered: deque[UnansweredResponse] = field(default_factory=deque)
    pending: dict[str, None] = field(default_factory=dict)  # names to evaluate, in the order of their changes
    send_alone: set[str] = field(default_factory=set)  # names from a rejected response with several new resources
    send_anyway: set[str] = field(default_factory=set)  # newly subscribed names, to be sent even if unchanged
    absent: set[str] = field(default_factory=set)  # names reported to the client as absent
    has_responded: bool = False  # whether the first response was sent
    last_nonce: str = ""
    last_heartbeat: float = -inf  # us
    ttl_us: int = 0  # the shortest time to live of the sent resources; 0: none has one

    @property
    def removable(self) -> bool:
        """Whether a state-of-the-world response of this type can express a removal."""
        return self.type in (LDS, CDS)

    @property
    def has_unsent(self) -> bool:
        """Whether there may be something to send: changes or the first response."""
        return bool(self.pending) or not self.has_responded

    @property
    def window_is_open(self) -> bool:
        """Whether another response may be sent."""
        return len(self.unanswered) < MAX_UNANSWERED

    def covers(self, name: str) -> bool:
        """Return whether the client subscribes to a name."""
        return self.wildcard or name in self.names

    # -- answers

    def answer(self, request: Request, incremental: bool) -> list[ResponseRejected] | None:
        """Handle an acknowledgement or a rejection; None if its nonce is that of no unanswered response."""
        position = next((at for at, sent in enumerate(self.unanswered) if sent.nonce == request.nonce), None)
        if position is None:
            # In state of the world, a change of names carries the last nonce, which was answered before.
            changes_names = request.nonce == self.last_nonce and request.error is None
            return [] if incremental or changes_names else None
        for _ in range(position):  # an answer implies acknowledgement of all earlier responses
            self._acknowledge(self.unanswered.popleft())
        answered = self.unanswered.popleft()
        if request.error is None:
            self._acknowledge(answered)
            return []
        return [self._reject(answered, request.error[:MAX_ERROR_TEXT])]

    def _acknowledge(self, answered: UnansweredResponse) -> None:
        nonce = int(answered.nonce)
        for name, resource in answered.resources.items():
            self.send_alone.discard(name)
            if name in self.sent and nonce >= self.sent_since.get(name, 0):  # otherwise removed meanwhile
                self.acknowledged[name] = resource

    def _reject(self, answered: UnansweredResponse, text: str) -> ResponseRejected:
        if answered.is_heartbeat:
            self.last_heartbeat = inf  # no more heartbeats: the client rejects them despite its declaration
            return ResponseRejected(self.type, (), text)
        resources = answered.resources
        suspects = [name for name, resource in resources.items() if self.acknowledged.get(name) != resource]
        for name in suspects:
            if len(suspects) == 1:
                self.rejected[name] = resources[name].version
                self.send_alone.discard(name)
            else:
                self.send_alone.add(name)
            self._revert(name, resources[name])
        return ResponseRejected(self.type, tuple(sorted(suspects)), text)

    def _revert(self, name: str, resource: Resource) -> None:
        """Record that the client keeps its last accepted version, unless a later response holds the name again."""
        is_sent_later = any(name in later.resources for later in self.unanswered)
        if self.sent.get(name) != resource or is_sent_later:
            return
        self.pending[name] = None
        del self.sent[name]
        if name in self.acknowledged:
            self.sent[name] = self.acknowledged[name]

    # -- subscriptions

    def subscribe(self, names: set[str], wildcard: bool, all_names: Iterable[str]) -> None:
        """Set the client's subscription.

        Args:
            names: the names that it subscribes to.
            wildcard: whether it subscribes to all.
            all_names: the names that a new wildcard adds.
        """
        added, removed = names - self.names, self.names - names
        if wildcard and not self.wildcard:
            added = added | set(all_names)
        self.names, self.wildcard = names, wildcard
        if not wildcard:
            removed = removed | {name for name in self.sent if name not in names}
            for name in removed:  # the client drops resources that it unsubscribes from
                self._unsubscribe(name)
        self.pending |= dict.fromkeys(sorted(added))

    def _unsubscribe(self, name: str) -> None:
        self.sent.pop(name, None)
        self.acknowledged.pop(name, None)
        self.rejected.pop(name, None)
        self.pending.pop(name, None)
        self.send_anyway.discard(name)
        self.absent.discard(name)
        self.send_alone.discard(name)

    # -- sent resources

    def must_send(self, resource: Resource) -> bool:
        """Return whether the client lacks this version, or subscribed again, and has not rejected it."""
        name = resource.name
        if self.rejected.get(name) == resource.version:
            return False
        return name not in self.sent or self.sent[name].version != resource.version or name in self.send_anyway

    def record_sent(self, resource: Resource, nonce: int) -> None:
        """Record that a resource is sent in the response with this nonce."""
        name = resource.name
        del self.pending[name]
        self.rejected.pop(name, None)
        if name not in self.sent:
            self.sent_since[name] = nonce
        self.sent[name] = resource
        if resource.ttl_us:
            self.ttl_us = min(self.ttl_us or resource.ttl_us, resource.ttl_us)
        self.send_anyway.discard(name)
        self.absent.discard(name)

    def record_removed(self, name: str) -> None:
        """Record that the client is notified of a removed resource."""
        del self.pending[name]
        self.sent.pop(name, None)
        self.acknowledged.pop(name, None)
        self.rejected.pop(name, None)
        self.send_anyway.discard(name)
        self.send_alone.discard(name)
        if name in self.names:
            self.absent.add(name)

    # -- heartbeats

    @property
    def heartbeat_at(self) -> float:
        """Return when the next heartbeat is due, us; inf without a time to live or with an unanswered response."""
        if not self.ttl_us or self.unanswered:
            return inf
        return self.last_heartbeat + self.ttl_us // HEARTBEATS_PER_TTL

    def heartbeat(self, now: int) -> list[Resource]:
        """Return the resources of a heartbeat at `now`; empty if none has a time to live any longer."""
        leased = [resource for resource in self.sent.values() if resource.ttl_us]
        self.ttl_us = min((resource.ttl_us for resource in leased), default=0)
        if leased:
            self.last_heartbeat = now
        return leased

"""xDS streams against a model of their clients: each client's resources are consistent at all times, and converge."""

import pytest
from hypothesis import settings as limits
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, invariant, rule

from scalefall.control.catalog import CDS, EDS, LDS, RDS, Catalog, InconsistentResourcesError, Resource
from scalefall.control.streams import (
    MAX_NAMES,
    MAX_UNANSWERED,
    CloseStream,
    ResponseRejected,
    Request,
    Response,
    XdsStream,
)

POISON = "poison"


def resource(kind, name, version="1", *needs, ttl=0):
    """Return a resource whose body names its version."""
    return Resource(kind, name, version, f"{name}:{version}", frozenset(needs), ttl)


def simple(cluster="1", endpoints="1"):
    """Return a consistent set with one resource of each type."""
    return [
        resource(CDS, "c", cluster),
        resource(EDS, "c", endpoints),
        resource(RDS, "r", "1", (CDS, "c")),
        resource(LDS, "l", "1", (RDS, "r")),
    ]


def sent(actions):
    """Return the type, names and removed names of each response."""
    return [
        (action.type, [resource.name for resource in action.resources], action.removed)
        for action in actions
        if isinstance(action, Response)
    ]


def started(incremental, *resources):
    """Return a catalog of these resources, and a stream that it serves."""
    catalog = Catalog()
    catalog.replace(resources or simple())
    return catalog, XdsStream(catalog, "p/x", incremental)


def ack(stream, actions):
    """Acknowledge all responses; return the actions that follow."""
    following = []
    for action in actions:
        if isinstance(action, Response):
            following += stream.request(Request(action.type, action.nonce, names_of(stream, action)))
    return following


def names_of(stream, action):
    """Return the names that the client repeats in each request: none but in state of the world."""
    return () if stream._incremental else tuple(sorted(stream._watches[action.type].names))


def test_an_inconsistent_set_is_rejected_and_changes_nothing():
    """An update with the resources that the catalog already has changes nothing either."""
    catalog, _ = started(True)
    before = catalog.generation
    with pytest.raises(InconsistentResourcesError, match="r needs missing"):
        catalog.update([resource(CDS, "d"), resource(RDS, "r", "2", (CDS, "missing"))])
    with pytest.raises(InconsistentResourcesError, match="r needs c"):
        catalog.update([], [(CDS, "c")])
    assert catalog.get((CDS, "d")) is None
    assert catalog.generation == before
    assert catalog.update(simple()) == set()
    assert catalog.generation == before


@pytest.mark.parametrize("incremental", [True, False])
def test_a_change_of_endpoints_is_sent_alone_and_only_to_clients_that_watch_it(incremental):
    """A client that watches only listeners is sent nothing."""
    catalog, stream = started(incremental)
    ack(stream, stream.request(Request(CDS)))
    ack(stream, stream.request(Request(EDS, names=("c",))))
    changed = catalog.update([resource(EDS, "c", "2")])
    assert sent(stream.changed(changed)) == [(EDS, ["c"], ())]
    assert stream.changed(changed) == []
    other = XdsStream(catalog, "q/x", incremental)
    other.request(Request(LDS))
    assert other.changed({(EDS, "c")}) == []


@pytest.mark.parametrize("incremental", [True, False])
def test_a_route_waits_for_its_new_cluster_and_the_old_cluster_for_the_route(incremental):
    """Make before break: otherwise the client would have a route without its cluster for a time."""
    catalog, stream = started(incremental)
    for request in (Request(CDS), Request(RDS, names=("r",))):
        ack(stream, stream.request(request))
    keys = catalog.replace([resource(CDS, "d"), resource(RDS, "r", "2", (CDS, "d"))])
    added = stream.changed(keys)
    assert sent(added) == [(CDS, ["d"] if incremental else ["c", "d"], ())]
    rerouted = ack(stream, added)
    assert sent(rerouted) == [(RDS, ["r"], ())]
    assert sent(ack(stream, rerouted)) == [(CDS, [] if incremental else ["d"], ("c",) if incremental else ())]


@pytest.mark.parametrize("incremental", [True, False])
def test_a_rejected_version_is_logged_and_affects_only_the_client_that_rejects_it(incremental):
    """That client keeps the version before it, and is sent the next one."""
    catalog, stream = started(incremental)
    other = XdsStream(catalog, "q/x", incremental)
    for each in (stream, other):
        ack(each, each.request(Request(CDS)))
    keys = catalog.update([resource(CDS, "c", "2")])
    [response] = stream.changed(keys)
    ack(other, other.changed(keys))
    rejected = stream.request(Request(CDS, response.nonce, error="no such filter"))
    assert rejected == [ResponseRejected(CDS, ("c",), "no such filter")]
    assert (stream.acknowledged_resource((CDS, "c")).version, other.acknowledged_resource((CDS, "c")).version) == (
        "1",
        "2",
    )
    assert stream.changed(keys) == []
    assert sent(stream.changed(catalog.update([resource(CDS, "c", "3")]))) == [(CDS, ["c"], ())]


def test_a_client_that_does_not_answer_is_sent_one_window_and_later_only_the_latest_version():
    """Versions in between are stored nowhere and never sent, so a slow client costs no memory for them."""
    catalog, stream = started(True)
    responses = stream.request(Request(EDS, names=("c",)))
    for version in range(2, 50):
        responses += stream.changed(catalog.update([resource(EDS, "c", str(version))]))
    assert len(responses) == MAX_UNANSWERED
    assert stream.pending_names == 1
    assert ack(stream, responses[-1:])[0].resources[0].version == "49"


def test_a_client_that_reconnects_gets_what_changed_and_what_was_removed():
    """The client states its versions at the start; a subscribed name that has no resource is reported removed too."""
    catalog, stream = started(True)
    known = (("c", "1"), ("old", "1"))
    catalog.update([resource(CDS, "d")])
    assert sent(stream.request(Request(CDS, initial_versions=known))) == [(CDS, ["d"], ()), (CDS, [], ("old",))]
    assert sent(stream.request(Request(CDS, names=("c", "none")))) == [(CDS, ["c"], ()), (CDS, [], ("none",))]


def test_a_stale_answer_changes_nothing_and_an_unknown_one_at_the_start_ends_the_stream():
    """A client may still answer a response that is older than one it has answered."""
    catalog, stream = started(False)
    first = stream.request(Request(EDS, names=("c",)))
    second = stream.changed(catalog.update([resource(EDS, "c", "2")]))
    ack(stream, second)
    assert stream.request(Request(EDS, first[0].nonce, ("c", "x"), error="late")) == []
    assert stream.acknowledged_resource((EDS, "c")).version == "2"
    assert isinstance(XdsStream(catalog, "p", False).request(Request(EDS, "7"))[0], CloseStream)


@pytest.mark.parametrize(
    "request_",
    [
        Request("type.googleapis.com/unknown"),
        Request(EDS, names=("x" * 10_000,)),
        Request(EDS, names=("",)),
        Request(EDS, names=tuple(f"n{number}" for number in range(MAX_NAMES + 1))),
    ],
)
def test_a_request_beyond_the_limits_ends_the_stream_and_frees_it(request_):
    """The limits: known types, and the number and length of names."""
    _, stream = started(True)
    [close] = stream.request(request_)
    assert isinstance(close, CloseStream)
    assert len(close.reason) < 1000
    assert not stream._watches
    assert stream.request(Request(CDS)) == stream.changed({(CDS, "c")}) == []


def test_resources_with_a_time_to_live_get_heartbeats_while_the_client_answers():
    """Two per time to live; none is sent while one is unanswered."""
    _catalog, stream = started(True, resource(EDS, "c", ttl=9), resource(EDS, "d"))
    ack(stream, stream.request(Request(EDS, names=("c", "d"))))
    now, heartbeats = 0, []
    while now < 30:
        actions = stream.heartbeats(now)
        heartbeats += [
            (now, [received.name for received in action.resources], action.is_heartbeat) for action in actions
        ]
        if now < 12:
            ack(stream, actions)
        now = stream.next_heartbeat(now) if stream.next_heartbeat(now) > now else now + 1
    assert heartbeats[:3] == [(at, ["c"], True) for at in (0, 4, 8)]
    assert len(heartbeats) == 4  # the one at 12 was not answered


def test_overrides_replace_the_shared_resources_for_their_node_alone():
    """Without them the shared resources apply again; an override requires a shared resource of its name."""
    catalog, stream = started(True)
    other = XdsStream(catalog, "q/x", True)
    for each in (stream, other):
        ack(each, each.request(Request(EDS, names=("c",))))
    keys = catalog.override("p/x", [resource(EDS, "c", "own")])
    assert [action.resources[0].version for action in stream.changed(keys)] == ["own"]
    assert other.changed(keys) == []
    restored = stream.changed(catalog.override("p/x", []))
    assert [action.resources[0].version for action in restored] == ["1"]
    with pytest.raises(InconsistentResourcesError):
        catalog.override("p/x", [resource(EDS, "nowhere")])


class Clients(RuleBasedStateMachine):
    """One client of each protocol variant, behind a queue; routes r0..r2 each refer to a cluster, clusters change."""

    @initialize()
    def start(self):
        """Subscribe both clients to all clusters and to three routes."""
        self.catalog, self.version = Catalog(), 0
        self.streams = [XdsStream(self.catalog, "a", True), XdsStream(self.catalog, "b", False)]
        self.queues, self.known = [[], []], [{CDS: {}, RDS: {}}, {CDS: {}, RDS: {}}]
        self.edit({0: False}, [0])
        for client in (0, 1):
            for request in (Request(CDS), Request(RDS, names=("r0", "r1", "r2"))):
                self.queues[client] += self.streams[client].request(request)

    @rule(
        clusters=st.dictionaries(st.integers(0, 3), st.booleans(), min_size=1),
        routes=st.lists(st.integers(0, 9), max_size=3),
    )
    def edit(self, clusters, routes):
        """Replace the set; a marked cluster has a version that clients reject."""
        self.version += 1
        resources = [
            resource(CDS, f"c{number}", POISON + str(self.version) if rejected else str(self.version // 2))
            for number, rejected in clusters.items()
        ]
        resources += [
            resource(
                RDS,
                f"r{number}",
                f"{self.version // 2}-{(name := resources[pick % len(clusters)].name)}",
                (CDS, name),
            )
            for number, pick in enumerate(routes)
        ]
        keys = self.catalog.replace(resources)
        for client, stream in enumerate(self.streams):
            self.queues[client] += stream.changed(keys)

    @rule(client=st.integers(0, 1), limit=st.integers(1, 6))
    def read(self, client, limit):
        """Let a client take in responses and answer each."""
        for _ in range(min(limit, len(self.queues[client]))):
            action = self.queues[client].pop(0)
            if not isinstance(action, Response):
                continue
            rejects = any(received.version.startswith(POISON) for received in action.resources)
            known = self.known[client][action.type]
            if not rejects:
                if client and action.type == CDS:
                    known.clear()
                known |= {received.name: received for received in action.resources}
                for name in action.removed:
                    known.pop(name, None)
            names = tuple(sorted(self.streams[client]._watches[action.type].names)) if client else ()
            self.queues[client] += self.streams[client].request(
                Request(action.type, action.nonce, names, error="bad" if rejects else None)
            )
            self.is_consistent()

    @invariant()
    def is_consistent(self):
        """No client has a route without its cluster, and no window is exceeded."""
        for client, stream in enumerate(getattr(self, "streams", [])):
            known = self.known[client]
            assert all(name in known[kind] for route in known[RDS].values() for kind, name in route.needs)
            assert all(len(watch.unanswered) <= MAX_UNANSWERED for watch in stream._watches.values())

    def teardown(self):
        """Once everything is read, each client has the catalog's resources."""
        if not hasattr(self, "streams"):
            return
        self.edit({0: False, 1: False}, [0, 1])
        for client in (0, 1):
            while self.queues[client]:
                self.read(client, 1)
            known = self.known[client]
            expected = {
                kind: {name: self.catalog.get((kind, name)) for name in self.catalog.names(kind)} for kind in (CDS, RDS)
            }
            routes = known[RDS]
            if client == 1:  # state of the world cannot express the removal of a route
                routes = {name: route for name, route in routes.items() if name in expected[RDS]}
            assert known[CDS].keys() == expected[CDS].keys() | {
                name for route in known[RDS].values() for _, name in route.needs
            }
            assert routes == expected[RDS]
            assert all(known[CDS][name] == cluster for name, cluster in expected[CDS].items())


Clients.TestCase.settings = limits(max_examples=60, stateful_step_count=25, deadline=None, derandomize=True)
TestClients = Clients.TestCase

"""xDS streams against a model of their clients: what a client has is whole at every moment, and right in the end."""

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
    """A resource whose body names its version."""
    return Resource(kind, name, version, f"{name}:{version}", frozenset(needs), ttl)


def simple(cluster="1", endpoints="1"):
    """One consistent set, a resource of each type."""
    return [
        resource(CDS, "c", cluster),
        resource(EDS, "c", endpoints),
        resource(RDS, "r", "1", (CDS, "c")),
        resource(LDS, "l", "1", (RDS, "r")),
    ]


def sent(actions):
    """The types, names and removed names of the responses."""
    return [(a.type, [r.name for r in a.resources], a.removed) for a in actions if isinstance(a, Response)]


def started(incremental, *resources):
    """A catalog of these resources, and a stream of it."""
    catalog = Catalog()
    catalog.replace(resources or simple())
    return catalog, XdsStream(catalog, "p/x", incremental)


def ack(stream, actions):
    """Acknowledge all of them, and what follows from that."""
    follows = []
    for action in actions:
        if isinstance(action, Response):
            follows += stream.request(Request(action.type, action.nonce, names_of(stream, action)))
    return follows


def names_of(stream, action):
    """What a state-of-the-world client names in each request."""
    return () if stream._incremental else tuple(sorted(stream._watches[action.type].names))


def test_an_inconsistent_set_is_rejected_and_changes_nothing():
    """The same set again changes nothing either."""
    catalog, _ = started(True)
    before = catalog.generation
    with pytest.raises(InconsistentResourcesError, match="r needs gone"):
        catalog.update([resource(CDS, "d"), resource(RDS, "r", "2", (CDS, "gone"))])
    with pytest.raises(InconsistentResourcesError, match="r needs c"):
        catalog.update([], [(CDS, "c")])
    assert catalog.get((CDS, "d")) is None
    assert catalog.generation == before
    assert catalog.update(simple()) == set()
    assert catalog.generation == before


@pytest.mark.parametrize("incremental", [True, False])
def test_one_endpoints_change_goes_to_who_watches_it_and_nothing_else_does(incremental):
    """A client that watches listeners alone gets nothing."""
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
    """Make before break, by reference."""
    catalog, stream = started(incremental)
    for request in (Request(CDS), Request(RDS, names=("r",))):
        ack(stream, stream.request(request))
    keys = catalog.replace([resource(CDS, "d"), resource(RDS, "r", "2", (CDS, "d"))])
    made = stream.changed(keys)
    assert sent(made) == [(CDS, ["d"] if incremental else ["c", "d"], ())]
    moved = ack(stream, made)
    assert sent(moved) == [(RDS, ["r"], ())]
    assert sent(ack(stream, moved)) == [(CDS, [] if incremental else ["d"], ("c",) if incremental else ())]


@pytest.mark.parametrize("incremental", [True, False])
def test_a_rejected_version_is_logged_and_concerns_that_client_alone(incremental):
    """The next version goes out to it again."""
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


def test_a_client_that_never_answers_costs_a_window_and_then_the_latest():
    """What changed in between is never sent."""
    catalog, stream = started(True)
    responses = stream.request(Request(EDS, names=("c",)))
    for version in range(2, 50):
        responses += stream.changed(catalog.update([resource(EDS, "c", str(version))]))
    assert len(responses) == MAX_UNANSWERED
    assert stream.pending_names == 1
    assert ack(stream, responses[-1:])[0].resources[0].version == "49"


def test_a_client_that_reconnects_gets_what_changed_and_what_was_removed():
    """By the initial versions that it has; a name that never was is removed too."""
    catalog, stream = started(True)
    known = (("c", "1"), ("gone", "1"))
    catalog.update([resource(CDS, "d")])
    assert sent(stream.request(Request(CDS, initial_versions=known))) == [(CDS, ["d"], ()), (CDS, [], ("gone",))]
    assert sent(stream.request(Request(CDS, names=("c", "none")))) == [(CDS, ["c"], ()), (CDS, [], ("none",))]


def test_a_stale_answer_changes_nothing_and_an_unknown_one_at_the_start_ends_the_stream():
    """A client may still answer what it was sent before the last response."""
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
        Request(EDS, names=tuple(f"n{n}" for n in range(MAX_NAMES + 1))),
    ],
)
def test_a_request_beyond_the_limits_ends_the_stream_and_frees_it(request_):
    """Unknown types, and names that are too many, too long or empty."""
    _, stream = started(True)
    [close] = stream.request(request_)
    assert isinstance(close, CloseStream)
    assert len(close.reason) < 1000
    assert not stream._watches
    assert stream.request(Request(CDS)) == stream.changed({(CDS, "c")}) == []


def test_heartbeats_keep_what_has_a_time_to_live_for_a_client_that_answers():
    """Two in a time to live; none goes out while one has no answer."""
    _catalog, stream = started(True, resource(EDS, "c", ttl=9), resource(EDS, "d"))
    ack(stream, stream.request(Request(EDS, names=("c", "d"))))
    now, beats = 0, []
    while now < 30:
        new = stream.heartbeats(now)
        beats += [(now, [r.name for r in action.resources], action.is_heartbeat) for action in new]
        if now < 12:
            ack(stream, new)
        now = stream.next_heartbeat(now) if stream.next_heartbeat(now) > now else now + 1
    assert beats[:3] == [(at, ["c"], True) for at in (0, 4, 8)]
    assert len(beats) == 4  # the one at 12 had no answer


def test_overrides_go_before_the_shared_resources_for_their_node_alone():
    """Without them the shared ones are back; an override needs a shared resource."""
    catalog, stream = started(True)
    other = XdsStream(catalog, "q/x", True)
    for each in (stream, other):
        ack(each, each.request(Request(EDS, names=("c",))))
    keys = catalog.override("p/x", [resource(EDS, "c", "own")])
    assert [a.resources[0].version for a in stream.changed(keys)] == ["own"]
    assert other.changed(keys) == []
    assert [a.resources[0].version for a in stream.changed(catalog.override("p/x", []))] == ["1"]
    with pytest.raises(InconsistentResourcesError):
        catalog.override("p/x", [resource(EDS, "nowhere")])


class Clients(RuleBasedStateMachine):
    """One client of each form, behind a queue; routes r0..r2 each need a cluster, clusters come and go."""

    @initialize()
    def start(self):
        """Both clients subscribe to all clusters and to three routes."""
        self.catalog, self.version = Catalog(), 0
        self.streams = [XdsStream(self.catalog, "a", True), XdsStream(self.catalog, "b", False)]
        self.wire, self.has = [[], []], [{CDS: {}, RDS: {}}, {CDS: {}, RDS: {}}]
        self.edit({0: False}, [0])
        for n in (0, 1):
            for request in (Request(CDS), Request(RDS, names=("r0", "r1", "r2"))):
                self.wire[n] += self.streams[n].request(request)

    @rule(
        clusters=st.dictionaries(st.integers(0, 3), st.booleans(), min_size=1),
        routes=st.lists(st.integers(0, 9), max_size=3),
    )
    def edit(self, clusters, routes):
        """A new set; a cluster that is marked has a version that clients reject."""
        self.version += 1
        rows = [
            resource(CDS, f"c{n}", POISON + str(self.version) if bad else str(self.version // 2))
            for n, bad in clusters.items()
        ]
        rows += [
            resource(RDS, f"r{n}", f"{self.version // 2}-{(name := rows[pick % len(clusters)].name)}", (CDS, name))
            for n, pick in enumerate(routes)
        ]
        keys = self.catalog.replace(rows)
        for n, stream in enumerate(self.streams):
            self.wire[n] += stream.changed(keys)

    @rule(n=st.integers(0, 1), most=st.integers(1, 6))
    def read(self, n, most):
        """The client takes in responses and answers each."""
        for _ in range(min(most, len(self.wire[n]))):
            action = self.wire[n].pop(0)
            if not isinstance(action, Response):
                continue
            bad = any(r.version.startswith(POISON) for r in action.resources)
            have = self.has[n][action.type]
            if not bad:
                if n and action.type == CDS:
                    have.clear()
                have |= {r.name: r for r in action.resources}
                for name in action.removed:
                    have.pop(name, None)
            asked = tuple(sorted(self.streams[n]._watches[action.type].names)) if n else ()
            self.wire[n] += self.streams[n].request(
                Request(action.type, action.nonce, asked, error="bad" if bad else None)
            )
            self.is_consistent()

    @invariant()
    def is_consistent(self):
        """No client has a route without its cluster, and no window is exceeded."""
        for n, stream in enumerate(getattr(self, "streams", [])):
            assert all(name in self.has[n][kind] for r in self.has[n][RDS].values() for kind, name in r.needs)
            assert all(len(watch.unanswered) <= MAX_UNANSWERED for watch in stream._watches.values())

    def teardown(self):
        """Once everything is read, each client has what the catalog has."""
        if not hasattr(self, "streams"):
            return
        self.edit({0: False, 1: False}, [0, 1])
        for n in (0, 1):
            while self.wire[n]:
                self.read(n, 1)
            want = {
                kind: {name: self.catalog.get((kind, name)) for name in self.catalog.names(kind)} for kind in (CDS, RDS)
            }
            kept = self.has[n][RDS] if n == 0 else {k: v for k, v in self.has[n][RDS].items() if k in want[RDS]}
            assert self.has[n][CDS].keys() == want[CDS].keys() | {
                name for r in self.has[n][RDS].values() for _, name in r.needs
            }
            assert kept == want[RDS]
            assert all(self.has[n][CDS][name] == r for name, r in want[CDS].items())


Clients.TestCase.settings = limits(max_examples=60, stateful_step_count=25, deadline=None, derandomize=True)
TestClients = Clients.TestCase

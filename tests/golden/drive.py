"""Drives the program to say each thing that it can say on a wire, and gives back the bytes.

Every name of the program that the goldens touch stands in this module. Each function of AREAS returns the bytes by the
golden's name. HTTP is played in virtual time (nethelp.VirtualTimeScheduler); nothing depends on a port, a folder or the
wall clock.
"""

from __future__ import annotations

import asyncio
import contextlib
import functools
import io
import json
import re
import socket
import sys
import tempfile

import grpc
from envoy.service.discovery.v3 import discovery_pb2
from envoy.service.load_stats.v3 import lrs_pb2
from envoy.service.rate_limit_quota.v3 import rlqs_pb2
from helpers import message_class, settings
from nethelp import (
    MS,
    STREAM_HEAD,
    AttemptsHarness,
    StubServer,
    S,
    VirtualTimeScheduler,
    chunk,
    closed,
    list_update,
    host_row,
)
from test_adapter import CONFIG
from test_sender import SenderHarness

from scalefall import adapter
from scalefall.assignment.model import ShardGrant
from scalefall.control.allocator import MAX_LIMITED, UNLIMITED
from scalefall.control.catalog import CDS, EDS, LDS, RDS
from scalefall.control.grants import Grant
from scalefall.control.streams import Response
from scalefall.control.transport import quota_wire, resources, wire
from scalefall.control.transport.options import ServerOptions, ShardingOptions
from scalefall.control.transport.peers import Peer as StreamPeer
from scalefall.control.transport.server import ControlServer
from scalefall.control.transport.state import StateDirectory
from scalefall.net import http, streams
from scalefall.net.attempt_state import MessageInCall
from scalefall.net.config import Config, Fleet, RouteRules
from scalefall.net.delivery_reports import DeliveryReports
from scalefall.net.delivery_request import Accepted, Conflict, GivenUp, NotServed, Rejected
from scalefall.net.discovery_list import DiscoveryList
from scalefall.net.ingress_server import IngressServer
from scalefall.net.list_stream import Entry, read_list
from scalefall.policy.actions import (
    CancelAttempt,
    CloseIdleConnections,
    Fail,
    LogLine,
    PollEndpointList,
    Probe,
    RouteAllowance,
    Send,
    SetTimer,
    Shed,
)
from scalefall.policy.events import Endpoint, EndpointStatus
from scalefall.policy.settings import Idempotency

Bytes = dict[str, bytes]
LOCAL = ("127.0.0.1", 0)
HEAD = {"X-Request-Id": "id1", "X-Deadline": "480m", "X-Route-To": "dest=7"}
ENDED = b"<the connection is closed>"


# -- what both HTTP sides need


def dial(address):
    sock = socket.create_connection(address)
    sock.setblocking(False)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    return sock


def listen(world, sock, reader):
    """All bytes of one message, as they came."""
    data = b""
    while not reader.complete:
        piece = streams.receive(world, sock, world.now() + 20 * S)
        if not piece:
            return data + ENDED
        data += piece
        reader.feed(piece)
    return data


def answer(world, sock):
    """All bytes of one answer, and whether the connection ends with it."""
    reader = http.AnswerReader()
    data = listen(world, sock, reader)
    return data if reader.keep else data + (ENDED if closed(world, sock) else b"<not closed>")


def request(method="POST", target="/safe", body=b"body", **changes):
    fields = HEAD | {name.replace("_", "-"): value for name, value in changes.items()}
    return http.request(method, target, "s", [(k, v) for k, v in fields.items() if v is not None], body)


def head(*lines, first="POST /safe HTTP/1.1"):
    return "\r\n".join([first, "Host: s", *(f"{k}: {v}" for k, v in HEAD.items()), *lines, "", ""]).encode("latin-1")


def play(world, function, *args):
    try:
        return world.play(function, *args)
    finally:
        world.end_tasks()


# -- HTTP to clients

VERDICTS = {
    "accepted": Accepted(),
    "failed": GivenUp(),
    "conflict": Conflict(),
    "not-carried": NotServed(),
    "rejected": Rejected(0),
    "rejected-in-1us": Rejected(1),
    "rejected-in-1250ms": Rejected(1250 * MS),
    "rejected-in-61s": Rejected(61 * S),
    "turned-away": Rejected(0, True),
    "turned-away-for-500ms": Rejected(500 * MS, True),
}
CHUNKED = head("Transfer-Encoding: chunked")
LIMITED = http.MAX_BODY_BYTES
BAD = {
    "unknown-class": request(target="/nothing"),
    "no-path": request(target="*"),
    "root": request(target="/"),
    "get-of-a-class": request("GET", body=None),
    "put-of-a-class": request("PUT"),
    "no-id": request(X_Request_Id=None),
    "id-not-a-word": request(X_Request_Id="two words"),
    "id-too-long": request(X_Request_Id="i" * 201),
    "no-key": request(target="/keyed"),
    "key-empty": request(target="/safe", Idempotency_Key=""),
    "key-not-a-word": request(target="/safe", Idempotency_Key="two words"),
    "no-deadline": request(X_Deadline=None),
    "deadline-not-a-time": request(X_Deadline="480s"),
    "no-route": request(X_Route_To=None),
    "two-routes": request(X_Route_To="dest=7, dest=8"),
    "request-line": b"POST /safe\r\n\r\n",
    "request-method": b"PO ST /safe HTTP/1.1\r\n\r\n",
    "request-target": b"POST safe HTTP/1.1\r\n\r\n",
    "version-2": b"POST /safe HTTP/2.0\r\n\r\n",
    "version-unknown": b"POST /safe HTTQ\r\n\r\n",
    "field-without-colon": head("nothing"),
    "field-name": head("a b: c"),
    "field-value": head("a: b\0c"),
    "two-lengths": head("Content-Length: 1", "Content-Length: 2"),
    "length-and-coding": head("Content-Length: 1", "Transfer-Encoding: chunked"),
    "coding-in-1.0": head("Transfer-Encoding: chunked", first="POST /safe HTTP/1.0"),
    "coding-unknown": head("Transfer-Encoding: gzip"),
    "length-malformed": head("Content-Length: -1"),
    "body-too-long": head(f"Content-Length: {LIMITED + 1}"),
    "chunked-body-too-long": CHUNKED + b"%x\r\n" % (LIMITED + 1),
    "chunk-size": CHUNKED + b"x\r\n",
    "chunk-end": CHUNKED + b"1\r\nabc\r\n",
    "chunks-too-many": CHUNKED + b"".join(b"1;%s\r\na\r\n" % (b"x" * 1000) for _ in range(140)),
    "trailer-too-long": CHUNKED + b"0\r\n" + b"a: %s\r\n" % (b"x" * 1000) * 140,
    "head-too-long": head("a: " + "x" * 17_000),
    "too-many-fields": head(*(f"a{n}: b" for n in range(100))),
    "two-at-a-time": request() + request(),
    "unknown-expectation": head("Expect: more", "Content-Length: 4"),
    "too-slow": head("Content-Length: 4"),
}


class Desk:
    """A front whose offers are decided by the test."""

    def __init__(self):
        self.world, self.offered = VirtualTimeScheduler(), []
        self.front = IngressServer(self.world, settings().classes, 10, self.offered.append, lambda transaction: None)
        self.address = self.front.listen(LOCAL)

    def say(self, data, sock=None):
        sock = sock or dial(self.address)
        with contextlib.suppress(OSError):  # it may end the connection before it has read all
            streams.send(self.world, sock, data, self.world.now() + S)
        return sock

    def decided(self, verdict, data=None, closing=None):
        before = len(self.offered)
        sock = self.say(data or request())
        self.world.wait_until(lambda: len(self.offered) > before)
        if closing:
            closing()
        self.offered[-1].decide(verdict)
        return answer(self.world, sock)


def front_verdicts(desk):
    found = {}
    for name, verdict in VERDICTS.items():
        found[name] = desk.decided(verdict)
    found["accepted-last-by-request"] = desk.decided(Accepted(), request(Connection="close"))
    old = b"POST /safe HTTP/1.0\r\n" + request().partition(b"\r\n")[2]
    found["accepted-1.0"] = desk.decided(Accepted(), old)
    found["accepted-with-key"] = desk.decided(Accepted(), request(target="/keyed", Idempotency_Key="k"))
    found["accepted-chunked"] = desk.decided(Accepted(), CHUNKED + b"4\r\nbody\r\n0\r\n\r\n")
    found["accepted-draining"] = desk.decided(Accepted(), closing=lambda: desk.front.drain(True))
    desk.front.drain(False)
    for name, verdict in VERDICTS.items():
        found[f"{name}-closing"] = desk.decided(verdict, closing=desk.front.close_idle)
    return found


def front_continue(desk):
    sock = desk.say(head("Expect: 100-continue", "Content-Length: 4"))
    data = streams.receive(desk.world, sock, desk.world.now() + S)
    desk.say(b"body", sock)
    desk.world.wait_until(lambda: desk.offered)
    desk.offered[0].decide(Accepted())
    return {"continue-then-accepted": data + answer(desk.world, sock)}


def front_second_while_asked(desk):
    sock = desk.say(request())
    desk.world.wait_until(lambda: desk.offered)
    desk.say(request(), sock)
    return {"bad-second-while-first-is-open": answer(desk.world, sock)}


def front_health(desk):
    found = {}

    def ask(name, method="GET", target="/healthz"):
        found[f"health-{name}"] = answer(desk.world, desk.say(http.request(method, target, "s", [])))

    ask("ready")
    ask("ready-head", "HEAD")
    ask("ready-query", target="/healthz?x=1")
    ask("post", "POST")
    desk.front.drain(True)
    ask("draining")
    desk.front.drain(False)
    ask("ready-again")
    desk.front.close_idle()
    ask("closing")
    ask("closing-post", "POST")
    return found


def front_bad(desk):
    return {f"bad-{name}": answer(desk.world, desk.say(data)) for name, data in BAD.items()}


def firm_played(function, **changes):
    """The whole host, in a folder that is forgotten."""
    with tempfile.TemporaryDirectory() as folder:
        harness = SenderHarness(folder, **changes)
        return play(harness.world, lambda: (harness.accept_watch(), function(harness))[1])


def host_verdicts(harness):
    found = {"host-too-late": answer(harness.world, harness.submit("a", deadline="1u"))}
    harness.submit_accepted("b")
    found["host-same-again"] = answer(harness.world, harness.submit("b"))
    found["host-conflict"] = answer(harness.world, harness.submit("b", body=b"another"))
    harness.sender.ingress.drain(True)
    found["host-draining"] = answer(harness.world, harness.submit("c"))
    harness.sender.ingress.drain(False)
    harness.sender.close()
    found["host-closing"] = answer(harness.world, harness.submit("d"))
    harness.sender.admission.close_at(harness.world.now())  # as some time later
    found["host-closed"] = answer(harness.world, harness.submit("e"))
    return found


def full_host_verdicts(harness):
    harness.submit_accepted("m")
    return {
        "host-unknown-destination": answer(harness.world, harness.submit("a", dest=9)),
        "host-full": answer(harness.world, harness.submit("b", body=b"x" * 60_000)),
    }


def clients() -> Bytes:
    found = {}
    for part in (front_verdicts, front_continue, front_second_while_asked, front_health, front_bad):
        desk = Desk()
        found |= play(desk.world, part, desk)
    return found | firm_played(host_verdicts) | firm_played(full_host_verdicts, disk=100_000)


# -- HTTP to endpoints


def call(world, loads, host="", kind="many"):
    peer = StubServer(world)
    calls = AttemptsHarness(world, settings(), peer.address)
    calls.entry = Entry(Endpoint("e", "a", kind, 1, EndpointStatus.READY, 1.0), peer.address, host)
    calls.attempts.begin(calls.entry, loads)
    return listen(world, peer.accept(), http.RequestReader())


def endpoint_calls(world):
    def load(name="m", key="k", span=2 * S, body=b"body", **more):
        return MessageInCall(name, 0, world.now() + span, key, body, **more)

    binary = bytes(range(256))
    return {
        "one-with-key": call(world, [load()]),
        "one-without-key": call(world, [load(key=None)]),
        "one-that-must-not-repeat": call(world, [load(key=None, not_idempotent=True)]),
        "one-with-little-time": call(world, [load(span=9999)]),
        "one-with-just-milliseconds": call(world, [load(span=10 * MS + 999)]),
        "one-empty": call(world, [load(body=b"")]),
        "one-binary": call(world, [load(body=binary)]),
        "one-with-host-name": call(world, [load()], "partner.example:8443"),
        "several-with-keys": call(world, [load("m1"), load("m2", "k2", S)]),
        "several-without-keys": call(world, [load("m1", None), load("m2", None, body=b"")]),
        "several-mixed": call(world, [load("m1", 'k"\\'), load("m2", None, body=binary), load("m3", "k3")]),
        "several-with-little-time": call(world, [load("m1", span=9000), load("m2", span=5000)]),
        "several-with-host-name": call(world, [load("m1"), load("m2")], "partner.example"),
    }


def host_calls(harness):
    """A call of each class of messages; how much time is left of it depends on the host's turns."""
    found = {}
    for name in ("safe", "keyed", "zoned", "unsafe", "ordered"):
        harness.submit_accepted(f"m-{name}", cls=name, key="k" if name in ("keyed", "zoned") else None)
        sock = harness.endpoint.accept()
        data = listen(harness.world, sock, http.RequestReader())
        found[f"host-{name}"] = re.sub(rb"X-Deadline: \d+m\r", b"X-Deadline: <left>m\r", data)
        sock.send(http.answer(200, [], keep=False))
        harness.world.wait_until(lambda: not harness.pending_ids())
    return found


def endpoints() -> Bytes:
    world = VirtualTimeScheduler()
    return play(world, endpoint_calls, world) | firm_played(host_calls)


# -- notices


def notices() -> Bytes:
    world = VirtualTimeScheduler()

    def steps():
        peer, delivered = StubServer(world), []
        told = DeliveryReports(world, peer.address, delivered.append)

        def post(name):
            sock = peer.accept()
            found[name] = listen(world, sock, http.RequestReader())
            sock.send(http.answer(204, [], keep=False))
            world.wait_until(lambda: told.idle)

        found = {}
        told.report_failed("m1")
        post("failed")
        told.report_returned("m2", 1500)
        post("returned")
        told.report_returned("m3", 0, 30)
        told.report_failed('m"4\\\u00e9', 10)
        told.report_returned("m5", 20, 20)
        post("several")
        return found

    return play(world, steps)


# -- discovery's list


def discovery() -> Bytes:
    world = VirtualTimeScheduler()

    def watch(peer, name):
        sock = peer.accept()
        found[name] = listen(world, sock, http.RequestReader())
        return sock

    def steps():
        peer, other, here = StubServer(world), StubServer(world), ("127.0.0.1", 1)
        DiscoveryList(world, peer.address, read_list(list_update(0)), lambda event: None).start()
        watch(peer, "list")
        known = read_list(list_update(41, host_row("e", here)))
        endpoint_list = DiscoveryList(world, peer.address, known, lambda event: None, True)
        endpoint_list.start()
        sock = watch(peer, "watch-after-41")
        sock.send(STREAM_HEAD + chunk(list_update(50, host_row("f", here), whole=False)))
        world.wait_until(lambda: endpoint_list.seq == 50)
        sock.close()
        watch(peer, "watch-again-after-50")
        endpoint_list.move(other.address)
        watch(other, "list-after-move")
        return found

    found = {}
    return play(world, steps)


# -- the operators' address

OPERATED = [
    ("GET", "/healthcheck"),
    ("HEAD", "/healthcheck"),
    ("PUT", "/healthcheck"),
    ("PUT", "/endpoints/e/maint"),
    ("PUT", "/endpoints/e/ready"),
    ("PUT", "/endpoints/nobody/maint"),
    ("GET", "/endpoints/e/maint"),
    ("PUT", "/endpoints/e/other"),
    ("GET", "/healthcheck/fail"),
    ("PUT", "/healthcheck/fail"),
    ("GET", "/healthcheck"),
    ("PUT", "/healthcheck/ok"),
    ("GET", "/healthcheck"),
    ("GET", "/"),
]
OPERATED_BADLY = {
    "request-line": b"GET\r\n\r\n",
    "version": b"GET /healthcheck HTTP/3.0\r\n\r\n",
    "body-too-long": b"PUT /healthcheck/ok HTTP/1.1\r\nContent-Length: 4097\r\n\r\n",
    "coding": b"PUT /healthcheck/ok HTTP/1.1\r\nTransfer-Encoding: gzip\r\n\r\n",
    "too-slow": b"PUT /healthcheck/ok HTTP/1.1\r\n",
}


def operator_calls(harness):
    found = {}

    def say(name, data):
        sock = dial(harness.sender.admin_address)
        sock.send(data)
        found[name] = answer(harness.world, sock)

    for number, (method, path) in enumerate(OPERATED):
        say(f"{number:02} {method} {path}", http.request(method, path, "s", []))
    for name, data in OPERATED_BADLY.items():
        say(name, data)
    harness.sender.admin_actions.store.reserved_bytes = 0
    say("no-room", http.request("PUT", "/endpoints/e/maint", "s", []))
    harness.sender.close()
    say("closing", http.request("GET", "/healthcheck", "s", []))
    return found


def operators() -> Bytes:
    return firm_played(operator_calls, admin=LOCAL)


# -- resources of the control service

CLASSES = {
    row.name: row
    for row in (
        message_class("freely"),
        message_class("key-lives-long", Idempotency.WITH_KEY, key_ttl_us=9 * S),
        message_class("key-lives-short", Idempotency.WITH_KEY, key_ttl_us=5 * S),
        message_class("key-in-zone", Idempotency.WITH_KEY, key_scope_zone=True),
        message_class("never", Idempotency.NOT_IDEMPOTENT, deadline_us=16 * S),
        message_class("absent"),
    )
}
TTL = 3 * S


def row(name, zone="a", status=EndpointStatus.READY, calls=0, dial_us=0):
    return Entry(Endpoint(name, zone, "one", 7, status, 0.0, calls), ("10.0.0.1", 80 + int(name[1:])), "", dial_us)


def allowed(rate=float("inf"), silent=0, **budgets):
    return RouteAllowance(7, "7", budgets, rate, silent)


def packed(resource):
    """A resource as an incremental response carries it: name, version, time to live, body."""
    response = Response(resource.type, "n", "v", (resource,))
    return wire.ResponseEncoder().encode(response, True, True)


def fixed_resources(title, rows, attempts, carried):
    rules = {7: RouteRules(frozenset(carried), attempts, S)}
    made = resources.static_resources({7: rows}, rules, settings(classes=CLASSES))
    return {f"{title} {resource.type.rpartition('.')[2]}": packed(resource) for resource in made}


def endpoint_lists():
    inf, up, down = float("inf"), EndpointStatus.READY, EndpointStatus.DRAINING
    rows = [row("e0"), row("e1", "b"), row("e2"), row("e3", status=down), row("e4", status=EndpointStatus.GONE)]
    every = {"e0": inf, "e1": inf, "e2": inf}
    cases = {
        "ready": ([row("e0", status=up)], [allowed(e0=inf)]),
        "empty": ([], []),
        "drains-and-gone": (rows, [allowed(**every)]),
        "all-draining": ([row("e0", status=down)], []),
        "not-allowed": (rows, [allowed(e0=inf)]),
        "weights": (rows, [allowed(30.0, e0=inf, e1=1.0, e2=6.0)]),
        "weights-by-steps": ([row(f"e{n}") for n in range(7)], [allowed(70.0, **{f"e{n}": n * 2.0 for n in range(7)})]),
        "resting": (rows, [allowed(10.0, e0=inf, e1=0.0, e2=inf)]),
        "told-wait": (rows, [allowed(10.0, 2 * S, **every)]),
        "guarded": (rows, [allowed(0.0, **every)]),
        "lasting": ([row("e0")], [allowed(e0=inf)]),
    }
    return {
        f"endpoints {name}": resources.endpoint_resource(7, entries, told, S, 0 if name == "lasting" else TTL)
        for name, (entries, told) in cases.items()
    }


def xds_resources() -> Bytes:
    found = fixed_resources("many-tries", [row("e0", calls=4, dial_us=250_000), row("e1", calls=5)], 3, CLASSES)
    found |= fixed_resources("one-try", [row("e0", calls=4), row("e1")], 1, CLASSES)
    found |= fixed_resources("nothing", [], 3, ["freely"])
    found |= {name: packed(resource) for name, resource in endpoint_lists().items()}
    return found | {"lease": packed(resources.lease_resource(TTL))}


def xds_responses() -> Bytes:
    lists = endpoint_lists()
    pair, lasting = (lists["endpoints ready"], resources.lease_resource(TTL)), (lists["endpoints lasting"],)
    cases = {
        "new": Response(EDS, "n1", "v1", pair),
        "no-time-to-live": Response(EDS, "n1", "v1", lasting),
        "heartbeat": Response(EDS, "n2", "v1", pair, (), True),
        "removed": Response(EDS, "n3", "v2", pair[:1], ("route-8", "route-9")),
        "nothing": Response(CDS, "n4", "v3", ()),
    }
    forms = {
        "whole": (False, False),
        "whole-leased": (False, True),
        "delta": (True, False),
        "delta-leased": (True, True),
    }
    return {
        f"{form} {name}": wire.ResponseEncoder().encode(response, *flags)
        for name, response in cases.items()
        for form, flags in forms.items()
    }


# -- quotas


def kept(message):
    return message.SerializeToString(deterministic=True)


def quotas() -> Bytes:
    bucket = {"route": "7", "name": "n"}
    amounts = {
        "deny": 0,
        "least": 1,
        "slow": 200,
        "pace": 12_345,
        "fast": 2_000_000,
        "most": MAX_LIMITED,
        "all": UNLIMITED,
    }
    found = {
        f"grant {name}": kept(quota_wire.grant(Grant("h/1", 7, 3, amount, 4 * S), bucket, None))
        for name, amount in amounts.items()
    }
    found["grant numbered"] = kept(quota_wire.grant(Grant("h/1", 7, 3, 1500, 4 * S), bucket, 12))
    found["withdrawn numbered"] = kept(quota_wire.grant(Grant("h/1", 7, 4, 0, 4 * S), bucket, 13))
    found["abandon"] = kept(quota_wire.abandon({"route": "99"}))
    found["abandon nothing"] = kept(quota_wire.abandon({}))
    part = ShardGrant("h/1", 5, 2, 9, 1_000_000, 4 * S, ())
    limited = ShardGrant("h/1", 6, 3, 10, 250_000, 4 * S, ((7, 1500), (8, 0), (9, UNLIMITED)))
    gone, own = ShardGrant("h/1", 5, 2, 11, 0, 4 * S, ()), ShardGrant("h/1", 8, 1, 12, 500_000, 4 * S, (), 7)
    cases = {"whole": [part], "limited": [limited], "withdrawn": [gone], "own": [own], "none": []}
    cases["several"] = [part, limited, own, gone]
    for name, grants in cases.items():
        found[f"shards {name}"] = kept(quota_wire.shard_grants(grants, None))
        found[f"shards {name} heard"] = kept(quota_wire.shard_grants(grants, 14))
    return found


# -- the control service's streams


class Said:
    """A stream's messages from a client; at its end nothing more comes."""

    def __init__(self, messages, metadata=()):
        self.messages, self.metadata = [kept(message) for message in messages], metadata

    async def read(self):
        return self.messages.pop(0) if self.messages else grpc.aio.EOF

    def invocation_metadata(self):
        return self.metadata


SERVE = {
    "whole": lambda server: server.resource_streams.serve_state_of_the_world,
    "delta": lambda server: server.resource_streams.serve_incremental,
    "load": lambda server: server.load_report_streams.serve,
    "quota": lambda server: server.quota_streams.serve,
}


def streamed(divided, form, *messages, metadata=()):
    """What one client gets at once of a control service with one route."""
    rows = [row("e0"), row("e1", "b")]
    classes = {"freely": CLASSES["freely"]}
    fleet = Fleet(rows, {7: RouteRules(frozenset(classes), 3, S)})
    told = settings(classes=classes, replica_count=1)
    with tempfile.TemporaryDirectory() as folder:
        config = Config("n", LOCAL, None, folder, 3, 100, 10**6, 10**8, told, read_list(list_update(0)), fleet=fleet)
        shards = ShardingOptions(4, 10 * S, 0.0) if divided else None
        options = ServerOptions("127.0.0.1:0", 4 * S, 5 * S, TTL, 2 * S, shards)
        with StateDirectory(folder) as directory:
            server = ControlServer(config, options, directory, None)
            server.try_to_lead()

            async def run():
                peer = StreamPeer(1, Said(messages, metadata), asyncio.current_task(), None)
                server.peers.add(peer)
                await SERVE[form](server)(peer)
                return list(peer.outgoing)

            return asyncio.run(run())


def control_streams() -> Bytes:
    node, found = {"id": "n", "client_features": [wire.TTL_FEATURE]}, {}

    def keep(name, sent):
        found.update({f"{name} {number}": data for number, data in enumerate(sent)} or {f"{name}": b""})

    for divided, title in ((False, "all"), (True, "divided")):
        for kind in (LDS, RDS, CDS, EDS):
            word = kind.rpartition(".")[2]
            asked = discovery_pb2.DiscoveryRequest(type_url=kind, node=node, resource_names=["route-7"])
            keep(f"{title} whole {word}", streamed(divided, "whole", asked))
            more = discovery_pb2.DeltaDiscoveryRequest(
                type_url=kind, node=node, resource_names_subscribe=["route-7", "route-8", "scalefall-lease"]
            )
            keep(f"{title} delta {word}", streamed(divided, "delta", more))
        load = lrs_pb2.LoadStatsRequest(node=node)
        keep(f"{title} load", streamed(divided, "load", load, lrs_pb2.LoadStatsRequest()))
        report = rlqs_pb2.RateLimitQuotaUsageReports(domain="n")
        report.bucket_quota_usages.add().bucket_id.bucket.update({"route": "99"})
        data = streamed(divided, "quota", report, metadata=(("scalefall-node", "n"),))
        keep(f"{title} quota unknown-route", [kept(rlqs_pb2.RateLimitQuotaResponse.FromString(one)) for one in data])
    return found


# -- the simulator's wire

ACTIONS = {
    "send": Send("m", "e", 1_234_567),
    "set-timer": SetTimer(3, 20_500),
    "refuse": Shed("m", 1_500_000),
    "refuse-at-once": Shed("m", 0),
    "fail": Fail("m"),
    "cancel": CancelAttempt("m", 2),
    "probe": Probe("e"),
    "close": CloseIdleConnections("e"),
    "subscribe": PollEndpointList(),
    "unsubscribe": PollEndpointList(False),
    "log": LogLine('a "line" \u00e9'),
}
OPEN = ["openInstance", "s0", 7, CONFIG]
LISTED = ["backendsChanged", "s0", 1, 0, 1]
SHEET = ["inventory", 1, [["e", "a", "one", 7, 1, None]]]
INGRESS = ["ingress", "s0", "m", None, 8000.0, 0, "c", 0, None, 7]


def batch(clock, *inbox):
    return json.dumps({"clock": clock, "inbox": inbox})


LINES = {
    "nothing": [batch(0)],
    "opened": [batch(0, SHEET, OPEN, LISTED), batch(5.5, INGRESS), batch(25, ["timer", "s0", 1])],
    "not-json": [batch(0), "{broken"],
    "no-object": ["[]"],
    "no-inbox": ['{"clock":1}'],
    "no-clock": ['{"inbox":[]}'],
    "clock-no-number": ['{"clock":true,"inbox":[]}'],
    "unknown-event": [batch(1, ["whatever", "s0"])],
    "event-too-short": [batch(1, ["timer"])],
    "event-no-list": [batch(1, 7)],
    "event-empty": [batch(1, [])],
    "outcome-unknown": [batch(1, ["settled", "s0", "r", 0, "e", "odd", 1, False, None, None])],
    "no-such-list": [batch(1, LISTED)],
    "settings-wrong": [batch(0, ["openInstance", "s0", 7, CONFIG | {"siblings": 0}])],
}


def simulated(lines):
    """What the program writes, and how it ends."""
    before, output, errors = sys.stdin, io.StringIO(), io.StringIO()
    sys.stdin = io.StringIO("".join(line + "\n" for line in lines))
    try:
        with contextlib.redirect_stdout(output), contextlib.redirect_stderr(errors):
            code = adapter.main()
    finally:
        sys.stdin = before
    return f"{output.getvalue()}<errors>\n{errors.getvalue()}<exit {code}>\n".encode()


class FailingSender:
    """A decision module that has a fault."""

    def handle(self, now, events):
        raise RuntimeError("a fault of the module")


def module_failed():
    host = adapter.SimulatorAdapter()
    host.engines["s0"] = FailingSender()
    return json.dumps(host.batch(1.0, [["timer", "s0", 1]])).encode()


def simulator() -> Bytes:
    rows = {name: json.dumps(adapter.write_action("s0", action)).encode() for name, action in ACTIONS.items()}
    return (
        rows | {f"lines-{name}": simulated(lines) for name, lines in LINES.items()} | {"module-failed": module_failed()}
    )


AREAS = {
    "clients": clients,
    "endpoints": endpoints,
    "notices": notices,
    "discovery": discovery,
    "operators": operators,
    "xds_resources": xds_resources,
    "xds_responses": xds_responses,
    "quotas": quotas,
    "control_streams": control_streams,
    "simulator": simulator,
}
MESSAGES = {  # areas whose bytes are messages of protobuf, by how the golden's name begins
    "xds_resources": lambda name: discovery_pb2.DeltaDiscoveryResponse,
    "xds_responses": lambda name: _response(name.split()[0]),
    "quotas": lambda name: rlqs_pb2.RateLimitQuotaResponse,
    "control_streams": lambda name: _response(name.split()[1]),
}


def _response(word):
    return {
        "load": lrs_pb2.LoadStatsResponse,
        "quota": rlqs_pb2.RateLimitQuotaResponse,
        "whole": discovery_pb2.DiscoveryResponse,
        "whole-leased": discovery_pb2.DiscoveryResponse,
    }.get(word, discovery_pb2.DeltaDiscoveryResponse)


@functools.cache
def bytes_of(area: str) -> Bytes:
    return AREAS[area]()

"""The endpoint list from the operator's file: removed endpoints drain, and a change applies at once or not at all."""

import dataclasses
import socket
import threading

import pytest
from helpers import settings
from nethelp import MS, AttemptsHarness, S, StubServer, VirtualTimeScheduler, closed

from scalefall.net.config import ConfigError
from scalefall.net.delivery_request import Accepted, DeliveryRequest, NotServed, Rejected
from scalefall.net.list_stream import Entry, ListUpdate
from scalefall.net.sender import Sender
from scalefall.net.static_list import StaticList
from scalefall.policy.events import Endpoint, EndpointStatus, ListUpdateKind, Outcome

SITE = b"""
sender { listen 127.0.0.1:0 }
class fee { aim 3s; deadline 24s; repeat never }
class note { aim 3s; deadline 24s; repeat freely }
pool p { %s }
route 7 { pool p; attempts %d; wait at-most %s; %s }
"""


def entry(name, address=("127.0.0.1", 1), weight=0.0):
    return Entry(Endpoint(name, "here", "partner", 7, EndpointStatus.READY, weight), address)


def statuses(event):
    return {end.id: end.status.name for end in event.endpoints}


def static_list(world, *names):
    events = []
    return StaticList(world, ListUpdate(1, True, [entry(name) for name in names]), events.append, S), events


def test_a_removed_endpoint_drains_at_once_and_ends_after_the_grace():
    world = VirtualTimeScheduler()

    def play():
        endpoint_list, events = static_list(world, "a", "b")
        assert endpoint_list.initial_list().kind is ListUpdateKind.WHOLE
        assert endpoint_list.replace([entry("b"), entry("c")]) == (1, 1, 0)
        assert [statuses(event) for event in events] == [{"a": "DRAINING", "c": "READY"}]
        assert endpoint_list.left_at["a"] == world.now()
        world.sleep(S - 1)
        assert len(events) == 1
        world.sleep(2 * MS)
        assert statuses(events[1]) == {"a": "GONE"}

    world.play(play)


def test_an_endpoint_that_is_listed_again_within_the_grace_stays():
    world = VirtualTimeScheduler()

    def play():
        endpoint_list, events = static_list(world, "a", "b")
        endpoint_list.replace([entry("b")])
        world.sleep(S // 2)
        assert endpoint_list.replace([entry("a"), entry("b")]) == (1, 0, 0)
        world.sleep(2 * S)
        assert [statuses(event) for event in events] == [{"a": "DRAINING"}, {"a": "READY"}]
        assert "a" not in endpoint_list.left_at
        endpoint_list.replace([entry("b")])
        world.sleep(2 * S)
        assert statuses(events[-1]) == {"a": "GONE"}

    world.play(play)


def test_only_changes_are_passed_on_and_a_removal_does_not_undo_a_new_limit():
    world = VirtualTimeScheduler()

    def play():
        endpoint_list, events = static_list(world, "a", "b")
        assert endpoint_list.replace([entry("b", weight=9.0)]) == (0, 1, 1)
        assert [end.id for end in events[0].endpoints] == ["a", "b"]  # the new limit comes last
        assert endpoint_list.replace([entry("b", weight=9.0)]) == (0, 0, 0)
        assert len(events) == 1

    world.play(play)


# -- the whole sender with a file


def read(text, tmp_path, seed=1):
    from scalefall.lang import load, render, sender

    loaded = load.load_text(text, "site.scale")
    assert loaded.usable, render.text(loaded.problems, loaded.source())
    return sender.config(loaded.site, str(tmp_path), seed)


def at(*peers):
    return b"; ".join(
        b"endpoint e%d { at %s:%d }" % (n, peer.address[0].encode(), peer.address[1]) for n, peer in enumerate(peers)
    )


def submit(world, sender, name, cls="fee", dest=7, span=5 * S):
    request = DeliveryRequest(name, cls, dest, world.now() + span, None, b"body")
    sender.admission.submit(request)
    world.wait_until(lambda: request.admission is not None)
    return request.admission


def serve(world, peer, sock):
    request = peer.read(sock)
    sock.send(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
    return request


def reload(world, sender, read_again):
    sender.reload(read_again)
    world.wait_until(lambda: not sender.reloader.reloading)


def started(world, tmp_path, *words):
    sender = Sender(world, read(SITE % words, tmp_path))
    sender.start()
    return sender


def test_a_sender_with_a_file_delivers_and_its_routes_carry_their_classes(tmp_path):
    world = VirtualTimeScheduler()

    def play():
        peer = StubServer(world)
        sender = started(world, tmp_path, at(peer), 4, b"3s", b"classes fee")
        assert submit(world, sender, "m1") == Accepted()
        assert serve(world, peer, peer.accept()).fields["host"] == "{}:{}".format(*peer.address)
        assert submit(world, sender, "m2", "note") == NotServed()
        assert isinstance(submit(world, sender, "m3", dest=8), Rejected)
        reload(world, sender, lambda: read(SITE % (at(peer), 4, b"3s", b"classes every"), tmp_path))
        assert submit(world, sender, "m4", "note") == Accepted()

    world.play(play)


def test_an_endpoint_removed_from_the_file_gets_no_new_calls(tmp_path):
    world = VirtualTimeScheduler()

    def play():
        old, new = StubServer(world), StubServer(world)
        sender = started(world, tmp_path, at(old), 4, b"3s", b"")
        submit(world, sender, "m1")
        old_sock = old.accept()
        old.read(old_sock)  # m1 is in flight there when the file changes, and may end
        reload(world, sender, lambda: read(SITE % (at(new), 4, b"3s", b""), tmp_path))
        for n in range(3):
            assert submit(world, sender, f"n{n}") == Accepted()
            serve(world, new, new.accept() if n == 0 or new.accepted == n else None)
            world.sleep(S)
        old_sock.send(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
        world.sleep(S)
        assert old.accepted == 1
        assert not sender.tracker.open

    world.play(play)


@pytest.mark.parametrize("error", ["site.scale:1:1: one\nsite.scale:2:1: two", "short"])
def test_an_invalid_file_changes_nothing_and_every_error_is_logged(tmp_path, caplog, error):
    world = VirtualTimeScheduler()

    def play():
        peer = StubServer(world)
        sender = started(world, tmp_path, at(peer), 4, b"3s", b"")
        before = dict(sender.endpoint_list.entries), sender.routes.rules, sender.endpoint_list.seq

        def broken():
            raise ConfigError(error)

        reload(world, sender, broken)
        assert (dict(sender.endpoint_list.entries), sender.routes.rules, sender.endpoint_list.seq) == before
        assert submit(world, sender, "m1") == Accepted()
        serve(world, peer, peer.accept())

    world.play(play)
    lines = [record.getMessage() for record in caplog.records if "not taken" in record.getMessage()]
    assert lines == [f"configuration not taken, the old settings stay: {line}" for line in error.splitlines()]


def test_the_file_is_read_in_a_thread_and_a_signal_meanwhile_causes_one_more_read(tmp_path):
    world = VirtualTimeScheduler()

    def play():
        peer = StubServer(world)
        sender = started(world, tmp_path, at(peer), 4, b"3s", b"")
        release, reads = threading.Event(), []

        def slow():
            reads.append(threading.current_thread() is threading.main_thread())
            release.wait(60)
            return read(SITE % (at(peer), 2, b"3s", b""), tmp_path)

        sender.reload(slow)
        sender.reload(slow)
        assert submit(world, sender, "m1") == Accepted()  # while the thread reads
        serve(world, peer, peer.accept())
        assert sender.routes.rules[7].attempts == 4
        sender.reload(slow)
        release.set()
        world.wait_until(lambda: not sender.reloader.reloading)
        assert reads == [False, False]
        assert sender.routes.rules[7].attempts == 2

    world.play(play)


def test_retry_after_is_capped_by_the_route(tmp_path):
    world = VirtualTimeScheduler()

    def play():
        sender = started(world, tmp_path, b"endpoint a { at 127.0.0.1:1 }", 4, b"100ms", b"")
        assert sender.routes.cap_retry_after(7, 5 * S) == 100 * MS
        assert sender.routes.cap_retry_after(8, 5 * S) == 5 * S

    world.play(play)


def test_without_a_reports_address_the_delivery_report_is_logged(tmp_path, caplog):
    world = VirtualTimeScheduler()

    def play():
        sender = started(world, tmp_path, b"endpoint a { at 127.0.0.1:1 }", 4, b"3s", b"")
        assert submit(world, sender, "m1", span=2 * S) == Accepted()
        world.wait_until(lambda: not sender.tracker.open)
        assert not sender.journal.pending

    world.play(play)
    assert [
        record.fields["id"]
        for record in caplog.records
        if record.getMessage().startswith("delivery report: m1 returned")
    ] == ["m1"]


def test_a_thread_that_ends_early_interrupts_no_other_wait():
    world = VirtualTimeScheduler()

    def play():
        for n in range(20):
            assert world.in_thread(lambda n=n: n) == n
        started_at = world.now()
        world.sleep(S)
        assert world.now() - started_at >= S
        with pytest.raises(ZeroDivisionError):
            world.in_thread(lambda: 1 / 0)

    world.play(play)


# -- connection settings of the file


def test_a_pools_idle_close_overrides_the_senders():
    world = VirtualTimeScheduler()

    def play():
        peer = StubServer(world)
        calls = AttemptsHarness(world, settings(idle_close_us=60 * S), peer.address)
        calls.entry = dataclasses.replace(calls.entry, idle_us=2 * S)
        calls.begin("m")
        sock, started_at = peer.accept(), world.now()
        serve(world, peer, sock)
        assert closed(world, sock)
        assert world.now() - started_at < 2 * S

    world.play(play)


def test_a_routes_dial_within_overrides_the_default():
    world = VirtualTimeScheduler()

    def play():
        peer = StubServer(world)
        calls = AttemptsHarness(world, settings(dial_timeout_us=60 * S), peer.address)
        calls.entry = dataclasses.replace(calls.entry, dial_us=S // 2)
        full = [socket.socket() for _ in range(80)]  # fill the listener's backlog: the dial gets no answer
        for sock in full:
            sock.setblocking(False)
            sock.connect_ex(peer.address)
        world.sleep(MS)
        calls.begin("m")
        event = calls.outcome("m")
        assert event.outcome is Outcome.CONNECT_FAILED
        assert S // 2 <= event.latency_us < S
        for sock in full:
            sock.close()

    world.play(play)

"""A list from the operator's own file: what goes drains under the rule, and a change is there at once or not at all."""

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
    told = []
    return StaticList(world, ListUpdate(1, True, [entry(name) for name in names]), told.append, S), told


def test_what_goes_drains_at_once_and_is_gone_after_the_grace():
    world = VirtualTimeScheduler()

    def play():
        endpoint_list, told = static_list(world, "a", "b")
        assert endpoint_list.initial_list().kind is ListUpdateKind.WHOLE
        assert endpoint_list.replace([entry("b"), entry("c")]) == (1, 1, 0)
        assert [statuses(event) for event in told] == [{"a": "DRAINING", "c": "READY"}]
        assert endpoint_list.left_at["a"] == world.now()
        world.sleep(S - 1)
        assert len(told) == 1
        world.sleep(2 * MS)
        assert statuses(told[1]) == {"a": "GONE"}

    world.play(play)


def test_what_comes_back_within_the_grace_stays():
    world = VirtualTimeScheduler()

    def play():
        endpoint_list, told = static_list(world, "a", "b")
        endpoint_list.replace([entry("b")])
        world.sleep(S // 2)
        assert endpoint_list.replace([entry("a"), entry("b")]) == (1, 0, 0)
        world.sleep(2 * S)
        assert [statuses(event) for event in told] == [{"a": "DRAINING"}, {"a": "READY"}]
        assert "a" not in endpoint_list.left_at
        endpoint_list.replace([entry("b")])
        world.sleep(2 * S)
        assert statuses(told[-1]) == {"a": "GONE"}

    world.play(play)


def test_only_what_changed_is_told_and_a_new_limit_is_not_undone_by_what_went():
    world = VirtualTimeScheduler()

    def play():
        endpoint_list, told = static_list(world, "a", "b")
        assert endpoint_list.replace([entry("b", weight=9.0)]) == (0, 1, 1)
        assert [end.id for end in told[0].endpoints] == ["a", "b"]  # the new limit is told last
        assert endpoint_list.replace([entry("b", weight=9.0)]) == (0, 0, 0)
        assert len(told) == 1

    world.play(play)


# -- the whole sender on a file


def read(text, tmp_path, seed=1):
    from scalefall.lang import load, render, sender

    loaded = load.text(text, "site.scale")
    assert loaded.usable, render.text(loaded.problems, loaded.source())
    return sender.config(loaded.site, str(tmp_path), seed)


def at(*peers):
    return b"; ".join(
        b"endpoint e%d { at %s:%d }" % (n, peer.address[0].encode(), peer.address[1]) for n, peer in enumerate(peers)
    )


def hand_in(world, sender, name, cls="fee", dest=7, span=5 * S):
    transaction = DeliveryRequest(name, cls, dest, world.now() + span, None, b"body")
    sender.admission.submit(transaction)
    world.wait_until(lambda: transaction.admission is not None)
    return transaction.admission


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


def test_a_sender_on_a_file_delivers_and_its_routes_carry_what_they_say(tmp_path):
    world = VirtualTimeScheduler()

    def play():
        peer = StubServer(world)
        sender = started(world, tmp_path, at(peer), 4, b"3s", b"classes fee")
        assert hand_in(world, sender, "m1") == Accepted()
        assert serve(world, peer, peer.accept()).fields["host"] == "{}:{}".format(*peer.address)
        assert hand_in(world, sender, "m2", "note") == NotServed()
        assert isinstance(hand_in(world, sender, "m3", dest=8), Rejected)
        reload(world, sender, lambda: read(SITE % (at(peer), 4, b"3s", b"classes every"), tmp_path))
        assert hand_in(world, sender, "m4", "note") == Accepted()

    world.play(play)


def test_an_endpoint_that_the_file_no_longer_has_gets_nothing_fresh(tmp_path):
    world = VirtualTimeScheduler()

    def play():
        old, new = StubServer(world), StubServer(world)
        sender = started(world, tmp_path, at(old), 4, b"3s", b"")
        hand_in(world, sender, "m1")
        out = old.accept()
        old.read(out)  # m1 is out there when the file changes, and may end
        reload(world, sender, lambda: read(SITE % (at(new), 4, b"3s", b""), tmp_path))
        for n in range(3):
            assert hand_in(world, sender, f"n{n}") == Accepted()
            serve(world, new, new.accept() if n == 0 or new.accepted == n else None)
            world.sleep(S)
        out.send(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
        world.sleep(S)
        assert old.accepted == 1
        assert not sender.tracker.open

    world.play(play)


@pytest.mark.parametrize("error", ["site.scale:1:1: one\nsite.scale:2:1: two", "short"])
def test_a_file_that_cannot_be_used_changes_nothing_and_every_error_is_logged(tmp_path, caplog, error):
    world = VirtualTimeScheduler()

    def play():
        peer = StubServer(world)
        sender = started(world, tmp_path, at(peer), 4, b"3s", b"")
        before = dict(sender.endpoint_list.entries), sender.routes.rules, sender.endpoint_list.seq

        def broken():
            raise ConfigError(error)

        reload(world, sender, broken)
        assert (dict(sender.endpoint_list.entries), sender.routes.rules, sender.endpoint_list.seq) == before
        assert hand_in(world, sender, "m1") == Accepted()
        serve(world, peer, peer.accept())

    world.play(play)
    lines = [record.getMessage() for record in caplog.records if "not taken" in record.getMessage()]
    assert lines == [f"configuration not taken, the old settings stay: {line}" for line in error.splitlines()]


def test_the_file_is_read_beside_the_sending_and_a_second_signal_meanwhile_reads_once_more(tmp_path):
    world = VirtualTimeScheduler()

    def play():
        peer = StubServer(world)
        sender = started(world, tmp_path, at(peer), 4, b"3s", b"")
        held, reads = threading.Event(), []

        def slow():
            reads.append(threading.current_thread() is threading.main_thread())
            held.wait(60)
            return read(SITE % (at(peer), 2, b"3s", b""), tmp_path)

        sender.reload(slow)
        sender.reload(slow)
        assert hand_in(world, sender, "m1") == Accepted()  # while the thread reads
        serve(world, peer, peer.accept())
        assert sender.routes.rules[7].attempts == 4
        sender.reload(slow)
        held.set()
        world.wait_until(lambda: not sender.reloader.reloading)
        assert reads == [False, False]
        assert sender.routes.rules[7].attempts == 2

    world.play(play)


def test_a_wait_is_never_told_longer_than_the_policy_says(tmp_path):
    world = VirtualTimeScheduler()

    def play():
        sender = started(world, tmp_path, b"endpoint a { at 127.0.0.1:1 }", 4, b"100ms", b"")
        assert sender.routes.cap_retry_after(7, 5 * S) == 100 * MS
        assert sender.routes.cap_retry_after(8, 5 * S) == 5 * S

    world.play(play)


def test_without_a_reports_address_a_given_up_message_is_over_with_a_line_in_the_log(tmp_path, caplog):
    world = VirtualTimeScheduler()

    def play():
        sender = started(world, tmp_path, b"endpoint a { at 127.0.0.1:1 }", 4, b"3s", b"")
        assert hand_in(world, sender, "m1", span=2 * S) == Accepted()
        world.wait_until(lambda: not sender.tracker.open)
        assert not sender.journal.pending

    world.play(play)
    assert [r.fields["id"] for r in caplog.records if r.getMessage().startswith("delivery report: m1 returned")] == [
        "m1"
    ]


def test_a_thread_that_ends_early_wakes_nobody_by_mistake():
    world = VirtualTimeScheduler()

    def play():
        for n in range(20):
            assert world.in_thread(lambda n=n: n) == n
        began = world.now()
        world.sleep(S)
        assert world.now() - began >= S
        with pytest.raises(ZeroDivisionError):
            world.in_thread(lambda: 1 / 0)

    world.play(play)


# -- what the file says of one pool's connections


def test_a_pools_idle_close_goes_before_the_senders():
    world = VirtualTimeScheduler()

    def play():
        peer = StubServer(world)
        calls = AttemptsHarness(world, settings(idle_close_us=60 * S), peer.address)
        calls.entry = dataclasses.replace(calls.entry, idle_us=2 * S)
        calls.begin("m")
        sock, began = peer.accept(), world.now()
        serve(world, peer, sock)
        assert closed(world, sock)
        assert world.now() - began < 2 * S

    world.play(play)


def test_a_routes_dial_within_goes_before_the_default():
    world = VirtualTimeScheduler()

    def play():
        peer = StubServer(world)
        calls = AttemptsHarness(world, settings(dial_timeout_us=60 * S), peer.address)
        calls.entry = dataclasses.replace(calls.entry, dial_us=S // 2)
        full = [socket.socket() for _ in range(80)]  # the listener's queue is full: the dial goes unanswered
        for sock in full:
            sock.setblocking(False)
            sock.connect_ex(peer.address)
        world.sleep(MS)
        calls.begin("m")
        told = calls.outcome("m")
        assert told.outcome is Outcome.CONNECT_FAILED
        assert S // 2 <= told.latency_us < S
        for sock in full:
            sock.close()

    world.play(play)

"""Reports to the platform of messages that were accepted and not delivered; the test plays the platform."""

import itertools
import json

from nethelp import MS, S, StubServer, VirtualTimeScheduler, closed, reset

from scalefall.net import http
from scalefall.net.delivery_reports import DeliveryReports


def test_notices_go_out_again_until_204():
    world = VirtualTimeScheduler()

    def play():
        peer, done = StubServer(world), []
        notices = DeliveryReports(world, peer.address, done.append)
        notices.report_failed("a")
        notices.report_returned("b", 250)
        for said in (b"", http.answer(503, []), b"junk\r\n", http.answer(500, [], keep=False)):
            sock = peer.accept()
            while True:
                lines = bytes(peer.read(sock).body).splitlines()
                assert list(map(json.loads, lines)) == [
                    {"id": "a", "state": "failed"},
                    {"id": "b", "state": "returned", "after_ms": 250},
                ]
                sock.send(said)
                if said != http.answer(503, []):
                    break
                said = b""
            sock.close()
            assert done == []
            assert not notices.idle
        sock = peer.accept()
        peer.read(sock)
        sock.send(http.answer(204, []))
        world.wait_until(lambda: done == ["a", "b"])
        notices.report_failed("c")  # over the connection that is kept
        assert b'"c"' in peer.read(sock).body
        assert notices.idle is False
        reset(sock)  # which has gone: at once over a new one
        sock = peer.accept()
        assert b'"c"' in peer.read(sock).body

    world.play(play)


def test_one_notice_that_cannot_be_read_does_not_hold_back_the_others():
    world = VirtualTimeScheduler()

    def play():
        peer, done = StubServer(world), []
        notices = DeliveryReports(world, peer.address, done.append)
        for name in "abc":
            notices.report_failed(name)
        sock = peer.accept()
        while "c" not in done:
            bad = b'"a"' in peer.read(sock).body
            sock.send(http.answer(400 if bad else 204, []))
            world.sleep(MS)
        assert done == ["b", "c"]
        assert not notices.idle

    world.play(play)


def test_a_silent_platform_is_given_up_and_asked_again():
    world = VirtualTimeScheduler()

    def play():
        peer, done = StubServer(world), []
        DeliveryReports(world, peer.address, done.append).report_failed("a")
        sock = peer.accept()
        peer.read(sock)
        assert closed(world, sock)
        sock = peer.accept()
        peer.read(sock)
        sock.send(http.answer(204, []))
        world.wait_until(lambda: done)

    world.play(play)


def test_a_kept_connection_that_has_died_unseen_and_a_cut_cost_a_notice_no_more_than_a_step():
    """One POST at a time had a second each, with pauses up to a second between: a message whose time was up during a
    cut, or whose notice met a connection that had died, was told up to two seconds late. Seen at its end."""
    world = VirtualTimeScheduler()

    def told(peer, sock):
        peer.read(sock)
        sock.send(http.answer(204, []))

    def play():
        peer, done = StubServer(world), []
        notices = DeliveryReports(world, peer.address, done.append)
        notices.report_failed("a")
        kept = peer.accept()
        told(peer, kept)
        world.wait_until(lambda: done == ["a"])
        began = world.now()
        notices.report_failed("b")
        peer.read(kept)  # and no answer
        told(peer, peer.accept())
        world.wait_until(lambda: done == ["a", "b"])
        assert world.now() - began < 200 * MS
        reset(kept)
        notices.report_failed("c")
        end, silent = world.now() + 6 * S, []
        while world.now() < end:
            silent.append(peer.accept())
        told(peer, peer.accept())
        world.wait_until(lambda: "c" in done)
        assert world.now() - end < 400 * MS
        assert len(silent) < 60
        world.wait_until(lambda: not notices.posts_in_flight)  # those that were silent end, and nothing goes on
        world.sleep(S)
        accepted = peer.accepted
        world.sleep(5 * S)
        assert peer.accepted == accepted
        assert notices.idle

    world.play(play)


def test_of_many_notices_the_most_urgent_go_first_and_those_that_are_late_already_last():
    world = VirtualTimeScheduler()

    def play():
        peer, done = StubServer(world), []
        notices = DeliveryReports(world, peer.address, done.append)
        now = world.now()
        for n in range(300):
            notices.report_returned(f"n{n}", 5, now + (300 - n) * S)
        notices.report_failed("late", now - S)
        sock, told = peer.accept(), []
        while "late" not in done:
            told.append([json.loads(line)["id"] for line in bytes(peer.read(sock).body).splitlines()])
            sock.send(http.answer(204, []))
            world.sleep(MS)
        assert list(itertools.chain.from_iterable(told)) == [f"n{299 - n}" for n in range(300)] + ["late"]
        assert len(told) == 4
        for n in range(300):  # as many as a body may hold, whatever their ids
            notices.report_failed(f"{n:0>199}", now)
        size = 0
        while not notices.idle:
            size = max(size, len(peer.read(sock).body))
            sock.send(http.answer(204, []))
            world.sleep(MS)
        assert size < 64 * 1024

    world.play(play)


def test_a_resting_notice_goes_to_the_new_address_at_once():
    world = VirtualTimeScheduler()

    def play():
        peer, new, done = StubServer(world), StubServer(world), []
        notices = DeliveryReports(world, peer.address, done.append)
        peer.listener.close()
        notices.report_failed("a")
        world.sleep(5 * S)
        began = world.now()
        notices.move(new.address)
        sock = new.accept()
        new.read(sock)
        sock.send(http.answer(204, []))
        world.wait_until(lambda: done)
        assert world.now() - began < 100 * MS

    world.play(play)

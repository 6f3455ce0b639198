"""Delivery reports of messages that were accepted and not delivered; the test acts as the platform."""

import itertools
import json

from nethelp import MS, S, StubServer, VirtualTimeScheduler, closed, reset

from scalefall.net import http
from scalefall.net.delivery_reports import DeliveryReports


def test_reports_are_repeated_until_204():
    world = VirtualTimeScheduler()

    def play():
        peer, done = StubServer(world), []
        reports = DeliveryReports(world, peer.address, done.append)
        reports.report_failed("a")
        reports.report_returned("b", 250)
        for answer in (b"", http.answer(503, []), b"junk\r\n", http.answer(500, [], keep=False)):
            sock = peer.accept()
            while True:
                lines = bytes(peer.read(sock).body).splitlines()
                assert list(map(json.loads, lines)) == [
                    {"id": "a", "state": "failed"},
                    {"id": "b", "state": "returned", "after_ms": 250},
                ]
                sock.send(answer)
                if answer != http.answer(503, []):
                    break
                answer = b""
            sock.close()
            assert done == []
            assert not reports.idle
        sock = peer.accept()
        peer.read(sock)
        sock.send(http.answer(204, []))
        world.wait_until(lambda: done == ["a", "b"])
        reports.report_failed("c")  # over the idle connection
        assert b'"c"' in peer.read(sock).body
        assert reports.idle is False
        reset(sock)  # the idle connection is lost: retried at once over a new one
        sock = peer.accept()
        assert b'"c"' in peer.read(sock).body

    world.play(play)


def test_a_report_that_the_platform_cannot_read_does_not_block_the_others():
    world = VirtualTimeScheduler()

    def play():
        peer, done = StubServer(world), []
        reports = DeliveryReports(world, peer.address, done.append)
        for name in "abc":
            reports.report_failed(name)
        sock = peer.accept()
        while "c" not in done:
            unreadable = b'"a"' in peer.read(sock).body
            sock.send(http.answer(400 if unreadable else 204, []))
            world.sleep(MS)
        assert done == ["b", "c"]
        assert not reports.idle

    world.play(play)


def test_a_post_without_an_answer_times_out_and_is_repeated():
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


def test_a_stale_connection_or_a_network_cut_delays_a_report_by_at_most_one_hedging_delay():
    """Guards against late reports: with one POST at a time, a time-out of 1 s and a backoff of up to 1 s, a report was
    up to 2 s late if a network cut had just ended or its idle connection was stale."""
    world = VirtualTimeScheduler()

    def confirm(peer, sock):
        peer.read(sock)
        sock.send(http.answer(204, []))

    def play():
        peer, done = StubServer(world), []
        reports = DeliveryReports(world, peer.address, done.append)
        reports.report_failed("a")
        idle = peer.accept()
        confirm(peer, idle)
        world.wait_until(lambda: done == ["a"])
        began = world.now()
        reports.report_failed("b")
        peer.read(idle)  # not answered
        confirm(peer, peer.accept())
        world.wait_until(lambda: done == ["a", "b"])
        assert world.now() - began < 200 * MS
        reset(idle)
        reports.report_failed("c")
        end, unanswered = world.now() + 6 * S, []
        while world.now() < end:
            unanswered.append(peer.accept())
        confirm(peer, peer.accept())
        world.wait_until(lambda: "c" in done)
        assert world.now() - end < 400 * MS
        assert len(unanswered) < 60
        world.wait_until(lambda: not reports.posts_in_flight)  # the unanswered POSTs end, and no further one starts
        world.sleep(S)
        accepted = peer.accepted
        world.sleep(5 * S)
        assert peer.accepted == accepted
        assert reports.idle

    world.play(play)


def test_reports_are_posted_by_deadline_and_those_already_too_late_last():
    world = VirtualTimeScheduler()

    def play():
        peer, done = StubServer(world), []
        reports = DeliveryReports(world, peer.address, done.append)
        now = world.now()
        for number in range(300):
            reports.report_returned(f"n{number}", 5, now + (300 - number) * S)
        reports.report_failed("late", now - S)
        sock, posted = peer.accept(), []
        while "late" not in done:
            posted.append([json.loads(line)["id"] for line in bytes(peer.read(sock).body).splitlines()])
            sock.send(http.answer(204, []))
            world.sleep(MS)
        assert list(itertools.chain.from_iterable(posted)) == [f"n{299 - number}" for number in range(300)] + ["late"]
        assert len(posted) == 4
        for number in range(300):  # long ids: the limit of the body counts instead of the limit of reports
            reports.report_failed(f"{number:0>199}", now)
        size = 0
        while not reports.idle:
            size = max(size, len(peer.read(sock).body))
            sock.send(http.answer(204, []))
            world.sleep(MS)
        assert size < 64 * 1024

    world.play(play)


def test_a_report_in_backoff_is_posted_to_a_new_address_at_once():
    world = VirtualTimeScheduler()

    def play():
        peer, new, done = StubServer(world), StubServer(world), []
        reports = DeliveryReports(world, peer.address, done.append)
        peer.listener.close()
        reports.report_failed("a")
        world.sleep(5 * S)
        began = world.now()
        reports.move(new.address)
        sock = new.accept()
        new.read(sock)
        sock.send(http.answer(204, []))
        world.wait_until(lambda: done)
        assert world.now() - began < 100 * MS

    world.play(play)

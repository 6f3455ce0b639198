"""The watch on discovery and the notices to the platform, whose side the test plays."""

import json
import socket

import pytest
from nethelp import (
    MS,
    STREAM_HEAD,
    S,
    StubServer,
    VirtualTimeScheduler,
    chunk,
    closed,
    host_row,
    list_update,
    reset,
    resume_within_poll,
)

from scalefall.net import http
from scalefall.net.delivery_reports import DeliveryReports
from scalefall.net.discovery_list import DiscoveryList
from scalefall.net.list_stream import read_list
from scalefall.net.scheduler import READY
from scalefall.policy.events import EndpointStatus, ListUpdateKind

HERE = ("127.0.0.1", 1)
K = ListUpdateKind


def watched(world, **more):
    peer, told = StubServer(world), []
    endpoint_list = DiscoveryList(
        world, peer.address, read_list(list_update(41, host_row("e", HERE))), told.append, **more
    )
    return peer, endpoint_list, told


def opened(world):
    """The same with a watch open that has said nothing yet; its socket on discovery's side."""
    peer, endpoint_list, told = watched(world)
    endpoint_list.subscribe()
    sock = peer.accept()
    peer.read(sock)
    return peer, endpoint_list, told, sock


def test_a_watch_begins_from_the_known_version_and_tells_what_changes():
    world = VirtualTimeScheduler()

    def play():
        peer, endpoint_list, told = watched(world)
        assert endpoint_list.initial_list().kind is K.CACHED
        assert [e.id for e in endpoint_list.initial_list().endpoints] == ["e"]
        endpoint_list.subscribe()
        endpoint_list.subscribe()  # one watch at a time
        sock = peer.accept()
        assert peer.read(sock).target == "/v1/servers?stream=1&index=41"
        data = STREAM_HEAD + chunk(
            list_update(42, host_row("f", HERE), whole=False), None, list_update(42, host_row("f", HERE), whole=False)
        )
        for at in range(0, len(data), 7):
            sock.send(data[at : at + 7])
            world.sleep(MS)
        sock.send(
            chunk(
                list_update(43, host_row("e", HERE, health="terminating"), whole=False),
                list_update(50, host_row("f", HERE)),
            )
        )
        world.wait_until(lambda: len(told) == 3)
        assert [(t.kind, [(e.id, e.status) for e in t.endpoints]) for t in told] == [
            (K.CHANGES, [("f", EndpointStatus.READY)]),
            (K.CHANGES, [("e", EndpointStatus.DRAINING)]),
            (K.WHOLE, [("f", EndpointStatus.READY)]),
        ]
        assert set(endpoint_list.left_at) == {"e"}
        assert endpoint_list.seq == 50
        assert peer.accepted == 1

    world.play(play)


MUTE = [STREAM_HEAD, STREAM_HEAD + b"2\r\n{\n\r\n"]  # answered, and then no whole word


@pytest.mark.parametrize(
    ("said", "end"),
    [
        *(
            (said, end)
            for said in (
                b"",
                http.answer(503, []),
                b"junk\r\n",
                STREAM_HEAD + chunk({"seq": 1}),
                STREAM_HEAD + chunk(list_update(42, {"host": "x"})),
                STREAM_HEAD + b"0\r\n\r\n",
            )
            for end in (reset, socket.socket.close, None)
        ),
        *((said, end) for said in MUTE for end in (reset, socket.socket.close)),
    ],
)
def test_a_watch_that_breaks_is_one_failure_and_can_be_asked_anew(said, end):
    """Silence counts too: discovery sends a line every 2 s, and a cut-off machine says nothing at all."""
    world = VirtualTimeScheduler()

    def play():
        peer, endpoint_list, told = watched(world)
        for times in (1, 2):
            endpoint_list.subscribe()
            sock = peer.accept()
            peer.read(sock)
            sock.send(said)
            world.sleep(MS)
            began = world.now()
            if end:
                end(sock)
            world.wait_until(lambda times=times: len(told) == times)
            assert [t.kind for t in told] == [K.FAILED] * times
            assert world.now() - began < 5 * S
            assert endpoint_list.seq == 41
            assert peer.accepted == times

    world.play(play)


@pytest.mark.parametrize("said", MUTE)
@pytest.mark.parametrize("drip", [None, b"1\r\n \r\n", b"2\r\n\r\n\r\n", b'9\r\n{"seq": 1\r\n'])
@pytest.mark.parametrize("pushed", [False, True])
def test_a_watch_that_never_says_a_whole_word_is_as_silent_as_one_that_says_nothing(said, drip, pushed):
    """Its module asked again after up to 9 s, as after a call that failed; and parts of an object, or the white space
    within one, kept it for good. What it would have told counts as told after 6 s."""
    world = VirtualTimeScheduler()

    def play():
        peer, endpoint_list, told = watched(world, pushed=pushed)
        endpoint_list.start()
        endpoint_list.subscribe()
        sock = peer.accept()
        peer.read(sock)
        began = world.now()
        sock.send(said)

        def on():
            try:
                sock.send(b"1\r\n{\r\n" if said is STREAM_HEAD and world.now() == began + MS else drip)
                world.call_at(world.now() + S // 2, on)
            except OSError:
                pass  # it was given up

        if drip:
            world.call_at(began + MS, on)
        again = peer.accept()
        assert peer.read(again).target == "/v1/servers?stream=1&index=41"
        assert world.now() - began < 5500 * MS
        assert K.FAILED not in [t.kind for t in told]

    world.play(play)


def test_a_long_list_that_keeps_coming_is_no_silence():
    world = VirtualTimeScheduler()

    def play():
        peer, _endpoint_list, told, sock = opened(world)
        data = STREAM_HEAD + chunk(list_update(42, *(host_row(f"e{number}", HERE) for number in range(2000))))
        for at in range(0, len(data), 48 * 1024):  # 6 s in all
            sock.send(data[at : at + 48 * 1024])
            world.sleep(S)
        world.wait_until(lambda: told)
        assert [(t.kind, len(t.endpoints)) for t in told] == [(K.WHOLE, 2000)]
        assert peer.accepted == 1

    world.play(play)


@pytest.mark.parametrize("pushed", [False, True])
def test_a_discovery_that_counts_anew_is_asked_for_the_whole_list(pushed):
    """Its changes were taken for old ones, and the list stayed as it was for good."""
    world = VirtualTimeScheduler()

    def play():
        peer, endpoint_list, told = watched(world, pushed=pushed)
        endpoint_list.subscribe()
        sock = peer.accept()
        assert peer.read(sock).target == "/v1/servers?stream=1&index=41"
        sock.send(STREAM_HEAD + chunk(list_update(3, host_row("f", HERE), whole=False)))
        began, again = world.now(), peer.accept()
        assert peer.read(again).target == "/v1/servers?stream=1&index=0"
        assert world.now() - began < 2500 * MS
        again.send(STREAM_HEAD + chunk(list_update(3, host_row("f", HERE))))
        again.send(
            chunk(list_update(2, host_row("g", HERE), whole=False), list_update(4, host_row("h", HERE), whole=False))
        )
        world.wait_until(lambda: "h" in endpoint_list.entries)
        assert endpoint_list.seq == 4
        assert "g" not in endpoint_list.entries
        assert K.FAILED not in [t.kind for t in told]

    world.play(play)


def test_a_change_that_comes_in_the_turn_in_which_its_watch_is_given_up_comes_again():
    world = VirtualTimeScheduler()

    def play():
        peer, endpoint_list, _told, sock = opened(world)
        sock.send(STREAM_HEAD + chunk(None))
        world.sleep(MS)
        resume_within_poll(world)
        sock.send(chunk(list_update(42, host_row("f", HERE), whole=False)))  # unread when the time is up
        world.clock += 4 * S
        again = peer.accept()
        assert peer.read(again).target == "/v1/servers?stream=1&index=41"
        again.send(STREAM_HEAD + chunk(list_update(42, host_row("f", HERE), whole=False)))
        world.wait_until(lambda: endpoint_list.seq == 42)
        assert "f" in endpoint_list.entries

    world.play(play)


def indented(table):
    data = json.dumps(table, indent=2).encode() + b"\n"
    return b"".join(b"%x\r\n%s\r\n" % (len(line), line) for line in data.splitlines(True))


def test_a_list_may_come_indented_and_one_bad_entry_costs_itself(caplog):
    """Cut at each line's end, an indented list was no object at all: the watch broke at it, again and again."""
    world = VirtualTimeScheduler()

    def play():
        peer, endpoint_list, told, sock = opened(world)
        for seq in (50, 51):
            data = (
                STREAM_HEAD * (seq == 50) + indented(list_update(seq, host_row("f", HERE), {"host": "e"})) + chunk(None)
            )
            for at in range(0, len(data), 50):
                sock.send(data[at : at + 50])
                world.sleep(MS)
        world.wait_until(lambda: endpoint_list.seq == 51)
        assert [(t.kind, [e.id for e in t.endpoints]) for t in told] == [(K.WHOLE, ["f", "e"])] * 2
        assert set(endpoint_list.entries) == {"e", "f"}
        assert not endpoint_list.left_at
        assert peer.accepted == 1
        assert endpoint_list.unread == 2
        assert sum("cannot be read" in line for line in caplog.messages) == 1

    world.play(play)


def test_a_watch_that_falls_silent_is_opened_anew_before_what_it_misses_counts_as_told():
    """6 s after its last word at the latest; the module's pause after a failure may be 9 s."""
    world = VirtualTimeScheduler()

    def play():
        peer, endpoint_list, told = watched(world)
        endpoint_list.subscribe()
        for _ in range(5):
            sock = peer.accept()
            peer.read(sock)
            sock.send(STREAM_HEAD + chunk(None))
            heard = world.now()
            again = peer.accept()
            assert world.now() - heard < 5500 * MS
            assert K.FAILED not in [t.kind for t in told]
            told.clear()
            again.close()  # an ask that fails is the module's to repeat
            world.wait_until(lambda: told)
            assert [t.kind for t in told] == [K.FAILED]
            endpoint_list.subscribe()
            sock = peer.accept()
            sock.send(STREAM_HEAD + chunk(None))
            world.wait_until(lambda: len(told) == 2)
            assert (told[1].kind, told[1].endpoints) == (K.CHANGES, [])  # heard again, nothing new
            sock.close()
            world.wait_until(lambda: len(told) == 3)
            told.clear()
            endpoint_list.subscribe()

    world.play(play)


def test_where_lists_are_pushed_a_watch_is_opened_at_the_start_and_anew_whenever_it_breaks():
    """What discovery has counts as told from the first moment: nothing goes out on the old list before that is heard.
    Without a watch of its own accord a sender went on with the list it was born with for good."""
    world = VirtualTimeScheduler()

    def play():
        peer, endpoint_list, told = watched(world, pushed=True)
        endpoint_list.start()
        sock = peer.accept()
        assert peer.read(sock).target.endswith("index=41")
        sock.send(STREAM_HEAD)
        world.sleep(100 * MS)
        assert told == []
        sock.send(chunk(list_update(42, host_row("f", HERE), whole=False)))
        world.wait_until(lambda: len(told) == 2)
        assert [(t.kind, [e.id for e in t.endpoints]) for t in told] == [(K.CACHED, ["e"]), (K.CHANGES, ["f"])]
        for times in range(8):  # closed, or silent for so long that it is broken
            began = world.now()
            if times % 2:
                sock.close()
            sock = peer.accept()
            assert world.now() - began < (S if times % 2 else 4 * S)
            peer.read(sock)
            sock.send(STREAM_HEAD + chunk(None))
        assert len(told) == 2  # no failure that the module should answer with a pause of its own

    world.play(play)


def test_where_lists_are_pushed_silence_at_the_start_ends_the_wait():
    world = VirtualTimeScheduler()

    def play():
        peer, endpoint_list, told = watched(world, pushed=True)
        endpoint_list.start()
        began = world.now()
        world.wait_until(lambda: told)
        assert [t.kind for t in told] == [K.CACHED]
        assert world.now() - began < 3 * S
        sock = peer.accept()
        peer.read(sock)
        sock.send(STREAM_HEAD + chunk(None))
        world.sleep(S)
        assert len(told) == 1

    world.play(play)


def test_beats_keep_a_watch():
    world = VirtualTimeScheduler()

    def play():
        peer, endpoint_list, told = watched(world)
        endpoint_list.subscribe()
        sock = peer.accept()
        sock.send(STREAM_HEAD)
        for _ in range(10):
            sock.send(chunk(None))
            world.sleep(2 * S)
        assert told == []
        assert peer.accepted == 1

    world.play(play)


def test_when_discovery_moves_the_watch_and_the_notices_move_and_nothing_is_lost():
    """SIGHUP ended the process; the old address takes no connection any more and closes its own a moment later."""
    world = VirtualTimeScheduler()

    def play():
        peer, endpoint_list, told = watched(world)
        new, done = StubServer(world), []
        notices = DeliveryReports(world, peer.address, done.append)
        endpoint_list.subscribe()
        old = peer.accept()
        peer.read(old)
        old.send(STREAM_HEAD + chunk(None))
        notices.report_failed("a")
        post = peer.accept()
        peer.read(post)
        for part in (endpoint_list, notices):
            part.move(new.address)
        sock = new.accept()
        assert new.read(sock).target == "/v1/servers?stream=1&index=0"
        assert closed(world, old)
        sock.send(STREAM_HEAD + chunk(list_update(3, host_row("f", HERE))))  # its versions may be numbered anew
        world.wait_until(lambda: told)
        assert told[0].kind is K.WHOLE
        assert endpoint_list.seq == 3
        assert set(endpoint_list.left_at) == {"e"}
        reset(post)  # the notice that was out there goes out again at the new one
        post = new.accept()
        assert b'"a"' in new.read(post).body
        post.send(http.answer(204, []))
        world.wait_until(lambda: done == ["a"])
        endpoint_list.move(new.address)  # no move at all: the watch stays
        sock.send(chunk(list_update(4, host_row("g", HERE), whole=False)))
        world.wait_until(lambda: len(told) == 2)
        assert (peer.accepted, new.accepted) == (2, 2)

    world.play(play)


def about_to_move(world):
    """A watch that has had its first word from one discovery, and another one that is to be moved to."""
    _peer, endpoint_list, told, old = opened(world)
    old.send(STREAM_HEAD + chunk(None))
    world.sleep(MS)
    return endpoint_list, told, old, StubServer(world)


@pytest.mark.parametrize("length", [1, 400])
@pytest.mark.parametrize("said_first", [True, False])
def test_what_the_old_discovery_says_as_it_is_left_does_not_number_the_new_one(length, said_first):
    """Learned after the move, its version went to the new address as the one to count from, which told only what came
    after it: the list stayed as the old one had it."""
    world = VirtualTimeScheduler()

    def play():
        endpoint_list, told, old, new = about_to_move(world)
        resume_within_poll(world)
        old.send(chunk(list_update(99, *(host_row(f"x{n}", HERE) for n in range(length)), whole=False)))
        if said_first:  # its task has been woken by these bytes as the move comes
            world.wake(endpoint_list._watch._task, READY)
        endpoint_list.move(new.address)
        sock = new.accept()
        assert new.read(sock).target == "/v1/servers?stream=1&index=0"
        sock.send(STREAM_HEAD + chunk(list_update(3, host_row("f", HERE))))
        world.wait_until(lambda: told)
        assert [event.kind for event in told] == [K.WHOLE]
        assert set(endpoint_list.left_at) == {"e"}

    world.play(play)


def test_a_long_list_of_the_old_discovery_is_dropped_where_the_move_comes_between_two_of_its_objects():
    world = VirtualTimeScheduler()

    def play():
        endpoint_list, told, old, new = about_to_move(world)
        moved = endpoint_list.learn

        def learn(update):
            moved(update)
            endpoint_list.move(new.address)  # while the watch's task runs, so that nothing wakes it

        endpoint_list.learn = learn
        old.send(
            chunk(list_update(50, host_row("f", HERE), whole=False), list_update(51, host_row("g", HERE), whole=False))
        )
        sock = new.accept()
        assert new.read(sock).target == "/v1/servers?stream=1&index=0"
        assert "f" in endpoint_list.entries
        assert "g" not in endpoint_list.entries
        assert len(told) == 1

    world.play(play)


@pytest.mark.parametrize("watching", [True, False])
def test_after_a_move_discovery_is_asked_until_it_answers_without_waiting_for_the_module(watching):
    """What it has to tell counts as told 4 s after SIGHUP; the module's pause after a failure may be 8 s."""
    world = VirtualTimeScheduler()

    def play():
        peer, endpoint_list, told = watched(world)
        endpoint_list.subscribe()
        sock = peer.accept()
        if not watching:
            sock.close()
            world.wait_until(lambda: told)
        new, failures = StubServer(world), len(told)
        began = world.now()
        endpoint_list.move(new.address)
        new.accept().close()
        sock = new.accept()
        sock.send(STREAM_HEAD + chunk(list_update(1, host_row("f", HERE))))
        world.wait_until(lambda: len(told) > failures)
        assert told[-1].kind is K.WHOLE
        assert world.now() - began < S

    world.play(play)


def test_endpoints_that_went_are_forgotten_in_time_and_an_address_belongs_to_the_newest():
    """Ids and addresses are ever new on a long day; everything that had ever been listed was kept."""
    world = VirtualTimeScheduler()

    def play():
        peer, endpoint_list, _told = watched(world)
        endpoint_list.subscribe()
        sock = peer.accept()
        sock.send(STREAM_HEAD)
        old = endpoint_list.entries["e"]
        for n in range(200):
            health = "terminated" if n % 2 else "in_service"
            one = host_row(f"f{n // 2}", ("127.0.0.1", 1000 + n // 2), health=health)
            sock.send(chunk(None, list_update(42 + n, one, whole=False)))
            world.wait_until(lambda n=n: endpoint_list.seq == 42 + n)
            world.sleep(S)
        assert len(endpoint_list.entries) < 35
        assert len(endpoint_list.left_at) == len(endpoint_list._removed_at) < 33
        assert len(endpoint_list._owners) < 35
        assert endpoint_list.serves(7)
        assert not endpoint_list.serves(8)
        assert not endpoint_list.is_replaced(old)
        sock.send(chunk(list_update(300, host_row("g", HERE))))
        world.wait_until(lambda: endpoint_list.seq == 300)
        assert endpoint_list.is_replaced(old)
        assert not endpoint_list.is_replaced(endpoint_list.entries["g"])
        for _ in range(31):
            sock.send(chunk(None))
            world.sleep(2 * S)
        sock.send(chunk(list_update(301, host_row("g", HERE))))
        world.wait_until(lambda: endpoint_list.seq == 301)
        assert set(endpoint_list.entries) == {"g"}
        assert endpoint_list.left_at == endpoint_list._removed_at == {}
        assert endpoint_list._owners == {HERE: "g"}

    world.play(play)

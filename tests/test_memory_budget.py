"""The memory budget: its sums, and who gives way or is refused at its limit."""

import pathlib

import pytest
from helpers import settings
from nethelp import MS, STREAM_HEAD, S, VirtualTimeScheduler, chunk, closed, host_row, list_update
from test_attempts import begun
from test_endpoint_list import HERE, watched
from test_ingress_server import HEAD, IngressHarness

from scalefall.net import http
from scalefall.net.delivery_request import Accepted
from scalefall.net.ingress_server import IngressServer
from scalefall.net.journal import Journal
from scalefall.net.journal_records import PendingDelivery
from scalefall.net.list_stream import EndpointListError, ObjectStream
from scalefall.net.memory_bounds import memory_bounds
from scalefall.net.memory_budget import CONNECTION_BYTES, ENDPOINT_BYTES, MESSAGE_BYTES, MemoryBudget

PAGE = pathlib.Path(__file__).parent.parent / "docs" / "design" / "memory-budget.md"
LEAST_MEMORY_MB = 32  # the least that the platform gives a sender


@pytest.mark.parametrize("memory_mb", [LEAST_MEMORY_MB, 48, 64, 192, 2048])
def test_the_sum_of_all_bounds_is_within_the_memory_limit(memory_mb):
    assert sum(bound.total_bytes for bound in memory_bounds(memory_mb * 1_000_000)) <= memory_mb * 1_000_000


def test_the_page_has_the_sum_as_the_code_has_it():
    bounds = memory_bounds(LEAST_MEMORY_MB * 1_000_000)
    rows = [f"| {bound.name} | {bound.bytes_each:,} | {bound.count:,} | {bound.total_bytes:,} |" for bound in bounds]
    rows.append(f"| sum | | | {sum(bound.total_bytes for bound in bounds):,} |")
    assert "\n".join(rows) in PAGE.read_text(encoding="utf-8")


def test_reservations_add_up_and_are_released_once():
    budget = MemoryBudget(100)
    with budget.open() as first, budget.open() as second:
        assert first.try_resize(60)
        assert not second.try_resize(50)
        assert (second.bytes, budget.used_bytes) == (0, 60)
        second.resize(70)  # what must be kept
        assert budget.used_bytes == 130
        assert first.try_resize(10)
    assert (budget.used_bytes, budget.peak_bytes) == (0, 130)
    first.release()
    assert not first.try_resize(1)
    assert budget.used_bytes == 0


def ingress_at_limit(connections, more_bytes):
    """Return a harness whose budget has room for so many connections and bytes."""
    harness = IngressHarness(max_clients=100, result=Accepted())
    harness.ingress.stop_listening()
    harness.budget = MemoryBudget(connections * CONNECTION_BYTES + more_bytes)
    harness.ingress = IngressServer(
        harness.world, settings().classes, 100, harness.submit, harness.withdrawn.append, harness.budget
    )
    harness.address = harness.ingress.listen(("127.0.0.1", 0))
    return harness


def test_incomplete_requests_give_way_with_an_answer_the_slowest_first_and_a_complete_one_is_served():
    harness = ingress_at_limit(10, 20_000)
    large = http.request("POST", "/safe", "s", list(HEAD.items()), b"x" * 40_000)[:-1]

    def play():
        slow = []
        for _ in range(4):
            slow.append(harness.dial())
            slow[-1].send(large)
            harness.world.sleep(100 * MS)
            assert harness.budget.used_bytes <= harness.budget.limit_bytes
        assert harness.answer(slow[0]).status == 503
        assert harness.answer(slow[1]).status == 503
        good = harness.dial()
        harness.send_request(good)
        assert harness.answer(good).status == 202
        assert harness.answer(slow[3]).status == 408  # the newest had its whole time
        for sock in (*slow, good):
            sock.close()
        harness.world.sleep(S)
        assert harness.budget.used_bytes == 0

    harness.world.play(play)


def test_idle_connections_give_way_to_new_ones():
    harness = ingress_at_limit(3, 2000)

    def play():
        idle = []
        for _ in range(5):
            idle.append(harness.dial())
            harness.send_request(idle[-1])
            assert harness.answer(idle[-1]).status == 202
            harness.world.sleep(100 * MS)
        assert closed(harness.world, idle[0])

    harness.world.play(play)


def message(name, body):
    return PendingDelivery(name, "safe", 1, 10**15, None, body)


def test_messages_beyond_the_budget_are_not_accepted_and_restored_ones_are_kept(tmp_path):
    budget = MemoryBudget(3 * (MESSAGE_BYTES + 1000))
    with Journal(str(tmp_path), 1_000_000, budget) as journal:
        assert [journal.record_accepted(message(name, b"x" * 900)) for name in "abcd"] == [True, True, True, False]
        assert not journal.has_capacity(900)
        journal.record_finished("a")
        assert journal.record_accepted(message("e", b"x" * 900))
    smaller = MemoryBudget(1000)
    with Journal(str(tmp_path), 1_000_000, smaller) as journal:
        assert set(journal.pending) == set("bce")
        assert smaller.used_bytes > smaller.limit_bytes
        for name in "bce":
            journal.record_finished(name)
    assert smaller.used_bytes == 0


def test_an_answer_beyond_the_budget_ends_its_attempt_and_nothing_stays_accounted():
    world = VirtualTimeScheduler()

    def play():
        calls, _, sock, _ = begun(world, "m")
        budget = calls.attempts._budget
        budget.limit_bytes = CONNECTION_BYTES + 20_000
        sock.send(b"HTTP/1.1 500 Error\r\nContent-Length: 60000\r\n\r\n" + b"x" * 50_000)
        assert calls.outcome("m").outcome.name == "ERROR"
        world.sleep(MS)
        assert budget.used_bytes == 0
        sock.close()

    world.play(play)


# Guards against a delivered message that was sent again, and a wait that was not kept, when the body of an answer did
# not fit: its status line and fields had arrived.
@pytest.mark.parametrize(
    ("head", "outcome", "retry_after_us"),
    [(b"HTTP/1.1 200 OK", "OK", 0), (b"HTTP/1.1 429 Busy\r\nRetry-After: 1.25", "OVERLOADED", 1_250_000)],
)
def test_the_status_and_the_wait_of_an_answer_beyond_the_budget_count(head, outcome, retry_after_us):
    world = VirtualTimeScheduler()

    def play():
        calls, _, sock, _ = begun(world, "m")
        calls.attempts._budget.limit_bytes = CONNECTION_BYTES + 20_000
        sock.send(head + b"\r\nContent-Length: 60000\r\n\r\n" + b"x" * 50_000)
        event = calls.outcome("m")
        assert (event.outcome.name, event.retry_after_us) == (outcome, retry_after_us)
        sock.close()

    world.play(play)


def test_an_object_whose_values_do_not_fit_is_refused_before_it_is_parsed():
    budget = MemoryBudget(100_000)
    with budget.open() as reservation:
        objects = ObjectStream(1_000_000, reservation)
        with pytest.raises(EndpointListError, match="do not fit"):
            objects.feed(b'{"seq":1,"hosts":[' + b"[]," * 20_000 + b"0]}")
    assert budget.used_bytes == 0


def test_a_list_beyond_the_budget_breaks_its_watch_and_changes_nothing():
    world = VirtualTimeScheduler()

    def play():
        budget = MemoryBudget(200 * ENDPOINT_BYTES)
        peer, endpoint_list, _ = watched(world, budget=budget)
        endpoint_list.subscribe()
        sock = peer.accept()
        peer.read(sock)
        sock.send(STREAM_HEAD + chunk(list_update(42, *(host_row(f"e{n}", HERE) for n in range(50)))))
        world.wait_until(lambda: endpoint_list.seq == 42)
        for start in range(100, 300, 50):
            sock.send(
                chunk(
                    list_update(43 + start, *(host_row(f"e{n}", HERE) for n in range(start, start + 50)), whole=False)
                )
            )
            world.sleep(10 * MS)
        assert closed(world, sock)
        assert len(endpoint_list.entries) <= 200
        assert budget.used_bytes <= budget.limit_bytes

    world.play(play)


def test_a_string_without_an_end_is_refused_and_not_scanned_again_with_each_read():
    objects = ObjectStream(10_000_000)
    objects.feed(b'{"seq":"' + b"x" * 16_000)
    with pytest.raises(EndpointListError, match="a string is longer"):
        objects.feed(b"x" * 1000)


def test_connections_that_end_badly_leave_nothing_accounted():
    harness = ingress_at_limit(5, 50_000)

    def play():
        for data in (b"", b"POST /safe HT", b"junk\r\n"):
            sock = harness.dial()
            sock.send(data)
            harness.world.sleep(4 * S)
            sock.close()
        assert harness.budget.used_bytes == 0

    harness.world.play(play)

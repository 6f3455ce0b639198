"""The ingress server: requests of clients that the test plays; submitted requests are recorded in a list."""

import socket

import pytest
from helpers import message_class, settings
from nethelp import MS, S, VirtualTimeScheduler, closed, read, reset

from scalefall.net import http
from scalefall.net.delivery_request import Accepted, GivenUp, Rejected
from scalefall.net.ingress_server import IngressServer

HEAD = {"X-Request-Id": "id1", "X-Deadline": "480m", "X-Route-To": "dest=7"}


class IngressHarness:
    """An ingress server, and the requests that it submitted and withdrew."""

    def __init__(self, max_clients=10, result=None, **changes):
        self.world, self.submitted, self.withdrawn, self.result = VirtualTimeScheduler(), [], [], result
        self.ingress = IngressServer(
            self.world, settings(**changes).classes, max_clients, self.submit, self.withdrawn.append
        )
        self.address = self.ingress.listen(("127.0.0.1", 0))

    def submit(self, request):
        self.submitted.append(request)
        if self.result:
            request.decide(self.result)

    def dial(self):
        sock = socket.create_connection(self.address)
        sock.setblocking(False)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        return sock

    def send_request(self, sock, target="/safe", method="POST", body=b"body", **changes):
        fields = HEAD | {name.replace("_", "-"): value for name, value in changes.items()}
        sock.send(
            http.request(
                method, target, "s", [(name, value) for name, value in fields.items() if value is not None], body
            )
        )

    def answer(self, sock):
        return read(self.world, sock, http.AnswerReader())


def test_a_message_is_submitted_and_the_connection_stays_open():
    harness = IngressHarness(result=Accepted())

    def play():
        sock, began = harness.dial(), harness.world.now()
        for number, (deadline, left_us) in enumerate(
            [("480m", 330 * MS), ("1500u", 750), ("0.5m", 250), ("99999999m", 7850 * MS)]
        ):  # less the time that it may have waited unread
            harness.send_request(
                sock, "/keyed/more?x=1", X_Request_Id=f"id{number}", Idempotency_Key="key", X_Deadline=deadline
            )
            assert harness.answer(sock).status == 202
            request = harness.submitted[number]
            assert (request.id, request.class_name, request.destination) == (f"id{number}", "keyed", 7)
            assert request.idempotency_key == "key"
            assert request.body == b"body"
            assert request.due_us == began + left_us
        harness.send_request(sock, "/healthz", "GET", None)
        assert harness.answer(sock).status == 200

    harness.world.play(play)


@pytest.mark.parametrize("busy_us", [20 * MS, 200 * MS, S])
@pytest.mark.parametrize("reused", [False, True])
def test_the_time_that_a_request_waits_unread_is_subtracted_from_its_deadline(busy_us, reused):
    """With the deadline counted from the read, messages ended up to 400 ms late, and were lost though answered."""
    harness = IngressHarness(result=Accepted(), classes={"safe": message_class(deadline_us=7 * S // 10)})

    def play():
        sock = harness.dial()
        harness.world.sleep(MS)
        if reused:
            harness.send_request(sock)
            harness.answer(sock)
        harness.send_request(sock, X_Deadline="480m")
        submitted_at = harness.world.now()
        harness.world.clock += busy_us  # the running step takes this long
        harness.answer(sock)
        unread_us = min(240 * MS, max(busy_us, 35 * MS))
        assert harness.submitted[-1].due_us == submitted_at + busy_us + 480 * MS - unread_us
        harness.world.sleep(S)  # the next request arrives while the poll waits, so its arrival is known
        harness.send_request(sock, X_Deadline="480m")
        harness.answer(sock)
        assert harness.submitted[-1].due_us == harness.world.now() + 445 * MS

    harness.world.play(play)


def test_messages_end_earlier_by_three_times_the_scheduler_lag():
    """With little processor time, the step, the delivery report and its answer each come late."""
    harness = IngressHarness(result=Accepted())

    def play():
        sock, world = harness.dial(), harness.world
        for late_us, left_ms in ((0, 6850), (150 * MS, 6850 - 450), (0, 6850 - 450), (2 * S, 6600 - 700)):
            world.call_at(world.now() + MS, lambda: None)
            world.clock += MS + late_us  # other processes use the processor
            world.sleep(0)
            harness.send_request(sock, X_Deadline="7000m")
            harness.answer(sock)
            assert abs(harness.submitted[-1].due_us - world.now() - left_ms * MS) < 4 * MS
        for _ in range(40):
            world.sleep(S)
        sock = harness.dial()
        harness.send_request(sock, X_Deadline="7000m")
        harness.answer(sock)
        assert abs(harness.submitted[-1].due_us - world.now() - 6850 * MS) < 4 * MS

    harness.world.play(play)


@pytest.mark.parametrize("left_ms", [250, 743, 1837, 5000, 7900])
def test_a_request_that_waited_unread_while_the_process_started_still_ends_in_time(left_ms):
    """Guards against a wait that the process's clock does not show: a message with 743 ms left was read 0.4 s after its
    client had sent it, and ended so late that it was lost."""
    harness = IngressHarness(result=Accepted())

    def play():
        for _ in range(3):  # at the start and later
            sock = harness.dial()
            harness.send_request(sock, X_Deadline=f"{left_ms}m")
            harness.answer(sock)
            assert harness.submitted[-1].due_us - harness.world.now() + 400 * MS <= left_ms * MS + 290 * MS
            harness.world.sleep(S)

    harness.world.play(play)


@pytest.mark.parametrize("busy_us", [0, 300 * MS, 380 * MS])
def test_the_wait_of_a_request_that_arrives_during_the_start_is_counted_from_when_the_sender_listened(busy_us):
    """Guards against a wait of 400 ms that was assumed for whatever the first poll found."""
    harness = IngressHarness(result=Accepted(), classes={"safe": message_class(deadline_us=6 * S)})

    def play():
        assert harness.answer(sock).status == 202
        assert harness.submitted[0].due_us == listened_at + 5000 * MS - max(0, 150 * MS - busy_us)

    listened_at, sock = harness.world.now(), harness.dial()
    harness.send_request(sock, X_Deadline="5000m")
    harness.world.clock += busy_us  # the rest of the start
    harness.world.play(play)


@pytest.mark.parametrize(
    ("result", "status", "retry_after"),
    [(Rejected(250_000), 429, "0.250"), (Rejected(1, True), 503, "0.001"), (GivenUp(), 500, None)],
)
def test_rejections_carry_retry_after(result, status, retry_after):
    harness = IngressHarness(result=result)

    def play():
        sock = harness.dial()
        harness.send_request(sock)
        answer = harness.answer(sock)
        assert (answer.status, answer.fields.get("retry-after"), answer.keep) == (status, retry_after, True)

    harness.world.play(play)


BAD = [
    ({"target": "/"}, 404),
    ({"target": "/nothing"}, 404),
    ({"target": "//safe"}, 404),
    ({"method": "GET"}, 405),
    ({"X_Request_Id": None}, 400),
    ({"X_Request_Id": "two words"}, 400),
    ({"X_Deadline": None}, 400),
    ({"X_Deadline": "480"}, 400),
    ({"X_Deadline": "-1m"}, 400),
    *(({"X_Deadline": text}, 400) for text in ("", "m", "+480m", "4.8e2m", "1_000m", ".5m", "480s", "9" * 13 + "m")),
    ({"X_Route_To": "dest=x"}, 400),
    *(({"X_Route_To": text}, 400) for text in ("", "dest=", "dest=+7", "dest=7.0", "dest=7e0", "dest=" + "9" * 10)),
    *(({"X_Route_To": text}, 400) for text in ("dest=7,dest=8", "dest=7;dest=8", "dest=7 dest=8", "dest=7,dest=x")),
    ({"X_Route_To": None}, 400),
    ({"target": "/keyed"}, 400),
    ({"body": b"x" * 65537}, 413),
    ({"X_More": "x" * 20_000}, 431),
    ({"Transfer_Encoding": "chunked"}, 400),
]


@pytest.mark.parametrize(("changes", "status"), BAD)
def test_a_bad_request_gets_its_status_is_not_submitted_and_closes_only_its_own_connection(changes, status):
    harness = IngressHarness(result=Accepted())

    def play():
        sock, other = harness.dial(), harness.dial()
        harness.send_request(sock, **changes)
        assert harness.answer(sock).status == status
        assert harness.submitted == []
        sock.shutdown(socket.SHUT_WR)
        assert closed(harness.world, sock)
        harness.send_request(other)
        assert harness.answer(other).status == 202

    harness.world.play(play)


def test_bytes_that_are_not_http_get_400_and_an_incomplete_request_408():
    harness = IngressHarness(result=Accepted())

    def play():
        for data, status in (
            (b"\x16\x03\x01\r\n", 400),
            (b"POST /safe HTTP/1.1\r\nHo", 408),
            (http.request("POST", "/safe", "s", list(HEAD.items()), b"body")[:-1], 408),
        ):
            sock = harness.dial()
            sock.send(data)
            assert harness.answer(sock).status == status
            assert harness.submitted == []

    harness.world.play(play)


@pytest.mark.parametrize("end", [reset, socket.socket.close])
def test_disconnecting_before_the_answer_withdraws_and_an_incomplete_request_is_not_submitted(end):
    harness = IngressHarness()

    def play():
        sock = harness.dial()
        harness.send_request(sock)
        harness.world.wait_until(lambda: harness.submitted)
        end(sock)
        harness.world.wait_until(lambda: harness.withdrawn)
        assert harness.withdrawn == harness.submitted
        incomplete = harness.dial()
        incomplete.send(b"POST /safe HTTP/1.1\r\n")
        end(incomplete)
        harness.world.wait_until(lambda: not harness.ingress._clients)
        assert len(harness.submitted) == 1

    harness.world.play(play)


@pytest.mark.parametrize("separate", [False, True])
def test_a_second_request_before_the_answer_to_the_first_rejects_both(separate):
    """Clients send one request at a time: bytes after one mean a wrong length, or a request hidden in its body."""
    harness = IngressHarness()

    def play():
        sock = harness.dial()
        data = http.request("POST", "/safe", "s", list(HEAD.items()), b"body")
        sock.send(data if separate else data + data)
        if separate:
            harness.world.wait_until(lambda: harness.submitted)
            sock.send(data)
        assert harness.answer(sock).status == 400
        assert harness.withdrawn == harness.submitted
        assert len(harness.submitted) == int(separate)
        sock = harness.dial()
        harness.result = Accepted()
        for _ in range(2):  # line ends after a body are ignored
            sock.send(data + b"\r\n")
            assert harness.answer(sock).status == 202

    harness.world.play(play)


def test_a_request_with_a_length_and_a_transfer_coding_is_rejected_with_what_follows_it():
    harness = IngressHarness(result=Accepted())

    def play():
        for coding in ("chunked", "Chunked", "x, chunked", "identity"):
            sock = harness.dial()
            fields = [*HEAD.items(), ("Transfer-Encoding", coding)]
            sock.send(
                http.request("POST", "/safe", "s", fields, b"0\r\n\r\n")
                + http.request("POST", "/safe", "s", list(HEAD.items()), b"hidden")
            )
            assert harness.answer(sock).status == 400
            assert harness.submitted == []

    harness.world.play(play)


def test_clients_that_send_nothing_or_too_slowly_are_closed_also_if_bytes_keep_coming():
    """They held their descriptors for 5 to 60 s."""
    harness = IngressHarness(max_clients=50, result=Accepted())

    def play():
        began = harness.world.now()
        unused, slow, idle = harness.dial(), harness.dial(), harness.dial()
        harness.send_request(idle)
        assert harness.answer(idle).status == 202
        for _ in range(15):
            slow.send(b"X")
            harness.world.sleep(S // 10)
        assert len(harness.ingress._clients) == 3
        assert closed(harness.world, unused)
        assert harness.answer(slow).status == 408
        assert harness.world.now() - began < 3 * S
        assert closed(harness.world, idle)
        assert 2 * S < harness.world.now() - began < 6 * S
        harness.world.sleep(S)
        assert not harness.ingress._clients

    harness.world.play(play)


def test_a_client_that_floods_is_disconnected_and_the_others_are_served():
    """Bytes after a rejected request were read without a pause or a limit, and no other client was served meanwhile."""
    harness = IngressHarness(result=Accepted())

    def play():
        flood, usual = harness.dial(), harness.dial()
        flood.send(b"POST /safe HTTP/1.1\r\nContent-Length: 60000000\r\n\r\n")
        sent = 0
        with pytest.raises(OSError):  # noqa: PT011, PT012 - the system chooses the error, and which send raises it
            while sent < 60_000_000:
                try:
                    sent += flood.send(b"x" * 65536)
                except BlockingIOError:
                    harness.world.sleep(MS)
        assert sent < 20_000_000
        harness.send_request(usual)
        assert harness.answer(usual).status == 202

    harness.world.play(play)


def test_many_clients_that_send_nothing_do_not_block_one_with_a_request():
    """Nor are connections that others reuse evicted for clients with one request each."""
    harness = IngressHarness(max_clients=8, result=Accepted())

    def play():
        usual = harness.dial()
        for _ in range(2):
            harness.send_request(usual)
            assert harness.answer(usual).status == 202
        crowd = [harness.dial() for _ in range(20)]
        for _ in range(20):
            sock = harness.dial()
            sock.send(b"nonsense\r\n\r\n")
            crowd.append(sock)
        late = harness.dial()
        harness.send_request(late)
        assert harness.answer(late).status == 202
        assert len(harness.ingress._clients) <= 8
        harness.send_request(usual)
        assert harness.answer(usual).status == 202

    harness.world.play(play)


def test_clients_that_check_health_once_and_stay_connected_do_not_block_those_with_messages():
    """250 of them a second took all places. New connections, regular clients' too, waited in the queue as long as any
    other was within its grace period, and four fifths of the messages were rejected."""
    harness = IngressHarness(max_clients=20, result=Accepted())

    def play():
        usual, waits, crowd = harness.dial(), [], []
        for _ in range(2):
            harness.send_request(usual)
            assert harness.answer(usual).status == 202
        for number in range(300):
            crowd.append(harness.dial())
            if number % 10:
                harness.send_request(crowd[-1], "/healthz", "GET", None)
            if number % 20 == 0:
                began, late = harness.world.now(), harness.dial()
                harness.send_request(late)
                assert harness.answer(late).status == 202
                waits.append(harness.world.now() - began)
                late.close()
            harness.world.sleep(4 * MS)
        assert max(waits) < 20 * MS
        assert len(harness.ingress._clients) <= 20
        harness.send_request(usual)
        assert harness.answer(usual).status == 202

    harness.world.play(play)


def test_rejections_are_logged_one_by_one_only_up_to_a_limit(caplog):
    harness = IngressHarness(result=Accepted())
    caplog.set_level("INFO")

    def play():
        for span in (0, 0, 11 * S):
            harness.world.sleep(span)
            for _ in range(8):
                sock = harness.dial()
                sock.send(b"nonsense\r\n\r\n")
                assert harness.answer(sock).status == 400

    harness.world.play(play)
    lines = [record.getMessage() for record in caplog.records]
    assert sum("request rejected" in line for line in lines) == 18
    assert "requests rejected: 6 more" in lines


def test_expect_100_continue_is_answered_and_other_expectations_rejected():
    harness = IngressHarness(result=Accepted())

    def play():
        sock = harness.dial()
        data = http.request("POST", "/safe", "s", [*HEAD.items(), ("Expect", "100-continue")], b"body")
        sock.send(data[:-4])
        harness.world.sleep(MS)
        assert sock.recv(100) == b"HTTP/1.1 100 Continue\r\n\r\n"
        sock.send(b"body")
        assert harness.answer(sock).status == 202
        sock.send(data.replace(b"100-continue", b"wonders")[:-4])
        assert harness.answer(sock).status == 417

    harness.world.play(play)


def test_in_a_shutdown_idle_connections_close_and_each_request_is_answered_with_close():
    harness = IngressHarness(result=Accepted())

    def play():
        idle, busy = harness.dial(), harness.dial()
        harness.send_request(idle)
        assert harness.answer(idle).status == 202
        busy.send(b"POST /safe HTTP/1.1\r\n")
        harness.world.sleep(MS)
        harness.ingress.close_idle()
        assert closed(harness.world, idle)
        assert harness.ingress.answering
        for sock in (busy, harness.dial()):
            sock.send(http.request("POST", "/safe", "s", list(HEAD.items()), b"")[21 if sock is busy else 0 :])
            answer = harness.answer(sock)
            assert answer.status == 202
            assert not answer.keep
            assert closed(harness.world, sock)
        sock = harness.dial()
        harness.send_request(sock, "/healthz", "GET", None)
        assert harness.answer(sock).status == 503

    harness.world.play(play)


def test_the_connection_that_has_been_idle_longest_is_evicted_for_a_new_client():
    harness = IngressHarness(max_clients=8, result=Accepted())

    def play():
        idle = [harness.dial() for _ in range(3)]
        for sock in idle:
            harness.send_request(sock)
            assert harness.answer(sock).keep
        harness.result, busy = None, []
        for number in range(8):
            assert len(harness.ingress._clients) <= 8
            busy.append(harness.dial())
            harness.send_request(busy[number])
            harness.world.wait_until(lambda number=number: len(harness.submitted) == 4 + number)
        assert [closed(harness.world, sock) for sock in idle] == [True] * 3
        late = harness.dial()  # connections with a request in progress are not evicted: this one waits
        harness.send_request(late)
        harness.world.sleep(S)
        assert len(harness.submitted) == 11
        assert len(harness.ingress._clients) == 8
        harness.submitted[5].decide(Accepted())
        harness.world.wait_until(lambda: len(harness.submitted) == 12)

    harness.world.play(play)


@pytest.mark.parametrize("unused", [True, False])
def test_at_half_of_the_connection_limit_connections_close_after_their_answer_and_unused_ones_early(unused):
    """Idle connections took all descriptors that the clients had, fewer than the sender has. They could open no more,
    and a third of the messages failed without reaching the sender."""
    harness = IngressHarness(max_clients=20, result=Accepted())

    def play():
        first = harness.dial()
        harness.send_request(first)
        assert harness.answer(first).keep
        for _ in range(100):
            sock = harness.dial()
            if not unused:
                harness.send_request(sock)
                harness.answer(sock)
            harness.world.sleep(50 * MS)
            assert len(harness.ingress._clients) <= 11
        late = harness.dial()
        harness.send_request(late)
        assert harness.answer(late).keep is not (len(harness.ingress._clients) >= 10)

    harness.world.play(play)


def test_a_request_is_answered_while_others_are_still_being_parsed():
    """Guards against steps in which every connection's chunks were parsed: good clients had no answer for 5 s."""
    harness = IngressHarness(max_clients=100, result=Accepted())
    head = "".join(f"{name}: {value}\r\n" for name, value in HEAD.items()).encode()
    slow = b"POST /safe HTTP/1.1\r\n" + head + b"Transfer-Encoding: chunked\r\n\r\n" + b"1\r\na\r\n" * 1000

    def play():
        slow_clients = [harness.dial() for _ in range(20)]
        for sock in slow_clients:
            sock.send(slow + b"0\r\n\r\n")
        sock = harness.dial()  # accepted after them
        harness.send_request(sock, X_Request_Id="good")
        assert harness.answer(sock).status == 202
        assert [request.id for request in harness.submitted] == ["good"]
        for sock in slow_clients:
            assert harness.answer(sock).status == 202  # they are served as well, later

    harness.world.play(play)

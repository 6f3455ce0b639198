"""The admin server: maintenance of endpoints, draining, and callers that keep it busy."""

import select
import socket

import pytest
from nethelp import MS, S, StubServer, chunk, closed, host_row, list_update, read
from test_sender import SenderHarness

from scalefall.net import http
from scalefall.net.admin import MAX_WAITING_CALLERS
from scalefall.net.admin_state import AdminAction, AdminCommand, AdminDecision, AdminState
from scalefall.net.maintenance_store import MaintenanceStore


@pytest.fixture
def harness(tmp_path):
    return SenderHarness(tmp_path, admin=("127.0.0.1", 0))


def send(harness, data):
    sock = socket.create_connection(harness.sender.admin_address)
    sock.setblocking(False)
    sock.send(data)
    return sock


def call(harness, method, path):
    """Make one call and return its status; checks that its connection closes and that it takes less than 1 s."""
    sock, began = send(harness, http.request(method, path, "s", [])), harness.world.now()
    status = read(harness.world, sock, http.AnswerReader()).status
    assert closed(harness.world, sock)
    assert harness.world.now() - began < S
    return status


def play(harness, function):
    harness.world.play(lambda: (harness.accept_watch(), function()))


def test_an_endpoint_in_maintenance_gets_no_messages_whatever_the_list_says_and_across_a_restart(harness):
    def steps():
        assert call(harness, "PUT", "/endpoints/e/maint") == call(harness, "PUT", "/endpoints/e/maint") == 200
        harness.send(harness.watch, chunk(list_update(2, host_row("e", harness.endpoint.address))))
        harness.world.wait_until(lambda: harness.sender.endpoint_list.seq == 2)
        harness.submit_accepted("a")
        harness.kill()
        harness.start()
        harness.accept_watch()
        assert harness.sender.endpoint_list.entries["e"].endpoint.status.name == "DRAINING"
        harness.submit_accepted("b")
        harness.world.sleep(2 * S)
        assert harness.endpoint.accepted == 0
        assert call(harness, "PUT", "/endpoints/e/ready") == 200  # one call ends the maintenance that two calls started
        names = set()
        while names != {"a", "b"}:
            sock, request = harness.accept_call()
            names.add(request.fields["x-request-id"])
            sock.send(http.answer(200, [], keep=False))
        harness.kill()
        harness.start()
        harness.accept_watch()
        assert not harness.sender.admin_actions.state.in_maintenance
        harness.world.wait_until(lambda: "e" not in harness.sender.endpoint_list.left_at)

    play(harness, steps)


@pytest.mark.parametrize("has_sibling", [False, True])
def test_an_endpoint_back_from_maintenance_is_cold_and_gets_a_few_calls_first(tmp_path, has_sibling):
    """It may have been restarted meanwhile, and would get all waiting messages at once."""
    harness = SenderHarness(tmp_path, admin=("127.0.0.1", 0))
    other = StubServer(harness.world) if has_sibling else None

    def serve(peer):
        sock = peer.accept()
        peer.read(sock)
        sock.send(http.answer(200, [], keep=False))

    def steps():
        if has_sibling:
            harness.send(
                harness.watch,
                chunk(list_update(2, host_row("e", harness.endpoint.address), host_row("f", other.address))),
            )
            harness.world.wait_until(lambda: harness.sender.endpoint_list.seq == 2)
        assert call(harness, "PUT", "/endpoints/e/maint") == 200
        if has_sibling:
            harness.submit_accepted("n")
            serve(other)
        else:
            harness.submit_accepted(*(f"m{n}" for n in range(8)))
        harness.world.sleep(3 * S)
        if has_sibling:
            harness.submit_accepted("o")
            serve(other)
        assert call(harness, "PUT", "/endpoints/e/ready") == 200
        began = harness.world.now()
        if has_sibling:  # the other endpoint stays in service, and gets nearly all messages
            harness.submit_accepted(*(f"m{n}" for n in range(8)))
            for _ in range(6):
                serve(other)
            assert harness.world.now() - began < 3 * S
            assert accepted(harness.endpoint) <= 2
        else:  # one call first, then more
            harness.world.sleep(300 * MS)
            early = accepted(harness.endpoint)
            assert early <= 1
            for sock in harness.endpoint.waiting if early else ():
                sock.send(http.answer(200, [], keep=False))
            for _ in range(2):
                serve(harness.endpoint)

    play(harness, steps)


def accepted(peer):
    """Accept and count the connections that wait at a stub server."""
    number = 0
    while select.select([peer.listener], [], [], 0)[0]:
        peer.waiting = [*getattr(peer, "waiting", []), peer.listener.accept()[0]]
        number += 1
    return number


def test_an_endpoint_that_left_the_list_during_maintenance_does_not_return(harness):
    def steps():
        assert call(harness, "PUT", "/endpoints/e/maint") == 200
        harness.send(harness.watch, chunk(list_update(2, host_row("f", harness.endpoint.address))))
        harness.world.wait_until(lambda: harness.sender.endpoint_list.seq == 2)
        assert call(harness, "PUT", "/endpoints/e/ready") == 200
        assert "e" in harness.sender.endpoint_list.left_at
        assert not harness.sender.endpoint_list.has_endpoint("e")
        assert call(harness, "PUT", "/endpoints/e/maint") == 404

    play(harness, steps)


def test_a_maintenance_call_that_cannot_be_stored_fails(harness, monkeypatch):
    def steps():
        monkeypatch.setattr(MaintenanceStore, "save", lambda self, names: False)
        assert call(harness, "PUT", "/endpoints/e/maint") == 507
        harness.submit_accepted("a")
        assert harness.accept_call()[1].fields["x-request-id"] == "a"

    play(harness, steps)


@pytest.mark.parametrize(
    ("method", "path", "status"),
    [
        ("GET", "/healthcheck", 200),
        ("PUT", "/healthcheck", 405),
        ("PUT", "/endpoints/x/maint", 404),
        ("PUT", "/endpoints/x/ready", 404),
        ("GET", "/endpoints/e/maint", 405),
        ("PUT", "/endpoints/e/off", 404),
        ("PUT", "/endpoints//maint", 404),
        ("PUT", "/endpoints/e/maint/", 404),
        ("GET", "/healthcheck/fail", 405),
        ("PUT", "/healthcheck/ok", 200),
        ("PUT", "/healthcheck/other", 404),
        ("PUT", "/", 404),
        ("DELETE", "*", 404),
    ],
)
def test_a_call_gets_the_status_that_it_deserves(harness, method, path, status):
    def steps():
        assert call(harness, method, path) == status
        assert harness.sender.admin_actions.state.in_maintenance == set()
        harness.submit_accepted("a")

    play(harness, steps)


@pytest.mark.parametrize(
    ("data", "status"),
    [
        (b"junk\r\n\r\n", 400),
        (b"PUT /endpoints/" + b"e" * 20_000, 431),
        (b"PUT / HTTP/1.1\r\nContent-Length: 99999\r\n\r\n", 413),
    ],
)
def test_a_malformed_call_gets_an_error_status(harness, data, status):
    def steps():
        assert read(harness.world, send(harness, data), http.AnswerReader()).status == status

    play(harness, steps)


def test_a_drain_closes_connections_until_operators_end_it(harness):
    def steps():
        def health():
            sock = socket.create_connection(harness.sender.address)
            sock.setblocking(False)
            sock.send(http.request("GET", "/healthz", "s", []))
            answer = read(harness.world, sock, http.AnswerReader())
            return answer.status, answer.keep

        idle = harness.submit("a")
        assert harness.read_answer(idle).status == 202
        began = harness.world.now()
        assert call(harness, "PUT", "/healthcheck/fail") == call(harness, "PUT", "/healthcheck/fail") == 200
        assert closed(harness.world, idle)
        assert health() == (503, False)
        assert call(harness, "GET", "/healthcheck") == 503
        late = harness.submit("b")  # not accepted yet: it is served, and its connection closes after the answer
        answer = harness.read_answer(late)
        assert (answer.status, answer.keep) == (202, False)
        assert closed(harness.world, late)
        unused = socket.create_connection(harness.sender.address)
        unused.setblocking(False)
        assert closed(harness.world, unused)
        assert harness.world.now() - began < 4 * S
        assert call(harness, "PUT", "/healthcheck/ok") == 200
        assert health() == (200, True)
        assert call(harness, "GET", "/healthcheck") == 200

    play(harness, steps)


def test_callers_that_send_nothing_or_an_incomplete_call_do_not_block_others(harness):
    def steps():
        idle = [send(harness, b"PUT /endp" if n % 2 else b"") for n in range(3 * MAX_WAITING_CALLERS)]
        harness.world.sleep(10 * MS)
        assert call(harness, "GET", "/healthcheck") == 200
        assert harness.sender.admin_server.waiting_callers <= MAX_WAITING_CALLERS
        harness.world.sleep(3 * S)
        assert harness.sender.admin_server.waiting_callers == 0
        for sock in idle:
            sock.close()

    play(harness, steps)


def test_the_maintenance_file_holds_1024_names_and_a_corrupt_file_does_not_prevent_a_start(tmp_path):
    file, names = MaintenanceStore(tmp_path, 3_000_000), {f"s-{n:08x}" for n in range(1024)}
    assert file.load() == set()
    assert file.save(names)
    assert file.load() == names
    assert not file.save({"x" * 255 + str(n) for n in range(1024)})
    assert file.load() == names
    for corrupt in (b"", b"[", b"{}", b"[7]", b"\xff", b"[" * 5000):
        (tmp_path / "maintenance").write_bytes(corrupt)
        assert file.load() == set()


def test_the_state_changes_only_once_a_command_is_applied():
    state = AdminState(set())
    start = AdminCommand(AdminAction.START_MAINTENANCE, "a b")
    assert state.decide("PUT", "/endpoints/a%20b/maint", True, lambda name: name == "a b") == AdminDecision(200, start)
    assert state.in_maintenance == set()
    state.apply(start)
    assert state.in_maintenance == {"a b"}
    end = AdminCommand(AdminAction.END_MAINTENANCE, "a b")
    # The endpoint is not in the list any more.
    assert state.decide("PUT", "/endpoints/a%20b/ready", True, lambda name: False) == AdminDecision(200, end)
    state.apply(end)
    assert state.in_maintenance == set()
    assert state.decide("GET", "/healthcheck", False, bool) == AdminDecision(503, None)

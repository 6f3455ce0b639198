"""Idle clients that take all descriptors they can get leave enough for discovery, endpoints and /healthz.

The program runs under the system's descriptor limit, at the smallest number of sockets that the settings allow.
"""

import json
import os
import select
import signal
import socket
import threading

import pytest
from test_program import EXAMPLE, PROCESS_TIMEOUT_S, Process, send_request

SOCKETS = 64
IDLE_CONNECTIONS = 200  # more than there are descriptors
LIMITED = (
    f"import resource, runpy; resource.setrlimit(resource.RLIMIT_NOFILE, ({SOCKETS}, {SOCKETS}));"
    "runpy.run_module('scalefall', run_name='__main__')"
)
REQUESTS = (b"", b"GET /healthz HTTP/1.1\r\nHost: s\r\n\r\n", b"POST /fee-order HTTP/1.1\r\n")


class IdleClients:
    """Keeps connections open that send nothing, one health check or part of a request, and reopens those that close."""

    def __init__(self, address):
        self.address, self.opened, self.opened_more = address, 0, threading.Condition()
        self.stopped, self.thread = threading.Event(), threading.Thread(target=self._keep_open, daemon=True)
        self.poll, self.sockets = select.poll(), {}
        self.thread.start()

    def _open(self, number):
        sock = socket.create_connection(self.address, PROCESS_TIMEOUT_S)
        sock.sendall(REQUESTS[number % len(REQUESTS)])
        self.sockets[sock.fileno()] = number, sock
        self.poll.register(sock, select.POLLIN)
        with self.opened_more:
            self.opened += 1
            self.opened_more.notify_all()

    def _keep_open(self):
        for number in range(IDLE_CONNECTIONS):
            self._open(number)
        while not self.stopped.is_set():
            for fd, _ in self.poll.poll(100):
                number, sock = self.sockets[fd]
                if not _receive(sock):
                    self.poll.unregister(fd)
                    del self.sockets[fd]
                    sock.close()
                    self._open(number)

    def until_opened(self, number):
        with self.opened_more:
            assert self.opened_more.wait_for(lambda: self.opened >= number, PROCESS_TIMEOUT_S)

    def end(self):
        self.stopped.set()
        self.thread.join(PROCESS_TIMEOUT_S)
        for _, sock in self.sockets.values():
            sock.close()


def _receive(sock):
    try:
        return sock.recv(4096)
    except OSError:
        return b""


@pytest.fixture
def port():
    """A free port for discovery, which nothing listens on yet."""
    with socket.create_server(("127.0.0.1", 0)) as listener:
        return listener.getsockname()[1]


@pytest.fixture
def sender(tmp_path, port):
    (tmp_path / "state").mkdir()
    table = EXAMPLE | {"limits": EXAMPLE["limits"] | {"sockets": SOCKETS}}
    (tmp_path / "config.json").write_text(json.dumps(table))
    process = Process(
        "-O",
        "-c",
        LIMITED,
        RELAY_CONFIG=str(tmp_path / "config.json"),
        RELAY_STATE=str(tmp_path / "state"),
        RELAY_LISTEN="127.0.0.1:0",
        RELAY_DISCOVERY=f"127.0.0.1:{port}",
    )
    host, _, number = process.line("ready: n0 at").split()[-1].rpartition(":")
    process.at = host, int(number)
    yield process
    process.end()


@pytest.fixture
def clients(sender):
    clients = IdleClients(sender.at)
    yield clients
    clients.end()


def test_idle_clients_leave_discovery_endpoints_and_health_their_descriptors(sender, port, clients):
    sender.line("watch on the endpoint list broken")
    clients.until_opened(2 * IDLE_CONNECTIONS)  # connections compete for each place
    toy = Process("example/toy_server.py", "--discovery", str(port), "--endpoints", "0", "0")
    try:
        toy.line("discovery at")
        sender.line("endpoint list: version 2, all 3")
        for name in ("a", "b", "c"):
            assert send_request(sender, name).status == 202
            toy.line(f"delivered {name} at")
        assert send_request(sender, "x", "/healthz", "GET").status == 200
        assert len(os.listdir(f"/proc/{sender.child.pid}/fd")) <= SOCKETS
        clients.end()
        assert sender.end(signal.SIGTERM) == 0
        sender.line("shutdown finished:")
        assert not [line for line in sender.seen if "accepting a" in line or "Too many open files" in line]
    finally:
        toy.end()

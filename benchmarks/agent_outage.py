"""What waiting for an unresponsive agent costs: a sender on sockets, in virtual time, through outages of discovery.

    python benchmarks/agent_outage.py [--revision DIR]

Prints a row for each outage and message deadline: for a process that starts as the outage begins, and for one that runs
through it. With a directory of another revision of the project, that revision is measured instead.
"""

from __future__ import annotations

import argparse
import contextlib
import logging
import pathlib
import sys
import tempfile
from collections import Counter
from math import inf

OUTAGES_S = (2, 8, 20, 60)
DEADLINES_S = (1, 4, 8, 24)
MESSAGES_PER_S = 6
TAIL_S = 5  # messages are submitted until this long after the outage
SERVICE_S = 0.05  # an endpoint's time for a call
GRACE_S = 1.05  # drain grace of the settings, and the slack of each time limit


def parse_arguments() -> argparse.Namespace:
    """Return the command's arguments."""
    parser = argparse.ArgumentParser(description=__doc__.partition("\n")[0])
    parser.add_argument("--revision", type=pathlib.Path, default=pathlib.Path(__file__).parent.parent)
    return parser.parse_args()


REVISION = parse_arguments().revision.resolve()
sys.path[:0] = [str(REVISION), str(REVISION / "tests")]

from helpers import message_class  # noqa: E402
from nethelp import STREAM_HEAD, S, StubServer, chunk, host_row, list_update  # noqa: E402
from test_sender import SenderHarness  # noqa: E402

from scalefall.net import http  # noqa: E402
from scalefall.net.list_stream import read_list  # noqa: E402


class Play:
    """One outage: the sender, its agent, an endpoint that drains as the outage begins, and one that stays."""

    def __init__(self, folder: str, outage_s: int, deadline_s: int, is_running: bool) -> None:
        """Start the sender; it runs before the outage, or starts with it."""
        self.outage_s, self.deadline_s = outage_s, deadline_s
        self.counts: Counter[str] = Counter()
        self.calls: Counter[str] = Counter()  # by message id
        self.accepted: dict[str, float] = {}  # deadlines by message id
        self.delivered: set[str] = set()
        rules = message_class(deadline_us=deadline_s * S, latency_objective_us=deadline_s * S // 4)
        changes = {"classes": {"safe": rules}, "max_queued": 90, "call_slots": 16, "replica_count": 3}
        self.harness = SenderHarness(folder, polls_endpoint_list=False, **changes)
        self.world = self.harness.world
        self.other = StubServer(self.world)
        rows = [host_row("e", self.harness.endpoint.address), host_row("f", self.other.address)]
        self.harness.kill()
        self.harness.known = read_list(list_update(1, *rows))
        self.harness.start()
        self.is_unresponsive, self.waiting = not is_running, []
        for server, name in ((self.harness.endpoint, "e"), (self.other, "f")):
            self.world.spawn(self.serve, server, name)
        self.world.spawn(self.serve_platform)

    def accept(self, server: StubServer) -> object:
        """Return a server's next connection, however long it takes."""
        while True:
            with contextlib.suppress(AssertionError):
                return server.accept()

    def serve(self, server: StubServer, name: str) -> None:
        """Serve an endpoint's connections."""
        while True:
            self.world.spawn(self.answer_calls, server, self.accept(server), name)

    def answer_calls(self, server: StubServer, sock: object, name: str) -> None:
        """Answer the calls on one connection."""
        with contextlib.suppress(AssertionError, OSError):
            while True:
                message_id = server.read(sock).fields["x-request-id"]
                self.calls[message_id] += 1
                if name == "e" and self.world.now() > self.notified_at + GRACE_S * S:
                    self.counts["after grace"] += 1
                self.world.sleep(int(SERVICE_S * S))
                self.delivered.add(message_id)
                if self.world.now() > self.accepted.get(message_id, 0) - self.deadline_s * S * 3 // 4:
                    self.counts["late"] += 1
                sock.send(http.answer(200, []))

    def serve_platform(self) -> None:
        """Answer watches, now or when the outage ends, and delivery reports."""
        while True:
            sock = self.accept(self.harness.platform)
            self.world.spawn(self.answer_platform, sock)

    def answer_platform(self, sock: object) -> None:
        """Answer one connection of the sender to the platform."""
        with contextlib.suppress(AssertionError, OSError):
            while self.harness.platform.read(sock).method == "POST":
                sock.send(http.answer(204, []))
            self.waiting.append(sock)
            if not self.is_unresponsive:
                self.answer_watches()

    def answer_watches(self) -> None:
        """Answer all watches that wait with the list."""
        rows = [host_row("e", self.harness.endpoint.address, health="terminating" if self.drained else "in_service")]
        for sock in self.waiting:
            with contextlib.suppress(OSError):
                sock.send(STREAM_HEAD + chunk(list_update(2 if self.drained else 1, *rows, whole=False)))
        self.waiting.clear()

    def run(self) -> Counter[str]:
        """Play the outage, and return what became of the messages."""
        self.drained, self.notified_at = False, inf
        self.world.play(self.steps)
        self.counts["delivered"] = len(self.delivered)
        untried = [name for name in self.accepted if not self.calls[name]]
        self.counts["untried"] = len(untried)
        return self.counts

    def steps(self) -> None:
        """Submit messages through the outage, and wait for the last of them."""
        if not self.is_unresponsive:
            self.world.sleep(S)
        else:
            self.drained, self.notified_at = True, self.world.now()
        self.is_unresponsive, began_at = True, self.world.now()
        number, is_over = 0, False
        while self.world.now() < began_at + (self.outage_s + TAIL_S) * S:
            if not is_over and self.world.now() >= began_at + self.outage_s * S:
                self.is_unresponsive, is_over = False, True
                self.drained, self.notified_at = True, min(self.notified_at, self.world.now())
                self.answer_watches()
            self.world.spawn(self.submit, f"m{number}")
            number += 1
            self.world.sleep(S // MESSAGES_PER_S)
        self.counts["submitted"] = number
        self.world.sleep(self.deadline_s * S + S)

    def submit(self, name: str) -> None:
        """Submit one message."""
        sock = self.harness.submit(name, deadline=f"{self.deadline_s * 1000}m")
        due_at = self.world.now() + self.deadline_s * S
        if self.harness.read_answer(sock).status == 202:
            self.accepted[name] = due_at
        else:
            self.counts["shed"] += 1
        sock.close()


COLUMNS = ("submitted", "delivered", "shed", "late", "untried", "after grace")


def main() -> None:
    """Play all outages."""
    logging.disable(logging.CRITICAL)
    print("process | outage s | deadline s |", " | ".join(COLUMNS))
    for is_running in (False, True):
        for outage_s in OUTAGES_S:
            for deadline_s in DEADLINES_S:
                with tempfile.TemporaryDirectory() as folder:
                    play = Play(folder, outage_s, deadline_s, is_running)
                    counts = play.run()
                    play.world.end_tasks()
                row = " | ".join(str(counts[column]) for column in COLUMNS)
                print("runs" if is_running else "starts", "|", outage_s, "|", deadline_s, "|", row, flush=True)


main()

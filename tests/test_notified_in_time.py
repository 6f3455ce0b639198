"""A change reaches the sender within 6 s after discovery has it and is reachable, whatever failed before.

Runs the sender with its engine against a simulated discovery. All random waits are the longest."""

import socket

import pytest
from greenlet import getcurrent
from nethelp import MS, STREAM_HEAD, S, chunk, list_update, host_row
from test_sender import SenderHarness

from scalefall.net import http, list_watch

NOTIFIED_US = 6 * S  # time after which the sender counts as notified
ANSWER_US = 140 * MS  # discovery's time per call, which it serves one at a time (docs/performance.md)
REJECTION_US = S  # discovery answers 503 to a call that has waited this long
MAX_RANDOM = 1 - 2**-53  # the largest value of random()
DOWNTIME_US = 60 * S
MAX_DOWNTIME_WATCHES = 100  # bounds the load on a discovery that is down


class Discovery:
    """Discovery's side of a sender's watch, and the times at which the sender's watches ended."""

    def __init__(self, folder, pushed):
        self.harness = SenderHarness(folder, polls_endpoint_list=not pushed, replica_count=30)
        self.world, self.list = self.harness.world, self.harness.sender.endpoint_list
        self.peer, self.ended, self._watch_once = self.harness.platform, [], self.list._watch._watch_once
        self.list._watch._watch_once, self.waiting, self.sockets = self._watch_and_record_end, None, []
        for source in (self.list._watch._random, self.harness.sender.engine.state.random):
            source.random = lambda: MAX_RANDOM

    def _watch_and_record_end(self, address):
        reason = self._watch_once(address)
        self.ended.append(self.world.now())
        if self.waiting is not None:
            self.world.wake(self.waiting)
        return reason

    def until_ended(self):
        """Wait until one more watch, or attempt to open one, has ended."""
        self.waiting = getcurrent()
        self.world.pause(self.world.now() + 20 * S)
        self.waiting = None

    def refuse(self):
        self.peer.listener.close()

    def listen_again(self):
        self.peer.listener = socket.create_server(self.peer.address, backlog=64)
        self.peer.listener.setblocking(False)

    def call(self, answer=None, delay_us=ANSWER_US):
        """Accept the next call, answer it after the delay (never if None), and return the time of the call."""
        sock = self.peer.accept()
        accepted_at = self.world.now()
        self.sockets.append(sock)  # keeps the connection open
        self.peer.read(sock)
        if answer is not None:
            self.world.sleep(delay_us)
            sock.send(answer)
        return accepted_at

    def send_change(self):
        change = list_update(2, host_row("f", self.harness.endpoint.address), whole=False)
        self.call(STREAM_HEAD + chunk(change))
        self.world.wait_until(lambda: "f" in self.list.entries)


def unanswered(discovery):
    """Let the next dial time out, as the listener's backlog is full."""
    full = [socket.socket() for _ in range(80)]
    for sock in full:
        sock.setblocking(False)
        sock.connect_ex(discovery.peer.address)
    discovery.until_ended()
    for sock in full:
        sock.close()
    try:
        while True:
            discovery.peer.listener.accept()[0].close()
    except BlockingIOError:
        pass


def refused(discovery):
    discovery.refuse()
    discovery.until_ended()
    discovery.listen_again()


@pytest.mark.parametrize("pushed", [False, True])
@pytest.mark.parametrize("end", ["idle", "closed"])
@pytest.mark.parametrize("dial", [refused, unanswered])
def test_a_change_arrives_in_time_after_a_broken_watch_a_failed_dial_and_a_503(tmp_path, pushed, end, dial):
    discovery = Discovery(tmp_path, pushed)
    world = discovery.world

    def play():
        discovery.harness.accept_watch()
        world.wait_until(lambda: discovery.list._watch._last_active_at_us > 0)
        ended_at = world.now()
        if end == "closed":
            discovery.harness.watch.close()
        discovery.until_ended()
        dial(discovery)
        discovery.call(http.answer(503, []), REJECTION_US)
        discovery.send_change()
        assert world.now() - ended_at < NOTIFIED_US, f"{(world.now() - ended_at) / S} s"

    world.play(play)


@pytest.mark.parametrize("pushed", [False, True])
def test_after_a_long_downtime_a_change_arrives_in_time_after_a_call_that_times_out_and_a_503(tmp_path, pushed):
    """The first call arrives at the moment at which discovery is back, and is never answered."""
    discovery = Discovery(tmp_path, pushed)
    world = discovery.world

    def play():
        discovery.harness.accept_watch()
        discovery.refuse()
        discovery.harness.watch.close()
        discovery.until_ended()
        world.sleep(DOWNTIME_US)
        watches = len(discovery.ended)
        discovery.listen_again()
        accepted_at = discovery.call()
        discovery.call(http.answer(503, []), REJECTION_US)
        discovery.send_change()
        assert world.now() - accepted_at < NOTIFIED_US, f"{(world.now() - accepted_at) / S} s"
        assert watches <= MAX_DOWNTIME_WATCHES

    world.play(play)


@pytest.mark.parametrize("pushed", [False, True])
def test_a_change_arrives_in_time_after_a_long_list_that_stops_in_the_middle(tmp_path, pushed):
    """Each 64 KiB of the list extended the timeout by 3 s: a change after its last byte arrived 9 s later or more."""
    discovery = Discovery(tmp_path, pushed)
    world = discovery.world

    def play():
        discovery.harness.accept_watch()
        hosts = (host_row(f"x{number}", discovery.harness.endpoint.address) for number in range(2000))
        data = chunk(list_update(2, *hosts))[: 3 * list_watch.BYTES_PER_IDLE_TIMEOUT]
        discovery.harness.send(discovery.harness.watch, data)
        world.sleep(MS)
        stopped_at = world.now()
        discovery.send_change()
        assert world.now() - stopped_at < NOTIFIED_US, f"{(world.now() - stopped_at) / S} s"

    world.play(play)

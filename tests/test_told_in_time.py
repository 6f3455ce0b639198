"""A change counts as told 6 s after discovery had it and could be reached, whatever failed, was refused or given up.

The sender with its engine, and discovery played by the test. All random draws are the longest."""

import socket

import pytest
from greenlet import getcurrent
from nethelp import MS, STREAM_HEAD, S, chunk, host_row, list_update
from test_sender import Firm

from scalefall.net import http, list_watch

TOLD = 6 * S
ANSWER = 140 * MS  # discovery serves one call at a time, and takes about so long for it (docs/performance.md),
REFUSAL = S  # and answers 503 to what has waited for so long
LONGEST = 1 - 2**-53  # what random() gives at most
DOWN = 60 * S
MOST_ASKS = 100  # in that time: a discovery that is down is not flooded


class Discovery:
    """The platform's side of a sender's watch, and how each of the sender's watches ended."""

    def __init__(self, folder, pushed):
        self.firm = Firm(folder, polls_endpoint_list=not pushed, replica_count=30)
        self.world, self.list = self.firm.world, self.firm.sender.endpoint_list
        self.peer, self.ended, self._watch_at = self.firm.platform, [], self.list._watch._watch_once
        self.list._watch._watch_once, self.waiting, self.sockets = self._ends, None, []
        for source in (self.list._watch._random, self.firm.sender.engine.state.random):
            source.random = lambda: LONGEST

    def _ends(self, address):
        why = self._watch_at(address)
        self.ended.append(self.world.now())
        if self.waiting is not None:
            self.world.wake(self.waiting)
        return why

    def until_ended(self):
        """Until one more watch, or try to open one, has ended."""
        self.waiting = getcurrent()
        self.world.pause(self.world.now() + 20 * S)
        self.waiting = None

    def refuse(self):
        self.peer.listener.close()

    def back(self):
        self.peer.listener = socket.create_server(self.peer.address, backlog=64)
        self.peer.listener.setblocking(False)

    def call(self, answer=None, span=ANSWER):
        """The next call, answered after the span, or never; when it came."""
        sock = self.peer.accept()
        came = self.world.now()
        self.sockets.append(sock)  # stays open
        self.peer.read(sock)
        if answer is not None:
            self.world.sleep(span)
            sock.send(answer)
        return came

    def tell_change(self):
        change = list_update(2, host_row("f", self.firm.endpoint.address), whole=False)
        self.call(STREAM_HEAD + chunk(change))
        self.world.wait_until(lambda: "f" in self.list.entries)


def unanswered(discovery):
    """The listener's queue is full: a dial gets no answer, and is given up after its time."""
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
    discovery.back()


@pytest.mark.parametrize("pushed", [False, True])
@pytest.mark.parametrize("end", ["silent", "closed"])
@pytest.mark.parametrize("dial", [refused, unanswered])
def test_a_change_is_told_in_time_past_a_watch_that_ends_a_dial_that_fails_and_a_503(tmp_path, pushed, end, dial):
    discovery = Discovery(tmp_path, pushed)
    world = discovery.world

    def play():
        discovery.firm.watched()
        world.wait_until(lambda: discovery.list._watch._heard_at_us > 0)
        fell = world.now()
        if end == "closed":
            discovery.firm.watch.close()
        discovery.until_ended()
        dial(discovery)
        discovery.call(http.answer(503, []), REFUSAL)
        discovery.tell_change()
        assert world.now() - fell < TOLD, f"{(world.now() - fell) / S} s"

    world.play(play)


@pytest.mark.parametrize("pushed", [False, True])
def test_after_a_long_time_down_a_change_is_told_in_time_past_a_call_given_up_and_a_503(tmp_path, pushed):
    """Its call came in the moment in which discovery came back, and is never answered."""
    discovery = Discovery(tmp_path, pushed)
    world = discovery.world

    def play():
        discovery.firm.watched()
        discovery.refuse()
        discovery.firm.watch.close()
        discovery.until_ended()
        world.sleep(DOWN)
        asks = len(discovery.ended)
        discovery.back()
        came = discovery.call()
        discovery.call(http.answer(503, []), REFUSAL)
        discovery.tell_change()
        assert world.now() - came < TOLD, f"{(world.now() - came) / S} s"
        assert asks <= MOST_ASKS

    world.play(play)


@pytest.mark.parametrize("pushed", [False, True])
def test_a_long_list_that_stops_in_its_middle_is_silence_from_its_last_byte_on(tmp_path, pushed):
    """Each 64 KiB of it had given it 3 s more: what came after its last byte was told 9 s later and more."""
    discovery = Discovery(tmp_path, pushed)
    world = discovery.world

    def play():
        discovery.firm.watched()
        hosts = (host_row(f"x{number}", discovery.firm.endpoint.address) for number in range(2000))
        data = chunk(list_update(2, *hosts))[: 3 * list_watch.BYTES_PER_WAIT]
        discovery.firm.send(discovery.firm.watch, data)
        world.sleep(MS)
        fell = world.now()
        discovery.tell_change()
        assert world.now() - fell < TOLD, f"{(world.now() - fell) / S} s"

    world.play(play)

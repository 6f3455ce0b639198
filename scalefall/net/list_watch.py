"""The watch on discovery's list of endpoints: a stream of lists that is opened again whenever it breaks.

A change counts as told 6 s after discovery had it and could be reached. The times here are chosen so that they add up
to less, whatever failed on the way: docs/design/races.md has the sums.
"""

from __future__ import annotations

import random
import socket
from dataclasses import dataclass
from typing import Protocol

from scalefall.net import http, streams
from scalefall.net.list_stream import ListUpdate, ObjectStream, read_list
from scalefall.net.logs import log
from scalefall.net.scheduler import Scheduler, Task

SECOND_US = 1_000_000  # microseconds in a second
DIAL_TIMEOUT_US = SECOND_US  # a dial to discovery, and the request on it, are given up after this
FIRST_WORD_TIMEOUT_US = 3 * SECOND_US  # a watch that has not answered after this is broken
MAX_SILENCE_US = 3 * SECOND_US  # and so is one that said nothing for so long: discovery sends a line each 2 s
BYTES_PER_WAIT = 64 * 1024  # of an object that is still coming, for each of which it may take so long again
MOVE_RETRY_US = 3 * SECOND_US  # after a move, discovery may come up a moment later: it is tried again for so long,
MOVE_RETRY_INTERVAL_US = SECOND_US // 10  # so often
SILENCE_SPREAD_US = SECOND_US // 2  # within this, a watch that fell silent is opened anew, and
CLOSED_SPREAD_US = 2 * SECOND_US  # within this, one that was heard and broke otherwise: not all senders in one moment
MIN_BACKOFF_US = SECOND_US // 20  # the first backoff; each further failure doubles it,
MAX_PUSHED_BACKOFF_US = SECOND_US // 2  # up to this where lists are pushed,
MAX_POLLED_BACKOFF_US = 4 * SECOND_US // 5  # and up to this where they are polled
YIELD_BYTES, YIELD_ENTRIES = 32 * 1024, 100  # bytes and entries of a list after which other tasks have their turn


class WatchListener(Protocol):
    """What a watch tells what it learns, and asks for the version from which it goes on.

    Attributes:
        seq: The version of the list that is known; the watch sets it to 0 where discovery counts anew.
    """

    seq: int

    def learn(self, update: ListUpdate) -> None:
        """Take in a list, or what of it has changed."""

    def word_received(self) -> None:
        """Take in that discovery has said something, a list or a line that says only that it is there."""

    def watch_failed(self) -> None:
        """Take in that the watch broke, other than by silence."""


@dataclass(slots=True)
class _Connection:
    """What has come of one watch's answer.

    Attributes:
        reader: Reads the HTTP answer.
        objects: Cuts its body into objects.
        word_at_us: When it began, or last said a whole object or a blank line, in monotonic microseconds.
        received_at_us: When any bytes came last, in monotonic microseconds.
        max_wait_us: How long the next word may take, in microseconds.
        bytes_since_word: The bytes of the body that came since the last word.
        is_first: No update has come yet.
    """

    reader: http.AnswerReader
    objects: ObjectStream
    word_at_us: int
    received_at_us: int
    max_wait_us: int = FIRST_WORD_TIMEOUT_US
    bytes_since_word: int = 0
    is_first: bool = True

    def deadline_us(self) -> int:
        """Return until when the next bytes have to come, in monotonic microseconds."""
        waits = 1 + self.bytes_since_word // BYTES_PER_WAIT
        return min(self.word_at_us + self.max_wait_us * waits, self.received_at_us + self.max_wait_us)


class ListWatch:
    """Keeps one watch open, from when it is first asked for."""

    def __init__(
        self,
        scheduler: Scheduler,
        discovery: tuple[str, int],
        listener: WatchListener,
        pushed: bool,
        max_object_bytes: int,
        seed: int,
    ) -> None:
        """Make a watch that is not open yet.

        Args:
            scheduler: The clock, and the task of the watch.
            discovery: Discovery's address.
            listener: Takes what the watch learns.
            pushed: Discovery pushes lists to all senders, so that a broken watch is opened anew at once; else senders
                poll, and each failure counts.
            max_object_bytes: How long one object of the stream may be.
            seed: The seed of the random spread.
        """
        self._scheduler = scheduler
        self._discovery = discovery
        self._listener = listener
        self._pushed = pushed
        self._max_object_bytes = max_object_bytes
        self._random = random.Random(seed)
        self._heard_at_us = -1  # when a watch last said anything
        self._fell_silent = False  # the last watch broke by saying nothing
        self._moved_at_us = -MOVE_RETRY_US
        self._task: Task | None = None

    def open(self) -> None:
        """Open the watch, unless it is open; from then on it is opened anew whenever it breaks."""
        if self._task is None:
            self._task = self._scheduler.spawn(self._run)

    def move(self, discovery: tuple[str, int]) -> None:
        """Watch discovery at another address from now on.

        It is watched there at once, from its whole list, as it may number its versions anew. What was watched or asked
        for before is no failure.
        """
        if discovery == self._discovery:
            return
        self._discovery = discovery
        self._moved_at_us = self._scheduler.now()
        self._listener.seq = 0
        if self._task is not None:
            self._scheduler.wake(self._task, streams.Interrupted("discovery has moved"))

    def _run(self) -> None:
        """Watch for good, with a backoff between two watches; runs as a task."""
        backoff_us = MIN_BACKOFF_US
        while True:
            discovery, started_at_us = self._discovery, self._scheduler.now()
            reason = self._watch_once(discovery)
            if discovery != self._discovery:
                continue
            if self._scheduler.now() < self._moved_at_us + MOVE_RETRY_US:
                self._scheduler.sleep(MOVE_RETRY_INTERVAL_US)
                continue
            log.info("watch on the endpoint list broken: %s", reason)
            if not self._pushed and not self._fell_silent:
                self._listener.watch_failed()
            backoff_us = self._back_off(self._heard_at_us >= started_at_us, backoff_us)

    def _back_off(self, was_heard: bool, backoff_us: int) -> int:
        """Wait until the watch is to be opened anew; return the backoff that the next failure doubles.

        Args:
            was_heard: The watch that broke had said something.
            backoff_us: The last backoff, in microseconds.
        """
        if self._pushed:
            backoff_us = MIN_BACKOFF_US if was_heard else min(2 * backoff_us, MAX_PUSHED_BACKOFF_US)
            wait_us = backoff_us * (0.5 + self._random.random())
        elif was_heard or self._fell_silent:
            backoff_us = MIN_BACKOFF_US
            wait_us = (SILENCE_SPREAD_US if self._fell_silent else CLOSED_SPREAD_US) * self._random.random()
        else:
            backoff_us = min(2 * backoff_us, MAX_POLLED_BACKOFF_US)
            wait_us = backoff_us * (1 + self._random.random()) / 2
        self._scheduler.sleep(int(wait_us))
        return backoff_us

    def _watch_once(self, discovery: tuple[str, int]) -> str:
        """Follow one watch to its end; return why it ended."""
        self._fell_silent = False
        sock = None
        try:
            sock = streams.dial(self._scheduler, discovery, self._scheduler.now() + DIAL_TIMEOUT_US)
            self._follow(sock, discovery)
        except (OSError, http.MalformedMessage, ValueError, RecursionError) as error:
            return str(error) or type(error).__name__
        finally:
            if sock is not None:
                sock.close()
        return "ended"

    def _follow(self, sock: socket.socket, discovery: tuple[str, int]) -> None:
        """Ask for the list from the version that is known, and take in what comes.

        Raises:
            OSError: The connection broke or fell silent, or discovery refused or has moved.
            http.MalformedMessage: What came is no answer.
            ValueError: What came is no list.
            RecursionError: It nests too deep.
        """
        target = f"/v1/servers?stream=1&index={self._listener.seq}"
        request = http.request("GET", target, "discovery", [])
        streams.send(self._scheduler, sock, request, self._scheduler.now() + DIAL_TIMEOUT_US)
        reader, objects = http.AnswerReader(self._max_object_bytes), ObjectStream(self._max_object_bytes)
        now_us = self._scheduler.now()
        connection = _Connection(reader, objects, now_us, now_us)
        while not reader.complete:
            self._check_address(discovery)
            data = self._receive(sock, connection)
            self._check_address(discovery)
            if not data:
                raise ConnectionResetError("discovery closed it")
            connection.received_at_us = self._scheduler.now()
            reader.feed(data)
            if not reader.head_done:
                continue
            if reader.status != 200:
                raise OSError(f"discovery answered {reader.status}")
            self._process(connection, reader.take_body(), discovery)

    def _receive(self, sock: socket.socket, connection: _Connection) -> bytes:
        """Return the next bytes of a watch; a TimedOut means that it fell silent if its answer had begun."""
        try:
            return streams.receive(self._scheduler, sock, connection.deadline_us())
        except streams.TimedOut:
            self._fell_silent = connection.reader.head_done  # what it would have told counts as told soon
            raise

    def _process(self, connection: _Connection, data: bytes, discovery: tuple[str, int]) -> None:
        """Take in the next bytes of a watch's body. A long list lets other tasks have their turns."""
        was_between = connection.objects.is_between_objects
        tables = connection.objects.feed(data)
        for table in tables:
            if len(data) >= YIELD_BYTES:
                self._scheduler.sleep(0)
            update = read_list(table, strict=False)
            if len(update.entries) >= YIELD_ENTRIES:
                self._scheduler.sleep(0)
            if connection.is_first and not update.whole and update.seq < self._listener.seq:
                self._listener.seq, self._fell_silent = 0, True
                raise OSError("discovery counts its versions anew")
            connection.is_first = False
            self._check_address(discovery)
            self._listener.learn(update)
        connection.bytes_since_word += len(data)
        if tables or (data and was_between and data.isspace()):  # a part of an object is no word: it may drip for good
            self._listener.word_received()
            self._heard_at_us = connection.word_at_us = self._scheduler.now()
            connection.max_wait_us, connection.bytes_since_word = MAX_SILENCE_US, 0
        if len(data) >= YIELD_BYTES:
            self._scheduler.sleep(0)

    def _check_address(self, discovery: tuple[str, int]) -> None:
        """Check that discovery has not moved while this task was not paused, so that nothing woke it.

        What the old address still says must not become the version that the new one is asked from.

        Raises:
            OSError: It has moved.
        """
        if discovery != self._discovery:
            raise OSError("discovery has moved")

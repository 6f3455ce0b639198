"""The watch on discovery's endpoint list: a stream of lists that is reopened whenever it breaks.

A sender counts as notified of a change 6 s after discovery has the change and is reachable. The timeouts here add up to
less, whatever fails on the way: docs/design/races.md has the sums.
"""

from __future__ import annotations

import random
import socket
from dataclasses import dataclass
from typing import Protocol

from scalefall.net import http, streams
from scalefall.net.list_stream import ListUpdate, ObjectStream, read_list
from scalefall.net.logs import log
from scalefall.net.memory_budget import MemoryBudget, Reservation
from scalefall.net.scheduler import Scheduler, Task

SECOND_US = 1_000_000  # microseconds in a second
DIAL_TIMEOUT_US = SECOND_US  # limit for a dial to discovery, and for sending the request
FIRST_ACTIVITY_TIMEOUT_US = 3 * SECOND_US  # time from the request to the first complete object or blank line
IDLE_TIMEOUT_US = 3 * SECOND_US  # discovery sends a line every 2 s
BYTES_PER_IDLE_TIMEOUT = 64 * 1024  # each such amount of an incomplete object extends its deadline by one timeout
MOVE_RETRY_WINDOW_US = 3 * SECOND_US  # span after a move: discovery may start at the new address a moment later
MOVE_RETRY_INTERVAL_US = SECOND_US // 10
IDLE_RECONNECT_JITTER_US = SECOND_US // 2  # delay after an idle timeout or a restarted numbering
CLOSED_RECONNECT_JITTER_US = 2 * SECOND_US  # after an active watch broke: senders must not all reconnect at once
MIN_BACKOFF_US = SECOND_US // 20  # doubled by each further failure
MAX_PUSHED_BACKOFF_US = SECOND_US // 2  # backoff limit where lists are pushed
MAX_POLLED_BACKOFF_US = 4 * SECOND_US // 5  # backoff limit where lists are polled
YIELD_BYTES = 32 * 1024  # a read of this many bytes of a list yields to other tasks
YIELD_ENTRIES = 100  # a list with this many entries yields to other tasks


class WatchListener(Protocol):
    """The receiver of a watch's updates, which also holds the version to resume from.

    Attributes:
        seq: The version of the known list; the watch sets it to 0 if discovery restarts its numbering.
    """

    seq: int

    def handle_update(self, update: ListUpdate) -> None:
        """Apply a list, or the changes of a list."""

    def watch_active(self) -> None:
        """Handle activity of discovery: a list or a blank keep-alive line."""

    def watch_failed(self) -> None:
        """Handle a polled watch that broke, other than by an idle timeout or a restarted numbering."""


@dataclass(slots=True)
class _WatchConnection:
    """The state of one watch's HTTP answer.

    Attributes:
        reader: Reads the HTTP answer.
        objects: Splits the body into objects.
        reservation: Accounts for the connection and for what its reader holds.
        active_at_us: The time of the request, or of the last complete object or blank line, in monotonic microseconds.
        received_at_us: The time of the last bytes, in monotonic microseconds.
        timeout_us: The time limit for the next object or blank line, in microseconds.
        bytes_since_active: The bytes of the body since the last complete object or blank line.
        is_first: No update has been received yet.
    """

    reader: http.AnswerReader
    objects: ObjectStream
    reservation: Reservation
    active_at_us: int
    received_at_us: int
    timeout_us: int = FIRST_ACTIVITY_TIMEOUT_US
    bytes_since_active: int = 0
    is_first: bool = True

    def deadline_us(self) -> int:
        """Return the deadline for the next bytes, in monotonic microseconds."""
        waits = 1 + self.bytes_since_active // BYTES_PER_IDLE_TIMEOUT
        return min(self.active_at_us + self.timeout_us * waits, self.received_at_us + self.timeout_us)


class ListWatch:
    """Keeps one watch open after the first call of `open`."""

    def __init__(
        self,
        scheduler: Scheduler,
        discovery: tuple[str, int],
        listener: WatchListener,
        pushed: bool,
        max_object_bytes: int,
        seed: int,
        budget: MemoryBudget | None = None,
    ) -> None:
        """Create a watch that is not open yet.

        Args:
            scheduler: The clock, and the task of the watch.
            discovery: Discovery's address.
            listener: Receives the updates.
            pushed: Discovery pushes lists to all senders, so that a broken watch is reopened at once; otherwise senders
                poll, and each failure is reported.
            max_object_bytes: The size limit of one object of the stream.
            seed: The seed of the random jitter.
            budget: Accounts for what the watch receives; None: there is no limit.
        """
        self._scheduler = scheduler
        self._discovery = discovery
        self._listener = listener
        self._pushed = pushed
        self._max_object_bytes = max_object_bytes
        self._budget = budget or MemoryBudget()
        self._random = random.Random(seed)
        self._last_active_at_us = -1  # the time of the last complete object or blank line
        self._reconnect_soon = False  # the last watch ended by an idle timeout or a restarted numbering: no failure
        self._moved_at_us = -MOVE_RETRY_WINDOW_US
        self._task: Task | None = None

    def open(self) -> None:
        """Open the watch, unless it is open; it is then reopened whenever it breaks."""
        if self._task is None:
            self._task = self._scheduler.spawn(self._run)

    def move(self, discovery: tuple[str, int]) -> None:
        """Watch discovery at another address from now on.

        The new watch starts at once and requests the complete list, as discovery may restart its version numbering
        there. The end of the watch at the old address is not reported as a failure.
        """
        if discovery == self._discovery:
            return
        self._discovery = discovery
        self._moved_at_us = self._scheduler.now()
        self._listener.seq = 0
        if self._task is not None:
            self._scheduler.wake(self._task, streams.Interrupted("the address of discovery has changed"))

    def _run(self) -> None:
        """Watch forever, with a backoff between two watches; runs as a task."""
        backoff_us = MIN_BACKOFF_US
        while True:
            discovery, started_at_us = self._discovery, self._scheduler.now()
            reason = self._watch_once(discovery)
            if discovery != self._discovery:
                continue
            if self._scheduler.now() < self._moved_at_us + MOVE_RETRY_WINDOW_US:
                self._scheduler.sleep(MOVE_RETRY_INTERVAL_US)
                continue
            log.info("watch on the endpoint list broken: %s", reason)
            if not self._pushed and not self._reconnect_soon:
                self._listener.watch_failed()
            backoff_us = self._back_off(self._last_active_at_us >= started_at_us, backoff_us)

    def _back_off(self, was_active: bool, backoff_us: int) -> int:
        """Wait before the watch is reopened; return the backoff that the next failure doubles.

        Args:
            was_active: The watch that broke had received a complete object or a blank line.
            backoff_us: The last backoff, in microseconds.
        """
        if self._pushed:
            backoff_us = MIN_BACKOFF_US if was_active else min(2 * backoff_us, MAX_PUSHED_BACKOFF_US)
            wait_us = backoff_us * (0.5 + self._random.random())
        elif was_active or self._reconnect_soon:
            backoff_us = MIN_BACKOFF_US
            wait_us = (
                IDLE_RECONNECT_JITTER_US if self._reconnect_soon else CLOSED_RECONNECT_JITTER_US
            ) * self._random.random()
        else:
            backoff_us = min(2 * backoff_us, MAX_POLLED_BACKOFF_US)
            wait_us = backoff_us * (1 + self._random.random()) / 2
        self._scheduler.sleep(int(wait_us))
        return backoff_us

    def _watch_once(self, discovery: tuple[str, int]) -> str:
        """Run one watch to its end; return the reason of the end."""
        self._reconnect_soon = False
        sock = None
        try:
            sock = streams.dial(self._scheduler, discovery, self._scheduler.now() + DIAL_TIMEOUT_US)
            with self._budget.open() as received, self._budget.open() as parsed:
                self._follow(sock, discovery, received, parsed)
        except (OSError, http.MalformedMessage, ValueError, RecursionError) as error:
            return str(error) or type(error).__name__
        finally:
            if sock is not None:
                sock.close()
        return "ended"

    def _follow(
        self, sock: socket.socket, discovery: tuple[str, int], received: Reservation, parsed: Reservation
    ) -> None:
        """Request the list from the known version on, and process the answer.

        Args:
            sock: The connection.
            discovery: Discovery's address.
            received: Accounts for the connection and the HTTP answer.
            parsed: Accounts for the objects in it.

        Raises:
            OSError: The connection broke or timed out, discovery answered with an error, or its address has changed.
            http.MalformedMessage: The answer is not valid HTTP.
            ValueError: The body is not a valid list.
            RecursionError: The body nests too deep.
        """
        target = f"/v1/servers?stream=1&index={self._listener.seq}"
        request = http.request("GET", target, "discovery", [])
        streams.send(self._scheduler, sock, request, self._scheduler.now() + DIAL_TIMEOUT_US)
        reader, objects = http.AnswerReader(self._max_object_bytes), ObjectStream(self._max_object_bytes, parsed)
        now_us = self._scheduler.now()
        connection = _WatchConnection(reader, objects, received, now_us, now_us)
        while not reader.complete:
            self._check_address(discovery)
            is_open = self._receive(sock, connection)
            self._check_address(discovery)
            if not is_open:
                raise ConnectionResetError("discovery closed the connection")
            connection.received_at_us = self._scheduler.now()
            if not reader.head_done:
                continue
            if reader.status != 200:
                raise OSError(f"discovery answered {reader.status}")
            self._process(connection, reader.take_body(), discovery)

    def _receive(self, sock: socket.socket, connection: _WatchConnection) -> bool:
        """Read the next bytes of a watch, and return False at its end.

        A TimedOut after the answer's head is an idle timeout.
        """
        try:
            return streams.receive_into(
                self._scheduler, sock, connection.reader, connection.deadline_us(), connection.reservation
            )
        except streams.TimedOut:
            self._reconnect_soon = connection.reader.head_done  # the sender soon counts as notified of missed changes
            raise

    def _process(self, connection: _WatchConnection, data: bytes, discovery: tuple[str, int]) -> None:
        """Process the next bytes of a watch's body. A long list yields to other tasks."""
        was_between_objects = connection.objects.is_between_objects
        list_objects = connection.objects.feed(data)
        for list_object in list_objects:
            if len(data) >= YIELD_BYTES:
                self._scheduler.sleep(0)
            update = read_list(list_object, strict=False)
            if len(update.entries) >= YIELD_ENTRIES:
                self._scheduler.sleep(0)
            if connection.is_first and not update.is_whole and update.seq < self._listener.seq:
                self._listener.seq, self._reconnect_soon = 0, True
                raise OSError(f"discovery restarted its version numbering at {update.seq}")
            connection.is_first = False
            self._check_address(discovery)
            self._listener.handle_update(update)
        connection.bytes_since_active += len(data)
        # A part of an object does not count as activity: it could arrive byte by byte without end.
        if list_objects or (data and was_between_objects and data.isspace()):
            self._listener.watch_active()
            self._last_active_at_us = connection.active_at_us = self._scheduler.now()
            connection.timeout_us, connection.bytes_since_active = IDLE_TIMEOUT_US, 0
        if len(data) >= YIELD_BYTES:
            self._scheduler.sleep(0)

    def _check_address(self, discovery: tuple[str, int]) -> None:
        """Check that discovery's address has not changed while this task ran, as then nothing interrupts it.

        An update from the old address must not set the version that is requested from the new one.

        Raises:
            OSError: The address has changed.
        """
        if discovery != self._discovery:
            raise OSError("the address of discovery has changed")

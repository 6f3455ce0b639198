"""The watch on discovery's endpoint list: a stream of lists that is reopened whenever it breaks.

`watch_schedule` decides when a call is made. A call that discovery does not answer for some time gets another one
beside it; the first that is answered becomes the watch.
"""

from __future__ import annotations

import random
import socket
from dataclasses import dataclass
from math import inf
from typing import Protocol

from scalefall.net import http, streams
from scalefall.net.list_stream import ListUpdate, ObjectStream, read_list
from scalefall.net.logs import log
from scalefall.net.memory_budget import MemoryBudget, Reservation
from scalefall.net.scheduler import Scheduler, Task
from scalefall.net.watch_schedule import (
    ANSWER_TIMEOUT_US,
    DIAL_TIMEOUT_US,
    IDLE_TIMEOUT_US,
    MAX_CALLS,
    SECOND_US,
    WatchEnd,
    WatchSchedule,
)

MILLISECOND_US = 1000  # microseconds in a millisecond
BYTES_PER_IDLE_TIMEOUT = 64 * 1024  # each such amount of an incomplete object extends its deadline by one timeout
MOVE_RETRY_WINDOW_US = 3 * SECOND_US  # span after a move: discovery may start at the new address a moment later
MOVE_RETRY_INTERVAL_US = SECOND_US // 10
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
        """Handle a polled watch that broke, other than by an idle timeout or a restarted numbering.

        Also called for a call that is not answered for so long that another one is made beside it.
        """

    def watch_broken(self) -> None:
        """Handle that discovery may hold a change that the watch has not brought.

        It broke, or was rejected, or discovery has begun to send a list. `watch_active` ends that.
        """

    def watch_unresponsive(self) -> None:
        """Handle that an open watch is idle, or that a call is not answered in time."""


@dataclass(slots=True, eq=False)
class _Call:
    """One call to discovery; the watch, once it is answered with a list.

    Attributes:
        discovery: The address of discovery.
        started_at_us: When it started, in monotonic microseconds.
        task: The task that runs it.
        is_active: A complete object or a blank line has been received.
        is_cancelled: Another call has become the watch or takes its place, or discovery has moved.
        is_idle: It ends by an idle timeout or a restarted numbering.
        is_timed_out: It ends as discovery has sent nothing for too long.
        is_reported: The listener knows of its failure.
    """

    discovery: tuple[str, int]
    started_at_us: int
    task: Task | None = None
    is_active: bool = False
    is_cancelled: bool = False
    is_idle: bool = False
    is_timed_out: bool = False
    is_reported: bool = False

    def end(self) -> WatchEnd:
        """Return how it ended."""
        if self.is_idle:
            return WatchEnd.IDLE
        return WatchEnd.CLOSED if self.is_active else WatchEnd.FAILED


@dataclass(slots=True)
class _WatchConnection:
    """The state of one watch's HTTP answer.

    Attributes:
        reader: Reads the HTTP answer.
        objects: Splits the body into objects.
        reservation: Accounts for the connection and for what its reader holds.
        answer_deadline_us: The deadline for the answer's head, in monotonic microseconds.
        active_at_us: The time of the answer's head, or of the last complete object or blank line, in monotonic
            microseconds; 0 before the head.
        received_at_us: The time of the last bytes, in monotonic microseconds.
        bytes_since_active: The bytes of the body since the last complete object or blank line.
        is_first: No update has been received yet.
    """

    reader: http.AnswerReader
    objects: ObjectStream
    reservation: Reservation
    answer_deadline_us: int
    active_at_us: int = 0
    received_at_us: int = 0
    bytes_since_active: int = 0
    is_first: bool = True

    def deadline_us(self) -> int:
        """Return the deadline for the next bytes, in monotonic microseconds."""
        if not self.reader.head_done:
            return self.answer_deadline_us
        waits = 1 + self.bytes_since_active // BYTES_PER_IDLE_TIMEOUT
        return min(self.active_at_us + IDLE_TIMEOUT_US * waits, self.received_at_us + IDLE_TIMEOUT_US)


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
        replica_count: int = 1,
    ) -> None:
        """Create a watch that is not open yet.

        Args:
            scheduler: The clock, and the tasks of the calls.
            discovery: Discovery's address.
            listener: Receives the updates.
            pushed: Discovery pushes lists to all senders, so that a broken watch is reopened at once; otherwise senders
                poll, and each failure is reported.
            max_object_bytes: The size limit of one object of the stream.
            seed: The seed of the random jitter.
            budget: Accounts for what the watch receives; None: there is no limit.
            replica_count: The number of senders that watch this discovery.
        """
        self._scheduler = scheduler
        self._discovery = discovery
        self._listener = listener
        self._pushed = pushed
        self._max_object_bytes = max_object_bytes
        self._budget = budget or MemoryBudget()
        self._random = random.Random(seed)
        self._schedule = WatchSchedule(pushed, replica_count, self._random)
        self._calls: list[_Call] = []  # the oldest first
        self._next_call_at_us = inf  # inf: not before the watch ends
        self._last_active_at_us = -1  # the time of the last complete object or blank line
        self._moved_at_us = -MOVE_RETRY_WINDOW_US
        self._task: Task | None = None

    def open(self) -> None:
        """Open the watch, unless it is open; it is then reopened whenever it breaks."""
        if self._task is None:
            self._task = self._scheduler.spawn(self._run)

    def move(self, discovery: tuple[str, int]) -> bool:
        """Watch discovery at another address from now on, and return whether it is another one.

        The new watch starts at once and requests the complete list, as discovery may restart its version numbering
        there. The end of the watch at the old address is not reported as a failure.
        """
        if discovery == self._discovery:
            return False
        self._discovery = discovery
        self._moved_at_us = self._scheduler.now()
        self._listener.seq = 0
        for call in list(self._calls):
            self._cancel(call, "the address of discovery has changed")
        if self._task is not None:
            self._plan_call(self._moved_at_us)
        return True

    # -- when calls are made

    def _run(self) -> None:
        """Make a call whenever one is due; runs as a task."""
        while True:
            call = self._start_call()
            while self._scheduler.now() < self._next_call_at_us:
                self._scheduler.pause(None if self._next_call_at_us == inf else int(self._next_call_at_us))
            if call in self._calls:
                self._record_overdue(call)

    def _plan_call(self, at_us: float) -> None:
        """Make the next call at a time, in monotonic microseconds."""
        self._next_call_at_us = at_us
        if self._task is not None:
            self._scheduler.wake(self._task)

    def _start_call(self) -> _Call:
        """Start and return a call, which takes the place of the oldest one if there are too many."""
        if len(self._calls) >= MAX_CALLS:
            self._cancel(self._calls[0], "not answered")
        call = _Call(self._discovery, self._scheduler.now())
        self._calls.append(call)
        self._next_call_at_us = call.started_at_us + self._schedule.hedge_delay_us()
        call.task = self._scheduler.spawn(self._run_call, call)
        return call

    def _record_overdue(self, call: _Call) -> None:
        """Record and report that a call is not answered in time, before another one is made beside it."""
        waited_ms = (self._scheduler.now() - call.started_at_us) // MILLISECOND_US
        log.info("watch on the endpoint list not answered for %d ms, calling discovery again", waited_ms)
        self._schedule.record_overdue()
        self._listener.watch_unresponsive()
        self._report_failure(call)

    def _report_failure(self, call: _Call) -> None:
        """Report the failure of a polled watch, once."""
        if not self._pushed and not call.is_reported:
            call.is_reported = True
            self._listener.watch_failed()

    def _cancel(self, call: _Call, reason: str) -> None:
        """End a call that no longer matters; its end plans no other call."""
        self._calls.remove(call)
        call.is_cancelled = True
        if call.task is not None:
            self._scheduler.wake(call.task, streams.Interrupted(reason))

    # -- one call

    def _run_call(self, call: _Call) -> None:
        """Run one call to its end, and plan the next one; runs as a task."""
        reason = self._watch_once(call)
        if call.is_cancelled:
            return
        if call.is_timed_out:
            self._listener.watch_unresponsive()
        else:
            self._listener.watch_broken()
        is_newest = call is self._calls[-1]
        self._calls.remove(call)
        now_us = self._scheduler.now()
        if now_us < self._moved_at_us + MOVE_RETRY_WINDOW_US:
            self._plan_call(now_us + MOVE_RETRY_INTERVAL_US)
            return
        log.info("watch on the endpoint list broken: %s", reason)
        end = call.end()
        if end is not WatchEnd.IDLE:
            self._report_failure(call)
        if is_newest:
            waited_us = now_us - call.started_at_us if end is WatchEnd.FAILED else 0
            self._plan_call(now_us + self._schedule.pause_us(end, call.is_active, waited_us))

    def _become_watch(self, call: _Call) -> None:
        """Let a call that is answered be the watch, and end the others."""
        for other in [other for other in self._calls if other is not call]:
            self._cancel(other, "another call is answered")
        self._plan_call(inf)

    def _watch_once(self, call: _Call) -> str:
        """Make one call, and follow its answer to the end; return the reason of the end."""
        sock = None
        try:
            dial_deadline_us = self._scheduler.now() + self._schedule.dial_timeout_us()
            sock = streams.dial(self._scheduler, call.discovery, dial_deadline_us)
            with self._budget.open() as received, self._budget.open() as parsed:
                self._follow(sock, call, received, parsed)
        except (OSError, http.MalformedMessage, ValueError, RecursionError) as error:
            call.is_timed_out = isinstance(error, streams.TimedOut)
            return str(error) or type(error).__name__
        finally:
            if sock is not None:
                sock.close()
        return "ended"

    def _follow(self, sock: socket.socket, call: _Call, received: Reservation, parsed: Reservation) -> None:
        """Request the list from the known version on, and process the answer.

        Args:
            sock: The connection.
            call: The call.
            received: Accounts for the connection and the HTTP answer.
            parsed: Accounts for the objects in it.

        Raises:
            OSError: The connection broke or timed out, discovery answered with an error, or the call is cancelled.
            http.MalformedMessage: The answer is not valid HTTP.
            ValueError: The body is not a valid list.
            RecursionError: The body nests too deep.
        """
        _check_not_cancelled(call)
        target = f"/v1/servers?stream=1&index={self._listener.seq}"
        request = http.request("GET", target, "discovery", [])
        streams.send(self._scheduler, sock, request, self._scheduler.now() + DIAL_TIMEOUT_US)
        reader, objects = http.AnswerReader(self._max_object_bytes), ObjectStream(self._max_object_bytes, parsed)
        connection = _WatchConnection(reader, objects, received, call.started_at_us + ANSWER_TIMEOUT_US)
        while not reader.complete:
            _check_not_cancelled(call)
            is_open = self._receive(sock, call, connection)
            _check_not_cancelled(call)
            if not is_open:
                raise ConnectionResetError("discovery closed the connection")
            connection.received_at_us = self._scheduler.now()
            if not reader.head_done:
                continue
            if reader.status != 200:
                raise OSError(f"discovery answered {reader.status}")
            if not connection.active_at_us:
                connection.active_at_us = connection.received_at_us
                self._become_watch(call)
                self._listener.watch_broken()
            self._process(connection, reader.take_body(), call)

    def _receive(self, sock: socket.socket, call: _Call, connection: _WatchConnection) -> bool:
        """Read the next bytes of a watch, and return False at its end.

        A TimedOut after the answer's head is an idle timeout.
        """
        try:
            return streams.receive_into(
                self._scheduler, sock, connection.reader, connection.deadline_us(), connection.reservation
            )
        except streams.TimedOut:
            call.is_idle = connection.reader.head_done  # the sender soon counts as notified of missed changes
            raise

    def _process(self, connection: _WatchConnection, data: bytes, call: _Call) -> None:
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
                self._listener.seq, call.is_idle = 0, True
                raise OSError(f"discovery restarted its version numbering at {update.seq}")
            connection.is_first = False
            _check_not_cancelled(call)
            self._listener.handle_update(update)
        connection.bytes_since_active += len(data)
        # A part of an object does not count as activity: it could arrive byte by byte without end.
        if list_objects or (data and was_between_objects and data.isspace()):
            self._listener.watch_active()
            self._last_active_at_us = connection.active_at_us = self._scheduler.now()
            call.is_active, connection.bytes_since_active = True, 0
        if not connection.objects.is_between_objects:
            self._listener.watch_broken()
        if len(data) >= YIELD_BYTES:
            self._scheduler.sleep(0)


def _check_not_cancelled(call: _Call) -> None:
    """Check that a call has not been cancelled while its task ran, as then nothing interrupts it.

    An update from an old address must not set the version that is requested from the new one.

    Raises:
        Interrupted: It has been cancelled.
    """
    if call.is_cancelled:
        raise streams.Interrupted("the call has been cancelled")

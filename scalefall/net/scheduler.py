"""Greenlets over select.poll: tasks, pauses and timers. Times are whole microseconds of the monotonic clock."""

from __future__ import annotations

import heapq
import select
import signal
import socket
import threading
import time
from collections import deque
from collections.abc import Callable
from itertools import count
from typing import Any

from greenlet import getcurrent, greenlet

from scalefall.net.invariants import assert_invariant
from scalefall.net.logs import log

READ, WRITE = select.POLLIN, select.POLLOUT
THREAD_DONE = 255  # a byte to the waker that is no signal's number
LAG_LEAST_US = 10_000  # what is late by less is not counted
LAG_FALLS = 10  # what was late falls by a tenth of the time that passes
LOOK_US = 1000  # a look that took less found what it found at once: it had come since the look before
MOST_IDLE_TIMERS = 256  # that were called off and still have a place in the order
READY, TIMED_OUT = "ready", "time up"  # why a pause ended, where nobody woke it with a value


class Timer:
    """A function called once at its time, unless it is called off; it runs in the loop and must not pause."""

    __slots__ = ("at", "function", "args", "off")

    def __init__(self, at: int, function: Callable[..., object], args: tuple[Any, ...]) -> None:
        self.at, self.function, self.args = at, function, args
        self.off: Callable[[], object] | None = None

    def cancel(self) -> None:
        """It holds on to nothing from now on; its place in the scheduler's order goes later."""
        pending, off = self.function is not None, self.off
        self.function, self.args, self.off = None, (), None
        if pending and off is not None:
            off()


class Task(greenlet):
    """One greenlet; while it pauses it may wait for a file descriptor, a time and a word from others."""

    fd = -1
    timer: Timer | None = None
    paused = False


class Scheduler:
    def __init__(self) -> None:
        self._poll, self._tasks_by_fd = select.poll(), {}
        self._ready: deque[tuple[Task, Any]] = deque()
        self._timers: list[tuple[int, int, Timer]] = []
        self._order, self._running, self._idle_timers = count(), False, 0
        self._late, self._late_at = 0, 0
        self.poll_count = 0  # how often the sockets have been looked at
        self.earliest_arrival_us = self._polled_at = (
            0  # what is found ready now had not come before this; the last look
        )
        self._wakeup_receiver, self._wakeup_sender = socket.socketpair()
        self._wakeup_receiver.setblocking(False)
        self._wakeup_sender.setblocking(False)
        self._poll.register(self._wakeup_receiver, READ)
        self._signals: dict[int, Callable[[], object]] = {}
        self._in_threads: list[tuple[Task, list[Any]]] = []

    def now(self) -> int:
        return time.monotonic_ns() // 1000

    @staticmethod
    def wall() -> int:
        """Microseconds since the epoch."""
        return time.time_ns() // 1000

    @property
    def lag_us(self) -> int:
        """By how much what was to happen has been late of late, in microseconds: turns that took long, or a processor
        that others have."""
        return max(0, self._late - (self.now() - self._late_at) // LAG_FALLS)

    def spawn(self, function: Callable[..., object], *args: Any) -> Task:
        task = Task(self._guarded, self._loop)
        self._ready.append((task, (function, args)))
        return task

    def _guarded(self, start: tuple[Callable[..., object], tuple[Any, ...]]) -> None:
        """A task that fails ends alone: nothing that comes in over a socket may end the program."""
        function, args = start
        try:
            function(*args)
        except Exception:
            self.log_failure("task", function)

    def log_failure(self, what: str, function: Callable[..., object]) -> None:
        """Called while the exception is handled."""
        log.exception("%s %s failed", what, getattr(function, "__qualname__", function))

    def call_at(self, at: int, function: Callable[..., object], *args: Any) -> Timer:
        timer = Timer(at, function, args)
        timer.off = self._called_off
        heapq.heappush(self._timers, (at, next(self._order), timer))
        return timer

    def _called_off(self) -> None:
        """Most timers are called off long before their time: without this they would pile up until then."""
        self._idle_timers += 1
        if self._idle_timers > MOST_IDLE_TIMERS and 2 * self._idle_timers > len(self._timers):
            self._timers = [entry for entry in self._timers if entry[2].function is not None]
            heapq.heapify(self._timers)
            self._idle_timers = 0

    def pause(self, until: int | None = None, sock: socket.socket | None = None, mask: int = 0) -> Any:
        """Lay the running task aside until the socket is ready, the time is up or somebody wakes it."""
        task = getcurrent()
        assert_invariant(isinstance(task, Task) and not task.paused, "only a running task pauses")
        task.paused = True
        if sock is not None:
            task.fd = sock.fileno()
            assert_invariant(task.fd not in self._tasks_by_fd, "one task waits for a socket")
            self._tasks_by_fd[task.fd] = task
            self._poll.register(task.fd, mask)
        if until is not None:
            task.timer = self.call_at(until, self.wake, task, TIMED_OUT)
        return self._loop.switch()

    def wake(self, task: Task, value: Any = None) -> bool:
        """End a task's pause with a value; False if it does not pause (or was woken before)."""
        if not task.paused:
            return False
        task.paused = False
        if task.fd >= 0:
            self._poll.unregister(task.fd)
            del self._tasks_by_fd[task.fd]
            task.fd = -1
        if task.timer is not None:
            task.timer.cancel()
            task.timer = None
        self._ready.append((task, value))
        return True

    def sleep(self, span: int) -> Any:
        return self.pause(self.now() + span)

    def on_signal(self, number: int, function: Callable[[], object]) -> None:
        """Call function from the loop, never in the middle of other code, when the signal comes."""
        self._signals[number] = function
        signal.set_wakeup_fd(self._wakeup_sender.fileno(), warn_on_full_buffer=False)
        signal.signal(number, lambda *_: None)

    def in_thread(self, function: Callable[..., Any], *args: Any) -> Any:
        """Call a function that takes long beside the loop, while the calling task pauses; what it raises comes here.
        The function must not touch anything that the loop's tasks use."""
        task, done = getcurrent(), []

        def work() -> None:
            try:
                done.append((function(*args), None))
            except BaseException as error:
                done.append((None, error))
            self._wakeup_sender.send(bytes([THREAD_DONE]))

        self._in_threads.append((task, done))
        threading.Thread(target=work, daemon=True).start()
        while not done:
            self.pause()
        self._in_threads.remove((task, done))
        result, error = done[0]
        if error is not None:
            raise error
        return result

    def _threads_done(self) -> None:
        for task, done in self._in_threads:
            if done:
                self.wake(task, None)

    def run(self) -> None:
        """Run until stop(). May be called again."""
        self._loop, self._running = getcurrent(), True
        while self._running:
            self._run_ready()
            if self._running:
                self._poll_once()

    _loop: greenlet | None = None

    def stop(self) -> None:
        self._running = False

    def _run_ready(self) -> None:
        while self._ready and self._running:
            task, value = self._ready.popleft()
            if not task.dead:
                task.parent = self._loop
                task.switch(value)

    def _poll_once(self) -> None:
        while self._timers and self._timers[0][2].function is None:
            heapq.heappop(self._timers)
            self._idle_timers -= 1
        asked, self.poll_count = self.now(), self.poll_count + 1
        found = self._poll_sockets(self._timers[0][0] if self._timers else None)
        last, self._polled_at = self._polled_at, self.now()
        self.earliest_arrival_us = last if self._polled_at - asked < LOOK_US else self._polled_at
        signalled = False
        for fd, _ in found:
            if fd == self._wakeup_receiver.fileno():
                signalled = True
            elif assert_invariant(fd in self._tasks_by_fd, "a polled socket has its task"):
                self.wake(self._tasks_by_fd[fd], READY)
        if signalled:  # last: what a signal wakes may be among what was found
            self._take_signals()
        self._run_ready()
        now = self.now()
        if self._timers and now - self._timers[0][0] > LAG_LEAST_US and self._timers[0][2].function is not None:
            late = now - self._timers[0][0]
            if late > self.lag_us:
                self._late, self._late_at = late, now
        while self._timers and self._timers[0][0] <= now and self._running:
            timer = heapq.heappop(self._timers)[2]
            function, timer.function = timer.function, None
            if function is None:
                self._idle_timers -= 1
            else:
                try:
                    function(*timer.args)
                except Exception:
                    self.log_failure("timer", function)

    def _poll_sockets(self, until: int | None) -> list[tuple[int, int]]:
        return self._poll.poll(None if until is None else max(0, -(-(until - self.now()) // 1000)))

    def _take_signals(self) -> None:
        try:
            numbers = self._wakeup_receiver.recv(64)
        except BlockingIOError:
            return
        self._threads_done()
        for number in numbers:
            if number in self._signals:
                try:
                    self._signals[number]()
                except Exception:
                    self.log_failure("signal", self._signals[number])

"""Event loop of greenlets over select.poll: tasks, pauses, timers and signals.

Times are integer microseconds of the monotonic clock.
"""

from __future__ import annotations

import heapq
import select
import signal
import socket
import threading
import time
from collections import OrderedDict, deque
from collections.abc import Callable
from itertools import count
from typing import Any

from greenlet import getcurrent, greenlet

from scalefall.net.invariants import assert_invariant
from scalefall.net.logs import log

MAX_READ_BYTES = 64 * 1024  # bytes that one read of a socket returns at most
READ, WRITE = select.POLLIN, select.POLLOUT
THREAD_DONE = 255  # written to the wake-up socket when a thread ends; no signal has this number
MIN_LAG_US = 10_000  # a timer that runs late by no more than this does not count as lag
LAG_DECAY_DIVISOR = 10  # the lag decays by the time that passes, divided by this
IMMEDIATE_POLL_US = 1000  # a poll that returned within this had its results ready: they arrived after the previous poll
MAX_CANCELLED_TIMERS = 256  # limit in the heap; more may stay while they are at most half of it
READY = "ready"  # result of a pause: its socket is ready
TIMED_OUT = "time up"  # result of a pause: its time is up


class Timer:
    """Calls a function once at a time unless it is cancelled; the function runs in the loop and must not pause."""

    __slots__ = ("at_us", "function", "args", "on_cancel")

    def __init__(self, at_us: int, function: Callable[..., object], args: tuple[Any, ...]) -> None:
        self.at_us, self.function, self.args = at_us, function, args
        self.on_cancel: Callable[[], object] | None = None

    def cancel(self) -> None:
        """Release the function and its arguments at once; the scheduler removes the timer from its heap later."""
        pending, on_cancel = self.function is not None, self.on_cancel
        self.function, self.args, self.on_cancel = None, (), None
        if pending and on_cancel is not None:
            on_cancel()


class Task(greenlet):
    """A greenlet. While paused it may wait for a file descriptor, a time, and a value from another task."""

    fd = -1
    timer: Timer | None = None
    paused = False


class Scheduler:
    def __init__(self) -> None:
        self._poll, self._tasks_by_fd = select.poll(), {}
        self._ready: deque[tuple[Task, Any]] = deque()
        self._background: OrderedDict[Task, None] = OrderedDict()  # in order of their turns
        self._timers: list[tuple[int, int, Timer]] = []
        self._timer_numbers, self._running, self._cancelled_timers = count(), False, 0
        self._measured_lag_us, self._lag_measured_at_us = 0, 0
        self.read_buffer = bytearray(MAX_READ_BYTES)  # for a read whose bytes are copied or dropped before any pause
        self.poll_count = 0  # polls of the sockets so far
        # What the last poll found cannot have arrived before the first of these; the poll returned at the second.
        self.earliest_arrival_us = self._polled_at_us = 0
        self._wakeup_receiver, self._wakeup_sender = socket.socketpair()
        self._wakeup_receiver.setblocking(False)
        self._wakeup_sender.setblocking(False)
        self._poll.register(self._wakeup_receiver, READ)
        self._signals: dict[int, Callable[[], object]] = {}
        self._thread_calls: list[tuple[Task, list[Any]]] = []

    def now(self) -> int:
        return time.monotonic_ns() // 1000

    @staticmethod
    def wall() -> int:
        """Return the wall time, in microseconds since the epoch."""
        return time.time_ns() // 1000

    @property
    def lag_us(self) -> int:
        """How late timers have recently run, in microseconds, because of long steps or a lack of processor time."""
        return max(0, self._measured_lag_us - (self.now() - self._lag_measured_at_us) // LAG_DECAY_DIVISOR)

    def spawn(self, function: Callable[..., object], *args: Any) -> Task:
        task = Task(self._run_task, self._loop)
        self._ready.append((task, (function, args)))
        return task

    def _run_task(self, start: tuple[Callable[..., object], tuple[Any, ...]]) -> None:
        """Run a task's function; an exception ends this task alone, as no input may end the program."""
        function, args = start
        try:
            function(*args)
        except Exception:
            self.log_failure("task", function)

    def log_failure(self, kind: str, function: Callable[..., object]) -> None:
        """Log an unhandled exception of a task, attempt, timer or signal handler; call it in the `except` block."""
        log.exception("unhandled exception in %s %s", kind, getattr(function, "__qualname__", function))

    def call_at(self, at_us: int, function: Callable[..., object], *args: Any) -> Timer:
        timer = Timer(at_us, function, args)
        timer.on_cancel = self._count_cancelled_timer
        heapq.heappush(self._timers, (at_us, next(self._timer_numbers), timer))
        return timer

    def _count_cancelled_timer(self) -> None:
        """Count a cancelled timer, and remove all of them once they are many.

        Most timers are cancelled long before their time, and would stay in the heap until then.
        """
        self._cancelled_timers += 1
        if self._cancelled_timers > MAX_CANCELLED_TIMERS and 2 * self._cancelled_timers > len(self._timers):
            self._timers = [entry for entry in self._timers if entry[2].function is not None]
            heapq.heapify(self._timers)
            self._cancelled_timers = 0

    def pause(self, deadline_us: int | None = None, sock: socket.socket | None = None, mask: int = 0) -> Any:
        """Pause the running task until the socket is ready, the deadline passes or wake() is called.

        Returns:
            READY, TIMED_OUT, or the value given to wake().
        """
        task = getcurrent()
        assert_invariant(isinstance(task, Task) and not task.paused, "only a running task pauses")
        task.paused = True
        if sock is not None:
            task.fd = sock.fileno()
            assert_invariant(task.fd not in self._tasks_by_fd, "only one task waits for a socket")
            self._tasks_by_fd[task.fd] = task
            self._poll.register(task.fd, mask)
        if deadline_us is not None:
            task.timer = self.call_at(deadline_us, self.wake, task, TIMED_OUT)
        return self._loop.switch()

    def wake(self, task: Task, value: Any = None) -> bool:
        """Resume a paused task with a value, and return whether it was paused."""
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
        self._background.pop(task, None)
        self._ready.append((task, value))
        return True

    def sleep(self, duration_us: int) -> Any:
        return self.pause(self.now() + duration_us)

    def yield_in_background(self) -> Any:
        """Pause the running task until all tasks that are ready have run, and its turn among such pauses has come.

        One of them is resumed per poll, so that long work of many tasks delays the others by one part of it at a time.

        Returns:
            READY, or the value given to wake().
        """
        task = getcurrent()
        task.paused = True
        self._background[task] = None
        return self._loop.switch()

    def on_signal(self, number: int, function: Callable[[], object]) -> None:
        """Have the loop call a function for each signal with this number, between two tasks."""
        self._signals[number] = function
        signal.set_wakeup_fd(self._wakeup_sender.fileno(), warn_on_full_buffer=False)
        signal.signal(number, lambda *_: None)

    def in_thread(self, function: Callable[..., Any], *args: Any) -> Any:
        """Run a blocking function in a thread while the calling task pauses; return its result or raise its exception.

        The function must not use anything that the loop's tasks use.
        """
        task, done = getcurrent(), []

        def work() -> None:
            try:
                done.append((function(*args), None))
            except BaseException as error:
                done.append((None, error))
            self._wakeup_sender.send(bytes([THREAD_DONE]))

        self._thread_calls.append((task, done))
        threading.Thread(target=work, daemon=True).start()
        while not done:
            self.pause()
        self._thread_calls.remove((task, done))
        result, error = done.pop()
        try:
            if error is not None:
                raise error
            return result
        finally:
            del error  # its traceback refers to this frame

    def _wake_finished_thread_calls(self) -> None:
        for task, done in self._thread_calls:
            if done:
                self.wake(task, None)

    def run(self) -> None:
        """Run tasks and timers until stop() is called; may be called again after that."""
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
            self._cancelled_timers -= 1
        poll_began_us, self.poll_count = self.now(), self.poll_count + 1
        ready = self._poll_sockets(self._next_poll_end_us(poll_began_us))
        previous_poll_us, self._polled_at_us = self._polled_at_us, self.now()
        self.earliest_arrival_us = (
            previous_poll_us if self._polled_at_us - poll_began_us < IMMEDIATE_POLL_US else self._polled_at_us
        )
        signalled = False
        for fd, _ in ready:
            if fd == self._wakeup_receiver.fileno():
                signalled = True
            elif assert_invariant(fd in self._tasks_by_fd, "a polled socket has its task"):
                self.wake(self._tasks_by_fd[fd], READY)
        if signalled:  # after the sockets: a handler may resume a task whose socket is ready too
            self._handle_wakeups()
        self._run_ready()
        now_us = self.now()
        if self._timers and now_us - self._timers[0][0] > MIN_LAG_US and self._timers[0][2].function is not None:
            late_us = now_us - self._timers[0][0]
            if late_us > self.lag_us:
                self._measured_lag_us, self._lag_measured_at_us = late_us, now_us
        while self._timers and self._timers[0][0] <= now_us and self._running:
            timer = heapq.heappop(self._timers)[2]
            function, timer.function = timer.function, None
            if function is None:
                self._cancelled_timers -= 1
            else:
                try:
                    function(*timer.args)
                except Exception:
                    self.log_failure("timer", function)

        if self._background and self._running:
            self.wake(next(iter(self._background)), READY)

    def _next_poll_end_us(self, now_us: int) -> int | None:
        """Return when the poll has to end though no socket is ready; None if it may wait."""
        if self._background:
            return now_us
        return self._timers[0][0] if self._timers else None

    def _poll_sockets(self, deadline_us: int | None) -> list[tuple[int, int]]:
        return self._poll.poll(None if deadline_us is None else max(0, -(-(deadline_us - self.now()) // 1000)))

    def _handle_wakeups(self) -> None:
        try:
            numbers = self._wakeup_receiver.recv(64)
        except BlockingIOError:
            return
        self._wake_finished_thread_calls()
        for number in numbers:
            if number in self._signals:
                try:
                    self._signals[number]()
                except Exception:
                    self.log_failure("signal", self._signals[number])

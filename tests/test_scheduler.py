"""The scheduler: what ends a pause, timers, signals, and exceptions that end only their own task."""

import os
import signal
import socket

import pytest
from nethelp import MS, S, VirtualTimeScheduler

from scalefall.net import invariants
from scalefall.net.scheduler import READ, READY, TIMED_OUT, Scheduler


def test_a_pause_ends_once_by_its_socket_its_deadline_or_a_wake():
    world = VirtualTimeScheduler()

    def play():
        near, far = socket.socketpair()
        assert world.pause(world.now() + 5 * MS, near, READ) is TIMED_OUT
        far.send(b"x")
        assert world.pause(world.now() + 5 * MS, near, READ) is READY
        resumed = []
        task = world.spawn(lambda: resumed.append(world.pause(world.now() + 50 * MS, near, 0)))
        world.sleep(MS)
        assert world.wake(task, "value")
        assert not world.wake(task, "again")
        world.sleep(100 * MS)
        assert resumed == ["value"]
        assert not world.wake(task)
        assert world._tasks_by_fd == {}

    world.play(play)


def test_timers_run_in_order_of_time_then_of_creation_and_can_be_cancelled():
    world, ran = VirtualTimeScheduler(), []

    def play():
        began = world.now()
        for name, delay_us in (("c", 3), ("a", 1), ("b", 2), ("b2", 2)):
            world.call_at(began + delay_us, ran.append, name)
        world.call_at(began + 1, ran.append, "never").cancel()
        world.sleep(5)
        assert ran == ["a", "b", "b2", "c"]

    world.play(play)


def test_an_exception_ends_only_its_own_task_or_timer(caplog):
    scheduler = Scheduler()

    def fails():
        raise RuntimeError("seen in a test")

    scheduler.spawn(fails)
    scheduler.call_at(scheduler.now(), fails)
    scheduler.call_at(scheduler.now() + MS, scheduler.stop)
    scheduler.run()
    assert caplog.text.count("RuntimeError: seen in a test") == 2


def test_a_signal_handler_runs_in_the_loop():
    scheduler = Scheduler()
    before = signal.getsignal(signal.SIGUSR1)
    scheduler.on_signal(signal.SIGUSR1, scheduler.stop)
    scheduler.call_at(scheduler.now() + MS, os.kill, os.getpid(), signal.SIGUSR1)
    scheduler.run()
    signal.set_wakeup_fd(-1)
    signal.signal(signal.SIGUSR1, before)


def test_a_signal_in_the_poll_in_which_a_socket_is_ready_wakes_its_task_once():
    """The signal was handled first, and the task that it woke was looked up again by its socket, which broke an
    invariant. This happens if SIGTERM and a request on an idle connection come in one poll."""
    world, resumed = VirtualTimeScheduler(), []

    def play():
        near, far = socket.socketpair()
        task = world.spawn(lambda: resumed.append(world.pause(None, near, READ)))
        world.on_signal(signal.SIGUSR1, lambda: resumed.append(world.wake(task, "signal")))
        world.sleep(MS)
        far.send(b"x")
        os.kill(os.getpid(), signal.SIGUSR1)
        world.sleep(MS)
        assert resumed == [False, READY]
        assert not world._tasks_by_fd

    before = signal.getsignal(signal.SIGUSR1)
    try:
        world.play(play)
    finally:
        signal.set_wakeup_fd(-1)
        signal.signal(signal.SIGUSR1, before)


def test_an_invariant_is_asserted_in_debug_builds_and_its_violations_are_logged(caplog, monkeypatch):
    assert invariants.assert_invariant(True, "fine")
    with pytest.raises(AssertionError, match="this breaks"):
        invariants.assert_invariant(False, "this breaks")
    monkeypatch.setitem(invariants.violations, "this breaks", 2)
    invariants.log_violations()
    assert "invariant broken: this breaks, 2 times" in caplog.text


def test_cancelled_timers_do_not_accumulate_and_release_their_arguments():
    """Each pause with a deadline left its timer, and with it its task, in memory until that time."""
    world = VirtualTimeScheduler()

    def play():
        calls = []
        for _ in range(5000):
            timer = world.call_at(world.now() + 60 * S, calls.append, object())
            timer.cancel()
            assert timer.args == ()
        fired = world.call_at(world.now() + S, calls.append, "fired")
        assert len(world._timers) < 1000
        world.sleep(2 * S)
        fired.cancel()
        assert calls == ["fired"]

    world.play(play)


def test_one_task_in_the_background_runs_per_poll_after_all_that_is_ready():
    """Otherwise long work of hundreds of connections delays every other one by a part of each."""
    world, ran = VirtualTimeScheduler(), []

    def work(name):
        for _ in range(3):
            assert world.yield_in_background() is READY
            ran.append((name, world.poll_count))

    def play():
        for name in "abc":
            world.spawn(work, name)
        while len(ran) < 9:
            world.sleep(0)
        assert [name for name, _ in ran] == list("abcabcabc")
        assert len({poll_count for _, poll_count in ran}) == 9

    world.play(play)


def test_a_task_in_the_background_can_be_woken_and_then_has_no_turn_left():
    world, resumed = VirtualTimeScheduler(), []

    def play():
        task = world.spawn(lambda: resumed.append(world.yield_in_background()))
        world.spawn(lambda: world.wake(task, "value"))
        world.sleep(MS)
        assert resumed == ["value"]
        assert not world._background
        assert not world.wake(task)

    world.play(play)

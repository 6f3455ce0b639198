"""The scheduler: what ends a pause, timers, signals, and failures that end one task alone."""

import os
import signal
import socket

import pytest
from nethelp import MS, S, VirtualTimeScheduler

from scalefall.net import invariants
from scalefall.net.scheduler import READ, READY, TIMED_OUT, Scheduler


def test_a_pause_ends_by_the_socket_the_time_or_a_word_and_by_one_alone():
    world = VirtualTimeScheduler()

    def play():
        near, far = socket.socketpair()
        assert world.pause(world.now() + 5 * MS, near, READ) is TIMED_OUT
        far.send(b"x")
        assert world.pause(world.now() + 5 * MS, near, READ) is READY
        woken = []
        task = world.spawn(lambda: woken.append(world.pause(world.now() + 50 * MS, near, 0)))
        world.sleep(MS)
        assert world.wake(task, "word")
        assert not world.wake(task, "again")
        world.sleep(100 * MS)
        assert woken == ["word"]
        assert not world.wake(task)
        assert world._tasks_by_fd == {}

    world.play(play)


def test_timers_run_in_order_of_time_and_then_of_their_making_and_can_be_called_off():
    world, ran = VirtualTimeScheduler(), []

    def play():
        at = world.now()
        for name, span in (("c", 3), ("a", 1), ("b", 2), ("b2", 2)):
            world.call_at(at + span, ran.append, name)
        world.call_at(at + 1, ran.append, "never").cancel()
        world.sleep(5)
        assert ran == ["a", "b", "b2", "c"]

    world.play(play)


def test_what_fails_ends_its_task_or_timer_alone(caplog):
    scheduler = Scheduler()

    def fails():
        raise RuntimeError("seen in a test")

    scheduler.spawn(fails)
    scheduler.call_at(scheduler.now(), fails)
    scheduler.call_at(scheduler.now() + MS, scheduler.stop)
    scheduler.run()
    assert caplog.text.count("RuntimeError: seen in a test") == 2


def test_a_signal_is_heeded_in_the_loop():
    scheduler = Scheduler()
    before = signal.getsignal(signal.SIGUSR1)
    scheduler.on_signal(signal.SIGUSR1, scheduler.stop)
    scheduler.call_at(scheduler.now() + MS, os.kill, os.getpid(), signal.SIGUSR1)
    scheduler.run()
    signal.set_wakeup_fd(-1)
    signal.signal(signal.SIGUSR1, before)


def test_a_signal_in_the_very_look_in_which_a_socket_is_ready_wakes_its_task_once():
    """It broke an invariant: the signal was heeded first, and the task that it woke was found once more by its socket.
    As SIGTERM in the moment in which a request comes to a resting connection."""
    world, woken = VirtualTimeScheduler(), []

    def play():
        near, far = socket.socketpair()
        task = world.spawn(lambda: woken.append(world.pause(None, near, READ)))
        world.on_signal(signal.SIGUSR1, lambda: woken.append(world.wake(task, "signal")))
        world.sleep(MS)
        far.send(b"x")
        os.kill(os.getpid(), signal.SIGUSR1)
        world.sleep(MS)
        assert woken == [False, READY]
        assert not world._tasks_by_fd

    before = signal.getsignal(signal.SIGUSR1)
    try:
        world.play(play)
    finally:
        signal.set_wakeup_fd(-1)
        signal.signal(signal.SIGUSR1, before)


def test_an_invariant_is_asserted_in_debug_and_logged_once_counted(caplog, monkeypatch):
    assert invariants.assert_invariant(True, "fine")
    with pytest.raises(AssertionError, match="this breaks"):
        invariants.assert_invariant(False, "this breaks")
    monkeypatch.setitem(invariants.violations, "this breaks", 2)
    invariants.log_violations()
    assert "invariant broken: this breaks, 2 times" in caplog.text


def test_timers_that_are_called_off_do_not_pile_up_and_hold_on_to_nothing():
    """Each pause with a time left its timer, and with it its task, until that time had come."""
    world = VirtualTimeScheduler()

    def play():
        kept = []
        for _ in range(5000):
            timer = world.call_at(world.now() + 60 * S, kept.append, object())
            timer.cancel()
            assert timer.args == ()
        fired = world.call_at(world.now() + S, kept.append, "fired")
        assert len(world._timers) < 1000
        world.sleep(2 * S)
        fired.cancel()
        assert kept == ["fired"]

    world.play(play)

"""The timetable of a shutdown: what it waits for, and until when at most."""

import pytest
from helpers import settings
from nethelp import MS, S, VirtualTimeScheduler

from scalefall.net.event_queue import EventQueue
from scalefall.net.shutdown import END_US, IDLE_END_US, LAST_ANSWERS_US, LINGER_US, NO_ATTEMPTS_US, Shutdown
from scalefall.policy.events import ShuttingDown

SLACK_US = 60 * MS  # pauses between looks, and the last bytes


class Parts:
    """Stands for all parts that are shut down; `done` is what was asked of them, with the time."""

    def __init__(self, world):
        self.world, self.done = world, []
        self.in_flight, self.idle, self.answering = 0, True, False

    def __getattr__(self, name):
        return lambda *arguments: self.done.append((name, self.world.now(), *arguments))


class Play:
    def __init__(self, **busy):
        self.world = VirtualTimeScheduler()
        self.parts = Parts(self.world)
        vars(self.parts).update(busy)
        self.open, self.heard = {}, []
        events = EventQueue(self.world, settings().tick_us)
        events.connect(lambda: self.heard.extend(events.take_all()))
        self.shutdown = Shutdown(
            self.world,
            open_requests=self.open,
            events=events,
            admission=self.parts,
            ingress=self.parts,
            attempts=self.parts,
            delivery_reports=self.parts,
            rate_keeper=self.parts,
            admin_server=self.parts,
        )

    def run(self, *later):
        """Start it, call each function at its time, and return how long it took."""
        began = self.world.now()
        for at_us, function in later:
            self.world.call_at(began + at_us, function)
        self.shutdown.start()
        self.world.run()
        assert self.world.failure is None
        return self.world.now() - began


@pytest.mark.parametrize(
    ("busy", "open_requests", "ends_at_us"),
    [
        ({}, 0, LINGER_US),
        ({}, 3, IDLE_END_US),
        ({"idle": False}, 0, IDLE_END_US),
        ({"in_flight": 1}, 1, END_US),
    ],
)
def test_it_ends_once_there_is_nothing_left_that_is_worth_waiting_for(busy, open_requests, ends_at_us):
    play = Play(**busy)
    play.open.update((f"m{number}", None) for number in range(open_requests))
    assert ends_at_us <= play.run() < ends_at_us + SLACK_US


def test_clients_that_are_served_to_the_last_have_until_their_fixed_time():
    assert LAST_ANSWERS_US <= Play(answering=True).run() < LAST_ANSWERS_US + SLACK_US


def test_what_finishes_meanwhile_is_not_waited_for_any_longer():
    play = Play(in_flight=1)
    assert 2 * S <= play.run((2 * S, lambda: setattr(play.parts, "in_flight", 0))) < 2 * S + SLACK_US


def test_its_steps_come_in_an_order_in_which_nobody_loses_an_answer():
    play = Play()
    began = play.world.now()
    play.run()
    assert [name for name, *_ in play.parts.done] == [
        "close_at",
        "stop",
        "close_idle",
        "stop_listening",
        "close",
        "shut_down_connections",
        "save_last",
    ]
    assert play.parts.done[0] == ("close_at", began, began + NO_ATTEMPTS_US)
    assert play.heard == [ShuttingDown(began + NO_ATTEMPTS_US)]


def test_a_second_start_does_not_move_the_end():
    play = Play(in_flight=1)
    assert play.run((S, play.shutdown.start)) < END_US + SLACK_US
    assert [name for name, *_ in play.parts.done].count("close_idle") == 1

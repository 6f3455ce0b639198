"""The schedule of a shutdown: what it waits for, and its time limits."""

import pytest
from helpers import settings
from nethelp import MS, S, VirtualTimeScheduler

from scalefall.net.event_queue import EventQueue
from scalefall.net.shutdown import (
    FORCED_END_US,
    PENDING_WAIT_US,
    LAST_ANSWERS_US,
    MIN_LISTEN_US,
    ATTEMPTS_END_US,
    Shutdown,
)
from scalefall.policy.events import ShuttingDown

SLACK_US = 60 * MS  # the polling interval, and sending the last bytes


class FakeComponents:
    """Stands in for all components that are shut down, and records the calls on them with their time in `calls`."""

    def __init__(self, world):
        self.world, self.calls = world, []
        self.in_flight, self.idle, self.answering = 0, True, False

    def __getattr__(self, name):
        return lambda *arguments: self.calls.append((name, self.world.now(), *arguments))


class ShutdownHarness:
    def __init__(self, **busy):
        self.world = VirtualTimeScheduler()
        self.components = FakeComponents(self.world)
        vars(self.components).update(busy)
        self.open, self.engine_events = {}, []
        events = EventQueue(self.world, settings().tick_us)
        events.connect(lambda: self.engine_events.extend(events.take_all()))
        self.shutdown = Shutdown(
            self.world,
            open_requests=self.open,
            events=events,
            admission=self.components,
            ingress=self.components,
            attempts=self.components,
            delivery_reports=self.components,
            rate_saver=self.components,
            admin_server=self.components,
        )

    def run(self, *later):
        """Start the shutdown, call each function at its time, and return the duration of the shutdown."""
        started_us = self.world.now()
        for at_us, function in later:
            self.world.call_at(started_us + at_us, function)
        self.shutdown.start()
        self.world.run()
        assert self.world.failure is None
        return self.world.now() - started_us


@pytest.mark.parametrize(
    ("busy", "open_requests", "ends_at_us"),
    [
        ({}, 0, MIN_LISTEN_US),
        ({}, 3, PENDING_WAIT_US),
        ({"idle": False}, 0, PENDING_WAIT_US),
        ({"in_flight": 1}, 1, FORCED_END_US),
    ],
)
def test_it_ends_once_nothing_remains_to_wait_for(busy, open_requests, ends_at_us):
    harness = ShutdownHarness(**busy)
    harness.open.update((f"m{number}", None) for number in range(open_requests))
    assert ends_at_us <= harness.run() < ends_at_us + SLACK_US


def test_clients_that_are_still_served_delay_the_end_up_to_a_fixed_time():
    assert LAST_ANSWERS_US <= ShutdownHarness(answering=True).run() < LAST_ANSWERS_US + SLACK_US


def test_it_ends_as_soon_as_the_last_attempt_finishes():
    harness = ShutdownHarness(in_flight=1)
    assert 2 * S <= harness.run((2 * S, lambda: setattr(harness.components, "in_flight", 0))) < 2 * S + SLACK_US


def test_components_are_shut_down_in_an_order_in_which_no_client_loses_an_answer():
    harness = ShutdownHarness()
    started_us = harness.world.now()
    harness.run()
    assert [name for name, *_ in harness.components.calls] == [
        "close_at",
        "stop",
        "close_idle",
        "stop_listening",
        "close",
        "close_at",  # at once: a message that is accepted after the connections' end has no client to answer
        "shut_down_connections",
        "save_final",
    ]
    _, closed_at_us, rejects_from_us = harness.components.calls[5]
    assert closed_at_us == rejects_from_us
    assert harness.components.calls[0] == ("close_at", started_us, started_us + ATTEMPTS_END_US)
    assert harness.engine_events == [ShuttingDown(started_us + ATTEMPTS_END_US)]


def test_a_second_start_does_not_delay_the_end():
    harness = ShutdownHarness(in_flight=1)
    assert harness.run((S, harness.shutdown.start)) < FORCED_END_US + SLACK_US
    assert [name for name, *_ in harness.components.calls].count("close_idle") == 1

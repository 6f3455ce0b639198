"""The sender loop: the order in which a step's actions are performed, and the effect of an engine that fails."""

import pytest
from helpers import settings
from nethelp import MS, S, VirtualTimeScheduler

from scalefall.net import sender_loop
from scalefall.net.delivery_request import Accepted, DeliveryRequest, Rejected
from scalefall.net.delivery_tracker import DeliveryTracker
from scalefall.net.event_queue import EventQueue
from scalefall.net.sender_loop import SenderLoop
from scalefall.policy.actions import (
    CancelAttempt,
    CloseIdleConnections,
    Fail,
    LogLine,
    PollEndpointList,
    Probe,
    Send,
    SetTimer,
    Shed,
)
from scalefall.policy.events import Message, TimerFired


class Engine:
    """Returns the actions that the test has set; raises if they are None."""

    def __init__(self):
        self.events, self.actions = [], []

    def handle(self, now_us, events):
        self.events.extend(events)
        actions, self.actions = self.actions, []
        if actions is None:
            raise RuntimeError("seen in a test")
        return actions


class FakeComponents:
    """Stands in for all components that a loop passes actions to, and records the calls on them."""

    def __init__(self, tracker):
        self.tracker, self.calls, self.attempts, self.entries = tracker, [], self, {"e": "entry of e"}

    def accept(self, request):
        self.calls.append(("accept", request.id))

    def discard(self, request):
        self.calls.append(("discard", request.id))
        self.tracker.discard(request.id)

    def shed(self, message_id, retry_after_us):
        self.calls.append(("shed", message_id, retry_after_us))
        self.tracker.finish(message_id).decide(Rejected(retry_after_us))

    def fail(self, message_id):
        self.calls.append(("fail", message_id))

    def dispatch(self, calls):
        self.calls.append(("dispatch", list(calls)))

    def cancel(self, message_id, attempt):
        self.calls.append(("cancel", message_id, attempt))

    def close_idle(self, entry):
        self.calls.append(("close_idle", entry))

    def subscribe(self):
        self.calls.append(("subscribe",))


class LoopHarness:
    def __init__(self):
        self.world, self.engine = VirtualTimeScheduler(), Engine()
        self.events = EventQueue(self.world, settings().tick_us)
        self.tracker = DeliveryTracker(self.world, 1 << 20)
        self.components = FakeComponents(self.tracker)
        self.loop = SenderLoop(
            self.world,
            self.engine,
            self.events,
            self.tracker,
            self.components,
            self.components,
            self.components,
            self.components,
        )
        self.events.connect(self.loop.step)

    def submit(self, *message_ids):
        requests = [DeliveryRequest(name, "safe", 7, self.world.now() + S, None, b"body") for name in message_ids]
        for request in requests:
            self.tracker.add(request)
            self.events.gather(Message(request.id, 7, "safe", request.due_us))
        return requests


def test_final_answers_come_first_then_accepted_messages_and_sends_last():
    harness = LoopHarness()
    accepted, shed = harness.submit("accepted", "shed")
    harness.engine.actions = [Send("accepted", "e", S, 0), Shed("shed", 100 * MS)]
    harness.loop.step()
    assert harness.components.calls == [
        ("shed", "shed", 100 * MS),
        ("accept", "accepted"),
        ("dispatch", [[Send("accepted", "e", S, 0)]]),
    ]
    assert (accepted.admission, shed.admission) == (Accepted(), Rejected(100 * MS))


def test_sends_are_grouped_by_call_in_the_engines_order():
    harness = LoopHarness()
    harness.submit("a", "b", "c", "d")
    harness.engine.actions = [Send("a", "f", S, 3), Send("b", "e", S, 4), Send("c", "f", S, 3), Send("d", "f", S, 5)]
    harness.loop.step()
    (_, calls), *_ = [call for call in harness.components.calls if call[0] == "dispatch"]
    assert [(sends[0].endpoint, [send.id for send in sends]) for sends in calls] == [
        ("f", ["a", "c"]),
        ("e", ["b"]),
        ("f", ["d"]),
    ]


def test_each_action_goes_to_its_component_and_unknown_endpoints_are_ignored():
    harness = LoopHarness()
    harness.submit("m")
    harness.engine.actions = [
        Fail("x"),
        CancelAttempt("y", 2),
        CloseIdleConnections("e"),
        CloseIdleConnections("gone"),
        PollEndpointList(),
        LogLine("line"),
    ]
    harness.loop.step()
    assert harness.components.calls[:4] == [
        ("fail", "x"),
        ("cancel", "y", 2),
        ("close_idle", "entry of e"),
        ("subscribe",),
    ]


def test_a_timer_of_the_engine_fires_as_an_event_after_its_delay():
    harness = LoopHarness()
    harness.submit("m")
    harness.engine.actions = [SetTimer(7, 300 * MS)]

    def steps():
        harness.loop.step()
        harness.world.sleep(299 * MS)
        assert TimerFired(7) not in harness.engine.events
        harness.world.sleep(100 * MS)
        assert TimerFired(7) in harness.engine.events

    harness.world.play(steps)


def test_an_action_that_a_sender_does_not_perform_violates_an_invariant(monkeypatch):
    violated = []
    monkeypatch.setattr(sender_loop, "assert_invariant", lambda condition, name: violated.append(name))
    harness = LoopHarness()
    harness.submit("m")
    harness.engine.actions = [Probe("e")]
    harness.loop.step()
    assert violated == ["the engine returns only actions that a sender performs, not Probe"]


@pytest.mark.parametrize("answered", [False, True])
def test_a_failed_step_rejects_new_requests_and_does_not_change_answered_ones(monkeypatch, answered):
    monkeypatch.setattr(sender_loop, "assert_invariant", lambda condition, name: None)
    harness = LoopHarness()
    (request,) = harness.submit("m")
    if answered:
        request.decide(Accepted())
    harness.engine.actions = None
    harness.loop.step()
    assert harness.components.calls == ([] if answered else [("discard", "m")])
    assert request.admission == (Accepted() if answered else Rejected(S, True))


def test_a_step_without_events_does_not_call_the_engine():
    harness = LoopHarness()
    harness.engine.actions = None
    harness.loop.step()
    assert harness.components.calls == []

"""One step: the order in which a decision's actions are performed, and what a failing engine costs."""

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
    """Answers each step with the actions that the test has laid ready."""

    def __init__(self):
        self.heard, self.actions = [], []

    def handle(self, now_us, events):
        self.heard.extend(events)
        actions, self.actions = self.actions, []
        if actions is None:
            raise RuntimeError("seen in a test")
        return actions


class Parts:
    """Stands for all parts that a loop hands actions to, and writes down what they were asked for."""

    def __init__(self, tracker):
        self.tracker, self.asked, self.attempts, self.entries = tracker, [], self, {"e": "entry of e"}

    def accept(self, request):
        self.asked.append(("accept", request.id))

    def withdraw(self, request):
        self.asked.append(("withdraw", request.id))
        self.tracker.discard(request.id)

    def shed(self, message_id, retry_after_us):
        self.asked.append(("shed", message_id, retry_after_us))
        self.tracker.finish(message_id).decide(Rejected(retry_after_us))

    def fail(self, message_id):
        self.asked.append(("fail", message_id))

    def dispatch(self, sends):
        self.asked.append(("dispatch", sends))

    def cancel(self, message_id, attempt):
        self.asked.append(("cancel", message_id, attempt))

    def close_idle(self, entry):
        self.asked.append(("close_idle", entry))

    def subscribe(self):
        self.asked.append(("subscribe",))


class Loop:
    def __init__(self):
        self.world, self.engine = VirtualTimeScheduler(), Engine()
        self.events = EventQueue(self.world, settings().tick_us)
        self.tracker = DeliveryTracker(self.world, 1 << 20)
        self.parts = Parts(self.tracker)
        self.loop = SenderLoop(
            self.world, self.engine, self.events, self.tracker, self.parts, self.parts, self.parts, self.parts
        )
        self.events.connect(self.loop.step)

    def submit(self, *message_ids):
        requests = [DeliveryRequest(name, "safe", 7, self.world.now() + S, None, b"body") for name in message_ids]
        for request in requests:
            self.tracker.add(request)
            self.events.gather(Message(request.id, 7, "safe", request.due_us))
        return requests


def test_final_answers_come_first_then_what_is_accepted_and_its_sends_last():
    loop = Loop()
    kept, shed = loop.submit("kept", "shed")
    loop.engine.actions = [Send("kept", "e", S), Shed("shed", 100 * MS)]
    loop.loop.step()
    assert loop.parts.asked == [
        ("shed", "shed", 100 * MS),
        ("accept", "kept"),
        ("dispatch", {"e": [Send("kept", "e", S)]}),
    ]
    assert (kept.admission, shed.admission) == (Accepted(), Rejected(100 * MS))


def test_sends_are_grouped_by_endpoint_in_the_engines_order():
    loop = Loop()
    loop.submit("a", "b", "c")
    loop.engine.actions = [Send("a", "f", S), Send("b", "e", S), Send("c", "f", S)]
    loop.loop.step()
    (_, sends), *_ = [asked for asked in loop.parts.asked if asked[0] == "dispatch"]
    assert [(endpoint, [send.id for send in sends[endpoint]]) for endpoint in sends] == [
        ("f", ["a", "c"]),
        ("e", ["b"]),
    ]


def test_actions_that_belong_to_no_message_go_to_their_parts_and_unknown_endpoints_are_passed_over():
    loop = Loop()
    loop.submit("m")
    loop.engine.actions = [
        Fail("x"),
        CancelAttempt("y", 2),
        CloseIdleConnections("e"),
        CloseIdleConnections("gone"),
        PollEndpointList(),
        LogLine("line"),
    ]
    loop.loop.step()
    assert loop.parts.asked[:4] == [("fail", "x"), ("cancel", "y", 2), ("close_idle", "entry of e"), ("subscribe",)]


def test_a_timer_of_the_engine_comes_back_as_an_event_after_its_delay():
    loop = Loop()
    loop.submit("m")
    loop.engine.actions = [SetTimer(7, 300 * MS)]

    def steps():
        loop.loop.step()
        loop.world.sleep(299 * MS)
        assert TimerFired(7) not in loop.engine.heard
        loop.world.sleep(100 * MS)
        assert TimerFired(7) in loop.engine.heard

    loop.world.play(steps)


def test_an_action_that_a_sender_does_not_perform_breaks_an_invariant(monkeypatch):
    broken = []
    monkeypatch.setattr(sender_loop, "assert_invariant", lambda condition, name: broken.append(name))
    loop = Loop()
    loop.submit("m")
    loop.engine.actions = [Probe("e")]
    loop.loop.step()
    assert broken == ["the module asks only for what is allowed here, not Probe"]


@pytest.mark.parametrize("answered", [False, True])
def test_a_step_that_fails_rejects_what_was_submitted_and_leaves_what_had_its_answer(monkeypatch, answered):
    monkeypatch.setattr(sender_loop, "assert_invariant", lambda condition, name: None)
    loop = Loop()
    (request,) = loop.submit("m")
    if answered:
        request.decide(Accepted())
    loop.engine.actions = None
    loop.loop.step()
    assert loop.parts.asked == ([] if answered else [("withdraw", "m")])
    assert request.admission == (Accepted() if answered else Rejected(S, True))


def test_without_events_the_engine_is_not_asked():
    loop = Loop()
    loop.engine.actions = None
    loop.loop.step()
    assert loop.parts.asked == []

"""The event queue: the order of events, and the time of the step that takes them."""

import pytest
from nethelp import MS, VirtualTimeScheduler

from scalefall.net.event_queue import EventQueue
from scalefall.policy.events import MessageWithdrawn


def test_one_step_at_the_end_of_the_tick_takes_all_events_in_order():
    world = VirtualTimeScheduler()
    queue = EventQueue(world, 5 * MS)
    events_by_step = []
    queue.connect(lambda: events_by_step.append((world.now(), queue.take_all())))

    def steps():
        world.sleep(MS)
        began = world.now()
        first, second = MessageWithdrawn("first"), MessageWithdrawn("second")
        queue.gather(first)
        world.sleep(MS)
        queue.gather(second)
        world.sleep(20 * MS)
        assert events_by_step == [(began + 4 * MS, [first, second])]

    world.play(steps)


def test_an_event_gathered_during_a_step_is_handled_by_the_next_one():
    world = VirtualTimeScheduler()
    queue = EventQueue(world, MS)
    events_by_step = []

    def step():
        events = queue.take_all()
        events_by_step.append(events)
        if len(events_by_step) == 1:
            queue.gather(MessageWithdrawn("later"))

    queue.connect(step)

    def steps():
        queue.gather(MessageWithdrawn("now"))
        world.sleep(10 * MS)
        assert events_by_step == [[MessageWithdrawn("now")], [MessageWithdrawn("later")]]

    world.play(steps)


def test_running_a_step_before_one_is_connected_is_an_error():
    queue = EventQueue(VirtualTimeScheduler(), MS)
    with pytest.raises(RuntimeError):
        queue.step_now()

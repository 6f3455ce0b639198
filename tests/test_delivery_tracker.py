"""The delivery tracker: open requests, and how long the ids of finished ones are retained."""

from nethelp import S, VirtualTimeScheduler

from scalefall.net.delivery_request import Accepted, DeliveryRequest
from scalefall.net.delivery_tracker import FINISHED_ID_RETENTION_US, MEMORY_BYTES_PER_FINISHED_ID, DeliveryTracker
from scalefall.net.memory_budget import FINISHED_ID_BYTES, MemoryBudget


def request(message_id, accepted=True):
    return DeliveryRequest(message_id, "safe", 7, 0, None, b"body", admission=Accepted() if accepted else None)


def tracker(world, max_finished=100):
    return DeliveryTracker(world, max_finished * MEMORY_BYTES_PER_FINISHED_ID)


def finish(deliveries, message_id, accepted=True):
    deliveries.add(request(message_id, accepted))
    return deliveries.finish(message_id)


def test_a_request_is_open_until_it_is_finished_and_finished_once():
    deliveries = tracker(VirtualTimeScheduler())
    deliveries.add(first := request("m"))
    assert deliveries.open == {"m": first}
    assert deliveries.finish("m") is first
    assert deliveries.open == {}
    assert deliveries.finish("m") is None


def test_only_the_ids_of_accepted_messages_are_retained():
    deliveries = tracker(VirtualTimeScheduler())
    finish(deliveries, "accepted")
    finish(deliveries, "not yet", accepted=False)
    deliveries.add(request("withdrawn"))
    deliveries.discard("withdrawn")
    assert list(deliveries.finished) == ["accepted"]
    assert deliveries.finished["accepted"][1] == request("another id").fingerprint()


def test_finished_ids_expire_the_oldest_first():
    world = VirtualTimeScheduler()
    deliveries = tracker(world)
    finish(deliveries, "old")
    world.clock += FINISHED_ID_RETENTION_US
    finish(deliveries, "newer")
    assert list(deliveries.finished) == ["old", "newer"]
    world.clock += S
    finish(deliveries, "newest")
    assert list(deliveries.finished) == ["newer", "newest"]


def test_no_more_ids_are_retained_than_the_memory_limit_allows():
    deliveries = tracker(VirtualTimeScheduler(), max_finished=2)
    for message_id in "abc":
        finish(deliveries, message_id)
    assert list(deliveries.finished) == ["b", "c"]


# Guards against ids that clients invent, which were kept beside all other limits.
def test_retained_ids_are_accounted_for_until_they_are_dropped():
    budget = MemoryBudget(10_000)
    deliveries = DeliveryTracker(VirtualTimeScheduler(), 3 * MEMORY_BYTES_PER_FINISHED_ID, budget)
    for number in range(10):
        finish(deliveries, f"m{number}")
    assert len(deliveries.finished) == 3
    assert budget.used_bytes == 3 * (FINISHED_ID_BYTES + 2)

"""The share of the memory budget that pending deliveries take."""

from __future__ import annotations

from scalefall.net.journal_records import PendingDelivery
from scalefall.net.memory_budget import MESSAGE_BYTES, REPORT_BYTES, MemoryBudget


class PendingMemory:
    """Accounts for each pending delivery until it is finished; what is accepted is kept, whatever else needs memory."""

    def __init__(self, budget: MemoryBudget) -> None:
        """Start with no delivery."""
        self._budget = budget
        self._reservation = budget.open()

    def has_room(self, body_bytes: int) -> bool:
        """Return whether a message with a body of this size would fit."""
        return self._budget.make_room(MESSAGE_BYTES + body_bytes)

    def try_add(self, delivery: PendingDelivery) -> bool:
        """Account for a delivery that is to be accepted, and return whether it fits."""
        return self._reservation.try_resize(self._reservation.bytes + _held_bytes(delivery))

    def add(self, delivery: PendingDelivery) -> None:
        """Account for a delivery that an earlier process accepted."""
        self._reservation.resize(self._reservation.bytes + _held_bytes(delivery))

    def remove(self, delivery: PendingDelivery) -> None:
        """Account for a delivery no longer; call it before the delivery changes, and add() after that."""
        self._reservation.resize(self._reservation.bytes - _held_bytes(delivery))


def _held_bytes(delivery: PendingDelivery) -> int:
    """Return the memory that a delivery takes in the journal and with those who deliver or report it."""
    key_bytes = len(delivery.id) + len(delivery.idempotency_key or "")
    if delivery.final_answer is not None:
        return REPORT_BYTES + key_bytes
    return MESSAGE_BYTES + key_bytes + len(delivery.body)

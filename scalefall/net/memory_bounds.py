"""The bounds on a sender's memory: the sum of all that it may hold, as docs/design/memory-budget.md has it."""

from __future__ import annotations

from dataclasses import dataclass

from scalefall.net import http
from scalefall.net.memory_budget import PROCESS_BYTES, budget_bytes
from scalefall.net.scheduler import MAX_READ_BYTES

ALLOCATOR_DIVISOR = 3  # free memory between allocations, as a part of the budget
MAX_COPIES = 4  # of one body: while it is parsed, journaled and written to a socket, in one step


@dataclass(slots=True, frozen=True)
class MemoryBound:
    """One row of the sum.

    Attributes:
        name: What takes the memory.
        bytes_each: The most bytes that one of them takes.
        count: The most of them at a time.
    """

    name: str
    bytes_each: int
    count: int

    @property
    def total_bytes(self) -> int:
        """The most bytes that all of them take."""
        return self.bytes_each * self.count


def memory_bounds(memory_bytes: int) -> list[MemoryBound]:
    """Return all bounds for a memory limit in bytes."""
    budget = budget_bytes(memory_bytes)
    return [
        MemoryBound("process at rest", PROCESS_BYTES, 1),
        MemoryBound("memory budget", budget, 1),
        MemoryBound("allocator's share", budget // ALLOCATOR_DIVISOR, 1),
        MemoryBound("read buffer of the loop", MAX_READ_BYTES, 1),
        MemoryBound("copies of a body within a step", http.MAX_BODY_BYTES, MAX_COPIES),
    ]

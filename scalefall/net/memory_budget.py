"""The memory budget: accounts for all that input makes the process hold, against one limit from the settings.

Whoever holds bytes on behalf of a client, an endpoint or discovery opens a reservation and resizes it with what it
holds. At the limit, connections of clients give way, the slowest first; what still does not fit is refused.
`docs/design/memory-budget.md` has the sums.
"""

from __future__ import annotations

import sys
from collections.abc import Callable
from types import TracebackType

PROCESS_BYTES = 19_000_000  # the interpreter, the code and what the process holds without any input
MIN_BUDGET_BYTES = 1_500_000  # also where the settings allow hardly more than the process itself
BUDGET_PERCENT = 60  # of what the process leaves of its limit; the rest is for the allocator

CONNECTION_BYTES = 9 * 1024  # a connection's socket, task, stack and reader, without buffers
MESSAGE_BYTES = 3 * 1024  # an accepted message beside its body: its records in the tracker, the journal and the engine
FINISHED_ID_BYTES = 480  # a finished message whose id is retained, beside the id: its fingerprint, time and timers
REPORT_BYTES = 1024  # a message that has ended and whose delivery report is not confirmed
ENDPOINT_BYTES = 1300  # an endpoint of the list, here and in the engine
FIELD_BYTES = 192  # a header field beside its text
JSON_VALUE_BYTES = 128  # a value of parsed JSON


def budget_bytes(memory_bytes: int) -> int:
    """Return how much of the process's memory limit is for what input makes it hold, both in bytes."""
    return max(MIN_BUDGET_BYTES, (memory_bytes - PROCESS_BYTES) * BUDGET_PERCENT // 100)


class MemoryBudget:
    """Accounts for reservations against a limit.

    Attributes:
        limit_bytes: The limit.
        used_bytes: What all reservations hold. Above the limit only for what must be kept, such as restored messages.
        peak_bytes: The most that was ever used.
        reclaim: Frees what one of the slowest clients holds, and returns whether there was any; None: nothing can be.
    """

    def __init__(self, limit_bytes: int = sys.maxsize) -> None:
        """Start with nothing reserved; without an argument there is no limit."""
        self.limit_bytes = limit_bytes
        self.used_bytes = 0
        self.peak_bytes = 0
        self.reclaim: Callable[[], bool] | None = None

    def open(self) -> Reservation:
        """Return a new reservation of no bytes."""
        return Reservation(self)

    def make_room(self, more_bytes: int) -> bool:
        """Have clients give way until so many more bytes fit, and return whether they do."""
        while self.used_bytes + more_bytes > self.limit_bytes:
            if self.reclaim is None or not self.reclaim():
                return False
        return True


class Reservation:
    """The bytes that one holder accounts for; a context manager that releases them.

    Attributes:
        bytes: The bytes that it holds; 0 once it is released.
    """

    __slots__ = ("_budget", "_released", "bytes")

    def __init__(self, budget: MemoryBudget) -> None:
        """Start with no bytes; MemoryBudget.open() calls this."""
        self._budget = budget
        self._released = False
        self.bytes = 0

    def __enter__(self) -> Reservation:
        """Return the reservation, to be released at the end of the block."""
        return self

    def __exit__(
        self, kind: type[BaseException] | None, error: BaseException | None, traceback: TracebackType | None
    ) -> None:
        """Release it."""
        self.release()

    def try_resize(self, new_bytes: int) -> bool:
        """Hold this many bytes if they fit, and return whether they do; otherwise nothing changes.

        Clients may give way for it, and the holder may be one of them: the reservation is released then.
        """
        if new_bytes > self.bytes and not self._budget.make_room(new_bytes - self.bytes):
            return False
        if self._released:
            return False
        self.resize(new_bytes)
        return True

    def resize(self, new_bytes: int) -> None:
        """Hold this many bytes, whether or not they fit; for what must be kept."""
        if self._released:
            return
        budget = self._budget
        budget.used_bytes += new_bytes - self.bytes
        self.bytes = new_bytes
        budget.peak_bytes = max(budget.peak_bytes, budget.used_bytes)

    def release(self) -> None:
        """Hold nothing from now on."""
        self.resize(0)
        self._released = True

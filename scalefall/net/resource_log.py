"""Log of what the process holds: one line per housekeeping interval, with its memory, descriptors and connections."""

from __future__ import annotations

import os
from collections import Counter
from enum import Enum

from scalefall.net.logs import log
from scalefall.net.memory_budget import MemoryBudget

PAGE_BYTES = os.sysconf("SC_PAGESIZE")
KIB = 1024
MEMORY_FILE = "/proc/self/statm"  # the second field is the resident memory, in pages
DESCRIPTOR_FOLDER = "/proc/self/fd"


class ConnectionEnd(Enum):
    """Why the sender's service of a client connection ended."""

    CLOSED = "closed between requests"
    REJECTED = "request rejected"
    TIMED_OUT = "request timed out"
    EVICTED = "evicted"
    DISCONNECTED = "client disconnected"


class ConnectionEnds:
    """Counts the ends of client connections by reason."""

    def __init__(self) -> None:
        """Start at zero."""
        self._counts: Counter[ConnectionEnd] = Counter()

    def count(self, end: ConnectionEnd) -> None:
        """Count the end of one connection."""
        self._counts[end] += 1

    def take_text(self) -> str:
        """Return the counts since the last call as text, such as "3 evicted, 1 request timed out"."""
        counts, self._counts = self._counts, Counter()
        return ", ".join(f"{counts[end]} {end.value}" for end in ConnectionEnd if counts[end]) or "none"


def log_resources(budget: MemoryBudget, connections: str, ends: str) -> None:
    """Log the memory and descriptors of the process, and the state of its client connections.

    Args:
        budget: What the process holds on behalf of others; its peak is since the start.
        connections: The open client connections by state.
        ends: The client connections that have ended since the last line, by reason.
    """
    log.info(
        "resources: %d KiB resident, %d of %d KiB in the budget, %d at most; %d descriptors; "
        "client connections: %s; ended: %s",
        _resident_bytes() // KIB,
        budget.used_bytes // KIB,
        budget.limit_bytes // KIB,
        budget.peak_bytes // KIB,
        _descriptor_count(),
        connections,
        ends,
    )


def _resident_bytes() -> int:
    """Return the resident memory of the process; 0 if the system does not say."""
    try:
        with open(MEMORY_FILE, encoding="ascii") as file:
            return int(file.read().split()[1]) * PAGE_BYTES
    except (OSError, ValueError, IndexError):
        return 0


def _descriptor_count() -> int:
    """Return the number of open descriptors; 0 if the system does not say."""
    try:
        return len(os.listdir(DESCRIPTOR_FOLDER))
    except OSError:
        return 0

"""The two clocks of the transport, in microseconds; the layers below are handed the time and read none."""

from __future__ import annotations

import time


def monotonic_us() -> int:
    """Return the monotonic clock, which orders everything within one process."""
    return time.monotonic_ns() // 1000


def wall_us() -> int:
    """Return the wall clock since the epoch, for what is compared with another process's time."""
    return time.time_ns() // 1000

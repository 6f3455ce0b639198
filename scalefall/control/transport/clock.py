"""The two clocks of the transport, in microseconds; the layers below read no clock and are passed the time."""

from __future__ import annotations

import time


def monotonic_us() -> int:
    """Return the monotonic clock, for times that are compared within one process."""
    return time.monotonic_ns() // 1000


def wall_us() -> int:
    """Return the wall clock since the Unix epoch, for times that are compared between processes."""
    return time.time_ns() // 1000

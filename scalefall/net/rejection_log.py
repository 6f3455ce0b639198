"""Log of rejected requests, bounded: a client that floods must not fill the log."""

from __future__ import annotations

from dataclasses import dataclass

from scalefall.net.logs import log

WINDOW_US = 10_000_000
MAX_LINES = 10  # rejected requests logged one by one in each window; the others are counted


@dataclass(slots=True, frozen=True)
class Rejection:
    """Why a request was rejected.

    Holds no exception: its traceback would keep all that was received of the request until the connection ends.

    Attributes:
        status: The HTTP status of the answer.
        reason: The text of the answer.
    """

    status: int
    reason: str


class RejectionLog:
    """Logs the first rejections of each window, and how many more there were."""

    def __init__(self) -> None:
        """Start with the first rejection's window."""
        self._line_count = 0
        self._unlogged_count = 0
        self._window_ends_us = 0

    def record(self, rejection: Rejection, now_us: int) -> None:
        """Log a rejection, or count it."""
        if now_us >= self._window_ends_us:
            self._begin_window(now_us)
        self._line_count += 1
        if self._line_count > MAX_LINES:
            self._unlogged_count += 1
        else:
            log.info("request rejected: %d %s", rejection.status, rejection.reason)

    def _begin_window(self, now_us: int) -> None:
        if self._unlogged_count:
            log.info("requests rejected: %d more", self._unlogged_count)
        self._line_count = 0
        self._unlogged_count = 0
        self._window_ends_us = now_us + WINDOW_US

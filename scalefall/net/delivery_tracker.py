"""The open requests, submitted and not finished, and the ids of messages that finished recently."""

from __future__ import annotations

from collections.abc import Mapping

from scalefall.net.memory_budget import FINISHED_ID_BYTES, MemoryBudget
from scalefall.net.scheduler import Scheduler
from scalefall.net.delivery_request import Accepted, DeliveryRequest

SECOND_US = 1_000_000  # microseconds in a second
FINISHED_ID_RETENTION_US = 30 * SECOND_US  # clients do not repeat a finished id later than this
MEMORY_BYTES_PER_FINISHED_ID = 4096  # one finished id is retained per this much of the memory limit: 46,875 for 192 MB


class DeliveryTracker:
    """Tracks each message from its submission to its end, and retains its id for some time afterwards.

    Attributes:
        open: Requests that were submitted and have not finished, by message id. Read-only.
        finished: For the ids of accepted messages that have finished, the time (monotonic, microseconds) and the
            request's fingerprint, the oldest first. Read-only.
    """

    def __init__(self, scheduler: Scheduler, memory_bytes: int, budget: MemoryBudget | None = None) -> None:
        """Start with no open requests.

        Args:
            scheduler: The clock.
            memory_bytes: The memory limit of the process, which bounds the number of retained ids.
            budget: Accounts for the retained ids; None: there is no limit.
        """
        self._scheduler = scheduler
        self._max_finished = memory_bytes // MEMORY_BYTES_PER_FINISHED_ID
        self._retained = (budget or MemoryBudget()).open()
        self._open: dict[str, DeliveryRequest] = {}
        self._finished: dict[str, tuple[int, int]] = {}
        self.open: Mapping[str, DeliveryRequest] = self._open
        self.finished: Mapping[str, tuple[int, int]] = self._finished

    def add(self, request: DeliveryRequest) -> None:
        """Start to track a request."""
        self._open[request.id] = request

    def discard(self, message_id: str) -> None:
        """Remove an open request that needs no final answer, without retaining its id."""
        del self._open[message_id]

    def finish(self, message_id: str) -> DeliveryRequest | None:
        """Finish a message, and return its request, or None if it is not open.

        Retains the id of an accepted message for as long as a repeat of it may still arrive.
        """
        request = self._open.pop(message_id, None)
        if request is not None and isinstance(request.admission, Accepted):
            finished, now_us = self._finished, self._scheduler.now()
            finished[message_id] = now_us, request.fingerprint()
            self._retained.resize(self._retained.bytes + FINISHED_ID_BYTES + len(message_id))
            while (
                len(finished) > self._max_finished
                or next(iter(finished.values()))[0] < now_us - FINISHED_ID_RETENTION_US
            ):
                oldest_id = next(iter(finished))
                del finished[oldest_id]
                self._retained.resize(self._retained.bytes - FINISHED_ID_BYTES - len(oldest_id))
        return request

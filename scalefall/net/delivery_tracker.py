"""The messages in flight, and the ids of those that ended lately."""

from __future__ import annotations

from collections.abc import Mapping

from scalefall.net.scheduler import Scheduler
from scalefall.net.delivery_request import Accepted, DeliveryRequest

SECOND_US = 1_000_000  # microseconds in a second
FINISHED_ID_RETENTION_US = 30 * SECOND_US  # a repeat of a finished id comes within this time, or not at all
MEMORY_BYTES_PER_FINISHED_ID = 4096  # of the memory limit, for each finished id: 192 MB remember 46,875 of them


class DeliveryTracker:
    """Knows each message from its submission to its end, and its id for a while afterwards.

    Attributes:
        open: Requests that were submitted and have not ended, by message id. For reading only.
        finished: Ids of accepted messages that have ended: when (monotonic, microseconds) and the request's
            fingerprint, the oldest first. For reading only.
    """

    def __init__(self, scheduler: Scheduler, memory_bytes: int) -> None:
        """Start with nothing in flight.

        Args:
            scheduler: The clock.
            memory_bytes: The process's memory limit, which bounds how many finished ids are remembered.
        """
        self._scheduler = scheduler
        self._max_finished = memory_bytes // MEMORY_BYTES_PER_FINISHED_ID
        self._open: dict[str, DeliveryRequest] = {}
        self._finished: dict[str, tuple[int, int]] = {}
        self.open: Mapping[str, DeliveryRequest] = self._open
        self.finished: Mapping[str, tuple[int, int]] = self._finished

    def add(self, request: DeliveryRequest) -> None:
        """Track a request from now on."""
        self._open[request.id] = request

    def discard(self, message_id: str) -> None:
        """Forget an open request that nothing is owed for any more, together with its id."""
        del self._open[message_id]

    def finish(self, message_id: str) -> DeliveryRequest | None:
        """End a message for the engine, and return its request, or None if it is not open.

        The id of an accepted message is remembered for as long as a repeat of it may be on its way.
        """
        request = self._open.pop(message_id, None)
        if request is not None and isinstance(request.admission, Accepted):
            finished, now_us = self._finished, self._scheduler.now()
            finished[message_id] = now_us, request.fingerprint()
            while (
                len(finished) > self._max_finished
                or next(iter(finished.values()))[0] < now_us - FINISHED_ID_RETENTION_US
            ):
                del finished[next(iter(finished))]
        return request

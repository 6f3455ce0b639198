"""Saves the rates that the engine has learned, for the next process."""

from __future__ import annotations

from collections.abc import Callable

from scalefall.net import learned_rates
from scalefall.net.scheduler import Scheduler
from scalefall.policy.events import LearnedRate

SECOND_US = 1_000_000  # microseconds in a second
MIN_SAVE_INTERVAL_US = SECOND_US  # the interval for few rates; a copy older than this is of little use
SAVE_INTERVAL_PER_RATE_US = SECOND_US // 200  # limits saving to 200 rates per second


class RateSaver:
    """Writes the learned rates into the state folder periodically while the sender runs."""

    def __init__(
        self,
        scheduler: Scheduler,
        current_rates: Callable[[], list[LearnedRate]],
        state_folder: str,
        limit_bytes: int,
    ) -> None:
        """Set up saving for the rates of one engine.

        Args:
            scheduler: The clock, and the task that saves.
            current_rates: Returns the rates that the engine has learned so far.
            state_folder: The folder that persists across restarts.
            limit_bytes: The most bytes that the file and the copy that replaces it may take together.
        """
        self._scheduler = scheduler
        self._current_rates = current_rates
        self._state_folder = state_folder
        self._limit_bytes = limit_bytes
        self._stopped = False

    def load(self) -> list[LearnedRate]:
        """Return the rates that the previous process saved, unless they are outdated."""
        return learned_rates.load(self._state_folder, self._limit_bytes, self._scheduler.wall())

    def save_periodically(self) -> None:
        """Save until stopped, at an interval that grows with the number of rates; runs as a task."""
        while not self._stopped:
            rates = self._current_rates()
            learned_rates.save(
                self._state_folder,
                self._limit_bytes,
                rates,
                self._scheduler.wall(),
                lambda: self._scheduler.sleep(0),
            )
            self._scheduler.sleep(max(MIN_SAVE_INTERVAL_US, len(rates) * SAVE_INTERVAL_PER_RATE_US))

    def stop(self) -> None:
        """Stop periodic saving; a save in progress completes."""
        self._stopped = True

    def save_final(self) -> None:
        """Save once more without yielding, at the end of the process."""
        learned_rates.save(self._state_folder, self._limit_bytes, self._current_rates(), self._scheduler.wall())

"""The coordinator as the ledger of grants that control's service asks for. No I/O, no clock."""

from __future__ import annotations

from scalefall.assignment.coordinator import Coordinator
from scalefall.assignment.model import UNLIMITED, ShardGrant


class ShardLeases:
    """The coordinator as control.grants.LeaseLedger.

    Holders come and go through the service, which knows their nodes.

    Attributes:
        delay_us: The longest that a message may be under way.
    """

    def __init__(self, coordinator: Coordinator, delay_us: int) -> None:
        """Start with a coordinator, and with every destination UNLIMITED."""
        self._coordinator = coordinator
        self._limited: dict[int, int] = {}  # allowances that are not UNLIMITED, by destination
        self.delay_us = delay_us

    def switch_to(self, coordinator: Coordinator) -> None:
        """Use another coordinator, which gets all allowances that are not UNLIMITED."""
        coordinator.resume(self._coordinator.number)
        self._coordinator = coordinator
        for destination, amount in self._limited.items():
            coordinator.set_allowance(destination, amount)

    @property
    def number(self) -> int:
        """The highest number of a grant that was made."""
        return self._coordinator.number

    def step_down(self) -> None:
        """Grant nothing, as another service does."""
        self._coordinator.step_down()

    def become_leader(self, now: int) -> None:
        """Do nothing: a coordinator starts in a grace period when it is made, in ShardedService.become_leader."""

    def resume(self, number: int) -> None:
        """Number grants above the highest that an earlier service may have made."""
        self._coordinator.resume(number)

    def allow(self, destination: int, amount: int) -> bool:
        """Set a destination's allowance in milli-calls per second; whether it is another one than before."""
        if self._limited.get(destination, UNLIMITED) == amount:
            return False
        if amount >= UNLIMITED:
            del self._limited[destination]
        else:
            self._limited[destination] = amount
        self._coordinator.set_allowance(destination, amount)
        return True

    def join(self, holder: str) -> None:
        """Do nothing: the service notifies the coordinator, with the holder's node."""

    def disconnected(self, holder: str) -> None:
        """Do nothing: the service notifies the coordinator."""

    def step(self, now: int) -> list[ShardGrant]:
        """Return the grants to send now."""
        return self._coordinator.step(now)

    def next_deadline(self, now: int) -> int:
        """Return when step() is to be called if nothing changes before."""
        return self._coordinator.next_deadline(now)

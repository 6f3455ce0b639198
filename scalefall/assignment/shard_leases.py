"""An adapter from the coordinator to the ledger interface that the control service calls. No I/O, no clock."""

from __future__ import annotations

from scalefall.assignment.coordinator import Coordinator
from scalefall.assignment.model import UNLIMITED, ShardGrant


class ShardLeases:
    """Implements control.grants.LeaseLedger with a coordinator.

    Joins and disconnections of holders are reported to the coordinator by the service, which knows their nodes.

    Attributes:
        delay_us: The longest time that a message may be in transit.
    """

    def __init__(self, coordinator: Coordinator, delay_us: int) -> None:
        """Start with every destination UNLIMITED."""
        self._coordinator = coordinator
        self._limited: dict[int, int] = {}  # allowances other than UNLIMITED, by destination
        self.delay_us = delay_us

    def switch_to(self, coordinator: Coordinator) -> None:
        """Replace the coordinator, and set all allowances other than UNLIMITED on the new one."""
        coordinator.resume(self._coordinator.number)
        self._coordinator = coordinator
        for destination, amount in self._limited.items():
            coordinator.set_allowance(destination, amount)

    @property
    def number(self) -> int:
        """Return the highest grant number that was assigned."""
        return self._coordinator.number

    def step_down(self) -> None:
        """Stop granting, as another service grants."""
        self._coordinator.step_down()

    def become_leader(self, now: int) -> None:
        """Do nothing: ShardedService.become_leader creates a coordinator, which starts in a grace period."""

    def resume(self, number: int) -> None:
        """Number the next grants above the highest number that an earlier service may have used."""
        self._coordinator.resume(number)

    def allow(self, destination: int, amount: int) -> bool:
        """Set a destination's allowance in thousandths of a call a second; return whether it has changed."""
        if self._limited.get(destination, UNLIMITED) == amount:
            return False
        if amount >= UNLIMITED:
            del self._limited[destination]
        else:
            self._limited[destination] = amount
        self._coordinator.set_allowance(destination, amount)
        return True

    def join(self, holder: str) -> None:
        """Do nothing: the service reports joins, with the holder's node, to the coordinator."""

    def disconnected(self, holder: str) -> None:
        """Do nothing: the service reports disconnections to the coordinator."""

    def step(self, now: int) -> list[ShardGrant]:
        """Return the grants to send now."""
        return self._coordinator.step(now)

    def next_deadline(self, now: int) -> int:
        """Return when to call step() if nothing changes before."""
        return self._coordinator.next_deadline(now)

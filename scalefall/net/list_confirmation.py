"""Whether the endpoint list holds all that discovery's agent has: pure, with the time as an argument.

Where lists are pushed, a sender counts as notified of a change once its agent has it. An agent that does not respond
may hold a change that the sender lacks, if the sender's link to it began or broke before. Only a message from the agent
confirms the list again, never a timer.

While discovery is down its agents do not respond, and receive no changes. So after an open watch has become idle, an
endpoint that serves a call which began later is not among the changes: an endpoint that drains rejects calls.
"""

from __future__ import annotations

from enum import Enum
from math import inf

from scalefall.net.watch_schedule import IDLE_TIMEOUT_US, SECOND_US

MOVE_NOTIFIED_US = 4 * SECOND_US  # time after a move at which the sender counts as notified of the new agent's list
IDLE_NOTIFIED_US = 6 * SECOND_US  # time after which the sender counts as notified of what an idle watch missed
# The longest time without a message on an open watch: the idle timeout and a late wakeup.
MAX_WATCH_GAP_US = IDLE_TIMEOUT_US + SECOND_US // 2
ANSWER_ALLOWANCE_US = SECOND_US // 2  # an agent that responds does so at once; with time to dial


class ListStatus(Enum):
    """What is known of the list, and whether calls may be sent by it."""

    CONFIRMED = "confirmed"  # the list holds what the agent had at its last message
    UNCONFIRMED = "unconfirmed"  # the agent may hold a change, of which the sender does not count as notified yet
    SUSPENDED = "suspended"  # the sender counts as notified of what it may lack


class ListConfirmation:
    """What discovery's agent is known to have sent, and since when that may be incomplete.

    Attributes:
        unconfirmed_since_us: When the list became unconfirmed, in monotonic microseconds; None while it is confirmed.
        suspends_at_us: When sending has to stop because of that, in monotonic microseconds; inf while it is confirmed.
        last_message_at_us: When the agent's last message arrived, in monotonic microseconds.
        served: The endpoints that have shown by a call that no change of them is missing.
    """

    def __init__(self, break_allowance_us: int) -> None:
        """Start with a confirmed list.

        Args:
            break_allowance_us: How long sending may go on after the notification of a drain, in microseconds.
        """
        self._break_allowance_us = break_allowance_us
        self.unconfirmed_since_us: int | None = None
        self.suspends_at_us: float = inf
        self.last_message_at_us = 0
        self.served: frozenset[str] = frozenset()
        self._served_since_us: float = inf  # calls that begin later show whether their endpoint is in service

    def status(self, now_us: int) -> ListStatus:
        """Return what is known of the list."""
        if self.unconfirmed_since_us is None:
            return ListStatus.CONFIRMED
        return ListStatus.SUSPENDED if now_us >= self.suspends_at_us else ListStatus.UNCONFIRMED

    def start(self, now_us: int) -> None:
        """Start a process with the list of the previous one: a change counts from the first moment."""
        self._mark_unconfirmed(now_us, now_us)

    def break_link(self, now_us: int) -> None:
        """Record that the link to the agent broke, or that the agent has begun to send a list."""
        self._mark_unconfirmed(now_us, now_us + self._break_allowance_us)

    def move(self, now_us: int) -> None:
        """Record that another agent has taken the place of the one before."""
        self._mark_unconfirmed(now_us, now_us + MOVE_NOTIFIED_US)

    def become_unresponsive(self, now_us: int) -> None:
        """Record that the agent sends nothing on an open watch, or does not answer a call.

        If the watch was active up to then, endpoints may show by their answers that they are in service.
        """
        if self.unconfirmed_since_us is not None:
            return
        if now_us - self.last_message_at_us > MAX_WATCH_GAP_US:
            self.break_link(now_us)
            return
        notified_at_us = self.last_message_at_us + IDLE_NOTIFIED_US
        self._mark_unconfirmed(self.last_message_at_us, notified_at_us + self._break_allowance_us)
        self._served_since_us = now_us + ANSWER_ALLOWANCE_US

    def record_served(self, endpoint_id: str, began_at_us: int) -> bool:
        """Record that an endpoint has served a call; return whether that shows anew that it is in service."""
        if began_at_us < self._served_since_us or endpoint_id in self.served:
            return False
        self.served |= {endpoint_id}
        return True

    def confirm(self, now_us: int) -> None:
        """Record a message from the agent, after which the list holds all that the agent has."""
        self.unconfirmed_since_us = None
        self.suspends_at_us = inf
        self.last_message_at_us = now_us
        self._forget_served()

    def _mark_unconfirmed(self, since_us: int, suspends_at_us: int) -> None:
        """Mark the list as unconfirmed; of several causes the first counts, unless endpoints can answer for it."""
        if self.unconfirmed_since_us is None:
            self.unconfirmed_since_us = since_us
            self.suspends_at_us = suspends_at_us
        elif self._served_since_us < inf:
            self.suspends_at_us = min(self.suspends_at_us, suspends_at_us)
            self._forget_served()

    def _forget_served(self) -> None:
        self.served = frozenset()
        self._served_since_us = inf

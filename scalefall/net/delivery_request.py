"""What a front hands to the host and gets back: no protocol in it, so that a second front can use the same host."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass

from scalefall.interface import MessageClass


@dataclass(slots=True, frozen=True)
class Taken:
    """Taken on: the sender owes the message its end."""


@dataclass(slots=True, frozen=True)
class UnavailableAnswer:
    """Refused: handing it in again is harmless. By the module, or before it (turned away: no room, or closing)."""

    retry_after_us: int
    turned_away: bool = False


@dataclass(slots=True, frozen=True)
class Failed:
    """Given up, with no promise about its effect."""


@dataclass(slots=True, frozen=True)
class Conflict:
    """Its id belongs to another message that is open: nothing is done with this one."""


@dataclass(slots=True, frozen=True)
class NotCarried:
    """Its route carries no messages of its class: nothing is done with it, now or later."""


Verdict = Taken | UnavailableAnswer | Failed | Conflict | NotCarried


@dataclass(slots=True, eq=False)
class Transaction:
    id: str
    class_name: str
    destination: int
    due: int  # monotonic, microseconds
    key: str | None
    body: bytes
    attempts: int = 0
    verdict: Verdict | None = None
    promised: bool = False  # a second client has been told that it is taken on
    alone: bool = False  # must not share a call with others
    cls: MessageClass | None = None  # the rules that it was taken on under
    told: Callable[[], object] | None = None  # called once the verdict is there

    def stands_for(self) -> int:
        """The same number for what was handed in alike, whoever did; holds for this process only."""
        return hash((self.class_name, self.destination, self.key, self.body))

    def decide(self, verdict: Verdict) -> None:
        if self.verdict is None:
            self.verdict = verdict
            if self.told is not None:
                self.told()

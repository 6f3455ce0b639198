"""What a front hands to the host and gets back: no protocol in it, so that a second front can use the same host."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass

from scalefall.policy.settings import MessageClass


@dataclass(slots=True, frozen=True)
class Accepted:
    """Taken on: the sender owes the message its end."""


@dataclass(slots=True, frozen=True)
class Rejected:
    """Refused: handing it in again is harmless. By the module, or before it (turned away: no room, or closing)."""

    retry_after_us: int
    unavailable: bool = False


@dataclass(slots=True, frozen=True)
class GivenUp:
    """Given up, with no promise about its effect."""


@dataclass(slots=True, frozen=True)
class Conflict:
    """Its id belongs to another message that is open: nothing is done with this one."""


@dataclass(slots=True, frozen=True)
class NotServed:
    """Its route carries no messages of its class: nothing is done with it, now or later."""


AdmissionResult = Accepted | Rejected | GivenUp | Conflict | NotServed


@dataclass(slots=True, eq=False)
class DeliveryRequest:
    id: str
    class_name: str
    destination: int
    due_us: int  # monotonic, microseconds
    idempotency_key: str | None
    body: bytes
    attempts: int = 0
    admission: AdmissionResult | None = None
    repeat_accepted: bool = False  # a second client has been told that it is taken on
    send_alone: bool = False  # must not share a call with others
    message_class: MessageClass | None = None  # the rules that it was taken on under
    on_decided: Callable[[], object] | None = None  # called once the verdict is there

    def fingerprint(self) -> int:
        """The same number for what was handed in alike, whoever did; holds for this process only."""
        return hash((self.class_name, self.destination, self.idempotency_key, self.body))

    def decide(self, admission: AdmissionResult) -> None:
        if self.admission is None:
            self.admission = admission
            if self.on_decided is not None:
                self.on_decided()

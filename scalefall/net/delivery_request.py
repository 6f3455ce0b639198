"""What an ingress submits for delivery, and the answers that it may get.

No protocol is in here, so that a second ingress, with a protocol of its own, can use the same sender.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass

from scalefall.policy.settings import MessageClass


@dataclass(slots=True, frozen=True)
class Accepted:
    """The sender is responsible for the message: it will be delivered, or its failure reported."""


@dataclass(slots=True, frozen=True)
class Rejected:
    """The message was not accepted and has had no effect: submitting it again is harmless.

    Attributes:
        retry_after_us: How long the client should wait before it does so, in microseconds.
        unavailable: Whether the sender had no capacity or was shutting down. Otherwise the policy shed the message.
    """

    retry_after_us: int
    unavailable: bool = False


@dataclass(slots=True, frozen=True)
class GivenUp:
    """The message will not be delivered any more; whether it had an effect is not known."""


@dataclass(slots=True, frozen=True)
class Conflict:
    """Its id belongs to another message that is in progress: nothing is done with this one."""


@dataclass(slots=True, frozen=True)
class NotServed:
    """Its route carries no messages of its class: nothing is done with it, now or later."""


AdmissionResult = Accepted | Rejected | GivenUp | Conflict | NotServed


@dataclass(slots=True, eq=False)
class DeliveryRequest:
    """A message that a client has submitted, and the answer once there is one.

    Attributes:
        id: The client's id of the message, unique among those in progress.
        class_name: Its class, a key of the settings' classes.
        destination: The number of the destination that it is for.
        due_us: When it has to have been delivered, monotonic, in microseconds.
        idempotency_key: What tells the destination that two attempts are of one message; None if there is none.
        body: What is delivered.
        attempts: How many attempts have started.
        admission: The answer; None until it is decided.
        repeat_accepted: Whether a second client was told that the message is accepted. The first one can then no
            longer withdraw it by closing its connection.
        send_alone: Whether it must not share a call with other messages.
        message_class: The rules that it was accepted under.
        on_decided: Called once the answer is there.
    """

    id: str
    class_name: str
    destination: int
    due_us: int
    idempotency_key: str | None
    body: bytes
    attempts: int = 0
    admission: AdmissionResult | None = None
    repeat_accepted: bool = False
    send_alone: bool = False
    message_class: MessageClass | None = None
    on_decided: Callable[[], object] | None = None

    def fingerprint(self) -> int:
        """The same number for each request for the same delivery, whoever submits it; valid in this process only."""
        return hash((self.class_name, self.destination, self.idempotency_key, self.body))

    def decide(self, admission: AdmissionResult) -> None:
        """Set the answer and notify the ingress; any answer after the first is ignored."""
        if self.admission is None:
            self.admission = admission
            if self.on_decided is not None:
                self.on_decided()

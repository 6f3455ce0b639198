"""The request that an ingress submits for delivery, and its possible answers.

Independent of any protocol, so that an ingress with another protocol can use the same sender.
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
        retry_after_us: How long the client should wait before it submits the message again, in microseconds.
        unavailable: Whether the sender had no capacity or was shutting down; otherwise the engine shed the message.
    """

    retry_after_us: int
    unavailable: bool = False


@dataclass(slots=True, frozen=True)
class GivenUp:
    """The message will not be delivered; whether it had an effect is unknown."""


@dataclass(slots=True, frozen=True)
class Conflict:
    """The id belongs to another message, or to a request that is not decided yet; this request is ignored."""


@dataclass(slots=True, frozen=True)
class NotServed:
    """The route carries no messages of this class; the request is ignored, and a repeat would be as well."""


AdmissionResult = Accepted | Rejected | GivenUp | Conflict | NotServed


@dataclass(slots=True, eq=False)
class DeliveryRequest:
    """A message that a client has submitted, and its answer once it is decided.

    Attributes:
        id: The client's id of the message, unique among open messages.
        class_name: Its class, a key of the settings' classes.
        destination: The number of its destination.
        due_us: Its deadline, monotonic, in microseconds.
        idempotency_key: The key by which the destination recognizes a repeated message; None if there is none.
        body: The payload.
        attempts: The number of attempts that have started.
        admission: The answer; None until it is decided.
        repeat_accepted: Whether a repeated submission was answered as accepted. Closing the connection of the first
            one then no longer withdraws the message.
        message_class: The rules of its class as of its acceptance.
        batch_bytes: The bytes that it takes in the body of a call with several messages; set before its admission.
        on_decided: Called once the answer is decided, then dropped: an open message must not keep its connection.
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
    message_class: MessageClass | None = None
    batch_bytes: int = 0
    on_decided: Callable[[], object] | None = None

    def fingerprint(self) -> int:
        """Return a hash that is equal for requests for the same delivery; valid within this process only."""
        return hash((self.class_name, self.destination, self.idempotency_key, self.body))

    def decide(self, admission: AdmissionResult) -> None:
        """Set the answer and notify the ingress; later answers are ignored."""
        if self.admission is None:
            self.admission = admission
            on_decided, self.on_decided = self.on_decided, None
            if on_decided is not None:
                on_decided()

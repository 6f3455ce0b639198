"""What one attempt is about: the messages that it carries, the endpoint that it goes to, and how far it has come."""

from __future__ import annotations

import math
from dataclasses import dataclass

from scalefall.net.connection_pool import Connection
from scalefall.net.list_stream import Entry
from scalefall.net.scheduler import Task


@dataclass(slots=True)
class MessageInCall:
    """One message of an attempt.

    Attributes:
        id: The message's id.
        attempt: The number of this attempt among the message's attempts, from 0.
        ends_at_us: When the message stops waiting for an answer, in monotonic microseconds.
        idempotency_key: The key under which the endpoint drops a repeat; None without one.
        body: The message's body.
        not_idempotent: It must not take effect twice: once it may have run, it has failed.
        start_by_us: Its first byte must not go out later, in monotonic microseconds: the endpoints drop a repeat only
            until then.
    """

    id: str
    attempt: int
    ends_at_us: int
    idempotency_key: str | None
    body: bytes
    not_idempotent: bool = False
    start_by_us: float = math.inf


@dataclass(slots=True, eq=False)
class Attempt:
    """One call to an endpoint with one message or several.

    Attributes:
        entry: The endpoint, and where to dial.
        messages: The messages that it carries, the one with the most time first.
        started_at_us: When it began, in monotonic microseconds.
        task: The task that carries it out.
        connection: The connection that it has now; None before it has one, and once that is released or closed.
        written: The call's last byte is on its way, so that the messages may have run.
        over: Its messages have their outcomes; what it still brings touches nothing.
    """

    entry: Entry
    messages: list[MessageInCall]
    started_at_us: int
    task: Task | None = None
    connection: Connection | None = None
    written: bool = False
    over: bool = False

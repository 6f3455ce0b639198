"""The state of one attempt: its messages, its endpoint and its progress."""

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
        idempotency_key: The key by which the endpoint drops a repeat; None without one.
        body: The message's body.
        not_idempotent: The message must not take effect twice: it has failed once an attempt may have run.
        batch_bytes: The bytes that it takes in the body of a call with several messages.
        start_by_us: The latest time for the first byte, in monotonic microseconds: endpoints drop a repeat only until
            then.
    """

    id: str
    attempt: int
    ends_at_us: int
    idempotency_key: str | None
    body: bytes
    batch_bytes: int
    not_idempotent: bool = False
    start_by_us: float = math.inf


@dataclass(slots=True, eq=False)
class Attempt:
    """One call to an endpoint with one message or several.

    Attributes:
        entry: The endpoint, and where to dial.
        messages: Its messages, the one with the latest deadline first.
        started_at_us: When it started, in monotonic microseconds.
        task: The task that runs it.
        connection: Its connection; None before the dial ends, and after the connection is released or closed.
        written: The call's last byte is in the socket's buffer, so that the messages may have run.
        over: All of its messages have their outcomes; later events are ignored.
    """

    entry: Entry
    messages: list[MessageInCall]
    started_at_us: int
    task: Task | None = None
    connection: Connection | None = None
    written: bool = False
    over: bool = False

"""How a control server listens, leases and divides destinations: the command line's options as typed values."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(slots=True, frozen=True)
class ShardingOptions:
    """How destinations are divided among senders.

    Attributes:
        shards: Number of shards.
        move_after_us: How long a sender may be silent before its shards go to others.
        sender_load: Calls a second that one sender is to carry of a single destination; 0 for any number.
    """

    shards: int
    move_after_us: int
    sender_load: float


@dataclass(slots=True, frozen=True)
class ServerOptions:
    """What a control server is started with.

    Attributes:
        listen: Address and port as `host:port`; port 0 takes a free one.
        lease_us: How long a grant lasts.
        delay_us: The longest that a message may be under way to a client that does not number its reports.
        endpoint_lease_us: How long a client trusts its endpoints without hearing from this service.
        report_us: Interval between a client's load reports.
        sharding: How destinations are divided; None if every client gets everything.
    """

    listen: str
    lease_us: int
    delay_us: int
    endpoint_lease_us: int
    report_us: int
    sharding: ShardingOptions | None = None

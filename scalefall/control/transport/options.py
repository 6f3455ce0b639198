"""The command line's options of a control server as typed values: address, leases, sharding."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(slots=True, frozen=True)
class ShardingOptions:
    """How destinations are sharded over senders.

    Attributes:
        shards: Number of shards.
        move_after_us: How long a lost sender keeps its shards, for a restart, before they move to others.
        sender_load: Calls a second to one destination above which several senders share it; 0 for no limit.
    """

    shards: int
    move_after_us: int
    sender_load: float


@dataclass(slots=True, frozen=True)
class ServerOptions:
    """The options that a control server starts with.

    Attributes:
        listen: Address and port as `host:port`; port 0 chooses a free one.
        lease_us: How long a grant lasts.
        delay_us: The longest network delay of a message to a client that does not number its reports.
        endpoint_lease_us: How long a client may use its endpoint lists without a heartbeat from this service.
        report_us: Interval between a client's load reports.
        sharding: How destinations are sharded; None if every client gets all of them.
    """

    listen: str
    lease_us: int
    delay_us: int
    endpoint_lease_us: int
    report_us: int
    sharding: ShardingOptions | None = None

"""The values that the modules of the assignment package exchange, and their units."""

from __future__ import annotations

from dataclasses import dataclass
from typing import NamedTuple

FULL_QUOTA = 1_000_000  # a quota is in millionths of a shard's allowances, so that sums of quotas are exact
UNLIMITED = 10**12  # thousandths of a call a second: no limit; equal to scalefall.control.allocator.UNLIMITED


@dataclass(slots=True, frozen=True)
class Node:
    """A sender's place in the fleet (a node id), as opposed to one process there."""

    name: str
    region: str = ""
    zone: str = ""


class DestinationLimit(NamedTuple):
    """The rate at which all holders of a shard together may call one of its destinations."""

    destination: int
    rate: int  # thousandths of a call a second


@dataclass(slots=True, frozen=True)
class ShardGrant:
    """Permission for one process to call a shard's destinations until its lease expires; quota 0 withdraws it."""

    holder: str  # one process, "node/instance"
    shard: int
    epoch: int  # of the holder's tenure of this shard; a later tenure has a higher epoch
    number: int  # increases with every grant of the service, also across restarts
    quota: int  # millionths: the fraction of each destination's limit that this holder may use
    lease_us: int  # from the grant's arrival, or from the holder's report that the grant answers
    # The limits that changed since the holder's last acknowledgement; a destination never listed is UNLIMITED.
    limits: tuple[DestinationLimit, ...]
    destination: int | None = None  # the isolated destination that this shard serves, if it serves one alone

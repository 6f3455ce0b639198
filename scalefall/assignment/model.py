"""The values that the parts of the assignment exchange, and their units."""

from __future__ import annotations

from dataclasses import dataclass
from typing import NamedTuple

FULL_QUOTA = 1_000_000  # a quota is in millionths of a shard's allowances, so that sums of quotas are exact
UNLIMITED = 10**12  # milli-calls per second; same value as scalefall.control.allocator.UNLIMITED, which sets no limit


@dataclass(slots=True, frozen=True)
class Node:
    """A sender's place in the fleet (a node id), not one process of it."""

    name: str
    region: str = ""
    zone: str = ""


class DestinationLimit(NamedTuple):
    """The rate that all holders of a shard together may call one of its destinations with."""

    destination: int
    rate: int  # milli-calls per second


@dataclass(slots=True, frozen=True)
class ShardGrant:
    """The right of one process to call a shard's destinations for the time of a lease; quota 0 withdraws it."""

    holder: str  # one process: node id and instance, "node/instance"
    shard: int
    epoch: int  # of the holder's tenure of this shard; a newer tenure has a higher one
    number: int  # grows with every grant of the service, also over restarts
    quota: int  # millionths: the fraction of each destination's limit that this holder may use
    lease_us: int  # from when it arrives (or from the holder's report that it answers)
    # Only those that differ from what the holder has acknowledged; a destination never named is UNLIMITED.
    limits: tuple[DestinationLimit, ...]
    destination: int | None = None  # set where the shard is one isolated destination's own

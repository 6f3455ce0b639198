"""The values that the parts of the assignment exchange."""

from __future__ import annotations

from dataclasses import dataclass

FULL_QUOTA = 1_000_000  # all of a shard's budgets; a share is a part of it
UNLIMITED = 10**12  # same value as scalefall.control.allocator.UNLIMITED: the allocator sets no pace


@dataclass(slots=True, frozen=True)
class Node:
    """A sender's place in the fleet (a node id), not one process of it."""

    name: str
    region: str = ""
    zone: str = ""


@dataclass(slots=True, frozen=True)
class ShardGrant:
    """To be sent to its holder; share 0 withdraws."""

    holder: str  # one process: node id and instance, "node/instance"
    shard: int
    epoch: int  # of the holder's tenure of this shard; a newer tenure has a higher one
    number: int  # grows with every grant of the service, also over restarts
    quota: int  # of WHOLE: the holder's part of each destination's allowance in the shard
    lease_us: int  # from when it arrives (or from the holder's report that it answers)
    # (destination, allowance in thousandths of a call a second) that differ from what the holder has acknowledged;
    # a destination never named is UNLIMITED
    limits: tuple[tuple[int, int], ...]
    destination: int | None = None  # set where the shard is one isolated destination's own

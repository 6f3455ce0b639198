"""The mapping of destinations to shards.

A destination's shard is a fixed hash of its number, so senders and control agree without exchanging a list. The hash
does not depend on the process (PYTHONHASHSEED has no effect). A destination that is too heavy for a shared shard is
isolated: it gets a shard of its own, numbered from `count` up. A Sharding is immutable: `isolate` and `merge` return a
new one.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from types import MappingProxyType

from scalefall.errors import AssignmentError

MAX_SHARDS = 1_048_576  # shared and isolated; at about 100 bytes each, control's table stays near 100 MB
MAX_DESTINATION = 10**9  # the highest destination number
UINT64_MASK = 2**64 - 1  # the hash is defined on unsigned 64-bit integers


def splitmix64(value: int) -> int:
    """Return the 64-bit hash of an integer: the first output of the splitmix64 generator with that seed.

    Source: Steele, Lea and Flood, "Fast splittable pseudorandom number generators" (OOPSLA 2014).
    """
    value = (value + 0x9E3779B97F4A7C15) & UINT64_MASK
    value = ((value ^ (value >> 30)) * 0xBF58476D1CE4E5B9) & UINT64_MASK
    value = ((value ^ (value >> 27)) * 0x94D049BB133111EB) & UINT64_MASK
    return value ^ (value >> 31)


class Sharding:
    """The number of shared shards, and the destinations that have a shard of their own.

    Attributes:
        count: The number of shared shards.
    """

    __slots__ = ("_isolated", "count")

    def __init__(self, count: int, isolated: Mapping[int, int] | None = None) -> None:
        """Set the number of shared shards, and the shard of each isolated destination.

        Raises:
            AssignmentError: A number is out of range, or two destinations have the same shard.
        """
        own = dict(isolated or {})
        if count < 1:
            raise AssignmentError(f"a sharding needs at least one shard, not {count}")
        if count + len(own) > MAX_SHARDS:
            raise AssignmentError(f"more shards than the maximum: {count + len(own)}, of at most {MAX_SHARDS}")
        _check_isolated(count, own)
        self.count = count
        self._isolated = own

    def shard_of(self, destination: int) -> int:
        """Return the destination's shard; below `count` unless the destination is isolated."""
        own = self._isolated.get(destination)
        if own is not None:
            return own
        return (splitmix64(destination) * self.count) >> 64

    @property
    def isolated(self) -> Mapping[int, int]:
        """The shard of each isolated destination (a read-only view)."""
        return MappingProxyType(self._isolated)

    def isolate(self, destination: int) -> Sharding:
        """Return a sharding in which this destination has a shard of its own, the lowest free number from `count` up.

        Raises:
            AssignmentError: The destination is isolated already, or there are MAX_SHARDS shards.
        """
        if destination in self._isolated:
            raise AssignmentError(f"destination {destination} already has a shard of its own")
        used_numbers = set(self._isolated.values())
        number = self.count
        while number in used_numbers:
            number += 1
        return Sharding(self.count, {**self._isolated, destination: number})

    def merge(self, destination: int) -> Sharding:
        """Return a sharding with this destination back in its shared shard.

        Raises:
            AssignmentError: The destination has no shard of its own.
        """
        if destination not in self._isolated:
            raise AssignmentError(f"destination {destination} has no shard of its own to merge")
        return Sharding(self.count, {key: own for key, own in self._isolated.items() if key != destination})

    def shards(self) -> Iterable[int]:
        """Return all shard numbers, ascending."""
        return [*range(self.count), *sorted(self._isolated.values())]

    def __eq__(self, other: object) -> bool:
        """Compare by value."""
        if not isinstance(other, Sharding):
            return NotImplemented
        return self.count == other.count and self._isolated == other._isolated

    __hash__ = None  # type: ignore[assignment]  # compared by value, and its dict is not hashable


def _check_isolated(count: int, isolated: Mapping[int, int]) -> None:
    owner: dict[int, int] = {}
    for destination, shard in isolated.items():
        if not 0 <= destination <= MAX_DESTINATION:
            raise AssignmentError(f"destination {destination} is outside 0 to {MAX_DESTINATION}")
        if not count <= shard < MAX_SHARDS:
            raise AssignmentError(f"shard {shard} of destination {destination} is outside {count} to {MAX_SHARDS - 1}")
        if shard in owner:
            raise AssignmentError(f"shard {shard} is given to destinations {owner[shard]} and {destination}")
        owner[shard] = destination

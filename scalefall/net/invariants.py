"""Invariants: asserted in debug mode, counted in optimized mode (``python -O``)."""

from __future__ import annotations

from collections import Counter

from scalefall.net.logs import log

violations: Counter[str] = Counter()  # count by the invariant's name, since the process started


def assert_invariant(condition: object, name: str) -> bool:
    """Check that an invariant holds.

    Args:
        condition: The condition that has to be true.
        name: A statement of the invariant; violations are counted by it.

    Returns:
        Whether it holds. Only optimized mode returns False.

    Raises:
        AssertionError: In debug mode, if it does not hold.
    """
    if condition:
        return True
    if __debug__:
        raise AssertionError(name)
    violations[name] += 1
    return False


def log_violations() -> None:
    """Log each invariant that was violated since the start, with the number of violations."""
    for name, count in sorted(violations.items()):
        log.warning("invariant broken: %s, %d times since the start", name, count)

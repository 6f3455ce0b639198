"""Invariants of the program: asserted in debug builds, counted in release builds (``python -O``)."""

from __future__ import annotations

from collections import Counter

from scalefall.net.logs import log

violations: Counter[str] = Counter()  # by the invariant's name, since the process started


def assert_invariant(condition: object, name: str) -> bool:
    """Check that an invariant holds.

    Args:
        condition: What has to be true.
        name: What the invariant says, in words; violations are counted by it.

    Returns:
        Whether it holds. Only a release build returns False.

    Raises:
        AssertionError: In a debug build, if it does not hold.
    """
    if condition:
        return True
    if __debug__:
        raise AssertionError(name)
    violations[name] += 1
    return False


def log_violations() -> None:
    """Log each invariant that was broken since the start, with how often; the caller chooses when."""
    for name, count in sorted(violations.items()):
        log.warning("invariant broken: %s, %d times since the start", name, count)

"""What must hold: asserted in debug builds, counted in release builds (python -O)."""

from __future__ import annotations

import logging
import sys
from collections import Counter

log = logging.getLogger("scalefall")
violations: Counter[str] = Counter()


def assert_invariant(condition: object, name: str) -> bool:
    """True if the invariant holds. If not: an AssertionError in debug, a count under its name in release."""
    if condition:
        return True
    if __debug__:
        raise AssertionError(name)
    violations[name] += 1
    return False


def debug_event(text: str, *args: object, **fields: object) -> None:
    """A line on one message; its fields (id, class_, dest, endpoint) stand beside the text for who reads by machine."""
    if log.isEnabledFor(logging.DEBUG):
        log.debug(text, *args, extra={"fields": fields})


def log_violations() -> None:
    """Log every non-zero count; the caller chooses when."""
    for name, count in sorted(violations.items()):
        log.warning("invariant broken: %s, %d times since the start", name, count)


def log_to_standard_error(debug: bool) -> None:
    """Set up the platform sender's log; debug logs every message and attempt. A log that nobody reads is no error."""
    logging.basicConfig(
        level=logging.DEBUG if debug else logging.INFO,
        stream=sys.stderr,
        datefmt="%H:%M:%S",
        format="%(asctime)s.%(msecs)03d %(levelname)s %(message)s",
    )
    logging.raiseExceptions = False

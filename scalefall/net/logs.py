"""The logger of scalefall, and its configuration in a sender that the platform runs."""

from __future__ import annotations

import logging
import sys

log = logging.getLogger("scalefall")


def debug_event(text: str, *args: object, **fields: object) -> None:
    """Log a line about one message at debug level.

    Args:
        text: The format string of the line.
        *args: The arguments of the format string.
        **fields: Structured fields beside the line, for programs, such as ``id``, ``class_``, ``dest`` or ``endpoint``.
    """
    if log.isEnabledFor(logging.DEBUG):
        log.debug(text, *args, extra={"fields": fields})


def log_to_standard_error(debug: bool) -> None:
    """Configure logging to standard error, for a sender that the platform runs.

    Errors in writing the log are ignored, such as a closed pipe.

    Args:
        debug: Whether to log each message and each attempt as well.
    """
    logging.basicConfig(
        level=logging.DEBUG if debug else logging.INFO,
        stream=sys.stderr,
        datefmt="%H:%M:%S",
        format="%(asctime)s.%(msecs)03d %(levelname)s %(message)s",
    )
    logging.raiseExceptions = False

"""The logger of all of scalefall, and its set-up in the platform's sender."""

from __future__ import annotations

import logging
import sys

log = logging.getLogger("scalefall")


def debug_event(text: str, *args: object, **fields: object) -> None:
    """Log a line about one message at debug level.

    Args:
        text: The line, with a place for each of ``args``.
        *args: The values that the line shows.
        **fields: What stands beside the line for a reader that is a program, such as ``id``, ``class_``, ``dest`` or
            ``endpoint``.
    """
    if log.isEnabledFor(logging.DEBUG):
        log.debug(text, *args, extra={"fields": fields})


def log_to_standard_error(debug: bool) -> None:
    """Send the log to standard error, as the platform's sender does.

    A log that cannot be written, because nobody reads the pipe any more, is no error.

    Args:
        debug: Whether each message and each attempt is logged too.
    """
    logging.basicConfig(
        level=logging.DEBUG if debug else logging.INFO,
        stream=sys.stderr,
        datefmt="%H:%M:%S",
        format="%(asctime)s.%(msecs)03d %(levelname)s %(message)s",
    )
    logging.raiseExceptions = False

"""Logging: text lines, or JSON lines with the same event names, by structlog.

The other packages log through the standard library, with a message's fields (id, class, dest, ...) beside the text.
The name of an event is the constant text that its line begins with, such as "accepted"; docs/operate/on-call.md lists
them.
"""

from __future__ import annotations

import logging
import re
import sys

import structlog

EVENT_NAME = re.compile(r"[^%:(]*")
LEVELS = ("debug", "info", "warning", "error")


def event_name(template: str) -> str:
    """Return the name of an event from the format string of its line."""
    return EVENT_NAME.match(template)[0].strip(" ,;")


def _fields(_logger: object, _method: str, event: dict) -> dict:
    """Add the event name, the text and the message's fields of a standard library record."""
    record: logging.LogRecord = event["_record"]
    event["text"], event["event"] = event["event"], event_name(str(record.msg))
    for name, value in getattr(record, "fields", {}).items():
        event[name.rstrip("_")] = value
    return event


def _line(_logger: object, _method: str, event: dict) -> str:
    """Return the text line: time, level, text."""
    text = f"{event['timestamp']} {event['level'].upper()} {event['text']}"
    return f"{text}\n{event['exception']}" if "exception" in event else text


def set_up(level: str, form: str) -> None:
    """Configure logging to standard error in one form, `text` or `json`."""
    chain = [structlog.stdlib.add_log_level, _fields, structlog.processors.format_exc_info]
    if form == "json":
        chain.append(structlog.processors.TimeStamper("iso", utc=True))
        last = structlog.processors.JSONRenderer(sort_keys=False)
    else:
        chain.append(_clock)
        last = _line
    handler = logging.StreamHandler(sys.stderr)
    handler.setFormatter(
        structlog.stdlib.ProcessorFormatter(
            foreign_pre_chain=chain, processors=[structlog.stdlib.ProcessorFormatter.remove_processors_meta, last]
        )
    )
    root = logging.getLogger()
    root.handlers[:] = [handler]
    root.setLevel(level.upper())
    logging.raiseExceptions = False  # a closed log pipe must not end the program


def _clock(_logger: object, _method: str, event: dict) -> dict:
    record: logging.LogRecord = event["_record"]
    event["timestamp"] = logging.Formatter("%(asctime)s.%(msecs)03d", "%H:%M:%S").format(
        logging.makeLogRecord({"created": record.created, "msecs": record.msecs, "msg": ""})
    )
    return event

"""Writes the events that the service emits to the log."""

from __future__ import annotations

import logging
from collections.abc import Iterable

from scalefall.control.log_events import LogEvent
from scalefall.net.logs import log


def write_events(events: Iterable[LogEvent]) -> None:
    """Write one line for each event: its name, then its fields, which JSON logs also carry as structured fields."""
    for event in events:
        level = logging.DEBUG if event.is_debug else logging.INFO
        if log.isEnabledFor(level):
            text = " ".join(f"{name}={value}" for name, value in event.fields.items())
            log.log(level, f"{event.event}: %s", text, extra={"fields": event.fields})

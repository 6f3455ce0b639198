"""The size that the service has to carry, and its budgets."""

from __future__ import annotations

SENDERS, DESTINATIONS = 900, 420_000
EVENTS_PER_S = 130_000  # a second, of all senders
EVENTS_PER_SENDER_PER_S = EVENTS_PER_S / SENDERS
CHANGES_PER_DAY, DAY_S = 600, 86_400
CHANGES_PER_S = CHANGES_PER_DAY / DAY_S  # a second
IN_USE_S = 10  # a destination is in use at a sender for so long after a message for it
REGIONS = 2

SENDER_CPU_CORES = 0.023  # of a core, a sender's part of control
SENDER_MEMORY_BYTES = 256 * 1024 * 1024  # bytes of a sender, the same
SENDER_LINK_BYTES_PER_S = 4 * 1024  # bytes a second of a sender, the same
CHANGE_IN_FORCE_S = 16  # a change, at every sender
CONTROL_CPU_CORES = 6  # of control; a control process has one thread, so one core each

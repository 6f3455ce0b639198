"""The size that the service has to carry, and its budgets."""

from __future__ import annotations

SENDERS, DESTINATIONS = 900, 420_000
EVENTS = 130_000  # a second, of all senders
EVENTS_A_SENDER = EVENTS / SENDERS
CHANGES_A_DAY, DAY_S = 600, 86_400
CHANGES = CHANGES_A_DAY / DAY_S  # a second
USED_S = 10  # a destination is in use at a sender for so long after a message for it
REGIONS = 2

CORE = 0.023  # of a core, a sender's part of control
MEMORY = 256 * 1024 * 1024  # bytes of a sender, the same
WIRE = 4 * 1024  # bytes a second of a sender, the same
IN_FORCE_S = 16  # a change, at every sender
MACHINES = 6  # of control; a control process has one thread, so one core each

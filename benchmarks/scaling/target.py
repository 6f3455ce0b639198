"""The target size of the service, and its budgets."""

from __future__ import annotations

SENDERS = 900
DESTINATIONS = 420_000
EVENTS_PER_S = 130_000  # of all senders
EVENTS_PER_SENDER_PER_S = EVENTS_PER_S / SENDERS
CHANGES_PER_DAY = 600
DAY_S = 86_400
CHANGES_PER_S = CHANGES_PER_DAY / DAY_S
IN_USE_S = 10  # how long a destination stays in use at a sender after a message
REGIONS = 2

# Budgets of a sender for its exchange with control.
SENDER_CPU_CORES = 0.023
SENDER_MEMORY_BYTES = 256 * 1024 * 1024
SENDER_LINK_BYTES_PER_S = 4 * 1024

CHANGE_IN_FORCE_S = 16  # until a change is in force at every sender
CONTROL_CPU_CORES = 6  # one for each machine, as a control process has one thread

"""The two kinds of control service that the transport serves."""

from __future__ import annotations

from scalefall.assignment.service import ShardedService
from scalefall.control.service import ControlService

AnyControlService = ControlService | ShardedService

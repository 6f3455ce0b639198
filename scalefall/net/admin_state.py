"""What an operator has asked of the sender: endpoints in maintenance, and whether it drains. No socket, file or clock.

The admin API, each call without a body:

| call | meaning |
| --- | --- |
| GET /healthcheck | 200 if the sender serves, 503 if it drains or is not ready |
| PUT /healthcheck/fail, /healthcheck/ok | start and end the drain |
| PUT /endpoints/ID/maint, /endpoints/ID/ready | start and end the maintenance of an endpoint |

Each of them may come twice, and one call that ends a state undoes all that started it.
"""

from __future__ import annotations

from collections.abc import Callable
from enum import Enum
from typing import NamedTuple
from urllib.parse import unquote

OK, NOT_FOUND, METHOD_NOT_ALLOWED, SERVICE_UNAVAILABLE = 200, 404, 405, 503


class AdminAction(Enum):
    """What a call asks the sender to do."""

    START_MAINTENANCE = "start maintenance"
    END_MAINTENANCE = "end maintenance"
    START_DRAIN = "start drain"
    END_DRAIN = "end drain"


class AdminCommand(NamedTuple):
    """What has to be done before a call is answered.

    Attributes:
        action: What to do.
        endpoint: The id of the endpoint, for an action on one.
    """

    action: AdminAction
    endpoint: str = ""


class AdminDecision(NamedTuple):
    """The answer to a call, given that its command succeeds.

    Attributes:
        status: The HTTP status.
        command: What has to be done first; None for nothing.
    """

    status: int
    command: AdminCommand | None = None


class AdminState:
    """What is in force; a call is decided first, and applied once it has been carried out.

    Attributes:
        in_maintenance: The ids of the endpoints in maintenance.
        draining: Whether the sender drains.
    """

    def __init__(self, in_maintenance: set[str]) -> None:
        """Begin with these endpoints in maintenance, and no drain."""
        self.in_maintenance = set(in_maintenance)
        self.draining = False

    def decide(self, method: str, target: str, ready: bool, is_known: Callable[[str], bool]) -> AdminDecision:
        """Decide a call; nothing changes by it.

        Args:
            method: Its HTTP method.
            target: The target of its request, as it came.
            ready: Whether the process could serve.
            is_known: Tells whether the endpoint list has an endpoint of this id.
        """
        segments = [unquote(segment) for segment in target.partition("?")[0].split("/")[1:]]
        match segments:
            case ["healthcheck"]:
                return self._health(method, ready)
            case ["healthcheck", "fail"]:
                return _put(method, AdminCommand(AdminAction.START_DRAIN))
            case ["healthcheck", "ok"]:
                return _put(method, AdminCommand(AdminAction.END_DRAIN))
            case ["endpoints", endpoint, "maint"]:
                return self._maintenance(method, AdminCommand(AdminAction.START_MAINTENANCE, endpoint), is_known)
            case ["endpoints", endpoint, "ready"]:
                return self._maintenance(method, AdminCommand(AdminAction.END_MAINTENANCE, endpoint), is_known)
            case _:
                return AdminDecision(NOT_FOUND)

    def _health(self, method: str, ready: bool) -> AdminDecision:
        if method not in ("GET", "HEAD"):
            return AdminDecision(METHOD_NOT_ALLOWED)
        return AdminDecision(OK if ready and not self.draining else SERVICE_UNAVAILABLE)

    def _maintenance(self, method: str, command: AdminCommand, is_known: Callable[[str], bool]) -> AdminDecision:
        decision = _put(method, command)
        if decision.command is None or is_known(command.endpoint) or command.endpoint in self.in_maintenance:
            return decision
        return AdminDecision(NOT_FOUND)

    def apply(self, command: AdminCommand) -> None:
        """Take in a command that has been carried out, and stored where it must be."""
        match command.action:
            case AdminAction.START_MAINTENANCE:
                self.in_maintenance.add(command.endpoint)
            case AdminAction.END_MAINTENANCE:
                self.in_maintenance.discard(command.endpoint)
            case AdminAction.START_DRAIN:
                self.draining = True
            case AdminAction.END_DRAIN:
                self.draining = False


def _put(method: str, command: AdminCommand) -> AdminDecision:
    """Any other method than PUT is not allowed."""
    return AdminDecision(OK, command) if method == "PUT" else AdminDecision(METHOD_NOT_ALLOWED)

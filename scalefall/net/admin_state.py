"""The state that operators set: endpoints in maintenance, and the drain of the sender. No socket, file or clock.

The admin API, each call without a body:

| call | meaning |
| --- | --- |
| GET /healthcheck | 200 if the sender serves, 503 if it is draining or not ready |
| PUT /healthcheck/fail, /healthcheck/ok | start and end the drain |
| PUT /endpoints/ID/maint, /endpoints/ID/ready | start and end the maintenance of an endpoint |

The calls are idempotent: a single call that ends a state undoes any number of calls that started it.
"""

from __future__ import annotations

from collections.abc import Callable
from enum import Enum
from typing import NamedTuple
from urllib.parse import unquote

OK = 200
NOT_FOUND = 404
METHOD_NOT_ALLOWED = 405
SERVICE_UNAVAILABLE = 503


class AdminAction(Enum):
    """The action that a call requests."""

    START_MAINTENANCE = "start maintenance"
    END_MAINTENANCE = "end maintenance"
    START_DRAIN = "start drain"
    END_DRAIN = "end drain"


class AdminCommand(NamedTuple):
    """An action to carry out before a call is answered.

    Attributes:
        action: The action.
        endpoint: The id of the endpoint, for an action on one.
    """

    action: AdminAction
    endpoint: str = ""


class AdminDecision(NamedTuple):
    """The answer to a call, provided that its command succeeds.

    Attributes:
        status: The HTTP status.
        command: The command to carry out first; None if there is none.
    """

    status: int
    command: AdminCommand | None = None


class AdminState:
    """The current state; a call is decided first, and its command applied once it has been carried out.

    Attributes:
        in_maintenance: The ids of the endpoints in maintenance.
        draining: Whether the sender is draining.
    """

    def __init__(self, in_maintenance: set[str]) -> None:
        """Start with these endpoints in maintenance, and not draining."""
        self.in_maintenance = set(in_maintenance)
        self.draining = False

    def decide(self, method: str, target: str, ready: bool, is_known: Callable[[str], bool]) -> AdminDecision:
        """Decide on a call without changing the state.

        Args:
            method: Its HTTP method.
            target: Its request target, as received.
            ready: Whether the process can serve.
            is_known: Returns whether the endpoint list has an endpoint with this id.
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
        """Update the state by a command that has been carried out, and stored if it has to be."""
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
    """Return the decision for a call that allows only PUT."""
    return AdminDecision(OK, command) if method == "PUT" else AdminDecision(METHOD_NOT_ALLOWED)

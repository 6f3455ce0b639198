"""What the engine asks of its caller, to be performed in order. Times are microseconds."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(slots=True)
class Send:
    """Make an attempt at a message; sends to one endpoint in one step share a call, as far as its kind allows."""

    id: str
    endpoint: str
    timeout_us: int


@dataclass(slots=True)
class CancelAttempt:
    """Abandon an attempt; its outcome is still awaited."""

    id: str
    attempt: int  # of this message, from 0


@dataclass(slots=True)
class Shed:
    """Final answer: handed back undelivered, a repeat does no harm; the client may retry after retry_after_us."""

    id: str
    retry_after_us: int


@dataclass(slots=True)
class Fail:
    """Final answer: given up, no promise about its effect."""

    id: str


@dataclass(slots=True)
class SetTimer:
    """Send a TimerFired event after delay_us; replaces a timer of the same token."""

    token: int
    delay_us: int


@dataclass(slots=True)
class Probe:
    """Check the health of an endpoint."""

    endpoint: str


@dataclass(slots=True)
class CloseIdleConnections:
    """Close the idle connections to an endpoint."""

    endpoint: str


@dataclass(slots=True)
class PollEndpointList:
    """Ask for the endpoint list again."""

    on: bool = True


@dataclass(slots=True)
class LogLine:
    """A line for the log."""

    line: str


Action = Send | CancelAttempt | Shed | Fail | SetTimer | Probe | CloseIdleConnections | PollEndpointList | LogLine


@dataclass(slots=True)
class RouteAllowance:
    """What all proxies together may send on a route now, in calls a second; inf: as much as they like."""

    destination: int
    route: str
    endpoints: dict[str, float]  # those that may have fresh work, each with the budget that its slow start leaves it
    rate: float  # the route's paced rate, or its slow start's budget
    retry_after_until: int  # nothing before this time, as an endpoint said so

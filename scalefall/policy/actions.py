"""Output of the engine: actions that the caller performs in order. Times are microseconds."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(slots=True)
class Send:
    """Make an attempt; the sends with the same call number go out as one call, and no others join it."""

    id: str
    endpoint: str
    timeout_us: int
    call: int  # number of the call, in the order in which the engine starts them


@dataclass(slots=True)
class CancelAttempt:
    """Cancel an attempt; its outcome must still be reported."""

    id: str
    attempt: int  # number of the attempt at this message, from 0


@dataclass(slots=True)
class Shed:
    """Final answer: given up, and safe to send again; the client may retry after retry_after_us."""

    id: str
    retry_after_us: int


@dataclass(slots=True)
class Fail:
    """Final answer: given up; the message may or may not have taken effect."""

    id: str


@dataclass(slots=True)
class SetTimer:
    """Deliver a TimerFired event after delay_us; replaces a timer with the same token."""

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
    """Poll the endpoint list."""

    on: bool = True  # False ends the subscription on the simulator's wire; the engine never requests it


@dataclass(slots=True)
class LogLine:
    """Write a line to the log."""

    line: str


Action = Send | CancelAttempt | Shed | Fail | SetTimer | Probe | CloseIdleConnections | PollEndpointList | LogLine


@dataclass(slots=True)
class RouteAllowance:
    """What all proxies together may send on a route now, in calls a second; inf: no limit."""

    destination: int
    route: str
    endpoints: dict[str, float]  # ready endpoints, each with the budget of its slow start
    rate: float  # the lower of the route's rate limit and its slow start's budget
    retry_after_until: int  # no calls before this time, as an answer demanded

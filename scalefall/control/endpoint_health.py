"""The health of endpoints as reported to proxies, from the engine's allowances. No I/O, no clock."""

from __future__ import annotations

from collections.abc import Iterable, Sequence
from enum import StrEnum
from typing import NamedTuple

from scalefall.policy.actions import RouteAllowance
from scalefall.policy.events import Endpoint, EndpointStatus


class EndpointHealth(StrEnum):
    """The health of an endpoint in the list. The values are those of the proxies' logs."""

    READY = "ready"
    DRAINING = "draining"  # calls in flight may finish, and none begins
    EJECTED = "resting"  # its slow start allows no calls yet


class BlockReason(StrEnum):
    """Why no calls may be sent on a route. The values are those of the drop category in EDS."""

    NOT_BLOCKED = ""
    RETRY_AFTER = "told-wait"
    SLOW_START = "guarded"


class RouteHealth(NamedTuple):
    """The health of a route's endpoints, by endpoint id, and whether the route is blocked."""

    endpoints: dict[str, EndpointHealth]
    blocked: BlockReason


def endpoint_states(endpoints: Iterable[Endpoint], allowed: Sequence[RouteAllowance], now: int) -> RouteHealth:
    """Return the health of each endpoint of a route but the removed ones.

    Args:
        endpoints: the route's endpoints from the endpoint list.
        allowed: the engine's rows for the route's destination.
        now: the present time in us.
    """
    budgets: dict[str, float] = {}
    for row in allowed:
        budgets |= row.endpoints
    blocked = _block_reason(allowed, now)
    found = {}
    for endpoint in endpoints:
        is_ready = endpoint.status is EndpointStatus.READY
        if endpoint.status is EndpointStatus.DRAINING or (is_ready and endpoint.id not in budgets):
            found[endpoint.id] = EndpointHealth.DRAINING
        elif is_ready:
            is_ejected = budgets[endpoint.id] <= 0 and not blocked
            found[endpoint.id] = EndpointHealth.EJECTED if is_ejected else EndpointHealth.READY
    return RouteHealth(found, blocked)


def _block_reason(allowed: Sequence[RouteAllowance], now: int) -> BlockReason:
    serving = [row for row in allowed if row.endpoints]
    if serving and all(row.retry_after_until > now for row in serving):
        return BlockReason.RETRY_AFTER
    if serving and all(row.rate <= 0 for row in serving):
        return BlockReason.SLOW_START
    return BlockReason.NOT_BLOCKED

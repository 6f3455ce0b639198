"""Routes by message class, with their retry policies. No I/O.

A class is matched by the first segment of the path. Its `repeat` setting decides whether a proxy may retry a call:

    never      only if no connection was made, so that nothing was sent
    keyed      with an Idempotency-Key, as often as fits into the lifetime of the key; never if keys are valid in one
               zone only, as a proxy may retry in another zone
    freely     up to the route's attempts

A class that the route does not carry is answered with 404 by the proxy. A call of no class gets one attempt.

Sources: envoy.config.route.v3; gRFC A28, A31, A44 for the subset that gRPC supports.
"""

from __future__ import annotations

from collections.abc import Iterable
from typing import NamedTuple

from envoy.config.core.v3 import base_pb2
from envoy.config.route.v3 import route_components_pb2, route_pb2
from google.protobuf import wrappers_pb2

from scalefall.control.transport.protobuf import duration
from scalefall.net.config import RouteRules
from scalefall.policy.settings import Idempotency, MessageClass, Settings

KEY_HEADER = "idempotency-key"
RETRY_NOT_SENT = "connect-failure"
RETRY_ANY = "connect-failure,refused-stream,reset,gateway-error,unavailable"  # `unavailable` is a gRPC status
MIN_BACKOFF_US = 25_000
MAX_BACKOFF_US = 100_000  # short, as a proxy's backoff counts against the message's deadline


class RetryAllowance(NamedTuple):
    """The attempts that a proxy may make of a message that may have run.

    Attributes:
        attempts: The number of attempts, including the first.
        attempt_timeout_us: The timeout of each attempt; 0 for the message's deadline.
    """

    attempts: int
    attempt_timeout_us: int


ONE_ATTEMPT = RetryAllowance(1, 0)


def retry_allowance(message_class: MessageClass, attempts: int) -> RetryAllowance:
    """Return the attempts of a class's messages on a route that allows this number of attempts.

    The last attempt of a keyed message begins within the lifetime of its key, counted from the first attempt's start.
    """
    if message_class.idempotency is Idempotency.IDEMPOTENT:
        return RetryAllowance(attempts, 0)
    if message_class.idempotency is Idempotency.NOT_IDEMPOTENT or message_class.key_scope_zone or attempts < 2:
        return ONE_ATTEMPT
    if message_class.key_ttl_us >= message_class.deadline_us:
        return RetryAllowance(attempts, 0)
    return RetryAllowance(2, message_class.key_ttl_us // 2)  # the second one after a backoff of at most MAX_BACKOFF_US


def route_configuration(name: str, rules: RouteRules, settings: Settings) -> route_pb2.RouteConfiguration:
    """Return the route configuration of a route under its resource name."""
    routes = []
    for class_name, message_class in settings.classes.items():
        if class_name in rules.classes:
            routes += _class_routes(name, message_class, retry_allowance(message_class, rules.attempts), class_name)
        else:
            routes += _unsupported_class_routes(name, class_name)
    routes.append(_route({"prefix": ""}, route=_route_action(name, 0, ONE_ATTEMPT)))
    host = route_components_pb2.VirtualHost(name=name, domains=["*"], routes=routes)
    return route_pb2.RouteConfiguration(name=name, virtual_hosts=[host])


def _class_routes(
    name: str, message_class: MessageClass, allowance: RetryAllowance, class_name: str
) -> list[route_components_pb2.Route]:
    """Return a class's routes; a keyed class has further ones for calls with a key, which may be retried."""
    routes = []
    if allowance.attempts > 1 and message_class.idempotency is Idempotency.WITH_KEY:
        has_key = route_components_pb2.HeaderMatcher(name=KEY_HEADER, present_match=True)
        action = _route_action(name, message_class.deadline_us, allowance)
        routes += [_route(match, headers=[has_key], route=action) for match in _matches(class_name)]
        allowance = ONE_ATTEMPT
    action = _route_action(name, message_class.deadline_us, allowance)
    routes += [_route(match, route=action) for match in _matches(class_name)]
    return routes


def _unsupported_class_routes(name: str, class_name: str) -> list[route_components_pb2.Route]:
    body = base_pb2.DataSource(inline_string=f"{class_name} is not carried on {name}\n")
    answer = route_components_pb2.DirectResponseAction(status=404, body=body)
    return [_route(match, direct_response=answer) for match in _matches(class_name)]


def _matches(class_name: str) -> list[dict[str, str]]:
    """Return the path matches of a class: its name alone, and all paths below it."""
    return [{"path": f"/{class_name}"}, {"prefix": f"/{class_name}/"}]


def _route_action(name: str, timeout_us: int, allowance: RetryAllowance) -> route_components_pb2.RouteAction:
    may_retry = allowance.attempts > 1
    policy = route_components_pb2.RetryPolicy(
        retry_on=RETRY_ANY if may_retry else RETRY_NOT_SENT,
        num_retries=wrappers_pb2.UInt32Value(value=max(1, allowance.attempts - 1)),
        retry_back_off=route_components_pb2.RetryPolicy.RetryBackOff(
            base_interval=duration(MIN_BACKOFF_US), max_interval=duration(MAX_BACKOFF_US)
        ),
    )
    if may_retry and allowance.attempt_timeout_us:
        policy.per_try_timeout.CopyFrom(duration(allowance.attempt_timeout_us))
    return route_components_pb2.RouteAction(cluster=name, timeout=duration(timeout_us), retry_policy=policy)


def _route(
    match: dict[str, str],
    headers: Iterable[route_components_pb2.HeaderMatcher] = (),
    **action: route_components_pb2.RouteAction | route_components_pb2.DirectResponseAction,
) -> route_components_pb2.Route:
    return route_components_pb2.Route(match=route_components_pb2.RouteMatch(headers=headers, **match), **action)

"""Routes by message class, and how often a proxy may try a call again. No I/O.

A class is matched by the first part of the path. Whether a call may be tried again is the class's `repeat`:

    never      only where no connection came about, so nothing was sent
    keyed      with an Idempotency-Key, as often as fits into the lifetime of the key; not at all where keys count in
               one zone only, as a proxy would try again in another
    freely     up to the route's attempts

A class that the route does not carry is answered 404 here. What is of no class is tried once.

Sources: envoy.config.route.v3; gRFC A28, A31, A44 for what gRPC takes.
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
RETRY_ANY = "connect-failure,refused-stream,reset,gateway-error,unavailable"  # the last one is gRPC's word
MIN_BACKOFF_US = 25_000
MAX_BACKOFF_US = 100_000  # short, as a proxy's own pauses count against the message's deadline


class RetryAllowance(NamedTuple):
    """How often a proxy may try a message that may have run.

    Attributes:
        attempts: All attempts, the first one counted.
        attempt_timeout_us: How long each may last; 0 for up to the deadline.
    """

    attempts: int
    attempt_timeout_us: int


ONE_ATTEMPT = RetryAllowance(1, 0)


def retry_allowance(message_class: MessageClass, attempts: int) -> RetryAllowance:
    """Return how often a class may be tried on a route that allows so many attempts.

    The last attempt of a keyed message begins within the lifetime of its key, counted from the first one's beginning.
    """
    if message_class.idempotency is Idempotency.IDEMPOTENT:
        return RetryAllowance(attempts, 0)
    if message_class.idempotency is Idempotency.NOT_IDEMPOTENT or message_class.key_scope_zone or attempts < 2:
        return ONE_ATTEMPT
    if message_class.key_ttl_us >= message_class.deadline_us:
        return RetryAllowance(attempts, 0)
    return RetryAllowance(2, message_class.key_ttl_us // 2)  # a pause of MAX_BACKOFF_US at most, then the second one


def route_configuration(name: str, rules: RouteRules, settings: Settings) -> route_pb2.RouteConfiguration:
    """Return the route configuration of a route, under its resource name."""
    routes = []
    for word, message_class in settings.classes.items():
        if word in rules.classes:
            routes += _class_routes(name, message_class, retry_allowance(message_class, rules.attempts), word)
        else:
            routes += _unsupported_class_routes(name, word)
    routes.append(_route({"prefix": ""}, route=_route_action(name, 0, ONE_ATTEMPT)))
    host = route_components_pb2.VirtualHost(name=name, domains=["*"], routes=routes)
    return route_pb2.RouteConfiguration(name=name, virtual_hosts=[host])


def _class_routes(
    name: str, message_class: MessageClass, allowance: RetryAllowance, word: str
) -> list[route_components_pb2.Route]:
    """Return a class's routes; a keyed class has one more for calls with a key, which may be tried again."""
    routes = []
    if allowance.attempts > 1 and message_class.idempotency is Idempotency.WITH_KEY:
        has_key = route_components_pb2.HeaderMatcher(name=KEY_HEADER, present_match=True)
        action = _route_action(name, message_class.deadline_us, allowance)
        routes += [_route(match, headers=[has_key], route=action) for match in _matches(word)]
        allowance = ONE_ATTEMPT
    action = _route_action(name, message_class.deadline_us, allowance)
    routes += [_route(match, route=action) for match in _matches(word)]
    return routes


def _unsupported_class_routes(name: str, word: str) -> list[route_components_pb2.Route]:
    body = base_pb2.DataSource(inline_string=f"{word} is not carried on {name}\n")
    answer = route_components_pb2.DirectResponseAction(status=404, body=body)
    return [_route(match, direct_response=answer) for match in _matches(word)]


def _matches(word: str) -> list[dict[str, str]]:
    """Return the path matches of a class: its word alone, and everything below it."""
    return [{"path": f"/{word}"}, {"prefix": f"/{word}/"}]


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

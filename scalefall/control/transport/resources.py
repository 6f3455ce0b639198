"""The fleet and the module's figures as xDS resources, v3, by the published messages. No I/O.

A route N of the configuration is one listener, one route configuration, one cluster and one set of endpoints, all named
`route-N`, so a client resolves `xds:///route-N`. What stands in them, and whose figure it is:

    listener        an api_listener (no socket), its routes from RDS
    routes          by class, the path's first part. Whether a call may go out again is the class's `repeat`:
                    never      only where no connection came about, so nothing was sent
                    keyed      with an Idempotency-Key, as often as fits into the life of the key; not at all where keys
                               count in a zone only, as a proxy would repeat in another
                    freely     up to the route's attempts
                    A class that the route does not carry is answered 404 here. What is of no class goes out once.
    cluster         dial within, calls at once (all endpoints together), and load reports to this service
    endpoints       ready: HEALTHY, draining: DRAINING (calls that are out may end), resting under its guard: UNHEALTHY;
                    weights of endpoints in doubt from their guard's budget. Nothing allowed on the whole route (a told
                    wait, a guard): all calls are dropped at the proxy, which a client that knows no grants keeps too.

Sources: envoy.config.{listener,route,cluster,endpoint}.v3; gRFC A27, A28, A31, A32, A44 for what gRPC takes.
"""

from __future__ import annotations

import hashlib
from collections.abc import Iterable
from math import inf

from envoy.config.cluster.v3 import circuit_breaker_pb2, cluster_pb2
from envoy.config.core.v3 import address_pb2, base_pb2, config_source_pb2, health_check_pb2
from envoy.config.endpoint.v3 import endpoint_components_pb2, endpoint_pb2
from envoy.config.listener.v3 import api_listener_pb2, listener_pb2
from envoy.config.route.v3 import route_components_pb2, route_pb2
from envoy.extensions.filters.http.router.v3 import router_pb2
from envoy.extensions.filters.network.http_connection_manager.v3 import http_connection_manager_pb2
from envoy.type.v3 import percent_pb2
from google.protobuf import any_pb2, duration_pb2, wrappers_pb2

from scalefall import interface as i
from scalefall.control.catalog import CDS, EDS, LDS, RDS, ResourceKey, Resource
from scalefall.control.endpoint_health import EndpointHealth, endpoint_states
from scalefall.control.service import RouteEntries
from scalefall.net.config import RouteRules
from scalefall.net.endpoint_list import Entry

KEY_HEADER = "idempotency-key"
LEASE_NAME = "scalefall-lease"  # the resource whose heartbeats stand for those of all lists
NOT_SENT = "connect-failure"
REPEATED = "connect-failure,refused-stream,reset,gateway-error,unavailable"  # the last one is gRPC's word
WHOLE = 100  # the weight of an endpoint that is in no doubt
STEPS = (1, 2, 5, 10, 20, 50)  # weights of those in doubt, so that not every turn is a change
HEALTH = {
    EndpointHealth.READY: health_check_pb2.HEALTHY,
    EndpointHealth.DRAINING: health_check_pb2.DRAINING,
    EndpointHealth.EJECTED: health_check_pb2.UNHEALTHY,
}


def name(destination: int) -> str:
    return f"route-{destination}"


def destination(named: str) -> int | None:
    """The route of a resource's name, or of a cluster's in a load report; None if it is none of ours."""
    prefix, _, number = named.rpartition("-")
    return int(number) if prefix == "route" and number.isascii() and number.isdigit() and len(number) < 10 else None


def static_resources(rows: RouteEntries, routes: dict[int, RouteRules], settings: i.Settings) -> list[Resource]:
    """Listeners, routes and clusters: what follows from the configuration alone."""
    made = []
    for number, rules in routes.items():
        title = name(number)
        made += [
            _resource(CDS, number, _cluster(title, rows[number]), needs=()),
            _resource(RDS, number, _routes(title, rules, settings), needs=((CDS, title),)),
            _resource(LDS, number, _listener(title), needs=((RDS, title),)),
        ]
    return made


def endpoint_resource(number: int, rows: list[Entry], allowed: list[i.Allowed], now: int, ttl_us: int) -> Resource:
    """The endpoints of a route as they are now; allowed are the module's rows for it."""
    title = name(number)
    found, blocked = endpoint_states((entry.endpoint for entry in rows), allowed, now)
    budgets = {named: budget for row in allowed for named, budget in row.endpoints.items()}
    fair = [row.rate / max(1, len(row.endpoints)) for row in allowed if row.rate < inf]
    places: dict[str, list[endpoint_components_pb2.LbEndpoint]] = {}
    for entry in rows:
        if entry.endpoint.id in found:
            places.setdefault(entry.endpoint.zone, []).append(
                endpoint_components_pb2.LbEndpoint(
                    endpoint=endpoint_components_pb2.Endpoint(address=_address(*entry.address)),
                    health_status=HEALTH[found[entry.endpoint.id]],
                    load_balancing_weight=wrappers_pb2.UInt32Value(value=_weight(budgets.get(entry.endpoint.id), fair)),
                )
            )
    policy = endpoint_pb2.ClusterLoadAssignment.Policy()
    if blocked:
        policy.drop_overloads.add(
            category=blocked,
            drop_percentage=percent_pb2.FractionalPercent(
                numerator=100, denominator=percent_pb2.FractionalPercent.HUNDRED
            ),
        )
    body = endpoint_pb2.ClusterLoadAssignment(
        cluster_name=title,
        policy=policy,
        endpoints=[
            endpoint_components_pb2.LocalityLbEndpoints(
                locality=base_pb2.Locality(zone=zone),
                lb_endpoints=ends,
                load_balancing_weight=wrappers_pb2.UInt32Value(value=len(ends)),
            )
            for zone, ends in sorted(places.items())
        ],
    )
    return _resource(EDS, number, body, (), ttl_us)


def lease_resource(ttl_us: int) -> Resource:
    """An empty list of endpoints under a name of its own, with a time to live: its heartbeats tell a client that all
    lists which it has are still those in force, so that the lists themselves need none."""
    body = _any(endpoint_pb2.ClusterLoadAssignment(cluster_name=LEASE_NAME))
    return Resource(EDS, LEASE_NAME, "1", body, frozenset(), ttl_us)


def _weight(budget: float | None, fair: list[float]) -> int:
    if budget is None or budget == inf:
        return WHOLE
    share = WHOLE * budget / fair[0] if fair and fair[0] > 0 else 1
    return max((step for step in STEPS if step <= share), default=1)


def _cluster(title: str, rows: list[Entry]) -> cluster_pb2.Cluster:
    body = cluster_pb2.Cluster(
        name=title,
        type=cluster_pb2.Cluster.EDS,
        lb_policy=cluster_pb2.Cluster.ROUND_ROBIN,
        connect_timeout=duration(rows[0].dial_us if rows else 1_000_000),
        eds_cluster_config=cluster_pb2.Cluster.EdsClusterConfig(eds_config=_ads()),
        lrs_server=config_source_pb2.ConfigSource(self=config_source_pb2.SelfConfigSource()),
    )
    most = sum(row.endpoint.most_calls for row in rows)
    if most and all(row.endpoint.most_calls for row in rows):
        body.circuit_breakers.thresholds.append(
            circuit_breaker_pb2.CircuitBreakers.Thresholds(
                max_requests=wrappers_pb2.UInt32Value(value=most), max_connections=wrappers_pb2.UInt32Value(value=most)
            )
        )
    return body


def _routes(title: str, rules: RouteRules, settings: i.Settings) -> route_pb2.RouteConfiguration:
    rows = []
    for word, cls in settings.classes.items():
        matches = [{"path": f"/{word}"}, {"prefix": f"/{word}/"}]
        if word not in rules.classes:
            rows += [
                _route(
                    match,
                    direct_response=route_components_pb2.DirectResponseAction(
                        status=404, body=base_pb2.DataSource(inline_string=f"{word} is not carried on {title}\n")
                    ),
                )
                for match in matches
            ]
            continue
        tries, each_us = repeats(cls, rules.attempts)
        if tries > 1 and cls.effect is i.Effect.KEYED:
            keyed = [route_components_pb2.HeaderMatcher(name=KEY_HEADER, present_match=True)]
            rows += [
                _route(match, headers=keyed, route=_action(title, cls.deadline_us, tries, each_us)) for match in matches
            ]
            tries = 1
        rows += [_route(match, route=_action(title, cls.deadline_us, tries, each_us)) for match in matches]
    rows.append(_route({"prefix": ""}, route=_action(title, 0, 1, 0)))
    return route_pb2.RouteConfiguration(
        name=title, virtual_hosts=[route_components_pb2.VirtualHost(name=title, domains=["*"], routes=rows)]
    )


def repeats(cls: i.MessageClass, attempts: int) -> tuple[int, int]:
    """How many tries a proxy may make of a message that may have run, and how long each may last (0: the deadline).
    The last try of a keyed message begins within the life of its key, told from the first one's beginning."""
    if cls.effect is i.Effect.SAFE:
        return attempts, 0
    if cls.effect is i.Effect.UNSAFE or cls.key_scope_zone or attempts < 2:
        return 1, 0
    if cls.key_ttl_us >= cls.deadline_us:
        return attempts, 0
    return 2, cls.key_ttl_us // 2  # then a pause of a tenth of a second at most, and the second one


def _action(title: str, within_us: int, tries: int, each_us: int) -> route_components_pb2.RouteAction:
    policy = route_components_pb2.RetryPolicy(
        retry_on=REPEATED if tries > 1 else NOT_SENT,
        num_retries=wrappers_pb2.UInt32Value(value=max(1, tries - 1)),
        retry_back_off=route_components_pb2.RetryPolicy.RetryBackOff(
            base_interval=duration(25_000), max_interval=duration(100_000)
        ),
    )
    if tries > 1 and each_us:
        policy.per_try_timeout.CopyFrom(duration(each_us))
    return route_components_pb2.RouteAction(cluster=title, timeout=duration(within_us), retry_policy=policy)


def _route(match: dict[str, str], headers: Iterable = (), **action: object) -> route_components_pb2.Route:
    return route_components_pb2.Route(match=route_components_pb2.RouteMatch(headers=headers, **match), **action)


def _listener(title: str) -> listener_pb2.Listener:
    manager = http_connection_manager_pb2.HttpConnectionManager(
        stat_prefix=title,
        rds=http_connection_manager_pb2.Rds(config_source=_ads(), route_config_name=title),
        http_filters=[
            http_connection_manager_pb2.HttpFilter(
                name="envoy.filters.http.router", typed_config=_any(router_pb2.Router())
            )
        ],
    )
    return listener_pb2.Listener(name=title, api_listener=api_listener_pb2.ApiListener(api_listener=_any(manager)))


def _resource(kind: str, number: int, message: object, needs: Iterable[ResourceKey], ttl_us: int = 0) -> Resource:
    """A resource of one destination; its version is a hash of its body."""
    body = _any(message)
    version = hashlib.blake2b(body.value, digest_size=8).hexdigest()
    return Resource(kind, name(number), version, body, frozenset(needs), ttl_us, number)


def _any(message: object) -> any_pb2.Any:
    packed = any_pb2.Any()
    packed.Pack(message, deterministic=True)
    return packed


def _ads() -> config_source_pb2.ConfigSource:
    return config_source_pb2.ConfigSource(
        ads=config_source_pb2.AggregatedConfigSource(), resource_api_version=config_source_pb2.V3
    )


def _address(host: str, port: int) -> address_pb2.Address:
    return address_pb2.Address(socket_address=address_pb2.SocketAddress(address=host, port_value=port))


def duration(us: int) -> duration_pb2.Duration:
    made = duration_pb2.Duration()
    made.FromMicroseconds(us)
    return made

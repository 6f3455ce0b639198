"""The fleet and the engine's allowances as xDS v3 resources. No I/O.

A route N of the configuration is one listener, one route configuration, one cluster and one set of endpoints, all named
`route-N`, so a client resolves `xds:///route-N`. Their contents:

    listener        an api_listener (no socket), its routes from RDS
    routes          see route_configuration.py
    cluster         connect timeout, limit of calls in flight (all endpoints together), load reports to this service
    endpoints       ready: HEALTHY, draining: DRAINING (calls in flight may end), ejected by slow start: UNHEALTHY;
                    an endpoint in slow start is weighted by its budget. While nothing is allowed on the whole route
                    (Retry-After, slow start), a drop policy covers all calls, which also binds clients without grants.

Sources: envoy.config.{listener,cluster,endpoint}.v3; gRFC A27, A31, A32 for the subset that gRPC supports.
"""

from __future__ import annotations

import hashlib
from collections.abc import Iterable
from math import inf

from envoy.config.cluster.v3 import circuit_breaker_pb2, cluster_pb2
from envoy.config.core.v3 import address_pb2, base_pb2, config_source_pb2, health_check_pb2
from envoy.config.endpoint.v3 import endpoint_components_pb2, endpoint_pb2
from envoy.config.listener.v3 import api_listener_pb2, listener_pb2
from envoy.extensions.filters.http.router.v3 import router_pb2
from envoy.extensions.filters.network.http_connection_manager.v3 import http_connection_manager_pb2
from envoy.type.v3 import percent_pb2
from google.protobuf import wrappers_pb2

from scalefall.control.catalog import CDS, EDS, LDS, RDS, Resource, ResourceKey
from scalefall.control.endpoint_health import BlockReason, EndpointHealth, endpoint_states
from scalefall.control.service import RouteEntries
from scalefall.control.transport.protobuf import SerializableMessage, duration, pack
from scalefall.control.transport.route_configuration import route_configuration
from scalefall.net.config import RouteRules
from scalefall.net.list_stream import Entry
from scalefall.policy.actions import RouteAllowance
from scalefall.policy.settings import Settings

LEASE_NAME = "scalefall-lease"  # a resource whose heartbeats replace those of all endpoint lists
NAME_PREFIX = "route"
MAX_ROUTE_DIGITS = 9  # digits of the route number in a resource name
DEFAULT_CONNECT_TIMEOUT_US = 1_000_000  # value for a route without endpoints, which gets no calls
FULL_WEIGHT = 100  # the weight of an endpoint that is not in slow start
WEIGHT_STEPS = (1, 2, 5, 10, 20, 50)  # weights in slow start; coarse, so that few steps change the resource
HEALTH = {
    EndpointHealth.READY: health_check_pb2.HEALTHY,
    EndpointHealth.DRAINING: health_check_pb2.DRAINING,
    EndpointHealth.EJECTED: health_check_pb2.UNHEALTHY,
}


def resource_name(destination: int) -> str:
    """Return the name of a route's resources."""
    return f"{NAME_PREFIX}-{destination}"


def destination_of(name: str) -> int | None:
    """Return the route that a resource or cluster name stands for; None if the name is not `route-N`."""
    prefix, _, number = name.rpartition("-")
    is_ours = prefix == NAME_PREFIX and number.isascii() and number.isdigit() and len(number) <= MAX_ROUTE_DIGITS
    return int(number) if is_ours else None


def static_resources(
    entries_by_route: RouteEntries, rules_by_route: dict[int, RouteRules], settings: Settings
) -> list[Resource]:
    """Return listeners, routes and clusters, which depend on the configuration alone."""
    built = []
    for destination, rules in rules_by_route.items():
        name = resource_name(destination)
        cluster = _cluster(name, entries_by_route[destination])
        routes = route_configuration(name, rules, settings)
        built.append(_resource(CDS, destination, cluster, needs=()))
        built.append(_resource(RDS, destination, routes, needs=((CDS, name),)))
        built.append(_resource(LDS, destination, _listener(name), needs=((RDS, name),)))
    return built


def endpoint_resource(
    destination: int, entries: list[Entry], allowances: list[RouteAllowance], now_us: int, ttl_us: int
) -> Resource:
    """Return the current endpoints of a route.

    Args:
        destination: The route.
        entries: Its endpoints.
        allowances: The engine's allowances of the route.
        now_us: The monotonic clock.
        ttl_us: The resource's time to live; 0 for none.
    """
    name = resource_name(destination)
    states, blocked = endpoint_states((entry.endpoint for entry in entries), allowances, now_us)
    budgets = {endpoint: budget for row in allowances for endpoint, budget in row.endpoints.items()}
    fair_share = _fair_share(allowances)
    zones: dict[str, list[endpoint_components_pb2.LbEndpoint]] = {}
    for entry in entries:
        endpoint = entry.endpoint
        if endpoint.id in states:
            row = _endpoint(entry, states[endpoint.id], _weight(budgets.get(endpoint.id), fair_share))
            zones.setdefault(endpoint.zone, []).append(row)
    message = endpoint_pb2.ClusterLoadAssignment(
        cluster_name=name,
        policy=_drop_policy(blocked),
        endpoints=[_zone(zone, rows) for zone, rows in sorted(zones.items())],
    )
    return _resource(EDS, destination, message, (), ttl_us)


def lease_resource(ttl_us: int) -> Resource:
    """Return an empty endpoint list under a name of its own, with a time to live.

    Its heartbeats confirm to a client that all of its endpoint lists are current, so the lists need no heartbeats.
    """
    body = pack(endpoint_pb2.ClusterLoadAssignment(cluster_name=LEASE_NAME))
    return Resource(EDS, LEASE_NAME, "1", body, frozenset(), ttl_us)


# -- endpoints


def _fair_share(allowances: list[RouteAllowance]) -> float:
    """Return one endpoint's even part of the route's rate; 0 if the route has no rate limit."""
    return next((row.rate / max(1, len(row.endpoints)) for row in allowances if row.rate < inf), 0.0)


def _weight(budget: float | None, fair_share: float) -> int:
    """Return an endpoint's weight: its budget relative to its fair share, rounded down to one of WEIGHT_STEPS."""
    if budget is None or budget == inf:
        return FULL_WEIGHT
    weight = FULL_WEIGHT * budget / fair_share if fair_share > 0 else 1
    return max((step for step in WEIGHT_STEPS if step <= weight), default=1)


def _endpoint(entry: Entry, health: EndpointHealth, weight: int) -> endpoint_components_pb2.LbEndpoint:
    return endpoint_components_pb2.LbEndpoint(
        endpoint=endpoint_components_pb2.Endpoint(address=_address(*entry.address)),
        health_status=HEALTH[health],
        load_balancing_weight=wrappers_pb2.UInt32Value(value=weight),
    )


def _zone(zone: str, rows: list[endpoint_components_pb2.LbEndpoint]) -> endpoint_components_pb2.LocalityLbEndpoints:
    """Return the endpoints of a zone, weighted by their number."""
    return endpoint_components_pb2.LocalityLbEndpoints(
        locality=base_pb2.Locality(zone=zone),
        lb_endpoints=rows,
        load_balancing_weight=wrappers_pb2.UInt32Value(value=len(rows)),
    )


def _drop_policy(blocked: BlockReason) -> endpoint_pb2.ClusterLoadAssignment.Policy:
    """Return a policy that drops every call for this reason; an empty one if there is no reason."""
    policy = endpoint_pb2.ClusterLoadAssignment.Policy()
    if blocked:
        every_call = percent_pb2.FractionalPercent(numerator=100, denominator=percent_pb2.FractionalPercent.HUNDRED)
        policy.drop_overloads.add(category=blocked, drop_percentage=every_call)
    return policy


def _address(host: str, port: int) -> address_pb2.Address:
    return address_pb2.Address(socket_address=address_pb2.SocketAddress(address=host, port_value=port))


# -- clusters and listeners


def _cluster(name: str, entries: list[Entry]) -> cluster_pb2.Cluster:
    cluster = cluster_pb2.Cluster(
        name=name,
        type=cluster_pb2.Cluster.EDS,
        lb_policy=cluster_pb2.Cluster.ROUND_ROBIN,
        connect_timeout=duration(entries[0].dial_us if entries else DEFAULT_CONNECT_TIMEOUT_US),
        eds_cluster_config=cluster_pb2.Cluster.EdsClusterConfig(eds_config=_ads()),
        lrs_server=config_source_pb2.ConfigSource(self=config_source_pb2.SelfConfigSource()),
    )
    max_calls = _max_calls(entries)
    if max_calls:
        cluster.circuit_breakers.thresholds.append(
            circuit_breaker_pb2.CircuitBreakers.Thresholds(
                max_requests=wrappers_pb2.UInt32Value(value=max_calls),
                max_connections=wrappers_pb2.UInt32Value(value=max_calls),
            )
        )
    return cluster


def _max_calls(entries: list[Entry]) -> int:
    """Return the limit of calls in flight of all endpoints together; 0 if one of them has no limit."""
    limits = [entry.endpoint.max_calls for entry in entries]
    return sum(limits) if all(limits) else 0


def _listener(name: str) -> listener_pb2.Listener:
    router = http_connection_manager_pb2.HttpFilter(
        name="envoy.filters.http.router", typed_config=pack(router_pb2.Router())
    )
    manager = http_connection_manager_pb2.HttpConnectionManager(
        stat_prefix=name,
        rds=http_connection_manager_pb2.Rds(config_source=_ads(), route_config_name=name),
        http_filters=[router],
    )
    return listener_pb2.Listener(name=name, api_listener=api_listener_pb2.ApiListener(api_listener=pack(manager)))


def _ads() -> config_source_pb2.ConfigSource:
    return config_source_pb2.ConfigSource(
        ads=config_source_pb2.AggregatedConfigSource(), resource_api_version=config_source_pb2.V3
    )


def _resource(
    kind: str, destination: int, message: SerializableMessage, needs: Iterable[ResourceKey], ttl_us: int = 0
) -> Resource:
    """Return a resource of one destination; its version is a hash of its body."""
    body = pack(message)
    version = hashlib.blake2b(body.value, digest_size=8).hexdigest()
    return Resource(kind, resource_name(destination), version, body, frozenset(needs), ttl_us, destination)

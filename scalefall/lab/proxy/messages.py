"""The messages between a sender and the control service, in the published protocols. No I/O, no clock.

Used by the stand-in on sockets and by hollow senders, so that both send the same. Times are microseconds.
"""

from __future__ import annotations

from collections.abc import Iterable, Iterator
from dataclasses import dataclass, field

from envoy.config.endpoint.v3 import endpoint_pb2, load_report_pb2
from envoy.service.discovery.v3 import discovery_pb2
from envoy.service.load_stats.v3 import lrs_pb2
from envoy.service.rate_limit_quota.v3 import rlqs_pb2

from scalefall.control.catalog import EDS
from scalefall.control.transport import quota_wire, reports, resources, wire
from scalefall.policy.events import Outcome

USAGE_SPAN_S = 1000  # reported span: calls are whole numbers, so a rate is given in thousandths of a call
STATES = {health: word for word, health in resources.HEALTH.items()}

DeltaRequest = discovery_pb2.DeltaDiscoveryRequest
DeltaResponse = discovery_pb2.DeltaDiscoveryResponse
QuotaReport = rlqs_pb2.RateLimitQuotaUsageReports
QuotaResponse = rlqs_pb2.RateLimitQuotaResponse
LoadRequest = lrs_pb2.LoadStatsRequest
LoadResponse = lrs_pb2.LoadStatsResponse


@dataclass(slots=True, frozen=True)
class EndpointStates:
    """The endpoints of a route in a list: state by address."""

    states: dict[str, str]
    blocked: bool
    ttl_us: int


@dataclass(slots=True, frozen=True)
class ReceivedGrant:
    route: int
    amount: int  # thousandths of a call a second
    number: int
    last_report: int  # the last usage report that the service had received
    lease_us: int


@dataclass(slots=True, frozen=True)
class Call:
    """A finished call, for a load report."""

    outcome: Outcome
    wait_until_us: int  # the end of the answer's Retry-After, or of the call
    load_report: dict[str, float] = field(default_factory=dict)


# -- resources


def subscription(node: str, names: Iterable[str]) -> DeltaRequest:
    """Return the first request of a resource stream."""
    return DeltaRequest(
        node={"id": node, "client_features": [wire.TTL_FEATURE]},
        type_url=EDS,
        resource_names_subscribe=names,
    )


def acknowledgement(response: DeltaResponse) -> DeltaRequest:
    return DeltaRequest(type_url=EDS, response_nonce=response.nonce)


def is_heartbeat(response: DeltaResponse) -> bool:
    """Return whether a response only renews times to live of resources that the client has."""
    rows = response.resources
    return bool(rows) and not response.removed_resources and not any(row.HasField("resource") for row in rows)


def endpoint_states(row: discovery_pb2.Resource) -> EndpointStates | None:
    """Return the endpoints in a resource, or None for a heartbeat."""
    if not row.HasField("resource"):
        return None
    load, states = endpoint_pb2.ClusterLoadAssignment(), {}
    row.resource.Unpack(load)
    for zone in load.endpoints:
        for endpoint in zone.lb_endpoints:
            address = endpoint.endpoint.address.socket_address
            states[f"{address.address}:{address.port_value}"] = STATES[endpoint.health_status]
    return EndpointStates(states, bool(load.policy.drop_overloads), row.ttl.ToMicroseconds())


# -- quotas


def usage_report(node: str, rows: Iterable[tuple[int, float, int, int]]) -> QuotaReport:
    """Return a usage report; rows: as from Contract.usage_rows."""
    message = QuotaReport(domain=node)
    for route, calls_per_s, highest_grant, report_number in rows:
        usage = message.bucket_quota_usages.add(num_requests_allowed=int(calls_per_s * USAGE_SPAN_S))
        usage.time_elapsed.FromSeconds(USAGE_SPAN_S)
        usage.bucket_id.bucket.update(
            {
                quota_wire.ROUTE: f"{route}",
                quota_wire.ACKNOWLEDGED_GRANT: f"{highest_grant}",
                quota_wire.REPORT_NUMBER: f"{report_number}",
            }
        )
    return message


def received_grants(response: QuotaResponse) -> Iterator[ReceivedGrant]:
    for action in response.bucket_action:
        keys, assignment = action.bucket_id.bucket, action.quota_assignment_action
        if action.HasField("quota_assignment_action"):
            yield ReceivedGrant(
                int(keys[quota_wire.ROUTE]),
                quota_wire.amount_of(assignment.rate_limit_strategy),
                int(keys[quota_wire.GRANT]),
                int(keys[quota_wire.LAST_REPORT]),
                assignment.assignment_time_to_live.ToMicroseconds(),
            )


# -- load reports


def initial_load_request(node: str) -> LoadRequest:
    """Return the first request of a load stream."""
    return LoadRequest(node={"id": node})


def load_report(calls: dict[tuple[int, str], list[Call]], span_us: int, now: int) -> LoadRequest:
    """Return a load report; calls: by route and address; span_us: since the last report."""
    return LoadRequest(
        cluster_stats=[_cluster_stats(route, address, rows, span_us, now) for (route, address), rows in calls.items()]
    )


def _cluster_stats(route: int, address: str, rows: list[Call], span_us: int, now: int) -> load_report_pb2.ClusterStats:
    stats = load_report_pb2.ClusterStats(cluster_name=resources.resource_name(route))
    stats.load_report_interval.FromMicroseconds(span_us)
    host, _, port = address.rpartition(":")
    endpoint = stats.upstream_locality_stats.add().upstream_endpoint_stats.add(
        total_successful_requests=sum(row.outcome is Outcome.OK for row in rows),
        total_error_requests=sum(row.outcome is not Outcome.OK for row in rows),
        total_issued_requests=len(rows),
    )
    endpoint.address.socket_address.address, endpoint.address.socket_address.port_value = host, int(port)
    metrics = {
        reports.METRIC_PREFIX + name: [1.0] * sum(row.outcome is outcome for row in rows)
        for name, outcome in reports.OUTCOME_METRICS.items()
    }
    for name in reports.NAMED_METRICS:
        metrics[name] = [row.load_report[name] for row in rows if name in row.load_report]
    metrics[reports.METRIC_PREFIX + "wait_ms"] = [max(0.0, max((row.wait_until_us - now) / 1000 for row in rows))]
    for name, values in metrics.items():
        if values and (sum(values) or name in reports.NAMED_METRICS):
            endpoint.load_metric_stats.add(
                metric_name=name, num_requests_finished_with_metric=len(values), total_metric_value=sum(values)
            )
    return stats

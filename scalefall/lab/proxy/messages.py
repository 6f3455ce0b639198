"""What a sender says to control and reads from it, as messages of the published protocols. No I/O, no clock.

Used by the stand-in on sockets and by hollow senders, so that both say the same. Times are microseconds.
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

USAGE_SPAN_S = 1000  # a rate is told as so many thousandths of calls over this span, as calls are whole numbers
STATES = {health: word for word, health in resources.HEALTH.items()}

DeltaRequest = discovery_pb2.DeltaDiscoveryRequest
DeltaResponse = discovery_pb2.DeltaDiscoveryResponse
QuotaReport = rlqs_pb2.RateLimitQuotaUsageReports
QuotaResponse = rlqs_pb2.RateLimitQuotaResponse
LoadRequest = lrs_pb2.LoadStatsRequest
LoadResponse = lrs_pb2.LoadStatsResponse


@dataclass(slots=True, frozen=True)
class EndpointStates:
    """The endpoints of a route as a list tells them: state by address."""

    states: dict[str, str]
    blocked: bool
    ttl_us: int


@dataclass(slots=True, frozen=True)
class ReceivedGrant:
    route: int
    amount: int  # thousandths of a call a second
    number: int
    last_report: int  # the last report of use that the service had heard
    lease_us: int


@dataclass(slots=True, frozen=True)
class Call:
    """A call that has ended, for a load report."""

    outcome: Outcome
    wait_until_us: int  # until when its answer told to wait, or when it ended
    load_report: dict[str, float] = field(default_factory=dict)


# -- resources


def subscription(node: str, names: Iterable[str]) -> DeltaRequest:
    """The first request of a resource stream."""
    return DeltaRequest(
        node={"id": node, "client_features": [wire.TTL_FEATURE]},
        type_url=EDS,
        resource_names_subscribe=names,
    )


def acknowledgement(response: DeltaResponse) -> DeltaRequest:
    return DeltaRequest(type_url=EDS, response_nonce=response.nonce)


def is_heartbeat(response: DeltaResponse) -> bool:
    """Whether it only renews the times to live of what the client has."""
    rows = response.resources
    return bool(rows) and not response.removed_resources and not any(row.HasField("resource") for row in rows)


def endpoint_states(row: discovery_pb2.Resource) -> EndpointStates | None:
    """None if the row is a heartbeat's."""
    if not row.HasField("resource"):
        return None
    load, states = endpoint_pb2.ClusterLoadAssignment(), {}
    row.resource.Unpack(load)
    for zone in load.endpoints:
        for end in zone.lb_endpoints:
            at = end.endpoint.address.socket_address
            states[f"{at.address}:{at.port_value}"] = STATES[end.health_status]
    return EndpointStates(states, bool(load.policy.drop_overloads), row.ttl.ToMicroseconds())


# -- quotas


def usage_report(node: str, rows: Iterable[tuple[int, float, int, int]]) -> QuotaReport:
    """rows as Contract.usage gives them: route, calls a second, highest grant had, number of the report."""
    message = QuotaReport(domain=node)
    for route, calls, had, said in rows:
        usage = message.bucket_quota_usages.add(num_requests_allowed=int(calls * USAGE_SPAN_S))
        usage.time_elapsed.FromSeconds(USAGE_SPAN_S)
        usage.bucket_id.bucket.update(
            {quota_wire.ROUTE: f"{route}", quota_wire.ACKNOWLEDGED_GRANT: f"{had}", quota_wire.REPORT_NUMBER: f"{said}"}
        )
    return message


def received_grants(response: QuotaResponse) -> Iterator[ReceivedGrant]:
    for action in response.bucket_action:
        keys, given = action.bucket_id.bucket, action.quota_assignment_action
        if action.HasField("quota_assignment_action"):
            yield ReceivedGrant(
                int(keys[quota_wire.ROUTE]),
                quota_wire.amount_of(given.rate_limit_strategy),
                int(keys[quota_wire.GRANT]),
                int(keys[quota_wire.LAST_REPORT]),
                given.assignment_time_to_live.ToMicroseconds(),
            )


# -- load reports


def initial_load_request(node: str) -> LoadRequest:
    """The first request of a load stream."""
    return LoadRequest(node={"id": node})


def load_report(calls: dict[tuple[int, str], list[Call]], span_us: int, now: int) -> LoadRequest:
    """calls by route and address; span_us: since the last report."""
    return LoadRequest(
        cluster_stats=[_cluster_stats(route, place, rows, span_us, now) for (route, place), rows in calls.items()]
    )


def _cluster_stats(route: int, place: str, rows: list[Call], span_us: int, now: int) -> load_report_pb2.ClusterStats:
    stats = load_report_pb2.ClusterStats(cluster_name=resources.resource_name(route))
    stats.load_report_interval.FromMicroseconds(span_us)
    host, _, port = place.rpartition(":")
    end = stats.upstream_locality_stats.add().upstream_endpoint_stats.add(
        total_successful_requests=sum(row.outcome is Outcome.OK for row in rows),
        total_error_requests=sum(row.outcome is not Outcome.OK for row in rows),
        total_issued_requests=len(rows),
    )
    end.address.socket_address.address, end.address.socket_address.port_value = host, int(port)
    metrics = {
        reports.METRIC_PREFIX + word: [1.0] * sum(row.outcome is outcome for row in rows)
        for word, outcome in reports.OUTCOME_METRICS.items()
    }
    for word in reports.NAMED_METRICS:
        metrics[word] = [row.load_report[word] for row in rows if word in row.load_report]
    metrics[reports.METRIC_PREFIX + "wait_ms"] = [max(0.0, max((row.wait_until_us - now) / 1000 for row in rows))]
    for word, values in metrics.items():
        if values and (sum(values) or word in reports.NAMED_METRICS):
            end.load_metric_stats.add(
                metric_name=word, num_requests_finished_with_metric=len(values), total_metric_value=sum(values)
            )
    return stats

"""Load reports as events of the engine. No I/O.

Counts by endpoint (upstream_endpoint_stats) are used where a client reports them; else a zone's totals are distributed
evenly over its endpoints. Named metrics beside the counts of successes and errors give the outcomes of failed calls:

    scalefall.full, scalefall.timeout, scalefall.reset, scalefall.connect_failed     calls with this outcome
    scalefall.wait_ms       the longest Retry-After of the endpoint's answers, as of this report
    x0, x1                  ORCA's named metrics as the endpoint reported them (also as named_metrics.x0): the mean

Errors without such a metric have the outcome ERROR. Source: envoy.service.load_stats.v3, gRFC A64, A85.
"""

from __future__ import annotations

from collections.abc import Iterable, Iterator
from dataclasses import dataclass
from itertools import cycle
from math import inf
from typing import TypeAlias

from envoy.config.endpoint.v3 import load_report_pb2

from scalefall.control.transport import resources
from scalefall.net.list_stream import Entry
from scalefall.net.logs import log
from scalefall.policy.events import EndpointReport, Outcome

METRIC_PREFIX = "scalefall."
RETRY_AFTER_METRIC = METRIC_PREFIX + "wait_ms"
ORCA_PREFIX = "named_metrics."
OUTCOME_METRICS = {
    "full": Outcome.OVERLOADED,
    "timeout": Outcome.TIMEOUT,
    "reset": Outcome.RESET,
    "connect_failed": Outcome.CONNECT_FAILED,
}
NAMED_METRICS = ("x0", "x1")
MAX_REPORTED_CALLS = 1000  # events of one endpoint and outcome from one report: bounds a step's work
MAX_RETRY_AFTER_MS = 3_600_000  # an hour; a longer one counts as this
MAX_REPORT_INTERVAL_US = 60_000_000  # a minute between reports; a longer one counts as this

Stats: TypeAlias = load_report_pb2.UpstreamEndpointStats | load_report_pb2.UpstreamLocalityStats


# Route, host and port, by which a load report names an endpoint. A plain tuple for speed: there is one for each
# endpoint of a fleet and for each row of a report.
EndpointAddress: TypeAlias = tuple[int, str, int]


class LoadReportIndex:
    """The endpoints of a fleet as load reports name them."""

    def __init__(self, entries: Iterable[Entry], max_reported_calls: int = MAX_REPORTED_CALLS) -> None:
        """Index the endpoints.

        Args:
            entries: The fleet's endpoints.
            max_reported_calls: Most events of one endpoint and outcome from one report.
        """
        self._max_reported_calls = max_reported_calls
        self._ids: dict[EndpointAddress, str] = {}
        self._ids_by_zone: dict[tuple[int, str], list[str]] = {}
        for entry in entries:
            endpoint = entry.endpoint
            self._ids[endpoint.destination, *entry.address] = endpoint.id
            self._ids_by_zone.setdefault((endpoint.destination, endpoint.zone), []).append(endpoint.id)

    @staticmethod
    def loads(stats: Iterable[load_report_pb2.ClusterStats]) -> dict[int, int]:
        """Return the number of calls that were issued, by destination; MAX_REPORTED_CALLS does not limit it."""
        loads: dict[int, int] = {}
        for cluster in stats:
            route = resources.destination_of(cluster.cluster_name)
            if route is not None:
                calls = sum(_issued_calls(locality) for locality in cluster.upstream_locality_stats)
                loads[route] = loads.get(route, 0) + calls
        return loads

    def events(self, stats: Iterable[load_report_pb2.ClusterStats], now_us: int) -> Iterator[EndpointReport]:
        """Yield an event for each call; rows of unknown clusters and endpoints are ignored."""
        for cluster in stats:
            route = resources.destination_of(cluster.cluster_name)
            if route is None:
                continue
            interval_us = max(0, min(MAX_REPORT_INTERVAL_US, cluster.load_report_interval.ToMicroseconds()))
            for locality in cluster.upstream_locality_stats:
                for endpoints, row in self._rows(route, locality):
                    yield from _call_events(endpoints, row, now_us, interval_us, self._max_reported_calls)

    def _rows(self, route: int, locality: load_report_pb2.UpstreamLocalityStats) -> Iterator[tuple[list[str], Stats]]:
        """Yield each row with its endpoints: one endpoint, or all of a zone if the client reports totals only."""
        if not locality.upstream_endpoint_stats:
            endpoints = self._ids_by_zone.get((route, locality.locality.zone))
            if endpoints:
                yield endpoints, locality
            return
        for row in locality.upstream_endpoint_stats:
            address = row.address.socket_address
            endpoint = self._ids.get((route, address.address, address.port_value))
            if endpoint is not None:
                yield [endpoint], row


def _issued_calls(locality: load_report_pb2.UpstreamLocalityStats) -> int:
    """Return the calls issued; for a client that does not report them, the calls that ended."""
    issued: int = locality.total_issued_requests
    return issued or sum(
        row.total_issued_requests or row.total_successful_requests + row.total_error_requests
        for row in locality.upstream_endpoint_stats or (locality,)
    )


@dataclass(slots=True)
class _Metrics:
    """The named metrics of a row.

    Attributes:
        failures: Calls that failed, by outcome.
        load_report: The mean of each named metric of the endpoint.
        retry_after_us: The longest Retry-After; 0 for none.
    """

    failures: dict[Outcome, int]
    load_report: dict[str, float]
    retry_after_us: int = 0


def _read_metrics(row: Stats) -> _Metrics:
    found = _Metrics({}, {})
    for metric in row.load_metric_stats:
        name = metric.metric_name.removeprefix(ORCA_PREFIX)
        count, total = metric.num_requests_finished_with_metric, metric.total_metric_value
        if not 0 <= total < inf:
            log.warning("load report: value of metric %.80r cannot be used: %r", name, total)
            continue
        if name in NAMED_METRICS and count:
            found.load_report[name] = total / count
        elif name == RETRY_AFTER_METRIC:
            found.retry_after_us = int(min(total, MAX_RETRY_AFTER_MS) * 1000)
        elif name.startswith(METRIC_PREFIX) and name.removeprefix(METRIC_PREFIX) in OUTCOME_METRICS:
            found.failures[OUTCOME_METRICS[name.removeprefix(METRIC_PREFIX)]] = count
    unexplained = row.total_error_requests - sum(found.failures.values())
    found.failures[Outcome.ERROR] = max(0, unexplained)
    return found


def _call_events(
    endpoints: list[str], row: Stats, now_us: int, interval_us: int, max_reported_calls: int
) -> Iterator[EndpointReport]:
    """Yield an event for each call of a row, to its endpoints in rotation.

    Failures come last, so that successes of the same report do not cancel them. Successes count as sent at the
    beginning of the report's interval and failures at its end, which is the cautious assumption for both.
    """
    metrics = _read_metrics(row)
    in_turn = cycle(endpoints)
    for _ in range(min(max_reported_calls, row.total_successful_requests)):
        yield EndpointReport(next(in_turn), now_us - interval_us, Outcome.OK, 0, metrics.load_report)
    for outcome, count in metrics.failures.items():
        for _ in range(min(max_reported_calls, count)):
            yield EndpointReport(next(in_turn), now_us, outcome, metrics.retry_after_us, metrics.load_report)
    if metrics.retry_after_us and not any(metrics.failures.values()):
        yield EndpointReport(endpoints[0], now_us, Outcome.NOT_SENT, metrics.retry_after_us)

"""Load reports as the module's events. No I/O.

By endpoint (upstream_endpoint_stats) where a client gives them, else a zone's totals over its endpoints in turn. What
is reported by named metrics beside successes and errors, each with its number of calls, says how errors ended:

    scalefall.full, scalefall.timeout, scalefall.reset, scalefall.connect_failed     calls that ended so
    scalefall.wait_ms       the longest wait that answers told, as of this report
    x0, x1                  ORCA's named metrics as the endpoint told them (also as named_metrics.x0): the mean

Errors that nothing says more of are errors. Source: envoy.service.load_stats.v3, gRFC A64, A85.
"""

from __future__ import annotations

from collections.abc import Iterable, Iterator

from envoy.config.endpoint.v3 import load_report_pb2

from scalefall import interface as i
from scalefall.control.transport import resources
from scalefall.net.endpoint_list import Entry

METRIC_PREFIX = "scalefall."
OUTCOME_METRICS = {
    "full": i.Outcome.FULL,
    "timeout": i.Outcome.TIMEOUT,
    "reset": i.Outcome.RESET,
    "connect_failed": i.Outcome.CONNECT_FAILED,
}
NAMED_METRICS = ("x0", "x1")
MAX_REPORTED_CALLS = 1000  # calls of one endpoint and outcome in one report that the module is told one by one
MOST_WAIT_MS = 3_600_000
MOST_INTERVAL_US = 60_000_000
Place = tuple[int, str, int]  # route, address, port


class LoadReportIndex:
    """The endpoints of a fleet as load reports name them."""

    def __init__(self, entries: Iterable[Entry], most_reported: int = MAX_REPORTED_CALLS) -> None:
        """most_reported: calls of one endpoint and outcome in one report that the module is told one by one."""
        self._most = most_reported
        self._ids: dict[Place, str] = {}
        self._zones: dict[tuple[int, str], list[str]] = {}
        for entry in entries:
            end = entry.endpoint
            self._ids[end.destination, *entry.address] = end.id
            self._zones.setdefault((end.destination, end.zone), []).append(end.id)

    @staticmethod
    def loads(stats: Iterable[load_report_pb2.ClusterStats]) -> dict[int, int]:
        """Calls that were issued, by destination: all of them, however many the module is told one by one."""
        found: dict[int, int] = {}
        for cluster in stats:
            route = resources.destination(cluster.cluster_name)
            if route is not None:
                calls = sum(_issued(locality) for locality in cluster.upstream_locality_stats)
                found[route] = found.get(route, 0) + calls
        return found

    def events(self, stats: Iterable[load_report_pb2.ClusterStats], now: int) -> Iterator[i.Reported]:
        """What is of no cluster or endpoint of ours says nothing."""
        for cluster in stats:
            route = resources.destination(cluster.cluster_name)
            if route is None:
                continue
            span = min(MOST_INTERVAL_US, cluster.load_report_interval.ToMicroseconds())
            for locality in cluster.upstream_locality_stats:
                if locality.upstream_endpoint_stats:
                    for row in locality.upstream_endpoint_stats:
                        at = row.address.socket_address
                        name = self._ids.get((route, at.address, at.port_value))
                        if name is not None:
                            yield from _calls([name], row, now, max(0, span), self._most)
                else:
                    names = self._zones.get((route, locality.locality.zone))
                    if names:
                        yield from _calls(names, locality, now, max(0, span), self._most)


def _issued(row: load_report_pb2.UpstreamLocalityStats) -> int:
    """Clients that tell no number of issued calls tell how those that ended did."""
    return row.total_issued_requests or sum(
        end.total_issued_requests or end.total_successful_requests + end.total_error_requests
        for end in row.upstream_endpoint_stats or (row,)
    )


def _calls(names: list[str], row: object, now: int, span_us: int, most: int) -> Iterator[i.Reported]:
    """Failures last, so that they aren't taken back by successes of the same report; successes count as sent at its
    beginning and failures at its end, which is the cautious side of both."""
    ends, report, wait = {}, {}, 0
    for metric in row.load_metric_stats:
        name = metric.metric_name.removeprefix("named_metrics.")
        count, total = metric.num_requests_finished_with_metric, metric.total_metric_value
        if not 0 <= total < float("inf"):
            continue
        if name in NAMED_METRICS and count:
            report[name] = total / count
        elif name == METRIC_PREFIX + "wait_ms":
            wait = int(min(total, MOST_WAIT_MS) * 1000)
        elif name.startswith(METRIC_PREFIX) and name.removeprefix(METRIC_PREFIX) in OUTCOME_METRICS:
            ends[OUTCOME_METRICS[name.removeprefix(METRIC_PREFIX)]] = count
    ends[i.Outcome.ERROR] = max(0, row.total_error_requests - sum(ends.values()))
    at = 0
    for _ in range(min(most, row.total_successful_requests)):
        yield i.Reported(names[at % len(names)], now - span_us, i.Outcome.OK, 0, report)
        at += 1
    for outcome, count in ends.items():
        for _ in range(min(most, count)):
            yield i.Reported(names[at % len(names)], now, outcome, wait, report)
            at += 1
    if wait and not any(ends.values()):
        yield i.Reported(names[0], now, i.Outcome.NOT_SENT, wait)

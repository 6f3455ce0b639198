"""Metrics that proxies report: a value that cannot be used is one log line, and the rest of the report counts."""

import math

import pytest
from envoy.config.endpoint.v3 import load_report_pb2

from scalefall.control.transport import resources
from scalefall.control.transport.reports import MAX_RETRY_AFTER_MS, LoadReportIndex
from scalefall.net.list_stream import Entry
from scalefall.policy.events import Endpoint, EndpointStatus, Outcome

ENTRY = Entry(Endpoint("e", "a", "one", 1, EndpointStatus.READY, 1.0), ("10.0.0.1", 80))


def events_of(wait_ms):
    """Return the events of a report with one rejected call and this Retry-After."""
    stats = load_report_pb2.ClusterStats(cluster_name=resources.resource_name(1))
    locality = stats.upstream_locality_stats.add()
    locality.locality.zone = "a"
    locality.total_error_requests = 1
    for name, count, value in (("scalefall.full", 1, 1.0), ("scalefall.wait_ms", 1, wait_ms)):
        locality.load_metric_stats.add(
            metric_name=name, num_requests_finished_with_metric=count, total_metric_value=value
        )
    return [event for event in LoadReportIndex([ENTRY]).events([stats], 0) if event.outcome is not Outcome.OK]


@pytest.mark.parametrize(
    ("wait_ms", "wait_us"), [(0.0, 0), (0.25, 250), (9e2, 900_000), (1e300, MAX_RETRY_AFTER_MS * 1000)]
)
def test_every_wait_that_a_proxy_reports_counts(wait_ms, wait_us, caplog):
    assert [(event.outcome, event.retry_after_us) for event in events_of(wait_ms)] == [(Outcome.OVERLOADED, wait_us)]
    assert not caplog.records


@pytest.mark.parametrize("wait_ms", [-1.0, math.nan, math.inf])
def test_a_wait_that_cannot_be_used_is_one_log_line_and_the_call_counts(wait_ms, caplog):
    """Guards against the class of review case 8: such a metric was left out with no line."""
    assert [(event.outcome, event.retry_after_us) for event in events_of(wait_ms)] == [(Outcome.OVERLOADED, 0)]
    (record,) = caplog.records
    assert record.getMessage() == f"load report: value of metric 'scalefall.wait_ms' cannot be used: {wait_ms!r}"

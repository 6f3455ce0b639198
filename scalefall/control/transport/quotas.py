"""Quota streams by route or, where destinations are sharded, by shard.

Passes reports to the service and makes messages of its grants. No I/O, and no decisions.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass, field
from typing import Protocol

from envoy.config.endpoint.v3 import load_report_pb2

from scalefall.assignment.service import ShardedService, ShardGrants
from scalefall.control.grants import Grant
from scalefall.control.service import ControlService
from scalefall.control.transport import quota_wire
from scalefall.control.transport.protobuf import serialize
from scalefall.control.transport.quota_wire import Usage
from scalefall.control.transport.reports import LoadReportIndex


@dataclass(slots=True)
class QuotaSession:
    """The state of one quota stream.

    Attributes:
        buckets: The buckets that it has reported, by route.
        last_report: The number of its last report; only where destinations are sharded.
    """

    buckets: dict[int, quota_wire.ReportedRoute] = field(default_factory=dict)
    last_report: int | None = None


class Quotas(Protocol):
    """One of the two ways in which quotas are granted."""

    def usage_reported(self, stream: int, session: QuotaSession, usage: Usage, now_us: int) -> bytes | None:
        """Handle one row of a report; return the message that answers it immediately, if any."""

    def grant_message(self, session: QuotaSession, grant: Grant | ShardGrants) -> bytes | None:
        """Return a grant as a message; None if it is not for this stream."""

    def count_calls(self, index: LoadReportIndex, stats: Iterable[load_report_pb2.ClusterStats]) -> None:
        """Count the calls of a load report, if quotas depend on the load."""


class RouteQuotas:
    """Grants by route: one bucket each, whose keys the client chooses."""

    def __init__(self, service: ControlService) -> None:
        """Store the service that makes the grants."""
        self._service = service

    def usage_reported(self, stream: int, session: QuotaSession, usage: Usage, now_us: int) -> bytes | None:
        """Record a route's demand; answer a bucket that names no configured route with an abandon action."""
        report = quota_wire.read_route_report(usage)
        if report.route is None or not self._service.demand_reported(
            stream, report.route, quota_wire.demanded_calls_per_s(usage), report.acknowledged_grant, now_us
        ):
            return serialize(quota_wire.abandon(report.keys))
        session.buckets[report.route] = report
        return None

    def grant_message(self, session: QuotaSession, grant: Grant | ShardGrants) -> bytes | None:
        """Return a grant in the bucket that the client has reported; None if it has reported none for the route."""
        if not isinstance(grant, Grant):
            return None
        bucket = session.buckets.get(grant.destination)
        if bucket is None:
            return None
        return serialize(quota_wire.grant(grant, bucket.keys, bucket.report_number))

    def count_calls(self, index: LoadReportIndex, stats: Iterable[load_report_pb2.ClusterStats]) -> None:
        """Do nothing: grants by route follow the demand that clients report."""


class ShardQuotas:
    """Grants of assigned shards: one message carries all that are due, and a report acknowledges them together."""

    def __init__(self, service: ShardedService) -> None:
        """Store the service that assigns the shards."""
        self._service = service

    def usage_reported(self, stream: int, session: QuotaSession, usage: Usage, now_us: int) -> bytes | None:
        """Record an acknowledgement; answer a bucket of a route with an abandon action, as none is granted."""
        report = quota_wire.read_session_report(usage)
        if report is None:
            return serialize(quota_wire.abandon(dict(usage.bucket_id.bucket)))
        session.last_report = report.report_number
        self._service.acknowledged(stream, report.acknowledged_grant, now_us)
        return None

    def grant_message(self, session: QuotaSession, grant: Grant | ShardGrants) -> bytes | None:
        """Return grants of shards as one message."""
        if not isinstance(grant, ShardGrants):
            return None
        return serialize(quota_wire.shard_grants(grant.grants, session.last_report))

    def count_calls(self, index: LoadReportIndex, stats: Iterable[load_report_pb2.ClusterStats]) -> None:
        """Count the calls of each destination, as shards are placed by their load."""
        self._service.calls_counted(index.loads(stats))

"""Quota messages: what a report says to the service, and how its grants go out.

By route, or by shard where destinations are divided among senders. No I/O, and no decisions.
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
    """What one quota stream has said of itself.

    Attributes:
        buckets: The buckets that it has reported, by route.
        last_report: The number of its last report, where destinations are divided.
    """

    buckets: dict[int, quota_wire.ReportedRoute] = field(default_factory=dict)
    last_report: int | None = None


class Quotas(Protocol):
    """One of the two ways in which quotas are granted."""

    def usage_reported(self, stream: int, session: QuotaSession, usage: Usage, now_us: int) -> bytes | None:
        """Take in one row of a report; return a message that answers it at once, if any."""

    def grant_message(self, session: QuotaSession, grant: Grant | ShardGrants) -> bytes | None:
        """Return a grant as a message; None if the stream is not to have it."""

    def count_calls(self, index: LoadReportIndex, stats: Iterable[load_report_pb2.ClusterStats]) -> None:
        """Count the calls of a load report, where quotas follow the load."""


class RouteQuotas:
    """One bucket a route, named by the client; each is granted by itself."""

    def __init__(self, service: ControlService) -> None:
        """Take the service that grants."""
        self._service = service

    def usage_reported(self, stream: int, session: QuotaSession, usage: Usage, now_us: int) -> bytes | None:
        """Take in a route's demand; a bucket of no route of ours is abandoned."""
        report = quota_wire.read_route_report(usage)
        if report.route is None or not self._service.demand_reported(
            stream, report.route, quota_wire.demanded_calls_per_s(usage), report.acknowledged_grant, now_us
        ):
            return serialize(quota_wire.abandon(report.keys))
        session.buckets[report.route] = report
        return None

    def grant_message(self, session: QuotaSession, grant: Grant | ShardGrants) -> bytes | None:
        """Return a grant in the bucket that the client has reported; None if it has reported none of that route."""
        if not isinstance(grant, Grant):
            return None
        bucket = session.buckets.get(grant.destination)
        if bucket is None:
            return None
        return serialize(quota_wire.grant(grant, bucket.keys, bucket.report_number))

    def count_calls(self, index: LoadReportIndex, stats: Iterable[load_report_pb2.ClusterStats]) -> None:
        """Do nothing: grants by route follow the demand that their reports tell."""


class ShardQuotas:
    """Shards are granted as they are assigned, all that is due in one message; a report acknowledges them together."""

    def __init__(self, service: ShardedService) -> None:
        """Take the service that assigns."""
        self._service = service

    def usage_reported(self, stream: int, session: QuotaSession, usage: Usage, now_us: int) -> bytes | None:
        """Take in an acknowledgement; a bucket of a route is abandoned, as none is granted here."""
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
        """Count the calls of each destination: shards are placed by their load."""
        self._service.calls_counted(index.loads(stats))

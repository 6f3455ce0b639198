"""Quota streams: what a report says to the service, and how its grants go out. By route, or by shard where destinations
are divided among senders. It moves messages and decides nothing."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import Protocol

from envoy.service.rate_limit_quota.v3 import rlqs_pb2

from scalefall.assignment.service import ShardedService, ShardGrants
from scalefall.control.transport import wire
from scalefall.control.grants import Grant
from scalefall.control.service import ControlService

Usage = rlqs_pb2.RateLimitQuotaUsageReports.BucketQuotaUsage


@dataclass(slots=True)
class QuotaSession:
    """What one quota stream has said of itself."""

    buckets: dict[int, tuple[dict[str, str], int | None]] = field(default_factory=dict)  # by route: as reported, number
    heard: int | None = None  # the number of its last report, where destinations are divided


class Quotas(Protocol):
    """One of the two ways."""

    def usage_reported(self, stream: int, session: QuotaSession, usage: Usage, now: int) -> bytes | None:
        """Take in one row of a report; a message that answers it at once, if any."""

    def grant_message(self, session: QuotaSession, action: object) -> bytes | None:
        """A grant as a message, if the stream is to have it."""


class RouteQuotas:
    """A bucket a route, named by the client; each is granted by itself."""

    def __init__(self, service: ControlService) -> None:
        self._service = service

    def usage_reported(self, stream: int, session: QuotaSession, usage: Usage, now: int) -> bytes | None:
        route, had, number = wire.bucket_of(usage)
        bucket = {
            key: value
            for key, value in usage.bucket_id.bucket.items()
            if key not in (wire.ACKNOWLEDGED_GRANT, wire.REPORT_NUMBER)
        }
        if route is None or not self._service.demand_reported(stream, route, wire.calls_of(usage), had, now):
            return wire.abandon(bucket).SerializeToString()
        session.buckets[route] = (bucket, number)
        return None

    def grant_message(self, session: QuotaSession, action: object) -> bytes | None:
        bucket = session.buckets.get(action.destination) if isinstance(action, Grant) else None
        return wire.grant(action, *bucket).SerializeToString() if bucket is not None else None


class ShardQuotas:
    """Shards are granted as they are assigned, all that is due in one message; a report acknowledges them together."""

    def __init__(self, service: ShardedService) -> None:
        self._service = service

    def usage_reported(self, stream: int, session: QuotaSession, usage: Usage, now: int) -> bytes | None:
        said = wire.session_of(usage)
        if said is None:  # a bucket of a route: none is granted here
            return wire.abandon(dict(usage.bucket_id.bucket)).SerializeToString()
        had, session.heard = said
        self._service.acknowledged(stream, had, now)
        return None

    def grant_message(self, session: QuotaSession, action: object) -> bytes | None:
        if not isinstance(action, ShardGrants):
            return None
        return wire.shard_grants(action.grants, session.heard).SerializeToString()

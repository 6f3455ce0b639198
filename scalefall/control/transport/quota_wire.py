"""Conversion between quota messages and grants. No I/O. Source: envoy.service.rate_limit_quota.v3.

For grants by route, the client chooses the bucket's keys, one of which names the route. A client may number its
reports; it then also reports the highest grant number that it has received.

Where destinations are sharded, a grant is for a shard. Its bucket names the shard, the epoch and the grant number, the
route if the shard holds one destination alone, and the quota if it is not the full one. The allowances of rate-limited
destinations follow as buckets of shard and route only. A report's bucket names the report number and the highest grant
number received on this stream, which acknowledges all lower ones, as a stream keeps order and loses nothing.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from dataclasses import replace
from typing import NamedTuple, TypeAlias

from envoy.service.rate_limit_quota.v3 import rlqs_pb2
from envoy.type.v3 import token_bucket_pb2
from envoy.type.v3.ratelimit_strategy_pb2 import RateLimitStrategy
from google.protobuf import wrappers_pb2

from scalefall.assignment.model import FULL_QUOTA, DestinationLimit, ShardGrant
from scalefall.control.allocator import MAX_LIMITED, UNLIMITED
from scalefall.control.grants import UNITS_PER_CALL, Grant
from scalefall.control.transport.protobuf import duration
from scalefall.errors import RemoteProtocolError

MIN_FILL_INTERVAL_US = 10_000  # the shortest interval between fills of a token bucket
US_PER_SECOND = 1_000_000
MAX_NUMBER_DIGITS = 18  # fits a signed 64-bit integer

ALLOW_ALL = RateLimitStrategy(blanket_rule=RateLimitStrategy.ALLOW_ALL)  # only copied from, never modified
DENY_ALL = RateLimitStrategy(blanket_rule=RateLimitStrategy.DENY_ALL)

# Keys of a bucket; the strings are on the wire.
ROUTE = "route"
ACKNOWLEDGED_GRANT = "had"
REPORT_NUMBER = "said"
GRANT = "grant"
LAST_REPORT = "heard"
SHARD = "shard"
EPOCH = "epoch"
QUOTA = "share"

Usage: TypeAlias = rlqs_pb2.RateLimitQuotaUsageReports.BucketQuotaUsage


# -- by route


class ReportedRoute(NamedTuple):
    """A row of a report by route.

    Attributes:
        route: The route; None if the bucket names none.
        acknowledged_grant: The highest grant number that the client has received; 0 if it reports none.
        report_number: The number of this report; None if the client does not number them.
        keys: The bucket's keys without the numbers.
    """

    route: int | None
    acknowledged_grant: int
    report_number: int | None
    keys: dict[str, str]


def read_route_report(usage: Usage) -> ReportedRoute:
    """Parse a row of a report; malformed numbers count as missing."""
    keys = usage.bucket_id.bucket
    return ReportedRoute(
        _parse_number(keys.get(ROUTE)),
        _parse_number(keys.get(ACKNOWLEDGED_GRANT)) or 0,
        _parse_number(keys.get(REPORT_NUMBER)),
        {key: value for key, value in keys.items() if key not in (ACKNOWLEDGED_GRANT, REPORT_NUMBER)},
    )


def demanded_calls_per_s(usage: Usage) -> float:
    """Return the client's demand: allowed and denied calls per second."""
    calls: int = usage.num_requests_allowed + usage.num_requests_denied
    elapsed_s: float = usage.time_elapsed.ToMicroseconds() / US_PER_SECOND
    return calls / elapsed_s if elapsed_s > 0 else 0.0


def grant(given: Grant, bucket: dict[str, str], last_report: int | None) -> rlqs_pb2.RateLimitQuotaResponse:
    """Return a grant as a response that assigns one bucket.

    For a client that numbers its reports, the response names the grant and the last report received before it: the
    lease runs from when the client sent that report, so network delay does not extend it.

    Args:
        given: The grant.
        bucket: The bucket's keys, as the client reported them.
        last_report: The number of the client's last report; None if it does not number them.
    """
    if last_report is not None:
        bucket = bucket | {GRANT: f"{given.number}", LAST_REPORT: f"{last_report}"}
    response = rlqs_pb2.RateLimitQuotaResponse()
    _assign(response, bucket, given.lease_us, given.amount)
    return response


def abandon(bucket: Mapping[str, str]) -> rlqs_pb2.RateLimitQuotaResponse:
    """Return the response to a bucket that names no configured route."""
    action = rlqs_pb2.RateLimitQuotaResponse.BucketAction(
        bucket_id=rlqs_pb2.BucketId(bucket=bucket),
        abandon_action=rlqs_pb2.RateLimitQuotaResponse.BucketAction.AbandonAction(),
    )
    return rlqs_pb2.RateLimitQuotaResponse(bucket_action=[action])


# -- by shard


class SessionReport(NamedTuple):
    """A report of a process that is granted shards.

    Attributes:
        acknowledged_grant: The highest grant number that it has received on this stream; 0 for none.
        report_number: The number of this report; None if it is missing.
    """

    acknowledged_grant: int
    report_number: int | None


class ReceivedShardGrants(NamedTuple):
    """Grants as a client receives them.

    Attributes:
        grants: The grants.
        last_report: The number of the client's last report before they were sent; None if it numbers none.
    """

    grants: list[ShardGrant]
    last_report: int | None


def read_session_report(usage: Usage) -> SessionReport | None:
    """Parse a report; None for a bucket of a route."""
    keys = usage.bucket_id.bucket
    if ROUTE in keys:
        return None
    return SessionReport(_parse_number(keys.get(ACKNOWLEDGED_GRANT)) or 0, _parse_number(keys.get(REPORT_NUMBER)))


def shard_grants(grants: Iterable[ShardGrant], last_report: int | None) -> rlqs_pb2.RateLimitQuotaResponse:
    """Return grants of shards to one holder as one response; the first bucket names the last report."""
    response = rlqs_pb2.RateLimitQuotaResponse()
    for given in grants:
        bucket = _shard_bucket(given)
        if last_report is not None and not response.bucket_action:
            bucket[LAST_REPORT] = f"{last_report}"
        _assign(response, bucket, given.lease_us, UNLIMITED if given.quota else 0)
        for destination, amount in given.limits:
            _assign(response, {SHARD: f"{given.shard}", ROUTE: f"{destination}"}, given.lease_us, amount)
    return response


def _shard_bucket(given: ShardGrant) -> dict[str, str]:
    bucket = {SHARD: f"{given.shard}", EPOCH: f"{given.epoch}", GRANT: f"{given.number}"}
    if given.destination is not None:
        bucket[ROUTE] = f"{given.destination}"
    if 0 < given.quota < FULL_QUOTA:
        bucket[QUOTA] = f"{given.quota}"
    return bucket


def read_shard_grants(response: rlqs_pb2.RateLimitQuotaResponse, holder: str) -> ReceivedShardGrants:
    """Parse grants of shards, for this project's own clients.

    Raises:
        RemoteProtocolError: It is not a valid response with grants of shards.
    """
    try:
        return _read_shard_grants(response, holder)
    except ValueError as error:
        raise RemoteProtocolError(str(error)) from error


def _read_shard_grants(response: rlqs_pb2.RateLimitQuotaResponse, holder: str) -> ReceivedShardGrants:
    grants: list[ShardGrant] = []
    last_report: int | None = None
    for action in response.bucket_action:
        keys, assignment = action.bucket_id.bucket, action.quota_assignment_action
        amount = amount_of(assignment.rate_limit_strategy)
        if EPOCH not in keys:
            _add_limit(grants, keys, amount)
            continue
        if LAST_REPORT in keys:
            last_report = int(keys[LAST_REPORT])
        grants.append(_read_grant(keys, amount, assignment.assignment_time_to_live.ToMicroseconds(), holder))
    return ReceivedShardGrants(grants, last_report)


def _read_grant(keys: Mapping[str, str], amount: int, lease_us: int, holder: str) -> ShardGrant:
    quota = int(keys.get(QUOTA, f"{FULL_QUOTA}")) if amount else 0
    destination = int(keys[ROUTE]) if ROUTE in keys else None
    return ShardGrant(holder, int(keys[SHARD]), int(keys[EPOCH]), int(keys[GRANT]), quota, lease_us, (), destination)


def _add_limit(grants: list[ShardGrant], keys: Mapping[str, str], amount: int) -> None:
    """Add the allowance of one destination to the grant of its shard, which is the last one."""
    shard = int(keys[SHARD])
    if not grants or grants[-1].shard != shard:
        raise ValueError(f"allowance of shard {shard} does not follow a grant of this shard")
    grants[-1] = replace(grants[-1], limits=(*grants[-1].limits, DestinationLimit(int(keys[ROUTE]), amount)))


# -- both


def _assign(response: rlqs_pb2.RateLimitQuotaResponse, bucket: dict[str, str], lease_us: int, amount: int) -> None:
    action = response.bucket_action.add()
    action.bucket_id.bucket.update(bucket)
    action.quota_assignment_action.assignment_time_to_live.FromMicroseconds(lease_us)
    action.quota_assignment_action.rate_limit_strategy.CopyFrom(_strategy(amount))


def _strategy(amount: int) -> RateLimitStrategy:
    """Return a rate, rounded down, as a token bucket that holds one fill only, so that no burst accumulates.

    Args:
        amount: Thousandths of a call a second.
    """
    if amount <= 0:
        return DENY_ALL
    if amount > MAX_LIMITED:
        return ALLOW_ALL
    tokens = max(1, amount * MIN_FILL_INTERVAL_US // (UNITS_PER_CALL * US_PER_SECOND))
    fill_interval_us = -(-tokens * UNITS_PER_CALL * US_PER_SECOND // amount)
    return RateLimitStrategy(
        token_bucket=token_bucket_pb2.TokenBucket(
            max_tokens=tokens,
            tokens_per_fill=wrappers_pb2.UInt32Value(value=tokens),
            fill_interval=duration(fill_interval_us),
        )
    )


def amount_of(strategy: RateLimitStrategy) -> int:
    """Return a rate in thousandths of a call a second: the inverse of `_strategy`, for this project's own clients."""
    if strategy.HasField("token_bucket"):
        bucket = strategy.token_bucket
        tokens: int = bucket.tokens_per_fill.value
        interval_us: int = bucket.fill_interval.ToMicroseconds()
        return tokens * UNITS_PER_CALL * US_PER_SECOND // max(1, interval_us)
    return UNLIMITED if strategy.blanket_rule == RateLimitStrategy.ALLOW_ALL else 0


def _parse_number(text: str | None) -> int | None:
    """Parse a number of ASCII digits; None for anything else."""
    if text and text.isascii() and text.isdigit() and len(text) <= MAX_NUMBER_DIGITS:
        return int(text)
    return None

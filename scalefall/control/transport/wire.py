"""Messages of the published protocol to and from the types of streams and grants. No I/O.

A response is put together from two serialized messages, which protobuf reads as one: the resources, that are the same
for every client, and the nonce and version that are its own. So an endpoint's change is serialized once for all.
"""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Iterable
from dataclasses import replace

from envoy.service.discovery.v3 import discovery_pb2
from envoy.service.rate_limit_quota.v3 import rlqs_pb2
from envoy.type.v3 import ratelimit_strategy_pb2, token_bucket_pb2
from google.protobuf import wrappers_pb2

from scalefall.assignment.model import FULL_QUOTA, DestinationLimit, ShardGrant
from scalefall.control.catalog import Resource
from scalefall.control.transport.resources import duration
from scalefall.control.grants import UNITS_PER_CALL, Grant
from scalefall.control.allocator import MAX_LIMITED, UNLIMITED
from scalefall.control.streams import Request, Response

MOST_PARTS = 256  # serialized sets of resources that are kept for the next client
FILL_US = 10_000  # the shortest time between fills of a token bucket
IDENTIFIER = "scalefall"
TTL_FEATURE = "xds.config.supports-resource-ttl"  # as the protocol's specification names it


def request(message: discovery_pb2.DiscoveryRequest) -> Request:
    return Request(message.type_url, message.response_nonce, tuple(message.resource_names), error=_error(message))


def delta_request(message: discovery_pb2.DeltaDiscoveryRequest) -> Request:
    return Request(
        message.type_url,
        message.response_nonce,
        tuple(message.resource_names_subscribe),
        tuple(message.resource_names_unsubscribe),
        tuple(message.initial_resource_versions.items()),
        _error(message),
    )


def _error(message: object) -> str | None:
    return message.error_detail.message or "no reason given" if message.HasField("error_detail") else None


class ResponseEncoder:
    """Responses as bytes."""

    def __init__(self) -> None:
        self._parts: OrderedDict[tuple, bytes] = OrderedDict()

    def encode(self, response: Response, incremental: bool, leased: bool) -> bytes:
        key = (incremental, leased, response.is_heartbeat, response.type, response.resources, response.removed)
        part = self._parts.get(key)
        if part is None:
            made = _delta(response, leased) if incremental else _whole(response, leased)
            part = self._parts[key] = made.SerializeToString()
            if len(self._parts) > MOST_PARTS:
                self._parts.popitem(last=False)
        self._parts.move_to_end(key)
        if incremental:
            own = discovery_pb2.DeltaDiscoveryResponse(nonce=response.nonce, system_version_info=response.version)
        else:
            own = discovery_pb2.DiscoveryResponse(nonce=response.nonce, version_info=response.version)
        return part + own.SerializeToString()


def _whole(response: Response, leased: bool) -> discovery_pb2.DiscoveryResponse:
    made = discovery_pb2.DiscoveryResponse(type_url=response.type)
    made.control_plane.identifier = IDENTIFIER
    for resource in response.resources:
        if resource.ttl_us and leased:  # wrapped, as only so it can say how long it holds
            made.resources.add().Pack(_wrapped(resource, response.is_heartbeat, leased))
        else:
            made.resources.append(resource.body)
    return made


def _delta(response: Response, leased: bool) -> discovery_pb2.DeltaDiscoveryResponse:
    made = discovery_pb2.DeltaDiscoveryResponse(type_url=response.type, removed_resources=response.removed)
    made.control_plane.identifier = IDENTIFIER
    made.resources.extend(_wrapped(resource, response.is_heartbeat, leased) for resource in response.resources)
    return made


def _wrapped(resource: Resource, beat: bool, leased: bool) -> discovery_pb2.Resource:
    made = discovery_pb2.Resource(name=resource.name, version=resource.version)
    if resource.ttl_us and leased:
        made.ttl.FromMicroseconds(resource.ttl_us)
    if not beat:
        made.resource.CopyFrom(resource.body)
    return made


# -- quotas

ROUTE, ACKNOWLEDGED_GRANT, REPORT_NUMBER, GRANT, LAST_REPORT = "route", "had", "said", "grant", "heard"


def bucket_of(usage: rlqs_pb2.RateLimitQuotaUsageReports.BucketQuotaUsage) -> tuple[int | None, int, int | None]:
    """The route, the highest grant that the client has had (0: it doesn't number them), and the number of this report
    where the client numbers them. The route is None if the bucket names none."""
    keys = usage.bucket_id.bucket
    return (
        _whole_number(keys.get(ROUTE)),
        _whole_number(keys.get(ACKNOWLEDGED_GRANT)) or 0,
        _whole_number(keys.get(REPORT_NUMBER)),
    )


def calls_of(usage: rlqs_pb2.RateLimitQuotaUsageReports.BucketQuotaUsage) -> float:
    """Calls a second that the client would have made."""
    elapsed = usage.time_elapsed.ToMicroseconds() / 1_000_000
    return (usage.num_requests_allowed + usage.num_requests_denied) / elapsed if elapsed > 0 else 0.0


def grant(given: Grant, bucket: dict[str, str], heard: int | None) -> rlqs_pb2.RateLimitQuotaResponse:
    """An assignment. A client that numbers its reports is told the grant's number, and the last report that was heard
    before: its lease counts from when it sent that one, so no delay of the link makes it longer."""
    if heard is not None:
        bucket = bucket | {GRANT: f"{given.number}", LAST_REPORT: f"{heard}"}
    action = rlqs_pb2.RateLimitQuotaResponse.BucketAction(
        bucket_id=rlqs_pb2.BucketId(bucket=bucket),
        quota_assignment_action=rlqs_pb2.RateLimitQuotaResponse.BucketAction.QuotaAssignmentAction(
            assignment_time_to_live=duration(given.lease_us), rate_limit_strategy=_strategy(given.amount)
        ),
    )
    return rlqs_pb2.RateLimitQuotaResponse(bucket_action=[action])


# Destinations divided among senders: a grant is a shard's. Its bucket names the shard, the epoch and the number, the
# route too where the shard is one destination's own, and the share where that is not all. Allowances of destinations
# that are not unlimited follow as buckets of shard and route alone. A report's bucket names said and had: the highest
# number had of all that came on this stream, in whose order nothing is lost.

SHARD, EPOCH, SHARE = "shard", "epoch", "share"


def shard_grants(grants: Iterable[ShardGrant], heard: int | None) -> rlqs_pb2.RateLimitQuotaResponse:
    """Grants of shards to one holder as one response; the first bucket names the last report that was heard."""
    response = rlqs_pb2.RateLimitQuotaResponse()
    for given in grants:
        bucket = {SHARD: f"{given.shard}", EPOCH: f"{given.epoch}", GRANT: f"{given.number}"}
        if given.destination is not None:
            bucket[ROUTE] = f"{given.destination}"
        if 0 < given.quota < FULL_QUOTA:
            bucket[SHARE] = f"{given.quota}"
        if heard is not None and not response.bucket_action:
            bucket[LAST_REPORT] = f"{heard}"
        _assign(response, bucket, given.lease_us, UNLIMITED if given.quota else 0)
        for destination, amount in given.limits:
            _assign(response, {SHARD: f"{given.shard}", ROUTE: f"{destination}"}, given.lease_us, amount)
    return response


def read_shard_grants(response: rlqs_pb2.RateLimitQuotaResponse, holder: str) -> tuple[list[ShardGrant], int | None]:
    """The other way, for clients of our own: the grants, and the last report that was heard when they were sent.
    ValueError if it is no such response."""
    grants: list[ShardGrant] = []
    heard: int | None = None
    for action in response.bucket_action:
        keys, given = action.bucket_id.bucket, action.quota_assignment_action
        shard, amount = int(keys[SHARD]), amount_of(given.rate_limit_strategy)
        if EPOCH not in keys:
            last = grants[-1] if grants else None
            if last is None or last.shard != shard:
                raise ValueError(f"an allowance of shard {shard} follows no grant of it")
            grants[-1] = replace(last, limits=(*last.limits, DestinationLimit(int(keys[ROUTE]), amount)))
            continue
        heard = int(keys[LAST_REPORT]) if LAST_REPORT in keys else heard
        quota = int(keys.get(SHARE, f"{FULL_QUOTA}")) if amount else 0
        lease = given.assignment_time_to_live.ToMicroseconds()
        own = int(keys[ROUTE]) if ROUTE in keys else None
        grants.append(ShardGrant(holder, shard, int(keys[EPOCH]), int(keys[GRANT]), quota, lease, (), own))
    return grants, heard


def session_of(usage: rlqs_pb2.RateLimitQuotaUsageReports.BucketQuotaUsage) -> tuple[int, int | None] | None:
    """The highest number had on the stream, and the number of this report; None for a bucket of another kind."""
    keys = usage.bucket_id.bucket
    return (
        None
        if ROUTE in keys
        else (_whole_number(keys.get(ACKNOWLEDGED_GRANT)) or 0, _whole_number(keys.get(REPORT_NUMBER)))
    )


def _assign(response: rlqs_pb2.RateLimitQuotaResponse, bucket: dict[str, str], lease_us: int, amount: int) -> None:
    action = response.bucket_action.add()
    action.bucket_id.bucket.update(bucket)
    action.quota_assignment_action.assignment_time_to_live.FromMicroseconds(lease_us)
    action.quota_assignment_action.rate_limit_strategy.CopyFrom(_strategy(amount))


def abandon(bucket: dict[str, str]) -> rlqs_pb2.RateLimitQuotaResponse:
    """There is no such route."""
    action = rlqs_pb2.RateLimitQuotaResponse.BucketAction(
        bucket_id=rlqs_pb2.BucketId(bucket=bucket),
        abandon_action=rlqs_pb2.RateLimitQuotaResponse.BucketAction.AbandonAction(),
    )
    return rlqs_pb2.RateLimitQuotaResponse(bucket_action=[action])


def _strategy(amount: int) -> ratelimit_strategy_pb2.RateLimitStrategy:
    """Thousandths of a call a second as a bucket that holds one fill, so that nothing is saved up. Rounded down."""
    if amount <= 0:
        return ratelimit_strategy_pb2.RateLimitStrategy(blanket_rule=ratelimit_strategy_pb2.RateLimitStrategy.DENY_ALL)
    if amount > MAX_LIMITED:
        return ratelimit_strategy_pb2.RateLimitStrategy(blanket_rule=ratelimit_strategy_pb2.RateLimitStrategy.ALLOW_ALL)
    tokens = max(1, amount * FILL_US // (UNITS_PER_CALL * 1_000_000))
    every = -(-tokens * UNITS_PER_CALL * 1_000_000 // amount)
    return ratelimit_strategy_pb2.RateLimitStrategy(
        token_bucket=token_bucket_pb2.TokenBucket(
            max_tokens=tokens, tokens_per_fill=wrappers_pb2.UInt32Value(value=tokens), fill_interval=duration(every)
        )
    )


def amount_of(strategy: ratelimit_strategy_pb2.RateLimitStrategy) -> int:
    """The other way, for clients of our own: thousandths of a call a second."""
    if strategy.HasField("token_bucket"):
        bucket = strategy.token_bucket
        return (
            bucket.tokens_per_fill.value * UNITS_PER_CALL * 1_000_000 // max(1, bucket.fill_interval.ToMicroseconds())
        )
    return UNLIMITED if strategy.blanket_rule == ratelimit_strategy_pb2.RateLimitStrategy.ALLOW_ALL else 0


def _whole_number(text: str | None) -> int | None:
    return int(text) if text and text.isascii() and text.isdigit() and len(text) < 19 else None

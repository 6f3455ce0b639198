"""`scalefall control --shards`: a control process on sockets whose senders get the shards that are theirs."""

import contextlib
import queue
import signal
import time

import grpc
import pytest
from transporthelp import DiscoveryStream, ControlProcess, running_control, final_status
from envoy.service.rate_limit_quota.v3 import rlqs_pb2, rlqs_pb2_grpc

from scalefall.assignment.sharding import Sharding
from scalefall.control.catalog import EDS
from scalefall.control.transport import quota_wire, resources

SHARDS, ROUTES = 8, range(1, 21)
FLAGS = ("--plain-text", "--shards", str(SHARDS), "--lease", "0.6", "--delay", "0.2", "--move-after", "1")
LONG = 30


@pytest.fixture
def folder(tmp_path):
    rows = "\n".join(
        f"pool p{n} {{ kind one; endpoint e{n} {{ at 127.0.0.1:{n} }} }}\nroute {n} {{ pool p{n} }}" for n in ROUTES
    )
    (tmp_path / "site.scale").write_text(
        "sender { name t; listen 127.0.0.1:0 }\nclass c { aim 3s; deadline 24s; repeat freely }\n"
        f"kind one {{ per-call 1 }}\n{rows}\n"
    )
    return tmp_path


class ShardHolder:
    """A process of a node that acknowledges whatever it is granted."""

    def __init__(self, channel, node, instance="1"):
        self._said, self.had, self.shards = 0, 0, {}
        self._news: queue.SimpleQueue[bool] = queue.SimpleQueue()  # True: report now; False: end
        metadata = [("scalefall-node", node), ("scalefall-instance", instance), ("scalefall-zone", "z")]
        stub = rlqs_pb2_grpc.RateLimitQuotaServiceStub(channel)
        self.call = stub.StreamRateLimitQuotas(self._reports(node), metadata=metadata, timeout=LONG)
        self.node = node

    def _reports(self, node):
        """One at once for each response, and one each 100 ms: who is silent for a lease is lost."""
        going_on = True
        while going_on:
            self._said += 1
            message = rlqs_pb2.RateLimitQuotaUsageReports(domain=node)
            bucket = message.bucket_quota_usages.add().bucket_id.bucket
            bucket.update({quota_wire.REPORT_NUMBER: f"{self._said}", quota_wire.ACKNOWLEDGED_GRANT: f"{self.had}"})
            yield message
            with contextlib.suppress(queue.Empty):
                going_on = self._news.get(timeout=0.1)

    def take(self):
        """The next response, acknowledged."""
        grants, heard = quota_wire.read_shard_grants(next(self.call), self.node)
        assert heard is None or heard <= self._said
        for grant in grants:
            assert grant.number > self.shards.get(grant.shard, (0, 0))[0]
            self.shards[grant.shard] = (grant.number, grant.quota)
            self.had = max(self.had, grant.number)
        self._news.put(True)

    def held(self):
        return {shard for shard, (_, share) in self.shards.items() if share}

    def until(self, wanted):
        end = time.monotonic() + LONG
        while not wanted(self.held()) and time.monotonic() < end:
            self.take()
        assert wanted(self.held())

    def end(self):
        self._news.put(False)
        self.call.cancel()


def received_routes(stream, wanted):
    """Routes whose lists the stream has been given, until they are those wanted."""
    found, end = set(), time.monotonic() + LONG
    while found != wanted and time.monotonic() < end:
        response = stream.receive()
        found |= {resources.destination_of(row.name) for row in response.resources if row.name != resources.LEASE_NAME}
        found -= {resources.destination_of(name) for name in response.removed_resources}
        stream.acknowledge(response)
    return found


def routes_of(shards):
    return {number for number in ROUTES if Sharding(SHARDS).shard_of(number) in shards}


def test_senders_share_the_shards_get_their_lists_alone_and_a_restart_leaves_them_where_they_are(folder):
    with running_control(folder, *FLAGS) as process:
        with grpc.insecure_channel(process.address) as channel:
            stream = DiscoveryStream(channel, incremental=True, node="a")
            stream.request(EDS, "*")
            one, two = ShardHolder(channel, "a"), ShardHolder(channel, "b")
            one.until(lambda held: len(held) == SHARDS // 2)
            two.until(lambda held: len(held) == SHARDS // 2)
            before, epoch = (one.held(), two.held()), max(one.had, two.had)
            assert not before[0] & before[1]
            assert received_routes(stream, routes_of(before[0])) == routes_of(before[0])
            one.end()
            two.end()
        process.end(signal.SIGTERM)
    with running_control(folder, *FLAGS) as process, grpc.insecure_channel(process.address) as channel:
        one, two = ShardHolder(channel, "a", "2"), ShardHolder(channel, "b", "2")
        one.until(lambda held: len(held) == SHARDS // 2)
        two.until(lambda held: len(held) == SHARDS // 2)
        assert (one.held(), two.held()) == before
        assert min(number for sender in (one, two) for number, _ in sender.shards.values()) > epoch


@pytest.mark.parametrize(
    "damage", [lambda text: text[: len(text) // 2], lambda text: text.replace("shards 8", "shards 9")]
)
def test_a_snapshot_that_cannot_be_taken_is_said_in_one_line_and_grants_go_on(folder, damage):
    with running_control(folder, *FLAGS) as process, grpc.insecure_channel(process.address) as channel:
        ShardHolder(channel, "a").until(lambda held: len(held) == SHARDS)
        process.end(signal.SIGTERM)
    kept = folder / "state" / "assignment"
    kept.write_text(damage(kept.read_text()))
    with running_control(folder, *FLAGS) as process, grpc.insecure_channel(process.address) as channel:
        ShardHolder(channel, "a", "2").until(lambda held: len(held) == SHARDS)
        [line] = [line for line in process.printed if "assignment not taken" in line]
        assert "snapshot: " in line
        assert "Traceback" not in "".join(process.printed)


def test_a_route_s_bucket_is_abandoned_and_a_standby_turns_lists_away(folder):
    with running_control(folder, *FLAGS) as process, grpc.insecure_channel(process.address) as channel:
        message = rlqs_pb2.RateLimitQuotaUsageReports(domain="n")
        message.bucket_quota_usages.add().bucket_id.bucket.update({quota_wire.ROUTE: "1"})
        call = rlqs_pb2_grpc.RateLimitQuotaServiceStub(channel).StreamRateLimitQuotas(iter([message]), timeout=LONG)
        assert next(call).bucket_action[0].HasField("abandon_action")
        call.cancel()
        other = ControlProcess(folder, *FLAGS).ready()
        with grpc.insecure_channel(other.address) as channel:
            stream = DiscoveryStream(channel, incremental=True)
            stream.request(EDS, "*")
            assert final_status(stream.call)[0] is grpc.StatusCode.UNAVAILABLE
        other.end()

"""`scalefall control --shards` on sockets: senders are granted shards and get only the endpoint lists of their own."""

import contextlib
import queue
import signal
import time

import grpc
import pytest
from transporthelp import ResourceStream, ControlProcess, running_control, final_status
from envoy.service.rate_limit_quota.v3 import rlqs_pb2, rlqs_pb2_grpc

from scalefall.assignment.sharding import Sharding
from scalefall.control.catalog import EDS
from scalefall.control.transport import quota_wire, resources

SHARDS = 8
ROUTES = range(1, 21)
FLAGS = ("--plain-text", "--shards", str(SHARDS), "--lease", "0.6", "--delay", "0.2", "--move-after", "1")
STREAM_TIMEOUT_S = 30


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
    """A sender process that acknowledges all shards that it is granted."""

    def __init__(self, channel, node, instance="1"):
        self._report_number, self.highest_grant, self.shards = 0, 0, {}
        self._report_requests: queue.SimpleQueue[bool] = queue.SimpleQueue()  # True: report now; False: end
        metadata = [("scalefall-node", node), ("scalefall-instance", instance), ("scalefall-zone", "z")]
        stub = rlqs_pb2_grpc.RateLimitQuotaServiceStub(channel)
        self.call = stub.StreamRateLimitQuotas(self._reports(node), metadata=metadata, timeout=STREAM_TIMEOUT_S)
        self.node = node

    def _reports(self, node):
        """Yield a report after each response and at least each 100 ms; a process without any for a lease is lost."""
        is_open = True
        while is_open:
            self._report_number += 1
            message = rlqs_pb2.RateLimitQuotaUsageReports(domain=node)
            bucket = message.bucket_quota_usages.add().bucket_id.bucket
            bucket.update(
                {
                    quota_wire.REPORT_NUMBER: f"{self._report_number}",
                    quota_wire.ACKNOWLEDGED_GRANT: f"{self.highest_grant}",
                }
            )
            yield message
            with contextlib.suppress(queue.Empty):
                is_open = self._report_requests.get(timeout=0.1)

    def receive_and_acknowledge(self):
        """Receive a response and acknowledge its grants."""
        grants, last_report = quota_wire.read_shard_grants(next(self.call), self.node)
        assert last_report is None or last_report <= self._report_number
        for grant in grants:
            assert grant.number > self.shards.get(grant.shard, (0, 0))[0]
            self.shards[grant.shard] = (grant.number, grant.quota)
            self.highest_grant = max(self.highest_grant, grant.number)
        self._report_requests.put(True)

    def held_shards(self):
        return {shard for shard, (_, quota) in self.shards.items() if quota}

    def wait_for_shards(self, condition):
        """Receive grants until the held shards meet the condition."""
        end = time.monotonic() + STREAM_TIMEOUT_S
        while not condition(self.held_shards()) and time.monotonic() < end:
            self.receive_and_acknowledge()
        assert condition(self.held_shards())

    def end(self):
        self._report_requests.put(False)
        self.call.cancel()


def receive_routes(stream, wanted):
    """Return the routes whose lists the stream has received, once they are those wanted."""
    routes, end = set(), time.monotonic() + STREAM_TIMEOUT_S
    while routes != wanted and time.monotonic() < end:
        response = stream.receive()
        routes |= {resources.destination_of(row.name) for row in response.resources if row.name != resources.LEASE_NAME}
        routes -= {resources.destination_of(name) for name in response.removed_resources}
        stream.acknowledge(response)
    return routes


def routes_of(shards):
    return {number for number in ROUTES if Sharding(SHARDS).shard_of(number) in shards}


def test_senders_get_half_the_shards_each_and_only_their_lists_and_keep_them_over_a_restart(folder):
    with running_control(folder, *FLAGS) as process:
        with grpc.insecure_channel(process.address) as channel:
            stream = ResourceStream(channel, incremental=True, node="a")
            stream.request(EDS, "*")
            first, second = ShardHolder(channel, "a"), ShardHolder(channel, "b")
            first.wait_for_shards(lambda shards: len(shards) == SHARDS // 2)
            second.wait_for_shards(lambda shards: len(shards) == SHARDS // 2)
            before, epoch = (first.held_shards(), second.held_shards()), max(first.highest_grant, second.highest_grant)
            assert not before[0] & before[1]
            assert receive_routes(stream, routes_of(before[0])) == routes_of(before[0])
            first.end()
            second.end()
        process.end(signal.SIGTERM)
    with running_control(folder, *FLAGS) as process, grpc.insecure_channel(process.address) as channel:
        first, second = ShardHolder(channel, "a", "2"), ShardHolder(channel, "b", "2")
        first.wait_for_shards(lambda shards: len(shards) == SHARDS // 2)
        second.wait_for_shards(lambda shards: len(shards) == SHARDS // 2)
        assert (first.held_shards(), second.held_shards()) == before
        assert min(number for sender in (first, second) for number, _ in sender.shards.values()) > epoch


@pytest.mark.parametrize(
    "damage", [lambda text: text[: len(text) // 2], lambda text: text.replace("shards 8", "shards 9")]
)
def test_an_unusable_assignment_file_is_logged_in_one_line_and_grants_continue(folder, damage):
    with running_control(folder, *FLAGS) as process, grpc.insecure_channel(process.address) as channel:
        ShardHolder(channel, "a").wait_for_shards(lambda shards: len(shards) == SHARDS)
        process.end(signal.SIGTERM)
    assignment_file = folder / "state" / "assignment"
    assignment_file.write_text(damage(assignment_file.read_text()))
    with running_control(folder, *FLAGS) as process, grpc.insecure_channel(process.address) as channel:
        ShardHolder(channel, "a", "2").wait_for_shards(lambda shards: len(shards) == SHARDS)
        [line] = [line for line in process.output if "assignment not taken" in line]
        assert "snapshot: " in line
        assert "Traceback" not in "".join(process.output)


def test_a_bucket_of_a_route_is_abandoned_and_a_standby_rejects_resource_streams(folder):
    with running_control(folder, *FLAGS) as process, grpc.insecure_channel(process.address) as channel:
        message = rlqs_pb2.RateLimitQuotaUsageReports(domain="n")
        message.bucket_quota_usages.add().bucket_id.bucket.update({quota_wire.ROUTE: "1"})
        call = rlqs_pb2_grpc.RateLimitQuotaServiceStub(channel).StreamRateLimitQuotas(
            iter([message]), timeout=STREAM_TIMEOUT_S
        )
        assert next(call).bucket_action[0].HasField("abandon_action")
        call.cancel()
        standby = ControlProcess(folder, *FLAGS).wait_until_ready()
        with grpc.insecure_channel(standby.address) as channel:
            stream = ResourceStream(channel, incremental=True)
            stream.request(EDS, "*")
            assert final_status(stream.call)[0] is grpc.StatusCode.UNAVAILABLE
        standby.end()

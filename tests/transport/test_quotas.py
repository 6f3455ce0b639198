"""Quota streams on sockets: grants within the limit, over a restart, and when another process takes over."""

import contextlib
import queue
import signal

import grpc
from envoy.config.endpoint.v3 import endpoint_pb2
from envoy.service.load_stats.v3 import lrs_pb2, lrs_pb2_grpc
from envoy.service.rate_limit_quota.v3 import rlqs_pb2, rlqs_pb2_grpc
from test_program import PROCESS_TIMEOUT_S
from transporthelp import DiscoveryStream, final_status, running_control, unwrap, write_site

from scalefall.control.catalog import CDS, EDS
from scalefall.control.transport import quota_wire


class QuotaStream:
    def __init__(self, channel, node="n", instance="i"):
        self._more, self.node, self._usages = queue.SimpleQueue(), node, {}
        self.call = rlqs_pb2_grpc.RateLimitQuotaServiceStub(channel).StreamRateLimitQuotas(
            self._reports(),
            timeout=PROCESS_TIMEOUT_S,
            metadata=(("scalefall-node", node), ("scalefall-instance", instance)),
        )

    def _reports(self):
        """What is said, and the last word on each route again and again: who is silent for a lease is lost."""
        while True:
            with contextlib.suppress(queue.Empty):
                usage = self._more.get(timeout=0.1)
                self._usages[usage.bucket_id.bucket["route"]] = usage
            if self._usages:
                yield rlqs_pb2.RateLimitQuotaUsageReports(domain="d", bucket_quota_usages=self._usages.values())

    def say(self, calls, had=0, said=1, route="7"):
        usage = rlqs_pb2.RateLimitQuotaUsageReports.BucketQuotaUsage(
            bucket_id=rlqs_pb2.BucketId(bucket={"route": route, "had": f"{had}", "said": f"{said}"}),
            num_requests_allowed=calls,
        )
        usage.time_elapsed.FromSeconds(1)
        self._more.put(usage)

    def receive(self):
        """(calls a second in thousandths, the grant's number, the last report that was heard)"""
        action = next(self.call).bucket_action[0]
        keys = action.bucket_id.bucket
        if action.HasField("abandon_action"):
            return None
        return (
            quota_wire.amount_of(action.quota_assignment_action.rate_limit_strategy),
            int(keys["grant"]),
            int(keys["heard"]),
        )


def report_connect_failure(channel, node, port):
    """Report that a connection to this port of route 7 failed."""
    report = lrs_pb2.LoadStatsRequest(node={"id": node})
    cluster = report.cluster_stats.add(cluster_name="route-7")
    row = cluster.upstream_locality_stats.add().upstream_endpoint_stats.add(total_error_requests=1)
    row.address.socket_address.address, row.address.socket_address.port_value = "127.0.0.1", port
    row.load_metric_stats.add(metric_name="scalefall.connect_failed", num_requests_finished_with_metric=1)
    loads = lrs_pb2_grpc.LoadReportingServiceStub(channel)
    answer = next(loads.StreamLoadStats(iter([report]), timeout=PROCESS_TIMEOUT_S))
    assert answer.send_all_clusters
    assert answer.report_endpoint_granularity


def drop_category(channel):
    """Wait until what knows no grants has all its calls on route 7 dropped; the reason."""
    stream = DiscoveryStream(channel)
    stream.request(EDS, "route-7")
    while True:
        response, load = stream.receive(), endpoint_pb2.ClusterLoadAssignment()
        if unwrap(response.resources[0])[0].Unpack(load) and load.policy.drop_overloads:
            return load.policy.drop_overloads[0].category
        stream.acknowledge(response, "route-7")


def test_grants_add_up_to_the_limit_follow_reports_and_are_numbered_on_over_a_restart(folder):
    write_site(folder, 9001, limit="limit 40 per 1s;")
    flags = ("--plain-text", "--lease", "0.5", "--delay", "0.1")
    with running_control(folder, *flags) as process, grpc.insecure_channel(process.address) as channel:
        one, two = QuotaStream(channel, "one"), QuotaStream(channel, "two")
        one.say(100)
        two.say(100, said=5)
        first, second = one.receive(), two.receive()
        assert second[2] == 5
        assert 0 < first[0] + second[0] <= 40_000
        one.say(1, route="8")
        while (told := one.receive()) is not None:
            assert told[0] <= 40_000
        report_connect_failure(channel, "one", 9001)
        assert drop_category(channel) == "guarded"  # the partner is in doubt now
        while (told := two.receive())[0]:
            pass
        last = told[1]
        assert process.end(signal.SIGTERM) == 0
    with running_control(folder, *flags) as process, grpc.insecure_channel(process.address) as channel:
        assert process.event("granting")["recalled"] > 0
        assert drop_category(channel)  # the guard has outlasted the process
        three = QuotaStream(channel, "three")
        three.say(10)
        assert three.receive()[1] > last


def test_one_process_grants_and_another_on_the_folder_takes_over_when_it_dies(folder):
    flags = ("--plain-text", "--lease", "0.5", "--delay", "0.1")
    with (
        running_control(folder, *flags) as one,
        running_control(folder, *flags) as two,
        grpc.insecure_channel(two.address) as channel,
    ):
        one.event("granting")
        two.line("standing by")
        quota, stream = QuotaStream(channel), DiscoveryStream(channel)
        quota.say(10)
        stream.request(CDS)
        assert stream.receive().resources  # resources are served by both
        assert final_status(quota.call)[0] is grpc.StatusCode.UNAVAILABLE
        one.end()
        epoch = two.event("granting")["epoch"]
        quota = QuotaStream(channel)
        quota.say(10)
        assert quota.receive()[1] > epoch >= 1_000_000

"""Quota streams on sockets: grants within the limit, after a restart, and after a change of leader."""

import contextlib
import queue
import signal

import grpc
from envoy.config.endpoint.v3 import endpoint_pb2
from envoy.service.load_stats.v3 import lrs_pb2, lrs_pb2_grpc
from envoy.service.rate_limit_quota.v3 import rlqs_pb2, rlqs_pb2_grpc
from test_program import PROCESS_TIMEOUT_S
from transporthelp import ResourceStream, final_status, running_control, unwrap, write_configuration

from scalefall.control.catalog import CDS, EDS
from scalefall.control.transport import quota_wire


class QuotaStream:
    """A client's quota stream, which reports demand by route and receives grants."""

    def __init__(self, channel, node="n", instance="i"):
        self._new_usages, self.node, self._usages = queue.SimpleQueue(), node, {}
        self.call = rlqs_pb2_grpc.RateLimitQuotaServiceStub(channel).StreamRateLimitQuotas(
            self._reports(),
            timeout=PROCESS_TIMEOUT_S,
            metadata=(("scalefall-node", node), ("scalefall-instance", instance)),
        )

    def _reports(self):
        """Yield the last report of each route, at least each 100 ms: a client without reports for a lease is lost."""
        while True:
            with contextlib.suppress(queue.Empty):
                usage = self._new_usages.get(timeout=0.1)
                self._usages[usage.bucket_id.bucket["route"]] = usage
            if self._usages:
                yield rlqs_pb2.RateLimitQuotaUsageReports(domain="d", bucket_quota_usages=self._usages.values())

    def report(self, calls, acknowledged_grant=0, report_number=1, route="7"):
        usage = rlqs_pb2.RateLimitQuotaUsageReports.BucketQuotaUsage(
            bucket_id=rlqs_pb2.BucketId(
                bucket={"route": route, "had": f"{acknowledged_grant}", "said": f"{report_number}"}
            ),
            num_requests_allowed=calls,
        )
        usage.time_elapsed.FromSeconds(1)
        self._new_usages.put(usage)

    def receive(self):
        """Return (rate in thousandths of a call a second, grant number, last received report); None if abandoned."""
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
    """Send a load report of one failed connection to this port of route 7."""
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
    """Wait until the endpoint list of route 7 drops all calls, for clients without grants; return the reason."""
    stream = ResourceStream(channel)
    stream.request(EDS, "route-7")
    while True:
        response, load = stream.receive(), endpoint_pb2.ClusterLoadAssignment()
        if unwrap(response.resources[0])[0].Unpack(load) and load.policy.drop_overloads:
            return load.policy.drop_overloads[0].category
        stream.acknowledge(response, "route-7")


def test_grants_keep_the_limit_follow_load_reports_and_continue_their_numbers_after_a_restart(folder):
    write_configuration(folder, 9001, limit="limit 40 per 1s;")
    flags = ("--plain-text", "--lease", "0.5", "--delay", "0.1")
    with running_control(folder, *flags) as process, grpc.insecure_channel(process.address) as channel:
        first_quota, second_quota = QuotaStream(channel, "one"), QuotaStream(channel, "two")
        first_quota.report(100)
        second_quota.report(100, report_number=5)
        first_grant, second_grant = first_quota.receive(), second_quota.receive()
        assert second_grant[2] == 5
        assert 0 < first_grant[0] + second_grant[0] <= 40_000
        first_quota.report(1, route="8")
        while (grant := first_quota.receive()) is not None:
            assert grant[0] <= 40_000
        report_connect_failure(channel, "one", 9001)
        assert drop_category(channel) == "guarded"  # the failure has started the destination's slow start
        while (grant := second_quota.receive())[0]:
            pass
        last_number = grant[1]
        assert process.end(signal.SIGTERM) == 0
    with running_control(folder, *flags) as process, grpc.insecure_channel(process.address) as channel:
        assert process.event("granting")["recalled"] > 0
        assert drop_category(channel)  # the slow start outlasts the restart
        third_quota = QuotaStream(channel, "three")
        third_quota.report(10)
        assert third_quota.receive()[1] > last_number


def test_one_process_grants_and_a_standby_takes_over_after_its_end(folder):
    flags = ("--plain-text", "--lease", "0.5", "--delay", "0.1")
    with (
        running_control(folder, *flags) as leader,
        running_control(folder, *flags) as standby,
        grpc.insecure_channel(standby.address) as channel,
    ):
        leader.event("granting")
        standby.line("standing by")
        quota, stream = QuotaStream(channel), ResourceStream(channel)
        quota.report(10)
        stream.request(CDS)
        assert stream.receive().resources  # a standby serves resources too
        assert final_status(quota.call)[0] is grpc.StatusCode.UNAVAILABLE
        leader.end()
        epoch = standby.event("granting")["epoch"]
        quota = QuotaStream(channel)
        quota.report(10)
        assert quota.receive()[1] > epoch >= 1_000_000

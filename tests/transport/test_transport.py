"""`scalefall control` on sockets: a stock client, both forms of the protocol, bad peers, certificates, restarts."""

import contextlib
import json
import queue
import signal
import subprocess
import sys

import grpc
import pytest
from transporthelp import Authority, Raw, Started, Stock, backends, control, site, status, unwrapped
from envoy.config.endpoint.v3 import endpoint_pb2
from envoy.service.discovery.v3 import discovery_pb2
from envoy.service.load_stats.v3 import lrs_pb2, lrs_pb2_grpc
from envoy.service.rate_limit_quota.v3 import rlqs_pb2, rlqs_pb2_grpc
from google.rpc import status_pb2
from test_program import LONG, ROOT

from scalefall.control.catalog import CDS, EDS, LDS, RDS
from scalefall.control.transport import quota_wire


@pytest.fixture
def folder(tmp_path):
    site(tmp_path, 9001, 9002)
    return tmp_path


def again(process):
    process.child.send_signal(signal.SIGHUP)


def health(response, whole=True):
    """Port to health of each endpoint in a response."""
    found = {}
    for packed in response.resources:
        body = unwrapped(packed)[0] if whole else packed.resource
        load = endpoint_pb2.ClusterLoadAssignment()
        assert body.Unpack(load)
        for zone in load.endpoints:
            found |= {end.endpoint.address.socket_address.port_value: end.health_status for end in zone.lb_endpoints}
    return found


def test_a_stock_client_resolves_the_route_connects_and_follows_a_drain(tmp_path):
    with backends("a", "b") as ports:
        site(tmp_path, *ports)
        with control(tmp_path) as process:
            stock = Stock(process.at)
            try:
                assert stock.who() == ["a", "b"]
                site(tmp_path, *ports, e0="draining")
                again(process)
                process.event("configuration read again")
                until = [stock.who() for _ in range(50)]
                assert until[-1] == ["b"]
                process.end()
                assert stock.who() == ["b"]  # without times to live it goes on with what it has
            finally:
                stock.end()
            assert not [line for line in process.seen if "rejected" in line]


def test_whole_and_incremental_streams_get_a_drain_with_their_own_nonces_and_beats(folder):
    with control(folder) as process, grpc.insecure_channel(process.at) as channel:
        whole, parts = Raw(channel), Raw(channel, True, "m")
        for stream in (whole, parts):
            stream.ask(EDS, "route-7")
        first, part = whole.next(), parts.next()
        assert health(first) == health(part, False) == {9001: 1, 9002: 1} and part.resources[0].ttl.nanos > 0
        whole.ack(first, "route-7")
        beat = whole.next()
        body, ttl, name = unwrapped(beat.resources[0])
        assert (body.type_url, name) == ("", "route-7") and 0 < ttl < 1_000_000 and beat.nonce != first.nonce
        whole.ack(beat, "route-7")
        parts.ack(part)
        site(folder, 9001, 9002, e1="draining")
        again(process)
        for stream, is_whole in ((whole, True), (parts, False)):
            while True:
                response = stream.next()
                if (
                    is_whole
                    and unwrapped(response.resources[0])[0].type_url
                    or not is_whole
                    and response.resources[0].HasField("resource")
                ):
                    break
                stream.ack(response, *["route-7"] if is_whole else [])
            assert health(response, is_whole) == {9001: 1, 9002: 3}


def test_a_client_that_knows_no_times_to_live_gets_neither_them_nor_heartbeats(folder):
    with control(folder) as process, grpc.insecure_channel(process.at) as channel:
        plain, leased = Raw(channel, node="a", features=()), Raw(channel, node="b")
        for stream in (plain, leased):
            stream.ask(EDS, "route-7")
            stream.ack(stream.next(), "route-7")
        for _ in range(3):
            leased.ack(leased.next(), "route-7")
        site(folder, 9001)
        again(process)
        assert list(health(plain.next())) == [9001]


def test_a_rejection_is_logged_with_its_text_and_stops_nobody_else(folder):
    with control(folder) as process, grpc.insecure_channel(process.at) as channel:
        bad, good = Raw(channel, node="bad"), Raw(channel, node="good")
        for stream in (bad, good):
            stream.ask(CDS)
            response = stream.next()
            assert len(response.resources) == 1
            stream.ask(RDS, "route-7")
            if stream is bad:
                stream.ack(response, error_detail=status_pb2.Status(code=3, message="no such policy"))
            else:
                stream.ack(response)
        assert good.next().type_url == RDS
        row = process.event("rejected", node="bad")
        assert row["names"] == ["route-7"] and "no such policy" in row["text"]


@pytest.mark.parametrize(
    "message, code",
    [
        (b"\xff\xff\xff\xff", "INVALID_ARGUMENT"),
        (b"x" * 5_000_000, "RESOURCE_EXHAUSTED"),
        (discovery_pb2.DiscoveryRequest(type_url=CDS), "INVALID_ARGUMENT"),
        (discovery_pb2.DiscoveryRequest(type_url="nonsense", node={"id": "n"}), "INVALID_ARGUMENT"),
        (discovery_pb2.DiscoveryRequest(type_url=CDS, node={"id": "n"}, response_nonce="7"), "INVALID_ARGUMENT"),
        (
            discovery_pb2.DiscoveryRequest(
                type_url=EDS, node={"id": "n"}, resource_names=[f"n{n}" for n in range(20_001)]
            ),
            "INVALID_ARGUMENT",
        ),
    ],
    ids=["garbage", "giant", "nameless", "type", "nonce", "names"],
)
def test_a_bad_peer_is_told_why_and_costs_nobody_else(folder, message, code):
    with control(folder) as process, grpc.insecure_channel(process.at) as channel:
        good = Raw(channel, node="good")
        good.ask(EDS, "route-7")
        good.ack(good.next(), "route-7")
        path = "/envoy.service.discovery.v3.AggregatedDiscoveryService/StreamAggregatedResources"
        data = message if isinstance(message, bytes) else message.SerializeToString()
        call = channel.stream_stream(path)(iter([data]), timeout=LONG)
        assert status(call)[0].name == code
        assert good.next().type_url == EDS and process.child.poll() is None
        assert not [line for line in process.seen if "Traceback" in line]


def test_streams_that_one_node_opens_again_and_again_are_turned_away(folder):
    with control(folder) as process, grpc.insecure_channel(process.at) as channel:
        raws = [Raw(channel) for _ in range(100)]  # all at once, so that time lets few more through
        codes = []
        for raw in raws:
            raw.ask(LDS)
        for raw in raws:
            try:
                raw.next()
                codes.append("OK")
            except grpc.RpcError as error:
                codes.append(error.code().name)
            raw.end()
        assert codes.count("OK") >= 50 and codes.count("RESOURCE_EXHAUSTED") >= 10
        other = Raw(channel, node="other")
        other.ask(LDS)
        assert other.next().type_url == LDS


class Quota:
    def __init__(self, channel, node="n", instance="i"):
        self._more, self.node, self._usages = queue.SimpleQueue(), node, {}
        self.call = rlqs_pb2_grpc.RateLimitQuotaServiceStub(channel).StreamRateLimitQuotas(
            self._reports(), timeout=LONG, metadata=(("scalefall-node", node), ("scalefall-instance", instance))
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

    def next(self):
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


def test_grants_add_up_to_the_limit_follow_reports_and_are_numbered_on_over_a_restart(folder):
    site(folder, 9001, limit="limit 40 per 1s;")
    flags = ("--plain-text", "--lease", "0.5", "--delay", "0.1")
    with control(folder, *flags) as process, grpc.insecure_channel(process.at) as channel:
        one, two = Quota(channel, "one"), Quota(channel, "two")
        one.say(100)
        two.say(100, said=5)
        first, second = one.next(), two.next()
        assert second[2] == 5 and 0 < first[0] + second[0] <= 40_000
        one.say(1, route="8")
        while (told := one.next()) is not None:
            assert told[0] <= 40_000
        loads = lrs_pb2_grpc.LoadReportingServiceStub(channel)
        report = lrs_pb2.LoadStatsRequest(node={"id": "one"})
        cluster = report.cluster_stats.add(cluster_name="route-7")
        row = cluster.upstream_locality_stats.add().upstream_endpoint_stats.add(total_error_requests=1)
        row.address.socket_address.address, row.address.socket_address.port_value = "127.0.0.1", 9001
        row.load_metric_stats.add(metric_name="scalefall.connect_failed", num_requests_finished_with_metric=1)
        answer = next(loads.StreamLoadStats(iter([report]), timeout=LONG))
        assert answer.send_all_clusters and answer.report_endpoint_granularity
        raw = Raw(channel)
        raw.ask(EDS, "route-7")
        while True:  # the partner is in doubt now: what knows no grants has all its calls dropped
            load = endpoint_pb2.ClusterLoadAssignment()
            response = raw.next()
            body = unwrapped(response.resources[0])[0]
            if body.Unpack(load) and load.policy.drop_overloads:
                assert load.policy.drop_overloads[0].category == "guarded"
                break
            raw.ack(response, "route-7")
        while (told := two.next())[0]:
            pass
        last = told[1]
        assert process.end(signal.SIGTERM) == 0
    with control(folder, *flags) as process, grpc.insecure_channel(process.at) as channel:
        assert process.event("granting")["recalled"] > 0
        raw = Raw(channel)
        raw.ask(EDS, "route-7")
        while True:
            response, load = raw.next(), endpoint_pb2.ClusterLoadAssignment()
            if unwrapped(response.resources[0])[0].Unpack(load) and load.policy.drop_overloads:
                break  # the guard has outlasted the process
            raw.ack(response, "route-7")
        three = Quota(channel, "three")
        three.say(10)
        assert three.next()[1] > last


def test_one_process_grants_and_another_on_the_folder_takes_over_when_it_dies(folder):
    flags = ("--plain-text", "--lease", "0.5", "--delay", "0.1")
    with control(folder, *flags) as one, control(folder, *flags) as two, grpc.insecure_channel(two.at) as channel:
        one.event("granting")
        two.line("standing by")
        quota, raw = Quota(channel), Raw(channel)
        quota.say(10)
        raw.ask(CDS)
        assert raw.next().resources  # resources are served by both
        assert status(quota.call)[0] is grpc.StatusCode.UNAVAILABLE
        one.end()
        epoch = two.event("granting")["epoch"]
        quota = Quota(channel)
        quota.say(10)
        assert quota.next()[1] > epoch >= 1_000_000


def secure(process, authority, pair):
    parts = [open(path, "rb").read() for path in (authority.path, *reversed(pair or ()))]
    return grpc.secure_channel(process.at, grpc.ssl_channel_credentials(*parts))


def answered(channel, node):
    with channel:
        raw = Raw(channel, node=node)
        raw.ask(CDS)
        try:
            return raw.next().type_url
        except grpc.RpcError as error:
            return error.code().name


def test_certificates_are_asked_for_bound_to_the_node_and_replaced_without_a_restart(folder):
    ours, theirs = Authority(folder), Authority(folder, "other")
    certificate, key = ours.pair("control", "control")
    flags = ("--certificate", certificate, "--key", key, "--clients", ours.path)
    with control(folder, *flags) as process:
        n, expired, foreign = ours.pair("n", "n"), ours.pair("old", "n", days=-1), theirs.pair("f", "n")
        assert answered(secure(process, ours, n), "n") == CDS
        assert answered(secure(process, ours, n), "m") == "PERMISSION_DENIED"
        assert answered(secure(process, ours, ours.pair("nameless")), "n") == "UNAUTHENTICATED"
        for pair in (None, expired, foreign):
            assert answered(secure(process, ours, pair), "n") == "UNAVAILABLE"
        assert answered(grpc.insecure_channel(process.at), "n") == "UNAVAILABLE"
        channel = secure(process, ours, n)
        held = Raw(channel, node="n")
        held.ask(CDS)
        assert held.next().resources
        theirs.pair("control", "control")  # the authority and the pair are replaced, the key last
        ours.write("ca.pem", open(theirs.path, "rb").read())
        assert answered(secure(process, theirs, theirs.pair("n2", "n")), "n") == CDS
        process.line("certificates replaced")
        assert status(held.call) == (
            grpc.StatusCode.UNAUTHENTICATED,
            "the certificate's authority is not trusted any more",
        )
        theirs.write("control.key", b"no key")
        assert answered(secure(process, theirs, theirs.pair("n3", "n")), "n") == CDS  # the old pair stays in use
        process.line("certificates stay as they were")
        assert process.end(signal.SIGTERM) == 0


@pytest.mark.parametrize(
    "flags, part",
    [
        ((), "--certificate, --key and --clients are needed"),
        (("--plain-text", "--listen", "10.0.0.1:1"), "loopback only"),
        (("--plain-text", "--listen", "nowhere"), "must be an address and a port"),
        (("--certificate", "none.pem", "--key", "k", "--clients", "c"), "none.pem: No such file"),
        (("--plain-text", "--listen", "127.0.0.1:{port}"), "cannot listen at"),
    ],
)
def test_what_it_cannot_start_with_is_said_in_one_line(folder, flags, part):
    with backends("a") as (port,):
        process = Started(folder, *(flag.format(port=port) for flag in flags))
        assert process.child.wait(LONG) == 2
        process.lines.put(None)
        process.line(part)
        assert not [line for line in process.seen if "Traceback" in line]


def test_a_bad_edit_changes_nothing_and_the_epoch_is_never_guessed(folder):
    with control(folder) as process:
        (folder / "site.scale").write_text("route 7 { pool nowhere }")
        again(process)
        assert "stays" in process.event("configuration not taken, the one in force stays")["text"]
        assert process.end(signal.SIGTERM) == 0
    site(folder, 9001)
    (folder / "state" / "epoch").write_text("many")
    process = Started(folder, "--plain-text")
    assert process.child.wait(LONG) == 2
    process.line("does not hold a number")


def test_the_senders_program_loads_nothing_of_it():
    code = (
        "import sys, scalefall.net.sender, scalefall.cli.main; print([m for m in sys.modules if 'grpc' in m or "
        "'google' in m or 'cryptography' in m or 'control.transport' in m])"
    )
    assert subprocess.check_output([sys.executable, "-c", code], cwd=ROOT, text=True).strip() == "[]"


def test_log_lines_are_objects_with_an_event(folder):
    with control(folder) as process:
        assert process.end(signal.SIGTERM) == 0
        assert all("event" in json.loads(line) for line in process.seen)


def test_many_names_again_and_again_are_taken_slowly_and_a_repetition_is_cheap(folder):
    with control(folder) as process, grpc.insecure_channel(process.at) as channel:
        names = [[f"{word}-{n}" for n in range(15_000)] + ["route-7"] for word in "ab"]
        greedy, good = Raw(channel, node="greedy"), Raw(channel, node="good")
        good.ask(EDS, "route-7")
        for turn in range(100):
            greedy.ask(EDS, *names[turn % 2])
        for _ in range(4):  # one after the other, each half a lease: it is heard in between all along
            good.ack(good.next(), "route-7")
        assert not good.call.done() and not greedy.call.done()

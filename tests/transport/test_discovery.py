"""Discovery streams on sockets: a stock client, both forms of the protocol, clients that break its rules."""

import grpc
import pytest
from envoy.config.endpoint.v3 import endpoint_pb2
from envoy.service.discovery.v3 import discovery_pb2
from google.rpc import status_pb2
from test_program import PROCESS_TIMEOUT_S
from transporthelp import (
    DiscoveryStream,
    StockClient,
    backends,
    final_status,
    reload_configuration,
    running_control,
    unwrap,
    write_site,
)

from scalefall.control.catalog import CDS, EDS, LDS, RDS


def health_by_port(response, whole=True):
    """Port to health of each endpoint in a response."""
    found = {}
    for packed in response.resources:
        body = unwrap(packed)[0] if whole else packed.resource
        load = endpoint_pb2.ClusterLoadAssignment()
        assert body.Unpack(load)
        for zone in load.endpoints:
            found |= {end.endpoint.address.socket_address.port_value: end.health_status for end in zone.lb_endpoints}
    return found


def test_a_stock_client_resolves_the_route_connects_and_follows_a_drain(tmp_path):
    with backends("a", "b") as ports:
        write_site(tmp_path, *ports)
        with running_control(tmp_path) as process:
            stock = StockClient(process.address)
            try:
                assert stock.who() == ["a", "b"]
                write_site(tmp_path, *ports, e0="draining")
                reload_configuration(process)
                process.event("configuration read again")
                until = [stock.who() for _ in range(50)]
                assert until[-1] == ["b"]
                process.end()
                assert stock.who() == ["b"]  # without times to live it goes on with what it has
            finally:
                stock.end()
            assert not [line for line in process.seen if "rejected" in line]


def test_whole_and_incremental_streams_get_a_drain_with_their_own_nonces_and_beats(folder):
    with running_control(folder) as process, grpc.insecure_channel(process.address) as channel:
        whole, parts = DiscoveryStream(channel), DiscoveryStream(channel, True, "m")
        for stream in (whole, parts):
            stream.request(EDS, "route-7")
        first, part = whole.receive(), parts.receive()
        assert health_by_port(first) == health_by_port(part, False) == {9001: 1, 9002: 1}
        assert part.resources[0].ttl.nanos > 0
        whole.acknowledge(first, "route-7")
        beat = whole.receive()
        body, ttl, name = unwrap(beat.resources[0])
        assert (body.type_url, name) == ("", "route-7")
        assert 0 < ttl < 1_000_000
        assert beat.nonce != first.nonce
        whole.acknowledge(beat, "route-7")
        parts.acknowledge(part)
        write_site(folder, 9001, 9002, e1="draining")
        reload_configuration(process)
        for stream, is_whole in ((whole, True), (parts, False)):
            while True:
                response = stream.receive()
                if (is_whole and unwrap(response.resources[0])[0].type_url) or (
                    not is_whole and response.resources[0].HasField("resource")
                ):
                    break
                stream.acknowledge(response, *["route-7"] if is_whole else [])
            assert health_by_port(response, is_whole) == {9001: 1, 9002: 3}


def test_a_client_that_knows_no_times_to_live_gets_neither_them_nor_heartbeats(folder):
    with running_control(folder) as process, grpc.insecure_channel(process.address) as channel:
        plain, leased = DiscoveryStream(channel, node="a", features=()), DiscoveryStream(channel, node="b")
        for stream in (plain, leased):
            stream.request(EDS, "route-7")
            stream.acknowledge(stream.receive(), "route-7")
        for _ in range(3):
            leased.acknowledge(leased.receive(), "route-7")
        write_site(folder, 9001)
        reload_configuration(process)
        assert list(health_by_port(plain.receive())) == [9001]


def test_a_rejection_is_logged_with_its_text_and_stops_nobody_else(folder):
    with running_control(folder) as process, grpc.insecure_channel(process.address) as channel:
        bad, good = DiscoveryStream(channel, node="bad"), DiscoveryStream(channel, node="good")
        for stream in (bad, good):
            stream.request(CDS)
            response = stream.receive()
            assert len(response.resources) == 1
            stream.request(RDS, "route-7")
            if stream is bad:
                stream.acknowledge(response, error_detail=status_pb2.Status(code=3, message="no such policy"))
            else:
                stream.acknowledge(response)
        assert good.receive().type_url == RDS
        row = process.event("rejected", node="bad")
        assert row["names"] == ["route-7"]
        assert "no such policy" in row["text"]


@pytest.mark.parametrize(
    ("message", "code"),
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
    with running_control(folder) as process, grpc.insecure_channel(process.address) as channel:
        good = DiscoveryStream(channel, node="good")
        good.request(EDS, "route-7")
        good.acknowledge(good.receive(), "route-7")
        path = "/envoy.service.discovery.v3.AggregatedDiscoveryService/StreamAggregatedResources"
        data = message if isinstance(message, bytes) else message.SerializeToString()
        call = channel.stream_stream(path)(iter([data]), timeout=PROCESS_TIMEOUT_S)
        assert final_status(call)[0].name == code
        assert good.receive().type_url == EDS
        assert process.child.poll() is None
        assert not [line for line in process.seen if "Traceback" in line]


def test_streams_that_one_node_opens_again_and_again_are_turned_away(folder):
    with running_control(folder) as process, grpc.insecure_channel(process.address) as channel:
        streams = [DiscoveryStream(channel) for _ in range(100)]  # all at once, so that time lets few more through
        codes = []
        for stream in streams:
            stream.request(LDS)
        for stream in streams:
            try:
                stream.receive()
                codes.append("OK")
            except grpc.RpcError as error:
                codes.append(error.code().name)
            stream.end()
        assert codes.count("OK") >= 50
        assert codes.count("RESOURCE_EXHAUSTED") >= 10
        other = DiscoveryStream(channel, node="other")
        other.request(LDS)
        assert other.receive().type_url == LDS


def test_many_names_again_and_again_are_taken_slowly_and_a_repetition_is_cheap(folder):
    with running_control(folder) as process, grpc.insecure_channel(process.address) as channel:
        names = [[f"{word}-{n}" for n in range(15_000)] + ["route-7"] for word in "ab"]
        greedy, good = DiscoveryStream(channel, node="greedy"), DiscoveryStream(channel, node="good")
        good.request(EDS, "route-7")
        for turn in range(100):
            greedy.request(EDS, *names[turn % 2])
        for _ in range(4):  # one after the other, each half a lease: it is heard in between all along
            good.acknowledge(good.receive(), "route-7")
        assert not good.call.done()
        assert not greedy.call.done()

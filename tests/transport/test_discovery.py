"""Resource streams on sockets: gRPC's own client, both variants of the protocol, and clients that violate it."""

import grpc
import pytest
from envoy.config.endpoint.v3 import endpoint_pb2
from envoy.service.discovery.v3 import discovery_pb2
from google.rpc import status_pb2
from test_program import PROCESS_TIMEOUT_S
from transporthelp import (
    ResourceStream,
    GrpcXdsClient,
    backends,
    final_status,
    reload_configuration,
    running_control,
    unwrap,
    write_configuration,
)

from scalefall.control.catalog import CDS, EDS, LDS, RDS


def health_by_port(response, is_state_of_the_world=True):
    """Return the health of each endpoint in a response, by port."""
    health = {}
    for packed in response.resources:
        body = unwrap(packed)[0] if is_state_of_the_world else packed.resource
        load = endpoint_pb2.ClusterLoadAssignment()
        assert body.Unpack(load)
        for zone in load.endpoints:
            health |= {row.endpoint.address.socket_address.port_value: row.health_status for row in zone.lb_endpoints}
    return health


def test_grpcs_own_xds_client_resolves_a_route_and_follows_a_drain(tmp_path):
    with backends("a", "b") as ports:
        write_configuration(tmp_path, *ports)
        with running_control(tmp_path) as process:
            client = GrpcXdsClient(process.address)
            try:
                assert client.answering_backends() == ["a", "b"]
                write_configuration(tmp_path, *ports, e0="draining")
                reload_configuration(process)
                process.event("configuration read again")
                answers = [client.answering_backends() for _ in range(50)]
                assert answers[-1] == ["b"]
                process.end()
                assert client.answering_backends() == ["b"]  # without times to live it keeps its endpoints
            finally:
                client.end()
            assert not [line for line in process.seen if "rejected" in line]


def test_both_variants_of_streams_get_drains_and_heartbeats_with_nonces_of_their_own(folder):
    with running_control(folder) as process, grpc.insecure_channel(process.address) as channel:
        full, incremental = ResourceStream(channel), ResourceStream(channel, True, "m")
        for stream in (full, incremental):
            stream.request(EDS, "route-7")
        full_response, incremental_response = full.receive(), incremental.receive()
        assert health_by_port(full_response) == health_by_port(incremental_response, False) == {9001: 1, 9002: 1}
        assert incremental_response.resources[0].ttl.nanos > 0
        full.acknowledge(full_response, "route-7")
        heartbeat = full.receive()
        body, ttl, name = unwrap(heartbeat.resources[0])
        assert (body.type_url, name) == ("", "route-7")
        assert 0 < ttl < 1_000_000
        assert heartbeat.nonce != full_response.nonce
        full.acknowledge(heartbeat, "route-7")
        incremental.acknowledge(incremental_response)
        write_configuration(folder, 9001, 9002, e1="draining")
        reload_configuration(process)
        for stream, is_state_of_the_world in ((full, True), (incremental, False)):
            while True:
                response = stream.receive()
                if (is_state_of_the_world and unwrap(response.resources[0])[0].type_url) or (
                    not is_state_of_the_world and response.resources[0].HasField("resource")
                ):
                    break
                stream.acknowledge(response, *["route-7"] if is_state_of_the_world else [])
            assert health_by_port(response, is_state_of_the_world) == {9001: 1, 9002: 3}


def test_a_client_without_ttl_support_gets_neither_ttls_nor_heartbeats(folder):
    with running_control(folder) as process, grpc.insecure_channel(process.address) as channel:
        plain, leased = ResourceStream(channel, node="a", features=()), ResourceStream(channel, node="b")
        for stream in (plain, leased):
            stream.request(EDS, "route-7")
            stream.acknowledge(stream.receive(), "route-7")
        for _ in range(3):
            leased.acknowledge(leased.receive(), "route-7")
        write_configuration(folder, 9001)
        reload_configuration(process)
        assert list(health_by_port(plain.receive())) == [9001]


def test_a_rejection_is_logged_with_its_text_and_does_not_affect_other_clients(folder):
    with running_control(folder) as process, grpc.insecure_channel(process.address) as channel:
        bad, good = ResourceStream(channel, node="bad"), ResourceStream(channel, node="good")
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
def test_an_invalid_request_ends_its_stream_with_a_status_and_no_other_stream(folder, message, code):
    with running_control(folder) as process, grpc.insecure_channel(process.address) as channel:
        good = ResourceStream(channel, node="good")
        good.request(EDS, "route-7")
        good.acknowledge(good.receive(), "route-7")
        path = "/envoy.service.discovery.v3.AggregatedDiscoveryService/StreamAggregatedResources"
        data = message if isinstance(message, bytes) else message.SerializeToString()
        call = channel.stream_stream(path)(iter([data]), timeout=PROCESS_TIMEOUT_S)
        assert final_status(call)[0].name == code
        assert good.receive().type_url == EDS
        assert process.child.poll() is None
        assert not [line for line in process.seen if "Traceback" in line]


def test_streams_that_one_node_opens_too_often_are_rejected(folder):
    with running_control(folder) as process, grpc.insecure_channel(process.address) as channel:
        streams = [
            ResourceStream(channel) for _ in range(100)
        ]  # at once, so that the rate limit admits few after the burst
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
        other = ResourceStream(channel, node="other")
        other.request(LDS)
        assert other.receive().type_url == LDS


def test_many_large_requests_of_one_client_do_not_delay_another(folder):
    with running_control(folder) as process, grpc.insecure_channel(process.address) as channel:
        names = [[f"{word}-{n}" for n in range(15_000)] + ["route-7"] for word in "ab"]
        flooding, good = ResourceStream(channel, node="flooding"), ResourceStream(channel, node="good")
        good.request(EDS, "route-7")
        for number in range(100):
            flooding.request(EDS, *names[number % 2])
        for _ in range(4):  # heartbeats come each half a lease, between the large requests
            good.acknowledge(good.receive(), "route-7")
        assert not good.call.done()
        assert not flooding.call.done()

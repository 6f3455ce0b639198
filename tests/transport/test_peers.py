"""Streams without sockets: admission, outgoing queues, the status that each ends with, and the rate of reading."""

import asyncio
import contextlib

import grpc
import pytest

from scalefall.control.transport import peers, stream_reader, tls
from scalefall.control.transport.peers import Peer, PeerRegistry, StreamEnd, StreamEndedError
from scalefall.control.transport.stream_reader import read_messages
from scalefall.control.transport.stream_server import StreamServer
from scalefall.errors import LeadershipError

StatusCode = grpc.StatusCode


class AbortError(Exception):
    """Raised by abort(), as in gRPC."""


class StubContext:
    """Stands in for gRPC's side of a stream: yields the given messages, records those written and the final status."""

    def __init__(self, *messages):
        self.messages, self.written, self.status = list(messages), [], None

    async def read(self):
        if not self.messages:
            await asyncio.Event().wait()  # no more messages, and the stream stays open
        return self.messages.pop(0)

    async def write(self, data):
        self.written.append(data)

    async def abort(self, status, text):
        self.status = (status, text)
        raise AbortError

    def auth_context(self):
        return {"x509_pem_cert": [b"certificate"]}

    def peer(self):
        return "ipv4:127.0.0.1:1"


class StubDriver:
    """Stands in for the service driver; counts the closed streams."""

    def __init__(self, registry):
        self.registry, self.closed = registry, 0

    def stream_closed(self, peer):
        self.registry.remove(peer)
        self.closed += 1


class StubMessage:
    """A message whose serialized form is its text."""

    def ParseFromString(self, data):  # noqa: N802 - protobuf's name
        self.text = data.decode()


class StubCertificates:
    """Trusts the certificate `certificate` while `trusted` is set."""

    trusted = True

    def trusts(self, pem):
        return self.trusted and pem == b"certificate"


def peer_of(certificate=None, context=None):
    return Peer(1, context or StubContext(), asyncio.current_task(), certificate)


def serve(handle, context=None, registry=None, while_open=None):
    """Serve one stream with a handler; return its context and the number of closed streams."""
    registry = registry or PeerRegistry(None)
    driver, context = StubDriver(registry), context or StubContext()

    async def run():
        stream = asyncio.create_task(StreamServer(registry, driver).handler(handle)(None, context))
        await asyncio.sleep(0)
        if while_open:
            while_open(stream)
        with contextlib.suppress(AbortError):
            await stream

    asyncio.run(run())
    return context, driver.closed


# -- admission


@pytest.mark.parametrize("node", ["", "a/b", "a\nb", "n" * 257])
def test_a_malformed_node_id_ends_the_stream(node):
    async def run():
        with pytest.raises(StreamEndedError, match="1 to 256 printable characters without a slash") as caught:
            PeerRegistry(None).identify(peer_of(), node)
        assert caught.value.end.status is StatusCode.INVALID_ARGUMENT

    asyncio.run(run())


def test_a_stream_keeps_its_node_which_its_certificate_must_name():
    async def run():
        registry = PeerRegistry(None)
        peer = peer_of(tls.ClientCertificate(b"certificate", frozenset({"n", "m"}), 1.0))
        registry.identify(peer, "n")
        registry.identify(peer, "n")
        for node, status in (("m", StatusCode.INVALID_ARGUMENT), ("o", StatusCode.INVALID_ARGUMENT)):
            with pytest.raises(StreamEndedError, match="a stream is one node's") as caught:
                registry.identify(peer, node)
            assert caught.value.end.status is status
        with pytest.raises(StreamEndedError, match="the certificate is not for node o") as caught:
            registry.identify(peer_of(peer.certificate), "o")
        assert caught.value.end.status is StatusCode.PERMISSION_DENIED

    asyncio.run(run())


def test_streams_beyond_the_limit_are_rejected_before_a_message_is_read(monkeypatch):
    monkeypatch.setattr(peers, "MAX_STREAMS", 1)

    async def run():
        registry = PeerRegistry(None)
        first = registry.admit(StubContext(), asyncio.current_task())
        with pytest.raises(StreamEndedError, match="1 streams are open") as caught:
            registry.admit(StubContext(), asyncio.current_task())
        assert caught.value.end.status is StatusCode.RESOURCE_EXHAUSTED
        registry.remove(first)
        assert registry.admit(StubContext(), asyncio.current_task()).number == first.number + 1

    asyncio.run(run())


def test_a_certificate_without_a_node_is_rejected_with_a_status():
    context, closed = serve(None, registry=PeerRegistry(StubCertificates()))
    assert context.status == (StatusCode.UNAUTHENTICATED, "the certificate names no node")
    assert closed == 0


@pytest.mark.parametrize(
    ("expires_s", "trusted", "reason"),
    [
        (10.0, True, "the certificate has ended"),
        (10.5, False, "the certificate's authority is not trusted any more"),
        (10.5, True, None),
    ],
)
def test_expired_and_no_longer_trusted_certificates_end_their_streams(expires_s, trusted, reason):
    async def run():
        certificates = StubCertificates()
        certificates.trusted = trusted
        registry = PeerRegistry(certificates)
        task = asyncio.create_task(asyncio.sleep(10))
        peer = Peer(1, StubContext(), task, tls.ClientCertificate(b"certificate", frozenset({"n"}), expires_s))
        registry.add(peer)
        registry.close_untrusted(10.0)
        assert peer.end == (StreamEnd(StatusCode.UNAUTHENTICATED, reason) if reason else None)
        assert bool(task.cancelling()) == bool(reason)
        task.cancel()

    asyncio.run(run())


# -- outgoing messages


def test_a_stream_with_too_many_queued_messages_is_closed_and_keeps_its_first_status(monkeypatch):
    monkeypatch.setattr(peers, "MAX_OUTGOING_MESSAGES", 2)

    async def run():
        peer = Peer(1, StubContext(), asyncio.create_task(asyncio.sleep(10)), None)
        peer.send(b"1")
        peer.send(b"2")
        assert peer.end is None
        peer.send(b"3")
        assert peer.end == StreamEnd(StatusCode.RESOURCE_EXHAUSTED, "it does not read what it is sent")
        peer.close(StatusCode.ABORTED, "another")
        assert peer.end.status is StatusCode.RESOURCE_EXHAUSTED
        assert peer.task.cancelling() == 1

    asyncio.run(run())


def test_queued_messages_are_written_in_order():
    async def run():
        context = StubContext()
        peer = peer_of(context=context)
        writer = asyncio.create_task(peer.write_outgoing())
        for group in ((b"1", b"2"), (b"3",)):
            for data in group:
                peer.send(data)
            await asyncio.sleep(0.01)
        writer.cancel()
        assert context.written == [b"1", b"2", b"3"]

    asyncio.run(run())


# -- the end of a stream


async def violate_protocol(_peer):
    raise StreamEndedError(StatusCode.INVALID_ARGUMENT, "broken")


async def reach_a_standby(_peer):
    raise LeadershipError("another process grants here")


async def lose_the_client(_peer):
    raise grpc.aio.UsageError("the call is over")


async def finish(_peer):
    return


@pytest.mark.parametrize(
    ("handle", "status"),
    [
        (violate_protocol, (StatusCode.INVALID_ARGUMENT, "broken")),
        (reach_a_standby, (StatusCode.UNAVAILABLE, "another process grants here")),
        (lose_the_client, None),
        (finish, None),
    ],
)
def test_a_stream_ends_with_the_status_of_its_handler_and_is_closed_once(handle, status):
    context, closed = serve(handle)
    assert (context.status, closed) == (status, 1)


def test_a_stream_that_the_server_closes_ends_with_that_status():
    registry = PeerRegistry(None)

    def close(_stream):
        for peer in registry:
            peer.close(StatusCode.ABORTED, "replaced")

    async def wait(peer):
        await peer.context.read()

    context, closed = serve(wait, registry=registry, while_open=close)
    assert (context.status, closed) == ((StatusCode.ABORTED, "replaced"), 1)


def test_a_stream_cancelled_by_grpc_gets_no_status():
    async def wait(peer):
        await peer.context.read()

    context = StubContext()
    with pytest.raises(asyncio.CancelledError):
        serve(wait, context, while_open=lambda stream: stream.cancel())
    assert context.status is None


# -- reading


def test_a_stream_without_a_first_message_times_out(monkeypatch):
    monkeypatch.setattr(stream_reader, "FIRST_MESSAGE_TIMEOUT_S", 0.01)

    async def run():
        with pytest.raises(StreamEndedError, match=r"nothing said in 0\.01 s") as caught:
            await anext(read_messages(peer_of(), StubMessage))
        assert caught.value.end.status is StatusCode.DEADLINE_EXCEEDED

    asyncio.run(run())


def test_messages_are_read_until_the_end_at_a_limited_rate(monkeypatch):
    monkeypatch.setattr(stream_reader, "REQUEST_RATE", (2, 100))

    async def run():
        loop, times = asyncio.get_running_loop(), []
        began_s = loop.time()
        context = StubContext(*[b"x"] * 5, b"y" * 3000, b"z", grpc.aio.EOF)
        async for message in read_messages(peer_of(context=context), StubMessage):
            times.append(loop.time() - began_s)
            last = message.text
        assert (len(times), last) == (7, "z")
        assert times[4] >= 0.02  # a burst of two, then one each 10 ms
        assert times[6] - times[5] >= 0.03  # 3000 bytes cost three further requests

    asyncio.run(run())

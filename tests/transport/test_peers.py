"""Open streams without sockets: who may open one, what may wait to be sent, and the status that each ends with."""

import asyncio
import contextlib

import grpc
import pytest

from scalefall.control.transport import peers, stream_reader, tls
from scalefall.control.transport.peers import Peer, PeerRegistry, StreamEnd, StreamEndedError
from scalefall.control.transport.stream_reader import read_messages
from scalefall.control.transport.stream_server import StreamServer
from scalefall.errors import LeadershipError

Code = grpc.StatusCode


class Aborted(Exception):  # noqa: N818 - as gRPC names it
    """What gRPC raises when a handler ends a stream with a status."""


class Context:
    """gRPC's side of a stream: the messages to come, those written, and the status it was ended with."""

    def __init__(self, *messages):
        self.messages, self.written, self.status = list(messages), [], None

    async def read(self):
        if not self.messages:
            await asyncio.Event().wait()  # nothing more comes, and the stream stays open
        return self.messages.pop(0)

    async def write(self, data):
        self.written.append(data)

    async def abort(self, status, text):
        self.status = (status, text)
        raise Aborted

    def auth_context(self):
        return {"x509_pem_cert": [b"certificate"]}

    def peer(self):
        return "ipv4:127.0.0.1:1"


class Driver:
    """In place of the service: counts the streams that have closed."""

    def __init__(self, registry):
        self.registry, self.closed = registry, 0

    def stream_closed(self, peer):
        self.registry.remove(peer)
        self.closed += 1


class Message:
    """A message whose bytes are its text."""

    def ParseFromString(self, data):  # noqa: N802 - protobuf's name
        self.text = data.decode()


class Certificates:
    """Trusts what it is told to."""

    trusted = True

    def trusts(self, pem):
        return self.trusted and pem == b"certificate"


def peer_of(certificate=None, context=None):
    return Peer(1, context or Context(), asyncio.current_task(), certificate)


def serve(handle, context=None, registry=None, during=None):
    """Serve one stream by a handler of messages; its context, and how many streams have closed."""
    registry = registry or PeerRegistry(None)
    driver, context = Driver(registry), context or Context()

    async def run():
        stream = asyncio.create_task(StreamServer(registry, driver).handler(handle)(None, context))
        await asyncio.sleep(0)
        if during:
            during(stream)
        with contextlib.suppress(Aborted):
            await stream

    asyncio.run(run())
    return context, driver.closed


# -- who may open a stream


@pytest.mark.parametrize("node", ["", "a/b", "a\nb", "n" * 257])
def test_a_malformed_node_id_ends_the_stream(node):
    async def run():
        with pytest.raises(StreamEndedError, match="1 to 256 printable characters without a slash") as caught:
            PeerRegistry(None).identify(peer_of(), node)
        assert caught.value.end.status is Code.INVALID_ARGUMENT

    asyncio.run(run())


def test_a_stream_stays_one_node_s_and_the_certificate_s():
    async def run():
        registry = PeerRegistry(None)
        peer = peer_of(tls.ClientCertificate(b"certificate", frozenset({"n", "m"}), 1.0))
        registry.identify(peer, "n")
        registry.identify(peer, "n")
        for node, status in (("m", Code.INVALID_ARGUMENT), ("o", Code.INVALID_ARGUMENT)):
            with pytest.raises(StreamEndedError, match="a stream is one node's") as caught:
                registry.identify(peer, node)
            assert caught.value.end.status is status
        with pytest.raises(StreamEndedError, match="the certificate is not for node o") as caught:
            registry.identify(peer_of(peer.certificate), "o")
        assert caught.value.end.status is Code.PERMISSION_DENIED

    asyncio.run(run())


def test_streams_beyond_the_most_are_refused_before_anything_is_read(monkeypatch):
    monkeypatch.setattr(peers, "MAX_STREAMS", 1)

    async def run():
        registry = PeerRegistry(None)
        first = registry.admit(Context(), asyncio.current_task())
        with pytest.raises(StreamEndedError, match="1 streams are open") as caught:
            registry.admit(Context(), asyncio.current_task())
        assert caught.value.end.status is Code.RESOURCE_EXHAUSTED
        registry.remove(first)
        assert registry.admit(Context(), asyncio.current_task()).number == first.number + 1

    asyncio.run(run())


def test_a_certificate_without_a_node_is_refused_with_its_status():
    context, closed = serve(None, registry=PeerRegistry(Certificates()))
    assert context.status == (Code.UNAUTHENTICATED, "the certificate names no node")
    assert closed == 0


@pytest.mark.parametrize(
    ("expires_s", "trusted", "reason"),
    [
        (10.0, True, "the certificate has ended"),
        (10.5, False, "the certificate's authority is not trusted any more"),
        (10.5, True, None),
    ],
)
def test_certificates_that_have_ended_or_lost_their_authority_end_their_streams(expires_s, trusted, reason):
    async def run():
        certificates = Certificates()
        certificates.trusted = trusted
        registry = PeerRegistry(certificates)
        task = asyncio.create_task(asyncio.sleep(10))
        peer = Peer(1, Context(), task, tls.ClientCertificate(b"certificate", frozenset({"n"}), expires_s))
        registry.add(peer)
        registry.close_untrusted(10.0)
        assert peer.end == (StreamEnd(Code.UNAUTHENTICATED, reason) if reason else None)
        assert bool(task.cancelling()) == bool(reason)
        task.cancel()

    asyncio.run(run())


# -- what waits to be sent


def test_a_client_that_does_not_read_is_cut_off_and_only_the_first_status_counts(monkeypatch):
    monkeypatch.setattr(peers, "MAX_OUTGOING_MESSAGES", 2)

    async def run():
        peer = Peer(1, Context(), asyncio.create_task(asyncio.sleep(10)), None)
        peer.send(b"1")
        peer.send(b"2")
        assert peer.end is None
        peer.send(b"3")
        assert peer.end == StreamEnd(Code.RESOURCE_EXHAUSTED, "it does not read what it is sent")
        peer.close(Code.ABORTED, "another")
        assert peer.end.status is Code.RESOURCE_EXHAUSTED
        assert peer.task.cancelling() == 1

    asyncio.run(run())


def test_messages_are_written_in_their_order_as_they_come():
    async def run():
        context = Context()
        peer = peer_of(context=context)
        writer = asyncio.create_task(peer.write_outgoing())
        for group in ((b"1", b"2"), (b"3",)):
            for data in group:
                peer.send(data)
            await asyncio.sleep(0.01)
        writer.cancel()
        assert context.written == [b"1", b"2", b"3"]

    asyncio.run(run())


# -- how a stream ends


async def break_a_rule(_peer):
    raise StreamEndedError(Code.INVALID_ARGUMENT, "broken")


async def ask_a_standby(_peer):
    raise LeadershipError("another process grants here")


async def lose_the_client(_peer):
    raise grpc.aio.UsageError("the call is over")


async def finish(_peer):
    return


@pytest.mark.parametrize(
    ("handle", "status"),
    [
        (break_a_rule, (Code.INVALID_ARGUMENT, "broken")),
        (ask_a_standby, (Code.UNAVAILABLE, "another process grants here")),
        (lose_the_client, None),
        (finish, None),
    ],
)
def test_a_stream_ends_with_the_status_of_its_handler_and_is_closed_once(handle, status):
    context, closed = serve(handle)
    assert (context.status, closed) == (status, 1)


def test_a_stream_that_is_closed_from_here_ends_with_that_status():
    registry = PeerRegistry(None)

    def close(_stream):
        for peer in registry:
            peer.close(Code.ABORTED, "replaced")

    async def wait(peer):
        await peer.context.read()

    context, closed = serve(wait, registry=registry, during=close)
    assert (context.status, closed) == ((Code.ABORTED, "replaced"), 1)


def test_a_stream_that_is_cancelled_by_another_has_no_status_and_is_closed():
    async def wait(peer):
        await peer.context.read()

    context = Context()
    with pytest.raises(asyncio.CancelledError):
        serve(wait, context, during=lambda stream: stream.cancel())
    assert context.status is None


# -- reading


def test_a_client_that_says_nothing_is_ended_after_a_while(monkeypatch):
    monkeypatch.setattr(stream_reader, "FIRST_MESSAGE_TIMEOUT_S", 0.01)

    async def run():
        with pytest.raises(StreamEndedError, match=r"nothing said in 0\.01 s") as caught:
            await anext(read_messages(peer_of(), Message))
        assert caught.value.end.status is Code.DEADLINE_EXCEEDED

    asyncio.run(run())


def test_messages_come_until_the_end_and_no_faster_than_the_pace(monkeypatch):
    monkeypatch.setattr(stream_reader, "REQUEST_RATE", (2, 100))

    async def run():
        loop, times = asyncio.get_running_loop(), []
        began = loop.time()
        context = Context(*[b"x"] * 5, b"y" * 3000, b"z", grpc.aio.EOF)
        async for message in read_messages(peer_of(context=context), Message):
            times.append(loop.time() - began)
            last = message.text
        assert (len(times), last) == (7, "z")
        assert times[4] >= 0.02  # two at once, then one each 10 ms
        assert times[6] - times[5] >= 0.03  # 3000 bytes cost as much as three requests more

    asyncio.run(run())

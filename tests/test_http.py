"""The HTTP parsers: results do not depend on how the bytes are split; limits; malformed messages."""

import itertools

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from scalefall.net import http

REQUEST = (
    b"POST /fee-order?x=1 HTTP/1.1\r\nHost: s\r\nX-A:  one \r\nx-a: two\r\nContent-Length: 5\r\n\r\nbo\r\ny"
    b"\r\nGET /healthz HTTP/1.1\nHost: s\n\n"
)
CHUNKED = (
    b"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
    b"3;ext=1\r\nabc\r\nA\r\n0123456789\r\n0\r\nTrailer: x\r\n\r\nHTTP/1.1 204 No Content\r\n\r\n"
)


CHUNKED_HEAD = b"POST /x HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n"


def split(data, positions):
    bounds = sorted({0, len(data), *(position % len(data) for position in positions)})
    return [data[start:end] for start, end in itertools.pairwise(bounds)]


def messages(reader, pieces):
    found = []
    for piece in pieces:
        reader.feed(piece)
        while reader.complete:
            found.append((reader.start_line, dict(reader.fields), bytes(reader.body)))
            reader.begin_next()
            reader.advance()
    return found


@settings(derandomize=True, deadline=None)
@given(st.lists(st.integers(0, 1000)))
def test_any_split_of_the_bytes_gives_the_same_messages(positions):
    assert messages(http.RequestReader(), split(REQUEST, positions)) == [
        ("POST /fee-order?x=1 HTTP/1.1", {"host": "s", "x-a": "one, two", "content-length": "5"}, b"bo\r\ny"),
        ("GET /healthz HTTP/1.1", {"host": "s"}, b""),
    ]
    assert [message[0::2] for message in messages(http.AnswerReader(), split(CHUNKED, positions))] == [
        ("HTTP/1.1 200 OK", b"abc0123456789"),
        ("HTTP/1.1 204 No Content", b""),
    ]


def test_encoded_messages_can_be_parsed():
    reader = http.RequestReader()
    reader.feed(http.request("POST", "/x", "h", [("A", "b")], b"\0\xff\r\n"))
    assert reader.complete
    assert reader.fields["a"] == "b"
    assert reader.body == b"\0\xff\r\n"
    answer = http.AnswerReader()
    answer.feed(http.answer(429, [("Retry-After", "0.5")], b"x", keep=False))
    assert (answer.status, answer.fields["retry-after"], answer.body, answer.keep) == (429, "0.5", b"x", False)


def test_a_body_that_ends_with_the_stream_is_complete_then_and_its_connection_is_not_reused():
    reader = http.AnswerReader()
    reader.feed(b"HTTP/1.1 200 OK\r\n\r\nabc")
    assert not reader.complete
    assert reader.status == 200
    reader.end_stream()
    assert reader.complete
    assert reader.body == b"abc"
    assert not reader.keep


@pytest.mark.parametrize(
    ("head", "keep"),
    [
        ("HTTP/1.1\r\n", True),
        ("HTTP/1.1\r\nConnection: Close\r\n", False),
        ("HTTP/1.0\r\n", False),
        ("HTTP/1.0\r\nConnection: keep-alive\r\n", True),
    ],
)
def test_which_connections_are_kept_alive(head, keep):
    reader = http.RequestReader()
    reader.feed(f"GET / {head}\r\n".encode())
    assert reader.complete
    assert reader.keep is keep


LINE = b"POST /c HTTP/1.1\r\n"


@pytest.mark.parametrize(
    ("data", "status"),
    [
        (b"nonsense\r\n", 400),
        (b"GET x HTTP/1.1\r\n", 400),
        (b"G\0T / HTTP/1.1\r\n", 400),
        (b"GET / HTTP/2.0\r\n", 505),
        (b"GET / SPDY\r\n", 400),
        (LINE + b"no colon\r\n", 400),
        (LINE + b"bad name: x\r\n", 400),
        (LINE + b" folded: x\r\n", 400),
        (LINE + b"a: x\rb\r\n", 400),
        (LINE + b"Content-Length: -1\r\n\r\n", 400),
        (LINE + b"Content-Length: 1\r\nContent-Length: 2\r\n\r\n", 400),
        (LINE + b"Content-Length: 1_0\r\n\r\n", 400),
        (LINE + b"Content-Length: 65537\r\n\r\n", 413),
        (LINE + b"Content-Length: 99999999999999999\r\n\r\n", 400),
        (LINE + b"Transfer-Encoding: gzip\r\n\r\n", 501),
        (LINE + b"A: " + b"x" * 20_000, 431),
        (LINE + b"A: b\r\n" * 5000, 431),
        (b"".join([LINE, *(b"A%d: b\r\n" % n for n in range(200))]), 431),
        (LINE + b"A:\n" * 101, 431),
        (b"\r\n" * 17, 431),
        (CHUNKED_HEAD + b"1\r\na\r\n" * 1025, 413),
        (CHUNKED_HEAD + b"0\r\n" + b"a:\n" * 101, 431),
        (LINE + b"Transfer-Encoding: chunked\r\nContent-Length: 1\r\n\r\n", 400),
        (LINE + b"Transfer-Encoding: chunked\r\n\r\nx\r\n", 400),
        (LINE + b"Transfer-Encoding: chunked\r\n\r\n1\r\nabc", 400),
        (LINE + b"Transfer-Encoding: chunked\r\n\r\n" + b"8000\r\n" + b"x" * 0x8000 + b"\r\n8001\r\n", 413),
    ],
)
def test_malformed_or_too_large_messages_get_their_status(data, status):
    with pytest.raises(http.MalformedMessage) as caught:
        http.RequestReader().feed(data)
    assert caught.value.status == status


# Guards against messages whose parsing took one step of 50 ms or more each: 300 kept other clients waiting for 5 s.
@pytest.mark.parametrize(
    "data",
    [
        LINE + b"A:\n" * 100 + b"\n",
        b"\n" * 16 + LINE + b"\r\n",
        CHUNKED_HEAD + b"1\r\na\r\n" * 1023 + b"0\r\n" + b"a:\n" * 100 + b"\n",
        LINE + b"Content-Length: 65536\r\n\r\n" + b"x" * 65536,
    ],
)
@pytest.mark.parametrize("max_steps", [1, 7, 64])
def test_a_message_at_its_limits_is_parsed_in_parts_of_a_bounded_number_of_steps(data, max_steps):
    class CountingReader(http.RequestReader):
        lines = 0

        def _line(self, max_bytes):
            self.lines += 1
            return super()._line(max_bytes)

    reader = CountingReader()
    reader.unparsed += data
    parts = 1
    while reader.advance(max_steps):
        assert reader.lines <= parts * max_steps
        parts += 1
    assert reader.complete


@settings(derandomize=True, deadline=None, max_examples=300)
@given(
    st.lists(
        st.sampled_from(
            [
                LINE,
                b"Content-Length: 3\r\n",
                b"\r\n",
                b"abc",
                b"\xff",
                b":",
                b"GET ",
                b"0\r\n",
                b"Transfer-Encoding: chunked\r\n",
                b"HTTP/1.1 200 OK\r\n",
            ]
        )
        | st.binary(max_size=8)
    )
)
def test_arbitrary_bytes_raise_nothing_but_malformed_message(pieces):
    for reader in (http.RequestReader(), http.AnswerReader()):
        try:
            messages(reader, pieces)
        except http.MalformedMessage as error:
            assert 400 <= error.status < 600  # noqa: PT017 - raising is allowed, not required

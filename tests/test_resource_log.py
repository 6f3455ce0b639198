"""The log says what the process holds, and why client connections ended."""

import logging
import re

import pytest
from nethelp import S
from test_ingress_server import HEAD, IngressHarness

from scalefall.net import http
from scalefall.net.delivery_request import Accepted
from scalefall.net.memory_budget import MemoryBudget
from scalefall.net.resource_log import ConnectionEnd, ConnectionEnds, log_resources


def test_the_line_has_memory_descriptors_and_connections_with_the_reasons_of_their_ends(caplog):
    ends = ConnectionEnds()
    for end in (ConnectionEnd.EVICTED, ConnectionEnd.TIMED_OUT, ConnectionEnd.EVICTED):
        ends.count(end)
    with caplog.at_level(logging.INFO):
        log_resources(MemoryBudget(2048), "2 READING", ends.take_text())
    line = caplog.messages[-1]
    found = re.fullmatch(
        r"resources: (\d+) KiB resident, 0 of 2 KiB in the budget, 0 at most; (\d+) descriptors; "
        r"client connections: 2 READING; ended: 1 request timed out, 2 evicted",
        line,
    )
    assert found, line
    assert int(found[1]) > 1000
    assert int(found[2]) >= 3
    assert ends.take_text() == "none"


@pytest.mark.parametrize(
    ("data", "end"),
    [
        (b"not HTTP\r\n", "1 request rejected"),
        (b"POST /safe HTTP/1.1\r\nHo", "1 request timed out"),
        (
            http.request("POST", "/safe", "s", [*HEAD.items(), ("Connection", "close")], b"x"),
            "1 closed between requests",
        ),
    ],
)
def test_each_end_of_a_connection_is_counted_by_its_reason(data, end):
    harness = IngressHarness(result=Accepted())

    def play():
        sock = harness.dial()
        sock.send(data)
        harness.world.sleep(4 * S)
        assert harness.ingress.describe_connections() == "none"
        assert harness.ingress.ends.take_text() == end
        sock.close()

    harness.world.play(play)

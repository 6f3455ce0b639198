"""Endpoint lists at full size: 1,024 endpoints and as many senders, polled and pushed, compact and indented."""

import json

import pytest
from nethelp import S, host_row, list_update
from test_sender import SenderHarness

from scalefall.net import learned_rates
from scalefall.net.list_stream import read_list

SIZE = 1024


def address(harness, number):
    """Return one of the loopback addresses that all lead to the stub endpoint."""
    return f"127.1.{number // 250}.{1 + number % 250}", harness.endpoint.address[1]


def entry(harness, number, **more):
    return host_row(f"s-{number:08x}", address(harness, number), block=number, **more)


@pytest.mark.parametrize("indent", [None, 4])
@pytest.mark.parametrize("pushed", [False, True])
def test_a_list_of_1024_endpoints_is_used_in_full_and_each_message_goes_to_its_destination(tmp_path, indent, pushed):
    harness = SenderHarness(tmp_path, replica_count=SIZE, host="0.0.0.0", polls_endpoint_list=not pushed)

    def send_update(table):
        data = json.dumps(table, indent=indent).encode() + b"\n"
        for start in range(0, len(data), 50_000):
            piece = data[start : start + 50_000]
            harness.send(harness.watch, b"%x\r\n%s\r\n" % (len(piece), piece))

    def play():
        harness.accept_watch()
        send_update(list_update(2, *(entry(harness, n) for n in range(SIZE))))
        endpoint_list = harness.sender.endpoint_list
        harness.world.wait_until(lambda: endpoint_list.seq == 2)
        assert sum(listed.endpoint.id.startswith("s-") for listed in endpoint_list.entries.values()) == SIZE
        assert endpoint_list.unreadable_entries == 0
        for number in (0, 511, SIZE - 1):
            harness.submit_accepted(f"m{number}", dest=number)
            sock, call = harness.accept_call()
            assert (sock.getsockname(), call.fields["x-request-id"]) == (address(harness, number), f"m{number}")
            sock.close()
        send_update(
            list_update(3, *(entry(harness, n, health="terminating") for n in range(SIZE) if n % 2), whole=False)
        )
        harness.world.wait_until(lambda: endpoint_list.seq == 3)
        assert len(endpoint_list.left_at) == SIZE // 2 + 1  # one more: the second list lacks an endpoint of the first
        harness.submit_accepted("odd", "even", dest=7)
        harness.submit_accepted("free", dest=8)
        _, call = harness.accept_call()
        assert call.fields["x-request-id"] == "free"
        for number in range(0, SIZE, 2):
            assert endpoint_list.serves(number)
        send_update(list_update(4, *(entry(harness, n) for n in range(3))))
        harness.world.wait_until(lambda: endpoint_list.seq == 4)
        assert len(endpoint_list.left_at) == SIZE - 2

    harness.world.play(play)


def test_learned_rates_of_1024_destinations_survive_a_restart(tmp_path):
    harness = SenderHarness(tmp_path, replica_count=SIZE, host="0.0.0.0")
    harness.known = read_list(list_update(2, *(entry(harness, n, kind="route") for n in range(SIZE))))

    def play():
        harness.accept_watch()
        harness.kill()
        harness.start()
        harness.accept_watch()
        harness.world.sleep(3 * S)
        harness.kill()
        restored = learned_rates.load(harness.folder, learned_rates.reserved_bytes(harness.disk), harness.world.wall())
        assert {(row.destination, row.route) for row in restored} == {(n, f"s-{n:08x}") for n in range(SIZE)}

    harness.world.play(play)

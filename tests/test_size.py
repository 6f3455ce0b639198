"""Endpoint lists at full size: 1,024 endpoints and as many senders, polled and pushed, compact and indented."""

import json

import pytest
from nethelp import S, host_row, list_update
from test_sender import Firm

from scalefall.net import learned_rates
from scalefall.net.list_stream import read_list

SIZE = 1024


def address(firm, number):
    """Return one of the loopback addresses that all lead to the stub endpoint."""
    return f"127.1.{number // 250}.{1 + number % 250}", firm.endpoint.address[1]


def entry(firm, number, **more):
    return host_row(f"s-{number:08x}", address(firm, number), block=number, **more)


@pytest.mark.parametrize("indent", [None, 4])
@pytest.mark.parametrize("pushed", [False, True])
def test_a_list_of_1024_endpoints_is_used_in_full_and_each_message_goes_to_its_destination(tmp_path, indent, pushed):
    firm = Firm(tmp_path, replica_count=SIZE, host="0.0.0.0", polls_endpoint_list=not pushed)

    def send_update(table):
        data = json.dumps(table, indent=indent).encode() + b"\n"
        for start in range(0, len(data), 50_000):
            piece = data[start : start + 50_000]
            firm.send(firm.watch, b"%x\r\n%s\r\n" % (len(piece), piece))

    def play():
        firm.watched()
        send_update(list_update(2, *(entry(firm, n) for n in range(SIZE))))
        endpoint_list = firm.sender.endpoint_list
        firm.world.wait_until(lambda: endpoint_list.seq == 2)
        assert sum(e.endpoint.id.startswith("s-") for e in endpoint_list.entries.values()) == SIZE
        assert endpoint_list.unread == 0
        for number in (0, 511, SIZE - 1):
            firm.taken(f"m{number}", dest=number)
            sock, call = firm.call()
            assert (sock.getsockname(), call.fields["x-request-id"]) == (address(firm, number), f"m{number}")
            sock.close()
        send_update(list_update(3, *(entry(firm, n, health="terminating") for n in range(SIZE) if n % 2), whole=False))
        firm.world.wait_until(lambda: endpoint_list.seq == 3)
        assert len(endpoint_list.left_at) == SIZE // 2 + 1  # and the endpoint that the second list no longer has
        firm.taken("odd", "even", dest=7)
        firm.taken("free", dest=8)
        _, call = firm.call()
        assert call.fields["x-request-id"] == "free"
        for number in range(0, SIZE, 2):
            assert endpoint_list.serves(number)
        send_update(list_update(4, *(entry(firm, n) for n in range(3))))
        firm.world.wait_until(lambda: endpoint_list.seq == 4)
        assert len(endpoint_list.left_at) == SIZE - 2

    firm.world.play(play)


def test_learned_rates_of_1024_destinations_survive_a_restart(tmp_path):
    firm = Firm(tmp_path, replica_count=SIZE, host="0.0.0.0")
    firm.known = read_list(list_update(2, *(entry(firm, n, kind="route") for n in range(SIZE))))

    def play():
        firm.watched()
        firm.die()
        firm.start()
        firm.watched()
        firm.world.sleep(3 * S)
        firm.die()
        restored = learned_rates.load(firm.folder, learned_rates.reserved_bytes(firm.disk), firm.world.wall())
        assert {(row.destination, row.route) for row in restored} == {(n, f"s-{n:08x}") for n in range(SIZE)}

    firm.world.play(play)

"""Lists at size: 1,024 endpoints and as many senders are taken whole, as asked for, as pushed, and as indented."""

import json

import pytest
from nethelp import S, list_update, listed
from test_sender import SenderHarness

from scalefall.net import learned_rates
from scalefall.net.list_stream import read_list

SIZE = 1024


def address(harness, n):
    """All of these lead to the one endpoint that the test plays."""
    return f"127.1.{n // 250}.{1 + n % 250}", harness.endpoint.address[1]


def entry(harness, n, **more):
    return listed(f"s-{n:08x}", address(harness, n), block=n, **more)


@pytest.mark.parametrize("indent", [None, 4])
@pytest.mark.parametrize("pushed", [False, True])
def test_a_list_of_1024_is_taken_whole_and_every_message_goes_where_it_belongs(tmp_path, indent, pushed):
    harness = SenderHarness(tmp_path, replica_count=SIZE, host="0.0.0.0", polls_endpoint_list=not pushed)

    def tell(table):
        data = json.dumps(table, indent=indent).encode() + b"\n"
        for at in range(0, len(data), 50_000):
            harness.send(harness.watch, b"%x\r\n%s\r\n" % (len(data[at : at + 50_000]), data[at : at + 50_000]))

    def play():
        harness.accept_watch()
        tell(list_update(2, *(entry(harness, n) for n in range(SIZE))))
        endpoint_list = harness.sender.endpoint_list
        harness.world.until(lambda: endpoint_list.seq == 2)
        assert sum(e.endpoint.id.startswith("s-") for e in endpoint_list.entries.values()) == SIZE
        assert endpoint_list.unreadable_entries == 0
        for n in (0, 511, SIZE - 1):
            harness.submit_accepted(f"m{n}", dest=n)
            sock, call = harness.accept_call()
            assert (sock.getsockname(), call.fields["x-request-id"]) == (address(harness, n), f"m{n}")
            sock.close()
        tell(list_update(3, *(entry(harness, n, health="terminating") for n in range(SIZE) if n % 2), whole=False))
        harness.world.until(lambda: endpoint_list.seq == 3)
        assert len(endpoint_list.left_at) == SIZE // 2 + 1  # and the one that the whole list no longer names
        harness.submit_accepted("odd", "even", dest=7)
        harness.submit_accepted("free", dest=8)
        _, call = harness.accept_call()
        assert call.fields["x-request-id"] == "free"
        for n in range(0, SIZE, 2):
            assert endpoint_list.serves(n)
        tell(list_update(4, *(entry(harness, n) for n in range(3))))
        harness.world.until(lambda: endpoint_list.seq == 4)
        assert len(endpoint_list.left_at) == SIZE - 2

    harness.world.play(play)


def test_what_is_known_of_1024_partners_outlasts_the_process(tmp_path):
    harness = SenderHarness(tmp_path, replica_count=SIZE, host="0.0.0.0")
    harness.known = read_list(list_update(2, *(entry(harness, n, kind="route") for n in range(SIZE))))

    def play():
        harness.accept_watch()
        harness.kill()
        harness.start()
        harness.accept_watch()
        harness.world.sleep(3 * S)
        harness.kill()
        kept = learned_rates.load(harness.folder, learned_rates.reserved_bytes(harness.disk), harness.world.wall())
        assert {(row.destination, row.route) for row in kept} == {(n, f"s-{n:08x}") for n in range(SIZE)}

    harness.world.play(play)

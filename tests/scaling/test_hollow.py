"""Hollow senders: bytes as serialized, a cut that stops delivery, and recovery after failures."""

import random

import pytest

from scalefall.lab.hollow.clock import SECOND, VirtualClock
from scalefall.lab.hollow.configuration import configuration, endpoint_id, settings
from scalefall.lab.hollow.fleet import Fleet, FleetPlan, places
from scalefall.lab.hollow.link import KEEPALIVE_US, Link
from scalefall.lab.hollow.traffic import AliasTable, independent, zipf_weights
from scalefall.lab.proxy import messages
from scalefall.lab.proxy.contract import Send
from scalefall.lab.proxy.meter import Count, Direction, Kind, Meter

FIRST_GRANT_US = 2_500_000  # lease and delay, before which a new service makes no grants
RENEWAL_US = 1_500_000  # half a lease and a report, after which a sender with a healed link has a new grant


def fleet(senders=1, destinations=1, seed=5, **more):
    return Fleet(
        FleetPlan(settings(), configuration(destinations), senders, lambda number: list(range(destinations)), **more),
        seed,
    )


def can_send(fleet, number):
    """Return whether a sender may send within 100 ms; its list can expire briefly between two heartbeats."""
    for _ in range(10):
        if isinstance(fleet.senders[number].contract.choose(0, fleet.clock.now), Send):
            return True
        fleet.run_for(SECOND // 100)
    return False


def received(fleet, number):
    return sum(fleet.meters[number].count(Direction.DOWN, kind).messages for kind in Kind)


def test_bytes_are_counted_as_serialized():
    one = fleet()
    one.run_for(0)
    # node 36+2 {id "n0" 2+2, client_features 32+2, tag and length 2}, type_url 62+2, one name "route-0" 7+2
    type_url = "type.googleapis.com/envoy.config.endpoint.v3.ClusterLoadAssignment"
    node = (2 + len("n0")) + (2 + len("xds.config.supports-resource-ttl"))
    assert one.meter.count(Direction.UP, Kind.RESOURCES) == Count(
        1, (2 + node) + (2 + len(type_url)) + (2 + len("route-0"))
    )
    # domain "n0"; one bucket: an id of three pairs route=0, had=0, said=1 and a span of 1000 s, no calls
    pairs = sum(2 + (2 + len(key)) + (2 + 1) for key in ("route", "had", "said"))
    span = 2 + (1 + 2)  # Duration {seconds 1000, two bytes}
    assert one.meter.count(Direction.UP, Kind.USAGE) == Count(1, (2 + len("n0")) + 2 + (2 + pairs) + span)
    assert one.meter.count(Direction.UP, Kind.LOADS) == Count(1, 2 + (2 + len("n0")))


def test_a_sender_gets_lists_heartbeats_and_grants_and_may_send():
    one = fleet(senders=2, destinations=3)
    one.run_for(FIRST_GRANT_US + SECOND)
    assert one.meter.count(Direction.DOWN, Kind.RESOURCES).messages == 2
    assert one.meter.count(Direction.DOWN, Kind.HEARTBEATS).messages >= 2 * 7  # two in 0.9 s
    assert one.meter.count(Direction.DOWN, Kind.GRANTS).messages >= 2 * 3
    assert can_send(one, 0)
    assert can_send(one, 1)


def test_a_cut_zone_receives_and_sends_nothing_while_others_continue():
    nine = fleet(senders=9)
    nine.run_for(FIRST_GRANT_US + SECOND)
    zone = nine.in_zone(0)
    assert zone == [0, 8]
    nine.cut(zone)
    before = [received(nine, number) for number in range(9)]
    nine.run_for(2 * SECOND)
    after = [received(nine, number) for number in range(9)]
    assert [new - old for new, old in zip(after, before, strict=False) if new == old] == [0, 0]
    assert after[0] == before[0]
    assert after[8] == before[8]
    assert not can_send(nine, 0)
    assert can_send(nine, 1)
    nine.heal(zone)
    nine.run_for(RENEWAL_US)
    assert can_send(nine, 0)


def test_a_cut_longer_than_the_keepalive_closes_streams_and_new_ones_open():
    nine = fleet(senders=9)
    nine.run_for(FIRST_GRANT_US + SECOND)
    nine.cut(nine.in_zone(0))
    nine.run_for(KEEPALIVE_US + SECOND)
    assert nine.control.streams == 3 * 7
    nine.heal(nine.in_zone(0))
    nine.run_for(4 * SECOND)
    assert nine.control.streams == 3 * 9
    assert can_send(nine, 0)


@pytest.mark.parametrize("failure", ["restart", "replace", "machine", "control"])
def test_after_a_failure_all_senders_may_send_again(failure):
    four = fleet(senders=4)
    four.run_for(FIRST_GRANT_US + SECOND)
    match failure:
        case "restart":
            four.restart(1)
        case "replace":
            four.replace(1)
        case "machine":
            four.lose(four.on_machine(four.places[1].machine), SECOND)
        case "control":
            four.restart_control(SECOND)
    four.run_for(SECOND // 4)
    streams = {"restart": 3 * 3, "replace": 3 * 3, "machine": 3 * 4}  # the loss of a machine is not announced
    assert four.control is None if failure == "control" else four.control.streams == streams[failure]
    four.run_for(KEEPALIVE_US + 10 * SECOND)
    assert four.control.streams == 3 * 4
    assert all(can_send(four, number) for number in range(4))


def test_a_configuration_change_reaches_all_senders():
    four = fleet(senders=4, destinations=2)
    four.run_for(FIRST_GRANT_US + SECOND)
    at = four.clock.now
    four.configure(configuration(2, {0}))
    four.run_for(SECOND)
    assert all(at < sender.last_change < at + 10_000 for sender in four.senders)
    assert not any(can_send(four, number) for number in range(4))


def test_load_reports_of_a_failed_destination_limit_its_calls():
    traffic = [(FIRST_GRANT_US + SECOND, 0), *[(SECOND // 4, 0)] * 20]
    one = fleet(traffic=lambda number, random_: iter(traffic), is_down=lambda destination: True)
    one.run_for(FIRST_GRANT_US + 10 * SECOND)
    allowed = one.control.service.allocator.last_allowances
    assert one.senders[0].outcomes.sent >= 2
    assert next(row.endpoints for row in allowed)[endpoint_id(0)] < float("inf")


def test_the_same_seed_gives_the_same_bytes():
    tables = []
    table = AliasTable(zipf_weights(3, 1))
    for _ in range(2):
        four = fleet(senders=4, destinations=3, seed=9, traffic=lambda number, random_: independent(table, 5, random_))
        four.run_for(4 * SECOND)
        four.restart(2)
        four.run_for(4 * SECOND)
        tables.append(four.meter.table())
    assert tables[0] == tables[1]


def test_a_link_preserves_order_over_a_cut_and_drops_messages_in_flight_at_a_reset():
    clock, meter, got = VirtualClock(), Meter(), []
    link = Link(clock, random.Random(1), (meter,))

    def send(text):
        link.carry(Direction.UP, Kind.USAGE, text, got.append)

    send(b"1")
    link.cut()
    send(b"2")
    clock.run_for(SECOND)
    assert got == []
    assert meter.count(Direction.UP, Kind.USAGE) == Count(1, 1)
    link.heal()
    send(b"3")
    clock.run_for(SECOND)
    assert got == [b"1", b"2", b"3"]
    assert meter.count(Direction.UP, Kind.USAGE) == Count(3, 3)
    send(b"4")
    link.reset()
    clock.run_for(SECOND)
    assert got == [b"1", b"2", b"3"]


def test_places_are_spread_over_zones_and_a_rack_is_in_one_zone():
    rows = places(900)
    assert {row.zone for row in rows} == set(range(8))
    assert {row.region for row in rows} == {0, 1}
    racks = {}
    for row in rows:
        racks.setdefault(row.rack, []).append(row)
    assert all(len({row.zone for row in rack}) == 1 and len(rack) <= 10 for rack in racks.values())


def test_heartbeats_are_distinguished_from_lists():
    heartbeat = messages.DeltaResponse(resources=[{"name": "route-0"}])
    assert messages.is_heartbeat(heartbeat)
    assert not messages.is_heartbeat(messages.DeltaResponse(removed_resources=["a"]))

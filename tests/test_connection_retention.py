"""How long idle connections are kept at endpoints that accept few."""

from scalefall.net.connection_retention import ConnectionRetention

S = 1_000_000


def test_each_of_several_senders_keeps_an_idle_connection_for_its_fraction_of_the_idle_timeout():
    assert ConnectionRetention(1).retention_us("e", 10 * S) == 10 * S
    assert ConnectionRetention(40).retention_us("e", 10 * S) == S // 4


def test_retention_halves_with_each_rejected_connection_and_recovers_with_accepted_ones():
    retention = ConnectionRetention(2)
    for _ in range(3):
        retention.connection_rejected("e")
    assert retention.retention_us("e", 8 * S) == S // 2
    assert retention.retention_us("f", 8 * S) == 4 * S
    retentions_us = []
    while retention.retention_us("e", 8 * S) < 4 * S:
        retention.connection_accepted("e")
        retentions_us.append(retention.retention_us("e", 8 * S))
    assert retentions_us == sorted(retentions_us)
    assert 5 < len(retentions_us) < 20
    retention.connection_accepted("e")
    assert retention.retention_us("e", 8 * S) == 4 * S  # never more than its fraction


def test_removing_an_endpoint_drops_its_statistics():
    retention = ConnectionRetention(2)
    retention.connection_rejected("e")
    retention.remove_endpoint("e")
    retention.remove_endpoint("unknown")
    assert retention.retention_us("e", 8 * S) == 4 * S


def test_no_connection_is_kept_where_calls_are_too_rare_to_reuse_it():
    """With 40 senders and 160 calls/s in total, a quarter of all calls were rejected, as idle connections that were
    not reused filled the endpoint's connection limit."""
    retention = ConnectionRetention(40)
    for n in range(10):
        retention.call_started("rare", n * S // 4)
        retention.call_started("busy", n * S // 10)
    assert retention.retention_us("rare", 10 * S) == 0
    assert retention.retention_us("busy", 10 * S) == S // 4
    for n in range(10):
        retention.call_started("rare", 3 * S + n * S // 20)
    assert retention.retention_us("rare", 10 * S) == S // 4  # kept again after frequent calls

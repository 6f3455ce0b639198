"""How long idle connections are kept at endpoints that take few."""

from scalefall.net.connection_retention import ConnectionRetention

S = 1_000_000


def test_each_of_many_senders_keeps_an_idle_connection_for_its_part_of_the_time():
    assert ConnectionRetention(1).retention_us("e", 10 * S) == 10 * S
    assert ConnectionRetention(40).retention_us("e", 10 * S) == S // 4


def test_the_span_halves_with_each_connection_turned_away_and_comes_back_with_those_let_in():
    keeping = ConnectionRetention(2)
    for _ in range(3):
        keeping.connection_rejected("e")
    assert keeping.retention_us("e", 8 * S) == S // 2
    assert keeping.retention_us("f", 8 * S) == 4 * S
    spans = []
    while keeping.retention_us("e", 8 * S) < 4 * S:
        keeping.connection_accepted("e")
        spans.append(keeping.retention_us("e", 8 * S))
    assert spans == sorted(spans)
    assert 5 < len(spans) < 20
    keeping.connection_accepted("e")
    assert keeping.retention_us("e", 8 * S) == 4 * S  # and never beyond its part


def test_what_was_learnt_of_an_endpoint_goes_with_it():
    keeping = ConnectionRetention(2)
    keeping.connection_rejected("e")
    keeping.remove_endpoint("e")
    keeping.remove_endpoint("never met")
    assert keeping.retention_us("e", 8 * S) == 4 * S


def test_no_connection_is_kept_that_calls_too_rare_would_not_meet():
    """40 senders with 160 calls/s between them: a quarter of all calls met a table full of connections kept in vain."""
    keeping = ConnectionRetention(40)
    for n in range(10):
        keeping.call_started("rare", n * S // 4)
        keeping.call_started("busy", n * S // 10)
    assert keeping.retention_us("rare", 10 * S) == 0
    assert keeping.retention_us("busy", 10 * S) == S // 4
    for n in range(10):
        keeping.call_started("rare", 3 * S + n * S // 20)
    assert keeping.retention_us("rare", 10 * S) == S // 4  # and kept again once its calls are many

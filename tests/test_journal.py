"""The journal: its pending deliveries after truncation at any byte, and the folder's limit, against a model."""

import os
import shutil
import tempfile

import pytest
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, invariant, precondition, rule

from scalefall.net import learned_rates
from scalefall.net.journal import Journal
from scalefall.net.journal_records import IDEMPOTENCIES, FinalAnswer, PendingDelivery
from scalefall.policy.events import LearnedRate
from scalefall.policy.settings import Idempotency

LIMIT_BYTES = 400_000


def pending_delivery(name, body=b"body", key=None, idempotency=None):
    return PendingDelivery(
        name,
        "fee-order",
        7,
        10**15,
        key,
        body,
        idempotency=idempotency,
        key_scope_zone=idempotency is Idempotency.WITH_KEY,
        key_ttl_us=6_000_000 * (idempotency is Idempotency.WITH_KEY),
    )


def used_bytes(folder):
    return sum(-(-os.path.getsize(os.path.join(folder, name)) // 512) * 512 for name in os.listdir(folder))


def without_sizes(deliveries):
    """Return the fields of pending deliveries, without the accounting of their sizes."""
    return {
        name: (
            delivery.attempts,
            bool(delivery.may_have_run_wall_us) and (delivery.may_have_run_wall_us, delivery.may_have_run_zone),
            delivery.in_flight,
            delivery.final_answer,
            delivery.retry_after_ms,
            delivery.body,
            delivery.idempotency_key,
            delivery.idempotency,
            delivery.key_scope_zone,
            not delivery.final_answer and delivery.key_ttl_us,
        )
        for name, delivery in deliveries.items()
    }


class JournalMachine(RuleBasedStateMachine):
    """Writes random records; after a kill at any time, with an incomplete tail, recovery must match the model."""

    @initialize()
    def start(self):
        self.folder, self.model, self.number = tempfile.mkdtemp(), {}, 0
        self.journal = Journal(self.folder, LIMIT_BYTES)

    def draw_name(self, data, **wanted):
        """Return the name of a random delivery whose fields have these values; None if there is none."""
        names = [
            name
            for name, delivery in self.model.items()
            if all(getattr(delivery, field) == value for field, value in wanted.items())
        ]
        return data.draw(st.sampled_from(sorted(names))) if names else None

    @rule(
        size=st.sampled_from([0, 10, 3000, 65536]),
        key=st.sampled_from([None, "", "k"]),
        idempotency=st.sampled_from(IDEMPOTENCIES),
    )
    def record_accepted(self, size, key, idempotency):
        self.number += 1
        name, body = f"m{self.number}", os.urandom(size)
        if self.journal.record_accepted(pending_delivery(name, body, key, idempotency)):
            self.model[name] = pending_delivery(name, body, key, idempotency)
        else:
            pending_bytes = sum(len(delivery.body) for delivery in self.model.values())
            assert pending_bytes + size > LIMIT_BYTES // 2 - 100_000, "rejected below the limit"

    @rule(data=st.data(), zone=st.sampled_from(["a", "zone-b"]))
    def record_attempt_started(self, data, zone):
        name = self.draw_name(data, in_flight=False, final_answer=None)
        if name:
            self.number += 1
            assert self.journal.record_attempt_started([name], self.number, zone)
            delivery = self.model[name]
            delivery.attempts += 1
            delivery.in_flight = True
            delivery.attempt_started_wall_us = self.number
            delivery.attempt_zone = zone

    @rule(data=st.data(), may_have_run=st.booleans())
    def record_attempt_finished(self, data, may_have_run):
        name = self.draw_name(data, in_flight=True)
        if name:
            self.journal.record_attempt_finished(name, may_have_run)
            delivery = self.model[name]
            delivery.in_flight = False
            if may_have_run and not delivery.may_have_run_wall_us:
                delivery.may_have_run_wall_us = delivery.attempt_started_wall_us
                delivery.may_have_run_zone = delivery.attempt_zone

    @rule(data=st.data(), final_answer=st.sampled_from(list(FinalAnswer)))
    def record_final_answer(self, data, final_answer):
        name = self.draw_name(data, final_answer=None)
        if name:
            self.journal.record_final_answer(name, final_answer, 250)
            delivery = self.model[name]
            delivery.final_answer = final_answer
            delivery.retry_after_ms = 250
            delivery.body = b""

    @rule(data=st.data())
    def record_finished(self, data):
        name = self.draw_name(data)
        if name:
            self.journal.record_finished(name)
            del self.model[name]

    @precondition(lambda self: hasattr(self, "journal"))
    @rule(incomplete=st.binary(max_size=40), in_compaction=st.booleans())
    def kill(self, incomplete, in_compaction):
        """Restart as after SIGKILL, with an incomplete record at the end and perhaps an interrupted compaction."""
        self.journal.close()
        with open(os.path.join(self.folder, "journal"), "ab") as file:
            file.write(incomplete)
        if in_compaction:
            with open(os.path.join(self.folder, "journal.new"), "wb") as file:
                file.write(incomplete)
        self.journal = Journal(self.folder, LIMIT_BYTES)

    @invariant()
    def journal_matches_the_model_within_the_limit(self):
        if hasattr(self, "journal"):
            assert without_sizes(self.journal.pending) == without_sizes(self.model)
            assert used_bytes(self.folder) <= LIMIT_BYTES

    def teardown(self):
        if hasattr(self, "journal"):
            self.journal.close()
            shutil.rmtree(self.folder)


JournalMachine.TestCase.settings = settings(max_examples=40, stateful_step_count=60, deadline=None, derandomize=True)
TestJournalMachine = JournalMachine.TestCase


def test_truncation_at_any_byte_loses_only_the_truncated_records(tmp_path):
    journal = Journal(str(tmp_path), LIMIT_BYTES)
    sizes = []
    for name in ("a", "b"):
        journal.record_accepted(pending_delivery(name))
        sizes.append(os.path.getsize(tmp_path / "journal"))
    journal.close()
    data = (tmp_path / "journal").read_bytes()
    for length in range(len(data)):
        (tmp_path / "journal").write_bytes(data[:length])
        reopened = Journal(str(tmp_path), LIMIT_BYTES)
        assert sorted(reopened.pending) == [name for name, size in zip("ab", sizes, strict=False) if size <= length]
        assert reopened.record_accepted(pending_delivery("next"))
        reopened.close()


def test_recovery_stops_at_a_record_with_a_flipped_bit(tmp_path):
    journal = Journal(str(tmp_path), LIMIT_BYTES)
    journal.record_accepted(pending_delivery("a"))
    size = os.path.getsize(tmp_path / "journal")
    journal.record_accepted(pending_delivery("b"))
    journal.close()
    data = bytearray((tmp_path / "journal").read_bytes())
    data[size + 12] ^= 1
    (tmp_path / "journal").write_bytes(data)
    assert list(Journal(str(tmp_path), LIMIT_BYTES).pending) == ["a"]


@pytest.mark.parametrize("limit_bytes", [100_000, 3_000_000])
def test_messages_beyond_the_limit_are_rejected_and_attempts_of_accepted_ones_still_recorded(tmp_path, limit_bytes):
    journal = Journal(str(tmp_path), limit_bytes)
    accepted = [
        number
        for number in range(200)
        if journal.has_capacity(60_000) and journal.record_accepted(pending_delivery(str(number), b"x" * 60_000))
    ]
    assert len(accepted) < 200
    assert used_bytes(tmp_path) <= limit_bytes
    for name in list(journal.pending) * 20:
        assert journal.record_attempt_started([name], 5, "a")
        journal.record_attempt_finished(name, True)
        assert used_bytes(tmp_path) <= limit_bytes
    assert len(accepted) == (0 if limit_bytes == 100_000 else 24)


def test_a_journal_that_cannot_be_written_accepts_nothing(tmp_path, monkeypatch):
    journal = Journal(str(tmp_path), LIMIT_BYTES)
    journal.record_accepted(pending_delivery("a"))
    complete = (tmp_path / "journal").read_bytes()
    system_write = os.write

    def write_partially(file, data):
        monkeypatch.setattr(os, "write", fail)
        return system_write(file, data[:5])

    def fail(file, data):
        raise OSError(28, "No space left on device")

    monkeypatch.setattr(os, "write", write_partially)
    assert not journal.record_accepted(pending_delivery("b"))
    assert not journal.record_attempt_started(["a"], 1, "a")
    assert list(journal.pending) == ["a"]
    assert (tmp_path / "journal").read_bytes() == complete


def test_capacity_for_long_zone_names_is_reserved_before_an_attempt_starts(tmp_path):
    """Guards against a copy beyond the limit: zone names longer than the 128 reserved bytes were not counted."""
    journal, limit_bytes = Journal(tmp_path, 100_000), 100_000
    names = [f"m{number}" for number in range(100)]
    accepted = [name for name in names if journal.record_accepted(pending_delivery(name, b"x" * 50))]
    started = [name for name in accepted for _ in range(3) if journal.record_attempt_started([name], 1, "z" * 250)]
    assert accepted
    assert started
    assert len(started) < 3 * len(accepted)
    for name in started:
        journal.record_attempt_finished(name, True)
        journal.record_attempt_started([name], 2, "y" * 250)
        assert used_bytes(tmp_path) <= limit_bytes
    assert journal.compact()
    assert used_bytes(tmp_path) <= limit_bytes
    journal.close()
    assert without_sizes(Journal(tmp_path, limit_bytes).pending) == without_sizes(journal.pending)


def test_learned_rates_are_restored_while_fresh_and_stay_within_their_limit(tmp_path, caplog):
    """Guards against lost rates: after a restart during an outage, returning destinations got almost no messages."""
    rows = [LearnedRate(7, "", 12.5, 40.0), LearnedRate(8, "e-1", 0.25, 0.0)]
    limit_bytes = learned_rates.reserved_bytes(3_000_000)
    assert learned_rates.load(tmp_path, limit_bytes, 0) == []
    learned_rates.save(tmp_path, limit_bytes, rows, 10**15)
    assert learned_rates.load(tmp_path, limit_bytes, 10**15 + 10**6) == rows
    assert caplog.text == ""
    assert (
        learned_rates.load(tmp_path, limit_bytes, 10**15 + learned_rates.MAX_AGE_US)
        == learned_rates.load(tmp_path, limit_bytes, 10**15 - 1)
        == []
    )
    many = [LearnedRate(number, f"s-{number:08x}", 0.125 + number, 0.0) for number in range(1024)]
    learned_rates.save(tmp_path, limit_bytes, many, 10**15)
    assert learned_rates.load(tmp_path, limit_bytes, 10**15) == many
    for disk in (100_000, 3_000_000):
        limit_bytes = learned_rates.reserved_bytes(disk)
        learned_rates.save(tmp_path, limit_bytes, many * 5, 10**15)
        assert (tmp_path / "paces").stat().st_size <= limit_bytes // 2
        loaded = learned_rates.load(tmp_path, limit_bytes, 10**15)
        assert len(loaded) > disk // 1200
        assert loaded[0] == many[-1]
    for unreadable in (
        b"",
        b"x\n",
        b'1000000000000000\n[7, "", NaN, 1]\n',
        b"1000000000000000\n[7]\n",
        b"\xff",
        b"1000000000000000\n{}\n",
        b'1000000000000000\n[7, ""',
        b"1000000000000000\n" + b"[" * 9000,
    ):
        (tmp_path / "paces").write_bytes(unreadable)
        assert learned_rates.load(tmp_path, limit_bytes, 10**15) == []
    assert "learned rates: unreadable" in caplog.text


def test_records_are_compatible_with_the_version_before_idempotency_flags(tmp_path):
    """The earlier version stored 0 or 1 in the flags byte, whether an attempt was in flight, and reads any other value
    as 1: a new record must make it treat a message that must not be repeated as possibly run."""
    journal = Journal(str(tmp_path), LIMIT_BYTES)
    for number, in_flight in enumerate((False, True)):
        delivery = pending_delivery(f"m{number}")
        delivery.in_flight = in_flight
        assert journal.record_accepted(delivery)
    assert journal.record_accepted(pending_delivery("n", idempotency=Idempotency.NOT_IDEMPOTENT))
    data = (tmp_path / "journal").read_bytes()
    journal.close()
    names = b"m0", b"m1", b"\1\0n"
    flags = [
        data[data.index(name) - 2 * (name[0] != 1) - 12 - 2] for name in names
    ]  # after the flags: answer, duration, time, length
    assert flags[:2] == [0, 1]
    assert flags[2] & ~1
    reopened = Journal(str(tmp_path), LIMIT_BYTES)
    assert [(delivery.in_flight, delivery.idempotency) for delivery in reopened.pending.values()] == [
        (False, None),
        (True, None),
        (False, Idempotency.NOT_IDEMPOTENT),
    ]

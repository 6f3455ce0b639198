"""The journal: what it owes after any cut, and the folder's limit, against a model that keeps no file."""

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


def without_sizes(journal):
    """What a journal owes, without its book-keeping of sizes."""
    return {
        name: (
            o.attempts,
            bool(o.may_have_run_wall_us) and (o.may_have_run_wall_us, o.may_have_run_zone),
            o.in_flight,
            o.final_answer,
            o.retry_after_ms,
            o.body,
            o.idempotency_key,
            o.idempotency,
            o.key_scope_zone,
            not o.final_answer and o.key_ttl_us,
        )
        for name, o in journal.items()
    }


class JournalMachine(RuleBasedStateMachine):
    """Random records; at any time the process may die, half a record may be lost, and all must be there again."""

    @initialize()
    def start(self):
        self.folder, self.model, self.number = tempfile.mkdtemp(), {}, 0
        self.journal = Journal(self.folder, LIMIT_BYTES)

    def some(self, data, **wanted):
        names = [n for n, o in self.model.items() if all(getattr(o, k) == v for k, v in wanted.items())]
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
            assert sum(len(o.body) for o in self.model.values()) + size > LIMIT_BYTES // 2 - 100_000, "there was room"

    @rule(data=st.data(), zone=st.sampled_from(["a", "zone-b"]))
    def begin(self, data, zone):
        name = self.some(data, in_flight=False, final_answer=None)
        if name:
            self.number += 1
            assert self.journal.record_attempt_started([name], self.number, zone)
            one = self.model[name]
            one.attempts, one.in_flight, one.attempt_started_wall_us, one.attempt_zone = (
                one.attempts + 1,
                True,
                self.number,
                zone,
            )

    @rule(data=st.data(), ran=st.booleans())
    def outcome(self, data, ran):
        name = self.some(data, in_flight=True)
        if name:
            self.journal.record_attempt_finished(name, ran)
            one = self.model[name]
            one.in_flight = False
            if ran and not one.may_have_run_wall_us:
                one.may_have_run_wall_us, one.may_have_run_zone = one.attempt_started_wall_us, one.attempt_zone

    @rule(data=st.data(), final_answer=st.sampled_from(list(FinalAnswer)))
    def ended(self, data, final_answer):
        name = self.some(data, final_answer=None)
        if name:
            self.journal.record_final_answer(name, final_answer, 250)
            self.model[name].final_answer, self.model[name].retry_after_ms, self.model[name].body = (
                final_answer,
                250,
                b"",
            )

    @rule(data=st.data())
    def over(self, data):
        name = self.some(data)
        if name:
            self.journal.record_finished(name)
            del self.model[name]

    @precondition(lambda self: hasattr(self, "journal"))
    @rule(torn=st.binary(max_size=40), half=st.booleans())
    def die(self, torn, half):
        """SIGKILL, with a torn record at the end and perhaps half a compaction."""
        self.journal.close()
        with open(os.path.join(self.folder, "journal"), "ab") as file:
            file.write(torn)
        if half:
            with open(os.path.join(self.folder, "journal.new"), "wb") as file:
                file.write(torn)
        self.journal = Journal(self.folder, LIMIT_BYTES)

    @invariant()
    def all_is_kept_within_the_limit(self):
        if hasattr(self, "journal"):
            assert without_sizes(self.journal.pending) == without_sizes(self.model)
            assert used_bytes(self.folder) <= LIMIT_BYTES

    def teardown(self):
        if hasattr(self, "journal"):
            self.journal.close()
            shutil.rmtree(self.folder)


JournalMachine.TestCase.settings = settings(max_examples=40, stateful_step_count=60, deadline=None, derandomize=True)
TestJournalMachine = JournalMachine.TestCase


def test_a_tail_cut_at_any_byte_costs_only_what_was_cut(tmp_path):
    journal = Journal(str(tmp_path), LIMIT_BYTES)
    sizes = []
    for name in ("a", "b"):
        journal.record_accepted(pending_delivery(name))
        sizes.append(os.path.getsize(tmp_path / "journal"))
    journal.close()
    data = (tmp_path / "journal").read_bytes()
    for length in range(len(data)):
        (tmp_path / "journal").write_bytes(data[:length])
        again = Journal(str(tmp_path), LIMIT_BYTES)
        assert sorted(again.pending) == [n for n, size in zip("ab", sizes, strict=False) if size <= length]
        assert again.record_accepted(pending_delivery("next"))
        again.close()


def test_a_flipped_bit_ends_what_can_be_trusted(tmp_path):
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
def test_what_would_not_fit_is_refused_and_the_rest_is_still_written(tmp_path, limit_bytes):
    journal = Journal(str(tmp_path), limit_bytes)
    accepted = [
        n
        for n in range(200)
        if journal.has_capacity(60_000) and journal.record_accepted(pending_delivery(str(n), b"x" * 60_000))
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
    whole = (tmp_path / "journal").read_bytes()
    real = os.write

    def half(file, data):
        monkeypatch.setattr(os, "write", full)
        return real(file, data[:5])

    def full(file, data):
        raise OSError(28, "No space left on device")

    monkeypatch.setattr(os, "write", half)
    assert not journal.record_accepted(pending_delivery("b"))
    assert not journal.record_attempt_started(["a"], 1, "a")
    assert list(journal.pending) == ["a"]
    assert (tmp_path / "journal").read_bytes() == whole


def test_long_names_of_zones_have_their_capacity_before_an_attempt_starts(tmp_path):
    """128 bytes were kept for both; with longer ones the copy that takes the file's place went over the limit."""
    journal, limit_bytes = Journal(tmp_path, 100_000), 100_000
    accepted = [f"m{n}" for n in range(100) if journal.record_accepted(pending_delivery(f"m{n}", b"x" * 50))]
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


def test_learned_rates_are_kept_for_the_next_process_while_they_are_fresh_and_within_their_limit(tmp_path, caplog):
    """A restart in an outage forgot what its partners had taken, and gave them almost nothing once they were back."""
    rows = [LearnedRate(7, "", 12.5, 40.0), LearnedRate(8, "e-1", 0.25, 0.0)]
    room = learned_rates.reserved_bytes(3_000_000)
    assert learned_rates.load(tmp_path, room, 0) == []
    learned_rates.save(tmp_path, room, rows, 10**15)
    assert learned_rates.load(tmp_path, room, 10**15 + 10**6) == rows
    assert caplog.text == ""
    assert (
        learned_rates.load(tmp_path, room, 10**15 + learned_rates.MAX_AGE_US)
        == learned_rates.load(tmp_path, room, 10**15 - 1)
        == []
    )
    many = [LearnedRate(n, f"s-{n:08x}", 0.125 + n, 0.0) for n in range(1024)]
    learned_rates.save(tmp_path, room, many, 10**15)
    assert learned_rates.load(tmp_path, room, 10**15) == many
    for disk in (100_000, 3_000_000):
        room = learned_rates.reserved_bytes(disk)
        learned_rates.save(tmp_path, room, many * 5, 10**15)
        assert (tmp_path / "paces").stat().st_size <= room // 2
        kept = learned_rates.load(tmp_path, room, 10**15)
        assert len(kept) > disk // 1200
        assert kept[0] == many[-1]
    for torn in (
        b"",
        b"x\n",
        b'1000000000000000\n[7, "", NaN, 1]\n',
        b"1000000000000000\n[7]\n",
        b"\xff",
        b"1000000000000000\n{}\n",
        b'1000000000000000\n[7, ""',
        b"1000000000000000\n" + b"[" * 9000,
    ):
        (tmp_path / "paces").write_bytes(torn)
        assert learned_rates.load(tmp_path, room, 10**15) == []
    assert "learned rates: unreadable" in caplog.text


def test_a_record_of_the_version_before_is_read_and_one_of_this_version_is_no_less_careful_there(tmp_path):
    """It had 0 or 1 where the flags stand, whether an attempt was out, and read any other value as one that was."""
    journal = Journal(str(tmp_path), LIMIT_BYTES)
    for number, in_flight in enumerate((False, True)):
        before = pending_delivery(f"m{number}")
        before.in_flight = in_flight
        assert journal.record_accepted(before)
    assert journal.record_accepted(pending_delivery("n", idempotency=Idempotency.NOT_IDEMPOTENT))
    data = (tmp_path / "journal").read_bytes()
    journal.close()
    names = b"m0", b"m1", b"\1\0n"
    flags = [data[data.index(name) - 2 * (name[0] != 1) - 12 - 2] for name in names]  # a span, a time, a length
    assert flags[:2] == [0, 1]
    assert flags[2] & ~1
    again = Journal(str(tmp_path), LIMIT_BYTES)
    assert [(one.in_flight, one.idempotency) for one in again.pending.values()] == [
        (False, None),
        (True, None),
        (False, Idempotency.NOT_IDEMPOTENT),
    ]

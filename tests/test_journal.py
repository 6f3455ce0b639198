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

MOST = 400_000


def owed(name, body=b"body", key=None, idempotency=None):
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


def used(folder):
    return sum(-(-os.path.getsize(os.path.join(folder, name)) // 512) * 512 for name in os.listdir(folder))


def plain(book):
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
        for name, o in book.items()
    }


class Life(RuleBasedStateMachine):
    """Random records; at any time the process may die, half a record may be lost, and all must be there again."""

    @initialize()
    def start(self):
        self.folder, self.model, self.number = tempfile.mkdtemp(), {}, 0
        self.journal = Journal(self.folder, MOST)

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
        if self.journal.record_accepted(owed(name, body, key, idempotency)):
            self.model[name] = owed(name, body, key, idempotency)
        else:
            assert sum(len(o.body) for o in self.model.values()) + size > MOST // 2 - 100_000, "there was room"

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
        self.journal = Journal(self.folder, MOST)

    @invariant()
    def all_is_kept_within_the_limit(self):
        if hasattr(self, "journal"):
            assert plain(self.journal.pending) == plain(self.model) and used(self.folder) <= MOST

    def teardown(self):
        if hasattr(self, "journal"):
            self.journal.close()
            shutil.rmtree(self.folder)


Life.TestCase.settings = settings(max_examples=40, stateful_step_count=60, deadline=None, derandomize=True)
TestLife = Life.TestCase


def test_a_tail_cut_at_any_byte_costs_only_what_was_cut(tmp_path):
    book = Journal(str(tmp_path), MOST)
    sizes = []
    for name in ("a", "b"):
        book.record_accepted(owed(name))
        sizes.append(os.path.getsize(tmp_path / "journal"))
    book.close()
    data = (tmp_path / "journal").read_bytes()
    for length in range(len(data)):
        (tmp_path / "journal").write_bytes(data[:length])
        again = Journal(str(tmp_path), MOST)
        assert sorted(again.pending) == [n for n, size in zip("ab", sizes) if size <= length]
        assert again.record_accepted(owed("next"))
        again.close()


def test_a_flipped_bit_ends_what_can_be_trusted(tmp_path):
    book = Journal(str(tmp_path), MOST)
    book.record_accepted(owed("a"))
    size = os.path.getsize(tmp_path / "journal")
    book.record_accepted(owed("b"))
    book.close()
    data = bytearray((tmp_path / "journal").read_bytes())
    data[size + 12] ^= 1
    (tmp_path / "journal").write_bytes(data)
    assert list(Journal(str(tmp_path), MOST).pending) == ["a"]


@pytest.mark.parametrize("most", [100_000, 3_000_000])
def test_what_would_not_fit_is_refused_and_the_rest_is_still_written(tmp_path, most):
    book = Journal(str(tmp_path), most)
    taken = [n for n in range(200) if book.has_capacity(60_000) and book.record_accepted(owed(str(n), b"x" * 60_000))]
    assert len(taken) < 200 and used(tmp_path) <= most
    for name in list(book.pending) * 20:
        assert book.record_attempt_started([name], 5, "a")
        book.record_attempt_finished(name, True)
        assert used(tmp_path) <= most
    assert len(taken) == (0 if most == 100_000 else 24)


def test_a_journal_that_cannot_be_written_takes_nothing_on(tmp_path, monkeypatch):
    book = Journal(str(tmp_path), MOST)
    book.record_accepted(owed("a"))
    whole = (tmp_path / "journal").read_bytes()
    real = os.write

    def half(file, data):
        monkeypatch.setattr(os, "write", full)
        return real(file, data[:5])

    def full(file, data):
        raise OSError(28, "No space left on device")

    monkeypatch.setattr(os, "write", half)
    assert (
        not book.record_accepted(owed("b"))
        and not book.record_attempt_started(["a"], 1, "a")
        and list(book.pending) == ["a"]
    )
    assert (tmp_path / "journal").read_bytes() == whole


def test_long_names_of_zones_have_their_room_before_a_pass_begins(tmp_path):
    """128 bytes were kept for both; with longer ones the copy that takes the file's place went over the limit."""
    book, most = Journal(tmp_path, 100_000), 100_000
    taken = [f"m{n}" for n in range(100) if book.record_accepted(owed(f"m{n}", b"x" * 50))]
    begun = [name for name in taken for _ in range(3) if book.record_attempt_started([name], 1, "z" * 250)]
    assert taken and begun and len(begun) < 3 * len(taken)  # what would not fit does not begin
    for name in begun:
        book.record_attempt_finished(name, True)
        book.record_attempt_started([name], 2, "y" * 250)
        assert used(tmp_path) <= most
    assert book.compact() and used(tmp_path) <= most
    book.close()
    assert plain(Journal(tmp_path, most).pending) == plain(book.pending)


def test_paces_are_kept_for_the_next_process_while_they_are_fresh_and_within_their_room(tmp_path, caplog):
    """A restart in an outage forgot what its partners had taken, and gave them almost nothing once they were back."""
    rows = [LearnedRate(7, "", 12.5, 40.0), LearnedRate(8, "e-1", 0.25, 0.0)]
    room = learned_rates.reserved_bytes(3_000_000)
    assert learned_rates.load(tmp_path, room, 0) == []
    learned_rates.save(tmp_path, room, rows, 10**15)
    assert learned_rates.load(tmp_path, room, 10**15 + 10**6) == rows and caplog.text == ""
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
        assert len(kept) > disk // 1200 and kept[0] == many[-1]  # those with the largest part
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
    book = Journal(str(tmp_path), MOST)
    for number, in_flight in enumerate((False, True)):
        before = owed(f"m{number}")
        before.in_flight = in_flight
        assert book.record_accepted(before)
    assert book.record_accepted(owed("n", idempotency=Idempotency.NOT_IDEMPOTENT))
    data = (tmp_path / "journal").read_bytes()
    book.close()
    names = b"m0", b"m1", b"\1\0n"
    flags = [data[data.index(name) - 2 * (name[0] != 1) - 12 - 2] for name in names]  # a span, a time, a length
    assert flags[:2] == [0, 1] and flags[2] & ~1
    again = Journal(str(tmp_path), MOST)
    assert [(one.in_flight, one.idempotency) for one in again.pending.values()] == [
        (False, None),
        (True, None),
        (False, Idempotency.NOT_IDEMPOTENT),
    ]

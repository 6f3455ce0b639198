"""Snapshots: encoding, decoding, and the one-line errors of invalid ones."""

import json
from hashlib import blake2b

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from scalefall.assignment.model import Node
from scalefall.assignment.snapshot import TableState, decode, encode
from scalefall.errors import AssignmentError

STATE = TableState({0: ("n1", "é\n"), 3: ("n1",), 9: ()}, {7: 9}, 12, (Node("n1", "r", "z"), Node("n2")))
TEXT = encode(STATE, "settings 1")


def rejection(text, fingerprint="settings 1"):
    """Return the error of decoding a text, after checking that it is one line."""
    with pytest.raises(AssignmentError) as caught:
        decode(text, fingerprint)
    assert "\n" not in str(caught.value)
    assert str(caught.value).startswith("snapshot: ")
    return str(caught.value)


def sealed(body):
    """Return a text with this second line and a matching checksum."""
    return f"scalefall-assignment 1 {blake2b(body.encode(), digest_size=16).hexdigest()}\n{body}\n"


def changed(**fields):
    """Return the snapshot with some fields replaced, and a matching checksum."""
    return sealed(json.dumps({**json.loads(TEXT.split("\n")[1]), **fields}))


names = st.text(max_size=4)
tables = st.dictionaries(st.integers(0, 2**20), st.lists(names, max_size=3, unique=True).map(tuple))


@given(tables, st.sets(st.integers(0, 10**9)), st.integers(0, 2**70), names)
@settings(max_examples=100, derandomize=True, deadline=None)
def test_a_decoded_snapshot_equals_the_encoded_state(table, isolated, generation, fingerprint):
    """Guards against a loss of data for any names, numbers and fingerprint."""
    state = TableState(table, {destination: number for number, destination in enumerate(isolated)}, generation)
    assert decode(encode(state, fingerprint), fingerprint) == state
    assert decode(TEXT, "settings 1") == STATE


def test_the_snapshot_of_a_large_fleet_is_under_a_megabyte():
    """The fleet has 14,400 shards, 900 senders and 300 isolated destinations."""
    table = {shard: (f"sender-eu-west-1a-{shard % 900:04}",) for shard in range(14_400)}
    isolated = {destination: 14_400 + destination for destination in range(300)}
    for destination, shard in isolated.items():
        table[shard] = tuple(f"sender-eu-west-1a-{number:04}" for number in range(900 // (destination + 1)))
    assert len(encode(TableState(table, isolated, 10**9), "f")) < 1_000_000


def test_a_text_that_is_truncated_or_changed_at_any_character_is_rejected():
    """Guards against a corrupt file that is accepted: truncated, with one bit flipped, or without one character."""
    for end in range(len(TEXT)):
        rejection(TEXT[:end])
        rejection(TEXT[:end] + chr(ord(TEXT[end]) ^ 1) + TEXT[end + 1 :])
        rejection(TEXT[:end] + TEXT[end + 1 :])
    rejection(TEXT + "\n")
    rejection(TEXT + TEXT)


@pytest.mark.parametrize(
    ("text", "expected_error"),
    [
        ("", "does not begin with scalefall-assignment"),
        (TEXT.replace("assignment 1", "assignment 2"), "version '2', not 1"),
        (TEXT[:-10], "truncated or extended: expected two lines"),
        (TEXT[:-10] + "\n", "checksum mismatch"),
        (sealed("{"), "not JSON"),
        (sealed("[" * 100_000), "not JSON"),
        (sealed("9" * 10_000), "not JSON"),
        (sealed("[]"), "not an object"),
        (sealed('{"names":[],"names":[]}'), "duplicate field"),
        (sealed("{}"), "the field fingerprint is missing"),
        (changed(epochs=[]), "unknown field 'epochs'"),
        (changed(fingerprint=None), "the field fingerprint is not a string"),
        (changed(generation=True), "the field generation is not a number"),
        (changed(generation=-1), "the field generation is not a number"),
        (changed(names=[1]), "the field names is not a list of strings"),
        (changed(nodes=[["n1", "r"]]), "the field nodes is not a list of"),
        (changed(nodes=[["n1", "r", "z"], ["n1", "r", "y"]]), "nodes: duplicate node"),
        (changed(table={"0": [0]}), "the field table is not a list of"),
        (changed(table=[[]]), "the field table is not a list of"),
        (changed(table=[[0, 0.5]]), "the field table is not a list of"),
        (changed(table=[[4, 0], [4, 1]]), "table: duplicate shard 4"),
        (changed(table=[[4, 2]]), "table: shard 4 has index 2 of 2 names"),
        (changed(table=[[4, 1, 1]]), "table: shard 4 lists a node twice"),
        (changed(isolated=[[1, 8], [1, 9]]), "isolated: duplicate destination 1"),
        (changed(isolated=[[1, 8], [2, 8]]), "isolated: two destinations have the same shard"),
        (changed(fingerprint="settings 2"), "of other settings"),
    ],
)
def test_the_error_of_a_rejected_text_names_the_fault(text, expected_error):
    """Guards against accepting invalid fields because their checksum matches."""
    assert expected_error in rejection(text)

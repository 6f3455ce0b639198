"""Parsing of discovery's endpoint list: its objects in any layout, and their entries."""

import json

import pytest
from hypothesis import HealthCheck, given, settings
from hypothesis import strategies as st
from nethelp import host_row, list_update

from scalefall.net.list_stream import MAX_DEPTH, EndpointListError, ObjectStream, read_list

HERE = ("127.0.0.1", 1)
VALUES = st.recursive(
    st.none() | st.integers() | st.text(st.sampled_from('a"\\{}[]\n é'), max_size=6),
    lambda inner: st.lists(inner, max_size=2) | st.dictionaries(st.just("k"), inner, max_size=1),
    max_leaves=4,
)
LIST_OBJECTS = st.lists(
    st.dictionaries(st.text(st.sampled_from('ab"\\{}'), max_size=4), VALUES, max_size=4), max_size=4
)


@settings(derandomize=True, deadline=None, suppress_health_check=list(HealthCheck))
@given(LIST_OBJECTS, st.sampled_from([None, 0, 2, "\t"]), st.sampled_from(["", "\n", " \r\n\n"]), st.integers(1, 40))
def test_objects_are_split_in_any_layout_and_at_any_chunk_size(list_objects, indent, between, piece):
    data = "".join(json.dumps(item, indent=indent) + between for item in list_objects).encode()
    objects, found = ObjectStream(10_000), []
    for at in range(0, len(data), piece):
        found += objects.feed(data[at : at + piece])
    assert found == list_objects


@pytest.mark.parametrize(
    "data",
    [
        b"junk\n",
        b"[]",
        b"{} x",
        b"}",
        b'"{"',
        b"{'a':1}",
        b'{"a":}',
        b'{"a":1' * (MAX_DEPTH + 1),
        b'{"a":' + b"[" * 100_000 + b"]" * 100_000 + b"}",
        b'{"a":"' + b"x" * 20_000,
    ],
)
def test_data_that_is_not_a_list_is_an_error_at_once(data):
    with pytest.raises((ValueError, RecursionError)):
        ObjectStream(10_000 if b"x" in data else 1_000_000).feed(data)


def test_an_unreadable_entry_is_skipped_alone():
    wrong = [
        {"host": "x"},
        7,
        None,
        {**host_row("y", HERE), "dial": 3},
        {**host_row("z", HERE), "block": "many"},
        {**host_row("w", HERE), "health": "well"},
        {**host_row("v", HERE), "share": 10**400},
    ]
    found = read_list(list_update(3, host_row("a", HERE), *wrong, host_row("b", HERE)), strict=False)
    assert [entry.endpoint.id for entry in found.entries] == ["a", "b"]
    assert found.unreadable_entries == ("x", "", "", "y", "z", "w", "v")
    for row in wrong:
        with pytest.raises((ValueError, OverflowError)):
            read_list(list_update(3, host_row("a", HERE), row))
        with pytest.raises(EndpointListError):
            read_list(list_update(3, row), strict=False)

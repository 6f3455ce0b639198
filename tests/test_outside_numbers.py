"""Numbers and fields that other programs write: a form that a page allows counts, any other is one clear log line.

Guards against review case 8 and its class: a form that was not foreseen counted as "nothing was said", with no line.
"""

import json
import math

import pytest
from helpers import settings
from hypothesis import given
from hypothesis import settings as limits
from hypothesis import strategies as st
from nethelp import AttemptsHarness, S, StubServer, VirtualTimeScheduler, host_row, list_update

from scalefall.net import http
from scalefall.net.answer_fields import MAX_RETRY_AFTER_S, read_load_report, read_retry_after
from scalefall.net.list_stream import EndpointListError, read_list
from scalefall.policy.events import Outcome

HERE = ("127.0.0.1", 1)
WALL_US = 784_111_777 * S  # Sun, 06 Nov 1994 08:49:37 GMT, the date in the examples of RFC 9110
DATE = "Sun, 06 Nov 1994 08:49:37 GMT"


def retry_after(text, **fields):
    return read_retry_after({"retry-after": text, **fields}, WALL_US)


@pytest.mark.parametrize(
    ("text", "seconds"),
    [
        ("0", 0),
        ("7", 7),
        ("0.5", 0.5),
        (".5", 0.5),
        ("5.", 5),
        ("9.72613628800002", 9.726137),  # rounded up: no wait is cut short
        ("0.1000000000000000055511151231257827", 0.1),
        ("0.0000000000001", 0.000001),
        ("1e-05", 0.00001),
        ("9.7E+0", 9.7),
        ("1.5e1", 15),
        ("+5", 5),
        ("000000000005", 5),
        ("12345678901", MAX_RETRY_AFTER_S),
        ("1e999", MAX_RETRY_AFTER_S),
        ("9" * 5000, MAX_RETRY_AFTER_S),
        ("5, 7", 7),
        ("Sun, 06 Nov 1994 08:49:47 GMT", 10),
        ("Mon, 06 Nov 1995 08:49:37 GMT", 365 * 86_400),
        ("Thu, 29 Feb 1996 08:49:37 GMT", 480 * 86_400),
        ("Sun, 06 Nov 1994 08:49:07 GMT", 0),  # it has passed
    ],
)
def test_every_form_of_a_wait_counts(text, seconds, caplog):
    assert retry_after(text) == round(seconds * S)
    assert not caplog.records


NO_WAITS = (
    "",
    " ",
    "soon",
    "-5",
    "-0.1",
    "5s",
    "5 s",
    "0x10",
    "1_000",
    "nan",
    "inf",
    "Infinity",
    "1e",
    "e5",
    ".",
    "5,",
)
NO_DATES = ("Sun, 06 Nov 1994", "Sun, 06 Nov 1994 25:00:00 GMT", "Sunday, 06-Nov-94 08:49:37 GMT")


@pytest.mark.parametrize("text", [*NO_WAITS, *NO_DATES, "\xb2", "5, soon", "{}"])
def test_any_other_form_of_a_wait_is_one_log_line(text, caplog):
    assert retry_after(text) == 0
    assert [record.getMessage() for record in caplog.records] == [f"Retry-After cannot be read: {text!r}"]


def test_an_answer_without_a_wait_is_no_log_line(caplog):
    assert read_retry_after({}, WALL_US) == 0
    assert not caplog.records


@pytest.mark.parametrize("clock_error_us", [0, -3600 * S, 3600 * S])
def test_a_date_counts_from_the_answers_own_date_whatever_this_clock_says(clock_error_us):
    fields = {"retry-after": "Sun, 06 Nov 1994 08:49:47 GMT", "date": DATE}
    assert read_retry_after(fields, WALL_US + clock_error_us) == 10 * S


@limits(max_examples=500, deadline=None)
@given(st.floats(min_value=0, allow_nan=False, allow_infinity=False))
def test_a_wait_counts_as_a_double_prints_itself(seconds):
    expected = math.ceil(min(seconds, MAX_RETRY_AFTER_S) * S)
    assert retry_after(str(seconds)) == retry_after(repr(seconds)) == expected


@limits(max_examples=500, deadline=None)
@given(st.text(st.characters(max_codepoint=255), max_size=30))
def test_no_text_is_silently_no_wait(text):
    """Read or logged; only zero and a date that has passed are a wait of nothing."""
    logged = []
    with pytest.MonkeyPatch.context() as patch:
        patch.setattr("scalefall.net.answer_fields.log.warning", lambda *args: logged.append(args))
        wait_us = retry_after(text)
    assert wait_us > 0 or logged or float(text.replace(",", "")) == 0


@pytest.mark.parametrize(
    ("text", "report"),
    [
        ('{"x0":0.4,"x1":25}', {"x0": 0.4, "x1": 25}),
        ('{"x0":4e-1,"x1":2.5E1}', {"x0": 0.4, "x1": 25}),
        ('{"x0":0.40000000000000002220446049250313}', {"x0": 0.4}),
        ('{"x1":"25"}', {"x1": 25}),
        ('{"x1":0}', {"x1": 0}),
        ("{}", {}),
    ],
)
def test_every_form_of_a_load_report_counts(text, report, caplog):
    assert read_load_report({"x-load": text}) == report
    assert not caplog.records


@pytest.mark.parametrize(
    "text",
    [
        *("", "25", "[]", "null", '{"x1":null}', '{"x1":true}', '{"x1":""}', '{"x1":-1}', '{"x1":NaN}', '{"x1":1e999}'),
        *('{"x1":[1]}', '{"x1":1}, {"x1":1}', "x1=25"),
    ],
)
def test_any_other_form_of_a_load_report_is_one_log_line(text, caplog):
    assert read_load_report({"x-load": text}) == {}
    assert [record.getMessage() for record in caplog.records] == [f"load report cannot be read: {text!r}"]


@pytest.mark.parametrize("wait", ["9.72613628800002", "9.72613628800002E0", "soon"])
@pytest.mark.parametrize("status", [200, 429, 500, 503, 504])
def test_a_wait_of_any_answer_reaches_the_engine(status, wait, caplog):
    world = VirtualTimeScheduler()

    def play():
        peer = StubServer(world)
        calls = AttemptsHarness(world, settings(answers_carry_report=True), peer.address)
        calls.begin("m")
        sock = peer.accept()
        peer.read(sock)
        sock.send(http.answer(status, [("Retry-After", wait)]))
        event = calls.outcome("m")
        assert event.retry_after_us == (0 if wait == "soon" else 9_726_137)
        assert event.outcome is not Outcome.CONNECTIONS_EXHAUSTED  # an answer with a wait is none of a full table
        assert ("cannot be read" in caplog.text) == (wait == "soon")

    world.play(play)


def test_a_message_whose_state_an_answer_leaves_out_is_one_log_line(caplog):
    world = VirtualTimeScheduler()

    def play():
        peer = StubServer(world)
        calls = AttemptsHarness(world, settings(), peer.address)
        calls.begin("a", "b")
        sock = peer.accept()
        peer.read(sock)
        sock.send(http.answer(200, [], json.dumps([{"id": "a", "state": "accepted"}]).encode()))
        assert [calls.outcome(name).outcome for name in "ab"] == [Outcome.OK, Outcome.ERROR]
        lines = [record.getMessage() for record in caplog.records]
        assert lines == ["answer without the state of a message: endpoint e, messages ['b']"]

    world.play(play)


@pytest.mark.parametrize(("share", "limit"), [(None, 0), (0, 0), (1, 1), (2.5, 2.5), ("2.5", 2.5), (4e-1, 0.4)])
def test_every_form_of_an_endpoints_share_counts(share, limit):
    (entry,) = read_list(list_update(1, {**host_row("a", HERE), "share": share})).entries
    assert entry.endpoint.weight == limit


@pytest.mark.parametrize(
    "change",
    [{"share": share} for share in ("", "much", -1, True, False, [], math.nan, math.inf, 10**400)]
    + [{"block": block} for block in (True, "7", 7.0, 7e3, None, "")]
    + [{"dial": f"127.0.0.1:{port}"} for port in ("", "0", "-80", "+80", " 80", "8_0", "80.0", "65536", "9" * 30, "x")],
)
def test_any_other_number_of_an_entry_makes_that_entry_unreadable(change):
    """An empty share was no limit, NaN an unknown one, and a port of 70000 a traceback for each call."""
    update = read_list(list_update(1, host_row("a", HERE), {**host_row("b", HERE), **change}), strict=False)
    assert [entry.endpoint.id for entry in update.entries] == ["a"]
    assert update.unreadable_entries == ("b",)


@pytest.mark.parametrize("whole", ["false", "true", 0, 1, None, "", []])
def test_whole_in_any_other_form_than_true_or_false_is_an_error(whole):
    """The text "false" was taken for true: all endpoints that the changes did not name were removed."""
    with pytest.raises(EndpointListError, match="whole must be true or false"):
        read_list({**list_update(1, host_row("a", HERE)), "whole": whole}, strict=False)


@pytest.mark.parametrize("seq", ["41", 4.1e1, True, None, ""])
def test_a_version_in_any_other_form_than_a_whole_number_is_an_error(seq):
    with pytest.raises(EndpointListError, match="seq must be a whole number"):
        read_list({**list_update(1, host_row("a", HERE)), "seq": seq}, strict=False)

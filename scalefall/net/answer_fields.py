"""Reads the fields of an endpoint's answer that carry numbers: Retry-After and the load report.

A form that the protocol does not allow is logged, and counts as no value.
"""

from __future__ import annotations

import json
import math
import re
from dataclasses import dataclass, field

from scalefall.net import http
from scalefall.net.logs import log
from scalefall.net.untrusted_numbers import read_quantity

SECOND_US = 1_000_000  # microseconds in a second
MAX_RETRY_AFTER_S = 1_000_000_000  # a larger number counts as this one; a date is bounded by the year 9999
SECONDS = re.compile(r"\+?(?:[0-9]+(?:\.[0-9]*)?|\.[0-9]+)(?:[eE][+-]?[0-9]+)?")  # decimals, as a double prints itself
HTTP_DATE = re.compile(
    r"(?:Mon|Tue|Wed|Thu|Fri|Sat|Sun), ([0-9]{2}) "
    r"(Jan|Feb|Mar|Apr|May|Jun|Jul|Aug|Sep|Oct|Nov|Dec) ([0-9]{4}) ([01][0-9]|2[0-3]):([0-5][0-9]):([0-5][0-9]|60) GMT"
)
MONTHS = ("Mar", "Apr", "May", "Jun", "Jul", "Aug", "Sep", "Oct", "Nov", "Dec", "Jan", "Feb")  # a leap day comes last
DAY_S = 86_400
EPOCH_DAY = 719_468  # 1 January 1970, in days since 1 March of the year 0


@dataclass(slots=True, frozen=True)
class AnswerFields:
    """What the fields of an answer say, beside its status.

    Attributes:
        retry_after_us: The Retry-After that the endpoint demands, in microseconds; 0 without one.
        load_report: The load report, as values by metric name; empty without one.
    """

    retry_after_us: int = 0
    load_report: dict[str, float] = field(default_factory=dict)


NO_ANSWER_FIELDS = AnswerFields()


def read_answer_fields(reader: http.AnswerReader, wall_us: int, has_retry_after: bool = True) -> AnswerFields:
    """Return what an answer's fields say. The load report counts only once the head is complete.

    Args:
        reader: The reader of the answer, or of the part of it that was received.
        wall_us: The wall time, in microseconds since the epoch.
        has_retry_after: A Retry-After counts; otherwise it is not read.
    """
    load_report = read_load_report(reader.fields) if reader.head_done else {}
    return AnswerFields(read_retry_after(reader.fields, wall_us) if has_retry_after else 0, load_report)


def read_retry_after(fields: dict[str, str], wall_us: int) -> int:
    """Return an answer's Retry-After in microseconds, rounded up so that no wait is cut short; 0 if it has none.

    It is a number of seconds, with decimals, or an HTTP date. A date counts from the answer's own Date, so that a
    difference between the clocks does not matter. Of several values the longest counts.

    Args:
        fields: The answer's fields.
        wall_us: The wall time, in microseconds since the epoch; used for a date in an answer without a Date.
    """
    text = fields.get("retry-after")
    if text is None:
        return 0
    date_s = _http_date_s(text)
    if date_s is not None:
        sent_s = _http_date_s(fields.get("date", ""))
        return max(0, date_s * SECOND_US - (wall_us if sent_s is None else sent_s * SECOND_US))
    values = [value.strip(" \t") for value in text.split(",")]
    if not all(map(SECONDS.fullmatch, values)):
        log.warning("Retry-After cannot be read: %.80r", text)
        return 0
    return math.ceil(min(MAX_RETRY_AFTER_S, max(map(float, values))) * SECOND_US)


def read_load_report(fields: dict[str, str]) -> dict[str, float]:
    """Return an answer's load report, as values by metric name; empty if it is missing or cannot be read."""
    text = fields.get("x-load")
    if text is None:
        return {}
    try:
        return {name: read_quantity(value) for name, value in json.loads(text).items()}
    except (ValueError, TypeError, AttributeError, OverflowError, RecursionError):  # not an object of quantities
        log.warning("load report cannot be read: %.80r", text)
        return {}


def _http_date_s(text: str) -> int | None:
    """Return an HTTP date in seconds since the epoch; None if the text is none."""
    match = HTTP_DATE.fullmatch(text)
    if match is None:
        return None
    day, month_name, year, *time_of_day = match.groups()
    hours, minutes, seconds = map(int, time_of_day)
    month = MONTHS.index(month_name)
    years = int(year) - (month >= MONTHS.index("Jan"))
    days = 365 * years + years // 4 - years // 100 + years // 400 + (153 * month + 2) // 5 + int(day) - 1 - EPOCH_DAY
    return days * DAY_S + (hours * 60 + minutes) * 60 + seconds

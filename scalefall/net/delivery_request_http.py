"""Delivery requests on the wire: reads one from an HTTP request, and writes its admission result as an answer."""

from __future__ import annotations

import re
from urllib.parse import unquote

from scalefall.net import http
from scalefall.net.delivery_request import Accepted, AdmissionResult, Conflict, DeliveryRequest, GivenUp, NotServed
from scalefall.policy.settings import Idempotency, MessageClass

# The client's deadline runs while its request waits unread in the socket buffer. That wait is estimated and
# subtracted from the time left.
MAX_UNREAD_US = 400_000  # most time subtracted for the wait: a client waits no longer for its answer
MIN_UNREAD_US = 150_000  # least time subtracted: the process may be held up this long between the poll and its clock
MIN_UNREAD_DIVISOR = 20  # at most the class's deadline divided by this is the least time
MAX_UNREAD_DIVISOR = 2  # at most the time left divided by this is subtracted for the wait

# The end of a message takes an engine step, a delivery report and its answer; each may be as late as timers are.
LAG_STEPS = 3
MAX_LAG_DIVISOR = 10  # at most the time left divided by this is subtracted for the lag

MICROSECONDS_BY_UNIT = {"m": 1000, "u": 1}  # suffixes of X-Deadline
DEADLINE = re.compile(r"(\d{1,12})(?:\.(\d{1,6})\d*)?([mu])\Z")
ROUTE_SEPARATOR = re.compile(r"[,;\s]+")
DESTINATION = re.compile(r"dest=(\d{1,9})")
WORD = re.compile(r"[!-~]{1,200}\Z")


def parse_delivery_request(
    reader: http.RequestReader, classes: dict[str, MessageClass], read_at_us: int, unread_us: int = 0, lag_us: int = 0
) -> DeliveryRequest:
    """Return the delivery request that an HTTP request carries, with its deadline on the scheduler's clock.

    Args:
        reader: Holds the complete HTTP request; its body is taken out of it.
        classes: The message classes by name.
        read_at_us: When its first byte was read.
        unread_us: How long that byte may have waited unread.
        lag_us: How late the scheduler runs its timers.

    Raises:
        http.MalformedMessage: A header field is missing or invalid, or the path or method is unknown.
    """
    class_name = _class_name(reader.target)
    message_class = classes.get(class_name)
    if message_class is None:
        raise http.MalformedMessage(404, "no such path or class")
    if reader.method != "POST":
        raise http.MalformedMessage(405, "only POST")
    message_id = _message_id(reader.fields)
    key = _idempotency_key(reader.fields, message_class)
    time_left_us = _time_left_us(reader.fields, message_class)
    destination = _destination(reader.fields)
    unread_us = min(
        MAX_UNREAD_US,
        time_left_us // MAX_UNREAD_DIVISOR,
        max(unread_us, min(MIN_UNREAD_US, message_class.deadline_us // MIN_UNREAD_DIVISOR)),
    )
    time_left_us -= unread_us + min(time_left_us // MAX_LAG_DIVISOR, LAG_STEPS * lag_us)
    return DeliveryRequest(message_id, class_name, destination, read_at_us + time_left_us, key, reader.take_body())


def _class_name(target: str) -> str:
    """Return the first part of the path of a request's target."""
    path = re.sub(r"\Ahttp://[^/?]*", "", target).partition("?")[0]
    return unquote(path).split("/")[1] if path.startswith("/") else ""


def _message_id(fields: dict[str, str]) -> str:
    message_id = fields.get("x-request-id", "")
    if not WORD.match(message_id):
        raise http.MalformedMessage(400, "X-Request-Id is missing or not a word")
    return message_id


def _idempotency_key(fields: dict[str, str], message_class: MessageClass) -> str | None:
    """Return the key, which only the classes that are idempotent with a key require."""
    key = fields.get("idempotency-key")
    if key is None and message_class.idempotency is not Idempotency.WITH_KEY:
        return None
    if not WORD.match(key or ""):
        raise http.MalformedMessage(400, "Idempotency-Key is missing or not a word")
    return key


def _time_left_us(fields: dict[str, str], message_class: MessageClass) -> int:
    """Return the time left as of the client's sending, at most the deadline of the class."""
    deadline = DEADLINE.match(fields.get("x-deadline", ""))
    if deadline is None:
        raise http.MalformedMessage(400, "X-Deadline is missing or not a time")
    whole, fraction, unit = deadline.groups()
    time_left_us = int(float(f"{whole}.{fraction or 0}") * MICROSECONDS_BY_UNIT[unit])
    return min(time_left_us, message_class.deadline_us)


def _destination(fields: dict[str, str]) -> int:
    """Return the number of the one destination that X-Route-To names."""
    parts = ROUTE_SEPARATOR.split(fields.get("x-route-to", ""))
    named = [DESTINATION.fullmatch(part) for part in parts if part.startswith("dest=")]
    if len(named) != 1 or named[0] is None:
        raise http.MalformedMessage(400, "X-Route-To does not name one dest")
    return int(named[0][1])


def encode_admission_result(result: AdmissionResult, keep: bool) -> bytes:
    """Return the HTTP answer for an admission result; with keep, the connection stays open."""
    if isinstance(result, Accepted):
        return http.answer(202, [], keep=keep)
    if isinstance(result, GivenUp):
        return http.answer(500, [], b"given up\n", keep)
    if isinstance(result, Conflict):
        return http.answer(409, [], b"the id of another message that is open\n", keep)
    if isinstance(result, NotServed):
        return http.answer(404, [], b"the route carries no messages of this class\n", keep)
    seconds = f"{-(-result.retry_after_us // 1000) / 1000:.3f}"
    fields = [("Retry-After", seconds)] if result.retry_after_us > 0 else []
    return http.answer(503 if result.unavailable else 429, fields, keep=keep)

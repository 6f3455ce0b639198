"""Encodes the HTTP request of an attempt: the body of one message, or several messages as rows of JSON."""

from __future__ import annotations

import base64
import json

from scalefall.net import http
from scalefall.net.attempt_state import Attempt, MessageInCall

MILLISECOND_US = 1000  # microseconds in a millisecond
MIN_MILLISECOND_DEADLINE_US = 10 * MILLISECOND_US  # sent in milliseconds from here on, as the error is below 10 %
SINGLE_TARGET = "/v1/messages"  # the protocol's path for one message
BATCH_TARGET = "/v1/messages:batch"  # the protocol's path for several
BASE64_GROUP_BYTES = 3  # RFC 4648: bytes that are encoded together
BASE64_GROUP_CHARACTERS = 4  # RFC 4648: characters that encode one group
EMPTY_ROW_BYTES = len('{"id":,"body":""}')
KEY_MEMBER_BYTES = len('"key":,')
ROW_SEPARATOR_BYTES = 2  # reserved in each row for its comma and the array's brackets


def encode_request(attempt: Attempt, now_us: int) -> bytes:
    """Return the complete request for the messages of an attempt.

    Args:
        attempt: The attempt; it has at least one message.
        now_us: Now, in monotonic microseconds; the deadline in the request counts from it.
    """
    messages = attempt.messages
    left_us = max(1, max(message.ends_at_us for message in messages) - now_us)
    if left_us >= MIN_MILLISECOND_DEADLINE_US:
        deadline = ("X-Deadline", f"{left_us // MILLISECOND_US}m")
    else:
        deadline = ("X-Deadline", f"{left_us}u")
    host = attempt.entry.host or attempt.entry.endpoint.id
    if len(messages) == 1:
        return _encode_single(host, messages[0], deadline)
    return _encode_batch(host, messages, deadline)


def batch_row_size(message_id: str, idempotency_key: str | None, body: bytes) -> int:
    """Return how many bytes a message takes in the body of a call with several."""
    groups = -(-len(body) // BASE64_GROUP_BYTES)  # rounded up, as the last group is padded
    row_bytes = EMPTY_ROW_BYTES + len(json.dumps(message_id)) + BASE64_GROUP_CHARACTERS * groups
    if idempotency_key is not None:
        row_bytes += KEY_MEMBER_BYTES + len(json.dumps(idempotency_key))
    return row_bytes + ROW_SEPARATOR_BYTES


def _encode_single(host: str, message: MessageInCall, deadline: tuple[str, str]) -> bytes:
    """Return the request for one message, with its body unchanged."""
    fields = [("X-Request-Id", message.id), deadline, ("Content-Type", "application/octet-stream")]
    if message.idempotency_key is not None:
        fields.insert(1, ("Idempotency-Key", message.idempotency_key))
    return http.request("POST", SINGLE_TARGET, host, fields, message.body)


def _encode_batch(host: str, messages: list[MessageInCall], deadline: tuple[str, str]) -> bytes:
    """Return the request for several messages, each a JSON row with its body in base64."""
    rows = [
        _batch_row(message.id, message.idempotency_key, base64.b64encode(message.body).decode()) for message in messages
    ]
    body = json.dumps(rows, separators=(",", ":")).encode()
    return http.request("POST", BATCH_TARGET, host, [deadline, ("Content-Type", "application/json")], body)


def _batch_row(message_id: str, idempotency_key: str | None, body: str) -> dict[str, str]:
    """Return a message's row in a call with several; the body is base64."""
    if idempotency_key is None:
        return {"id": message_id, "body": body}
    return {"id": message_id, "key": idempotency_key, "body": body}

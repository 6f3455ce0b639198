"""Requests and responses of an xDS stream, in both forms of the protocol, without protobuf.

Source: the xDS protocol's specification, "xDS REST and gRPC protocol", v3.
"""

from __future__ import annotations

from dataclasses import dataclass

from scalefall.control.catalog import Resource


@dataclass(slots=True, frozen=True)
class Request:
    """A client's request for one type, an acknowledgement (ACK) or a rejection (NACK)."""

    type: str  # the type URL
    nonce: str = ""  # of the response that it answers; empty: it answers none
    names: tuple[str, ...] = ()  # state of the world: all that is subscribed; incremental: what is subscribed newly
    unsubscribed: tuple[str, ...] = ()  # incremental only
    initial_versions: tuple[tuple[str, str], ...] = ()  # incremental only: names and versions that the client has
    error: str | None = None  # why it rejects the response


@dataclass(slots=True, frozen=True)
class Response:
    """Resources of one type."""

    type: str  # the type URL
    nonce: str
    version: str
    resources: tuple[Resource, ...]
    removed: tuple[str, ...] = ()  # incremental only
    is_heartbeat: bool = False  # names, versions and times to live, without bodies


@dataclass(slots=True, frozen=True)
class ResponseRejected:
    """For the log: the client keeps what it had."""

    type: str  # the type URL
    names: tuple[str, ...]
    text: str  # the client's reason, cut to MAX_ERROR_TEXT


@dataclass(slots=True, frozen=True)
class CloseStream:
    """The client breaks the protocol or asks for too much; the stream ends with this reason."""

    reason: str


StreamAction = Response | ResponseRejected | CloseStream

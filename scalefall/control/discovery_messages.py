"""Requests and responses of an xDS stream, in both variants of the protocol, without protobuf.

Source: the xDS protocol's specification, "xDS REST and gRPC protocol", v3.
"""

from __future__ import annotations

from dataclasses import dataclass

from scalefall.control.catalog import Resource


@dataclass(slots=True, frozen=True)
class Request:
    """A client's request for one type, an acknowledgement (ACK) or a rejection (NACK)."""

    type: str  # the type URL
    nonce: str = ""  # the nonce of the response that it answers; empty for none
    names: tuple[str, ...] = ()  # state of the world: all subscribed names; incremental: newly subscribed ones
    unsubscribed: tuple[str, ...] = ()  # incremental only
    initial_versions: tuple[tuple[str, str], ...] = ()  # incremental only: names and versions that the client has
    error: str | None = None  # the reason of a rejection


@dataclass(slots=True, frozen=True)
class Response:
    """Resources of one type."""

    type: str  # the type URL
    nonce: str
    version: str
    resources: tuple[Resource, ...]
    removed: tuple[str, ...] = ()  # incremental only
    is_heartbeat: bool = False  # holds names, versions and times to live, without bodies


@dataclass(slots=True, frozen=True)
class ResponseRejected:
    """A client's rejection, for the log; the client keeps its previous versions."""

    type: str  # the type URL
    names: tuple[str, ...]
    text: str  # the client's reason, truncated to MAX_ERROR_TEXT


@dataclass(slots=True, frozen=True)
class CloseStream:
    """The end of a stream whose client violated the protocol or a limit, with the reason."""

    reason: str


StreamAction = Response | ResponseRejected | CloseStream

"""All open xDS streams and their heartbeats. No I/O, no clock; times are microseconds."""

from __future__ import annotations

from collections.abc import Iterable, Iterator
from typing import NamedTuple

from scalefall.control.catalog import Catalog, ResourceKey
from scalefall.control.discovery_messages import Request, StreamAction
from scalefall.control.grants import QuotaAction
from scalefall.control.heartbeat_schedule import HeartbeatSchedule
from scalefall.control.streams import XdsStream


class Outgoing(NamedTuple):
    """An action on a stream: a message to send, or its end."""

    stream: int
    action: StreamAction | QuotaAction


class ClientStreams:
    """The open resource streams, by number."""

    def __init__(self, catalog: Catalog) -> None:
        """Start without streams; `catalog` serves all of them."""
        self._catalog = catalog
        self._streams: dict[int, XdsStream] = {}
        self._heartbeats = HeartbeatSchedule()

    def open(self, stream: int, node: str, incremental: bool, supports_ttl: bool) -> None:
        """Add a node's stream; see XdsStream for the arguments."""
        self._streams[stream] = XdsStream(self._catalog, node, incremental, supports_ttl)

    def close(self, stream: int) -> None:
        """Remove a stream; do nothing if it is unknown."""
        self._streams.pop(stream, None)

    def __iter__(self) -> Iterator[int]:
        """Iterate over the numbers of the open streams, in the order of opening."""
        return iter(self._streams)

    def repeats_names(self, stream: int) -> bool:
        """Return whether the last request on the stream had the names of the one before."""
        return self._streams[stream].repeats_names

    def request(self, stream: int, request: Request, now: int) -> list[Outgoing]:
        """Handle a request, an acknowledgement or a rejection; return the messages to send."""
        client = self._streams[stream]
        outgoing = [Outgoing(stream, action) for action in client.request(request)]
        self._heartbeats.add(stream, client.next_heartbeat(now))
        return outgoing

    def resources_changed(self, stream: int, keys: Iterable[ResourceKey]) -> list[Outgoing]:
        """Return the messages for a stream after a change at these keys, in the catalog or in its node's view."""
        return [Outgoing(stream, action) for action in self._streams[stream].changed(keys)]

    def heartbeats(self, now: int) -> list[Outgoing]:
        """Return the heartbeats that are due."""
        outgoing: list[Outgoing] = []
        for stream in self._heartbeats.pop_due(now):
            client = self._streams.get(stream)
            if client is not None:
                outgoing += [Outgoing(stream, action) for action in client.heartbeats(now)]
                self._heartbeats.add(stream, client.next_heartbeat(now))
        return outgoing

    @property
    def next_heartbeat(self) -> int | None:
        """Return when `heartbeats` has to be called; None while none is scheduled."""
        return self._heartbeats.next_time

"""All open xDS streams, with the heartbeats that are due on them. No I/O, no clock; times are microseconds."""

from __future__ import annotations

from collections.abc import Iterable, Iterator
from typing import NamedTuple

from scalefall.control.catalog import Catalog, ResourceKey
from scalefall.control.discovery_messages import Request, StreamAction
from scalefall.control.grants import QuotaAction
from scalefall.control.heartbeat_schedule import HeartbeatSchedule
from scalefall.control.streams import XdsStream


class Outgoing(NamedTuple):
    """What is to be sent on a stream, or done to it."""

    stream: int
    action: StreamAction | QuotaAction


class ClientStreams:
    """The open streams of resources, by number."""

    def __init__(self, catalog: Catalog) -> None:
        """Start without streams; all are of this catalog."""
        self._catalog = catalog
        self._streams: dict[int, XdsStream] = {}
        self._heartbeats = HeartbeatSchedule()

    def open(self, stream: int, node: str, incremental: bool, supports_ttl: bool) -> None:
        """A node has opened a stream; see XdsStream for the arguments."""
        self._streams[stream] = XdsStream(self._catalog, node, incremental, supports_ttl)

    def close(self, stream: int) -> None:
        """Forget a stream; nothing if it is none of these."""
        self._streams.pop(stream, None)

    def __iter__(self) -> Iterator[int]:
        """The numbers of the open streams, in the order in which they were opened."""
        return iter(self._streams)

    def repeats_names(self, stream: int) -> bool:
        """Whether the last request on the stream had the same names as the one before."""
        return self._streams[stream].repeats_names

    def request(self, stream: int, request: Request, now: int) -> list[Outgoing]:
        """Take in a request, an acknowledgement or a rejection; what follows from it."""
        client = self._streams[stream]
        outgoing = [Outgoing(stream, action) for action in client.request(request)]
        self._heartbeats.add(stream, client.next_heartbeat(now))
        return outgoing

    def resources_changed(self, stream: int, keys: Iterable[ResourceKey]) -> list[Outgoing]:
        """What the stream is sent as the catalog has changed there, or what its node may have."""
        return [Outgoing(stream, action) for action in self._streams[stream].changed(keys)]

    def heartbeats(self, now: int) -> list[Outgoing]:
        """The heartbeats whose time has come."""
        outgoing: list[Outgoing] = []
        for stream in self._heartbeats.pop_due(now):
            client = self._streams.get(stream)
            if client is not None:
                outgoing += [Outgoing(stream, action) for action in client.heartbeats(now)]
                self._heartbeats.add(stream, client.next_heartbeat(now))
        return outgoing

    @property
    def next_heartbeat(self) -> int | None:
        """When `heartbeats` has to be called; None while there are none to come."""
        return self._heartbeats.next_time

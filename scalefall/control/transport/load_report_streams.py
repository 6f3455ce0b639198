"""Load report streams (LRS): the results of clients' calls. Source: envoy.service.load_stats.v3."""

from __future__ import annotations

from collections.abc import Iterable

from envoy.service.load_stats.v3 import lrs_pb2

from scalefall.control.transport import clock
from scalefall.control.transport.leadership import LeaderState
from scalefall.control.transport.peers import Peer, PeerRegistry
from scalefall.control.transport.quotas import Quotas
from scalefall.control.transport.reports import LoadReportIndex
from scalefall.control.transport.service_driver import ServiceDriver
from scalefall.control.transport.services import AnyControlService
from scalefall.control.transport.stream_reader import read_messages
from scalefall.net.list_stream import Entry


class LoadReportStreams:
    """Serves load report streams."""

    def __init__(
        self,
        service: AnyControlService,
        quotas: Quotas,
        peers: PeerRegistry,
        driver: ServiceDriver,
        leader_state: LeaderState,
        report_us: int,
    ) -> None:
        """Store the parts that the streams use.

        Args:
            service: Receives the calls as events.
            quotas: Counts the calls where shards are placed by their load.
            peers: The open streams.
            driver: Runs the steps that the reports make due.
            leader_state: This process's role.
            report_us: The interval at which clients are to report.
        """
        self._service = service
        self._quotas = quotas
        self._peers = peers
        self._driver = driver
        self._leader_state = leader_state
        self._report_us = report_us
        self._index = LoadReportIndex(())

    def use_endpoints(self, entries: Iterable[Entry]) -> None:
        """Set the fleet's endpoints, to which reports are matched by address."""
        self._index = LoadReportIndex(entries)

    async def serve(self, peer: Peer) -> None:
        """Serve one stream."""
        async for message in read_messages(peer, lrs_pb2.LoadStatsRequest):
            self._leader_state.require_leadership()
            if not peer.node:
                self._peers.identify(peer, message.node.id)
                peer.send(self._first_response())
            now_us = clock.monotonic_us()
            self._quotas.count_calls(self._index, message.cluster_stats)
            calls = list(self._index.events(message.cluster_stats, now_us))
            if calls:
                self._service.calls_reported(calls, now_us)
                self._driver.schedule()

    def _first_response(self) -> bytes:
        """Return the request for reports of all clusters by endpoint, at the interval of the options."""
        response = lrs_pb2.LoadStatsResponse(send_all_clusters=True, report_endpoint_granularity=True)
        response.load_reporting_interval.FromMicroseconds(self._report_us)
        data: bytes = response.SerializeToString()
        return data

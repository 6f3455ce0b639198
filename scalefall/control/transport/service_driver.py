"""Runs the service in real time: its steps when they are due, its messages to clients, its log events."""

from __future__ import annotations

import asyncio
from collections.abc import Iterable

import grpc

from scalefall.assignment.service import ShardGrants
from scalefall.control.client_streams import Outgoing
from scalefall.control.grants import Grant, QuotaAction
from scalefall.control.streams import CloseStream, Response, ResponseRejected, StreamAction
from scalefall.control.transport import clock, event_log, wire
from scalefall.control.transport.leadership import LeaderState
from scalefall.control.transport.peers import Peer, PeerRegistry
from scalefall.control.transport.quotas import Quotas
from scalefall.control.transport.services import AnyControlService
from scalefall.net.logs import log


class ServiceDriver:
    """Runs a service's steps by one timer, and puts its messages into the peers' queues."""

    def __init__(
        self, service: AnyControlService, quotas: Quotas, peers: PeerRegistry, leader_state: LeaderState
    ) -> None:
        """Store the service and its peers; no step runs before start()."""
        self._service = service
        self._quotas = quotas
        self._peers = peers
        self._leader_state = leader_state
        self._encoder = wire.ResponseEncoder()
        self._is_started = False
        self._timer: asyncio.TimerHandle | None = None
        self._timer_at_us = 0

    def start(self) -> None:
        """Allow schedule() to set the timer."""
        self._is_started = True

    def stop(self) -> None:
        """Cancel the next step."""
        if self._timer is not None:
            self._timer.cancel()

    # -- steps

    def schedule(self) -> None:
        """Set the timer to the service's next deadline; before start(), do nothing."""
        if not self._is_started:
            return
        now_us = clock.monotonic_us()
        deadline_us = self._service.next_deadline(now_us)
        if self._timer is not None:
            if self._timer_at_us <= deadline_us:
                return  # it fires early enough, and then schedules the next step
            self._timer.cancel()
        self._timer_at_us = deadline_us
        self._timer = asyncio.get_running_loop().call_later((deadline_us - now_us) / 1e6, self._step)

    def _step(self) -> None:
        self._timer = None
        self.send(self._service.step(clock.monotonic_us()))
        self._leader_state.reserve_numbers()
        self.write_events()
        self.schedule()

    def write_events(self) -> None:
        """Write the events that the service has emitted since the last call to the log."""
        events, self._service.emitted_events = self._service.emitted_events, []
        event_log.write_events(events)

    def stream_closed(self, peer: Peer) -> None:
        """Remove a closed stream and notify the service, whichever kind of stream it was."""
        self._peers.remove(peer)
        self._service.resource_stream_closed(peer.number)
        self._service.quota_stream_closed(peer.number, clock.monotonic_us())
        self.write_events()
        if self._timer is not None:
            self.schedule()

    # -- outgoing messages

    def send(self, outgoing: Iterable[Outgoing]) -> None:
        """Deliver the service's actions to their streams; those for closed streams are dropped."""
        for number, action in outgoing:
            peer = self._peers.get(number)
            if peer is not None:
                self._deliver(peer, action)

    def _deliver(self, peer: Peer, action: StreamAction | QuotaAction) -> None:
        match action:
            case Response():
                peer.send(self._encoder.encode(action, peer.incremental, peer.supports_ttl))
            case Grant() | ShardGrants():
                data = self._quotas.grant_message(peer.quota, action)
                if data is not None and self._leader_state.is_leader:
                    peer.send(data)
            case ResponseRejected():
                _log_rejection(peer, action)
            case CloseStream():
                peer.close(grpc.StatusCode.INVALID_ARGUMENT, action.reason)


def _log_rejection(peer: Peer, rejection: ResponseRejected) -> None:
    log.warning(
        "rejected: node %s keeps its previous version of %s: %s",
        peer.node,
        ", ".join(rejection.names),
        rejection.text,
        extra={"fields": {"node": peer.node, "type": rejection.type, "names": rejection.names}},
    )

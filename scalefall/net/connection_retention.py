"""How long an idle connection is kept at an endpoint that takes few: a decision without sockets or clocks.

Idle connections count among the few that an endpoint takes from all senders. One sender's are harmless; where each of
N senders keeps its own for as long as the endpoint lets it, those that hold one never learn that the others are
turned away. So each keeps its connection for an N-th of the time, and for less where it is turned away itself; and
where its own calls come too seldom for that time to meet the next one, it keeps none: kept in vain, a connection
costs a place at the endpoint and spares no handshake.
"""

from __future__ import annotations

LESS, MORE = 0.5, 1.25  # times the span, for each connection that was turned away or taken
NEWEST = 0.25  # weight of the newest gap between calls in their mean
SURE = 2.0  # the span must be so many mean gaps for the connection to be kept at all


class ConnectionRetention:
    def __init__(self, senders: int) -> None:
        self._senders = max(1, senders)
        self._shares: dict[object, float] = {}  # of the span, by place, where it is less than all
        self._gaps: dict[object, tuple[int, float]] = {}  # the last call's begin, and the mean gap, by place

    def call_started(self, place: object, now: int) -> None:
        """A call begins there; now in microseconds."""
        last, gap = self._gaps.get(place, (now, 0.0))
        self._gaps[place] = now, gap + NEWEST * (now - last - gap) if gap else float(now - last)

    def retention_us(self, place: object, idle_close: int) -> int:
        """Microseconds for which an idle connection is kept there; the endpoint closes it after idle_close."""
        retention_us = idle_close / self._senders * self._shares.get(place, 1.0)
        _, gap = self._gaps.get(place, (0, 0.0))
        return (
            int(retention_us) if self._senders == 1 or SURE * gap <= retention_us else 0
        )  # alone it is in nobody's way

    def connection_rejected(self, place: object) -> None:
        self._shares[place] = LESS * self._shares.get(place, 1.0)

    def connection_accepted(self, place: object) -> None:
        """A new connection was let in."""
        share = MORE * self._shares.get(place, 1.0)
        if share < 1:
            self._shares[place] = share
        else:
            self._shares.pop(place, None)

    def forget(self, place: object) -> None:
        """The endpoint has gone."""
        self._shares.pop(place, None)
        self._gaps.pop(place, None)

"""How long an idle connection is kept at an endpoint that takes few: a decision without sockets or clocks.

Idle connections count among the few that an endpoint takes from all senders. One sender's are harmless; where each of
N senders keeps its own for as long as the endpoint lets it, those that hold one never learn that the others are
turned away. So each keeps its connection for an N-th of the time, and for less where it is turned away itself.
"""
from __future__ import annotations

LESS, MORE = 0.5, 1.25          # times the span, for each connection that was turned away or taken


class Keeping:
    def __init__(self, senders: int) -> None:
        self._senders = max(1, senders)
        self._shares: dict[object, float] = {}      # of the span, by place, where it is less than all

    def span(self, place: object, idle_close: int) -> int:
        """Microseconds for which an idle connection is kept there; the endpoint closes it after idle_close."""
        return int(idle_close / self._senders * self._shares.get(place, 1.0))

    def turned_away(self, place: object) -> None:
        self._shares[place] = LESS * self._shares.get(place, 1.0)

    def taken(self, place: object) -> None:
        """A new connection was let in."""
        share = MORE * self._shares.get(place, 1.0)
        if share < 1:
            self._shares[place] = share
        else:
            self._shares.pop(place, None)

    def forget(self, place: object) -> None:
        """The endpoint has gone."""
        self._shares.pop(place, None)

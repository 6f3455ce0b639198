"""The connection of one process to the control service in the model: bytes with a seeded delay, counted.

A link preserves the order of the messages of one direction. While it is cut, messages are buffered, as TCP would
retransmit them; if it heals in time, all of them arrive. A link that is still cut after KEEPALIVE_US is reset: buffered
messages are lost, and both ends are notified. Messages in transit when a link is closed or reset are lost. A message
counts when it is sent on a link that is not cut.
"""

from __future__ import annotations

import random
from collections.abc import Callable
from dataclasses import dataclass

from scalefall.lab.hollow.clock import Timer, VirtualClock
from scalefall.lab.proxy.meter import Direction, Kind, Meter

KEEPALIVE_US = 15_000_000  # keepalive time plus timeout of control/transport/server.py and lab/proxy/__main__.py
MIN_DELAY_US = 200  # of one message, as in lab/world.py
MAX_DELAY_US = 3_000

Deliver = Callable[[bytes], None]


@dataclass(slots=True, frozen=True)
class _Message:
    number: int  # in sending order
    direction: Direction
    kind: Kind
    data: bytes
    deliver: Deliver


class Link:
    """One connection to the control service."""

    def __init__(self, clock: VirtualClock, random_: random.Random, meters: tuple[Meter, ...]) -> None:
        """Start connected; each of the meters counts the messages sent on it."""
        self._clock, self._random, self._meters = clock, random_, meters
        self._last_arrival = {Direction.UP: 0, Direction.DOWN: 0}  # arrival of the last message in each direction
        self._epoch = 0  # of the connection: messages of an earlier one are lost
        self._sent = 0
        self._buffered: list[_Message] = []
        self._counted: set[int] = set()  # numbers of buffered messages that were sent before the cut
        self._keepalive: Timer | None = None
        self.is_cut = False
        self.on_reset: Callable[[], None] = lambda: None

    def carry(self, direction: Direction, kind: Kind, data: bytes, deliver: Deliver) -> None:
        self._sent += 1
        message = _Message(self._sent, direction, kind, data, deliver)
        if self.is_cut:
            self._buffered.append(message)
        else:
            self._count(message)
            self._send(message)

    def cut(self) -> None:
        """Stop delivery in both directions; neither end is notified until the keepalive expires."""
        if not self.is_cut:
            self.is_cut = True
            self._keepalive = self._clock.after(KEEPALIVE_US, self.reset)

    def heal(self) -> None:
        if not self.is_cut:
            return
        self.is_cut = False
        self._keepalive.cancel()
        buffered, self._buffered = sorted(self._buffered, key=lambda message: message.number), []
        for message in buffered:
            if message.number not in self._counted:
                self._count(message)
            self._send(message)
        self._counted.clear()

    def reset(self) -> None:
        """Close the connection and notify both ends. The link may still be cut."""
        self.close()
        self.on_reset()

    def close(self) -> None:
        """Drop messages in transit and buffered ones; neither end is notified."""
        self._epoch += 1
        self._buffered.clear()
        self._counted.clear()

    def _count(self, message: _Message) -> None:
        for meter in self._meters:
            meter.add(message.direction, message.kind, len(message.data))

    def _send(self, message: _Message) -> None:
        delay = self._random.randint(MIN_DELAY_US, MAX_DELAY_US)
        arrival = self._last_arrival[message.direction] = max(
            self._last_arrival[message.direction], self._clock.now + delay
        )
        epoch = self._epoch
        self._clock.at(arrival, lambda: self._arrive(epoch, message))

    def _arrive(self, epoch: int, message: _Message) -> None:
        if epoch != self._epoch:
            return
        if self.is_cut:
            self._buffered.append(message)
            self._counted.add(message.number)
        else:
            message.deliver(message.data)

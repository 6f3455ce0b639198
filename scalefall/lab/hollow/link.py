"""The connection of one process to control in the model: bytes with a seeded delay, counted.

Theory of operation. A link keeps the order of the messages of one direction. While it is cut, what is sent is held, as
TCP would send it again; if it is healed in time, all of it arrives. A link that is still cut KEEPALIVE_US after the cut
is reset: what was held is lost and both ends are told. What is under way when a link is closed or reset is lost.
Bytes are counted when they go out on a link that stands.
"""

from __future__ import annotations

import random
from collections.abc import Callable
from dataclasses import dataclass

from scalefall.lab.hollow.clock import Timer, VirtualClock
from scalefall.lab.proxy.meter import Direction, Kind, Meter

KEEPALIVE_US = 15_000_000  # keepalive time and timeout of control/transport/server.py and lab/proxy/__main__.py
MIN_DELAY_US, MAX_DELAY_US = 200, 3_000  # of one message, as in lab/world.py

Deliver = Callable[[bytes], None]


@dataclass(slots=True, frozen=True)
class _Message:
    number: int  # in the order of sending
    direction: Direction
    kind: Kind
    data: bytes
    deliver: Deliver


class Link:
    def __init__(self, clock: VirtualClock, random_: random.Random, meters: tuple[Meter, ...]) -> None:
        """Each of the meters counts what goes over it."""
        self._clock, self._random, self._meters = clock, random_, meters
        self._last = {Direction.UP: 0, Direction.DOWN: 0}  # when the last message of a direction arrives
        self._epoch = 0  # of the connection: what is under way from an earlier one is lost
        self._sent = 0
        self._held: list[_Message] = []
        self._counted: set[int] = set()  # numbers of those held that went out before the cut
        self._keepalive: Timer | None = None
        self.is_cut = False
        self.on_reset: Callable[[], None] = lambda: None

    def carry(self, direction: Direction, kind: Kind, data: bytes, deliver: Deliver) -> None:
        self._sent += 1
        message = _Message(self._sent, direction, kind, data, deliver)
        if self.is_cut:
            self._held.append(message)
        else:
            self._count(message)
            self._send(message)

    def cut(self) -> None:
        """Silence in both directions; neither end is told until its keepalive ends."""
        if not self.is_cut:
            self.is_cut = True
            self._keepalive = self._clock.after(KEEPALIVE_US, self.reset)

    def heal(self) -> None:
        if not self.is_cut:
            return
        self.is_cut = False
        self._keepalive.cancel()
        held, self._held = sorted(self._held, key=lambda message: message.number), []
        for message in held:
            if message.number not in self._counted:
                self._count(message)
            self._send(message)
        self._counted.clear()

    def reset(self) -> None:
        """Both ends are told that the connection is gone. The link may still be cut."""
        self.close()
        self.on_reset()

    def close(self) -> None:
        """What is under way or held is lost, and nobody is told."""
        self._epoch += 1
        self._held.clear()
        self._counted.clear()

    def _count(self, message: _Message) -> None:
        for meter in self._meters:
            meter.add(message.direction, message.kind, len(message.data))

    def _send(self, message: _Message) -> None:
        delay = self._random.randint(MIN_DELAY_US, MAX_DELAY_US)
        at = self._last[message.direction] = max(self._last[message.direction], self._clock.now + delay)
        epoch = self._epoch
        self._clock.at(at, lambda: self._arrive(epoch, message))

    def _arrive(self, epoch: int, message: _Message) -> None:
        if epoch != self._epoch:
            return
        if self.is_cut:
            self._held.append(message)
            self._counted.add(message.number)
        else:
            message.deliver(message.data)

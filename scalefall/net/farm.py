"""The farm: discovery's list of endpoints, kept up by a watch. What it learns goes to the host as Listed events."""
from __future__ import annotations

import json
import socket
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

from scalefall import interface as i
from scalefall.net import http, streams
from scalefall.net.checks import log
from scalefall.net.scheduler import Scheduler, Task

SECOND = 1_000_000
DIAL_US = SECOND                # a dial to discovery is given up after this
FIRST_US = 3 * SECOND           # and a watch that has not answered after this
BEAT_US = 2 * SECOND            # discovery sends a line at least so often
SILENT_US = 3 * SECOND          # a watch with no line for this long is broken: told counts from 6 s on
MOVING_US, MOVING_STEP_US = 3 * SECOND, SECOND // 10    # after a move it is asked again at once for so long
FORGET_US = 60 * SECOND         # longer than any message may take: no pass is out to an endpoint gone for so long
MOST_LINE = 1024 * 1024
STATES = {"in_service": i.Status.READY, "terminating": i.Status.DRAINING, "terminated": i.Status.GONE}


@dataclass(slots=True, frozen=True)
class Entry:
    """One endpoint as the list has it: what the module is told, and where to dial."""
    endpoint: i.Endpoint
    address: tuple[str, int]
    host: str = ""          # what it is called in a request's Host; else its id
    dial_us: int = 0        # how long a dial to it may take, and when it closes an idle connection; 0: as the
    idle_us: int = 0        # settings say


@dataclass(slots=True, frozen=True)
class Roll:
    """The list, or what of it has changed, at a version."""
    seq: int
    whole: bool
    entries: list[Entry]


def read_roll(table: Any) -> Roll:
    """Discovery's object as a Roll; a ValueError names what is wrong."""
    try:
        seq, whole = table["seq"], table.get("whole", False)
        entries = [_read_entry(row) for row in table["hosts"]]
        if isinstance(seq, bool) or not isinstance(seq, int):
            raise ValueError(f"seq must be a whole number, not {seq!r}")
    except (TypeError, KeyError, AttributeError) as error:
        raise ValueError(f"list of endpoints: missing or wrong value ({error!r})") from error
    return Roll(seq, bool(whole), entries)


def _read_entry(row: Any) -> Entry:
    host, port = row["dial"].rsplit(":", 1)
    if not isinstance(row["host"], str) or not isinstance(row["block"], int) or row["health"] not in STATES:
        raise ValueError(f"list of endpoints: {row['host']!r} has a wrong value")
    return Entry(i.Endpoint(row["host"], str(row["site"]), str(row["class"]), row["block"], STATES[row["health"]],
                            float(row.get("share") or 0)), (host, int(port)))


class Farm:
    def __init__(self, scheduler: Scheduler, discovery: tuple[str, int] | None, known: Roll,
                 tell: Callable[[i.Listed], None]) -> None:
        self._scheduler, self._discovery, self._tell = scheduler, discovery, tell
        self.entries: dict[str, Entry] = {}
        self.left_at: dict[str, int] = {}       # when we were told that an endpoint drains or is gone
        self._gone: dict[str, int] = {}         # when we were told that it is gone, in this order
        self._owners: dict[tuple[str, int], str] = {}   # the endpoint in service that was told last at an address
        self.seq, self._watching = known.seq, False
        self._task: Task | None = None
        self._moved_at = -MOVING_US
        self._keep(known)

    def known(self) -> i.Listed:
        """The list as this sender had it last; it may be old."""
        return i.Listed(i.ListKind.CACHED, [entry.endpoint for entry in self.entries.values()])

    def serves(self, destination: int) -> bool:
        """Whether the list names, or has lately named, an endpoint of the destination; an empty one tells nothing."""
        return not self.entries or any(entry.endpoint.destination == destination for entry in self.entries.values())

    def replaced(self, entry: Entry) -> bool:
        """Whether a call meant for this endpoint, which has left, would reach another one at its address."""
        name = entry.endpoint.id
        return name in self.left_at and self._owners.get(entry.address, name) != name

    def subscribe(self) -> None:
        """Open a watch, unless one is open; its failure is one FAILED event, and the module says when to ask anew."""
        if not self._watching:
            self._watching = True
            self._task = self._scheduler.spawn(self._watch)

    def move(self, discovery: tuple[str, int]) -> None:
        """Discovery is at another address now: watch it there at once, from its whole list, as it may number its
        versions anew. What was watched or asked for there is no failure that the module should hear of."""
        if discovery == self._discovery:
            return
        self._discovery, self.seq, self._moved_at = discovery, 0, self._scheduler.now()
        if self._watching:
            self._scheduler.wake(self._task, streams.Interrupted("discovery has moved"))
        elif self._task is not None:    # the module waits to ask again after a failure at the old address
            self.subscribe()

    def _keep(self, roll: Roll) -> None:
        now = self._scheduler.now()
        if roll.whole:
            for gone in self.entries.keys() - {entry.endpoint.id for entry in roll.entries}:
                self.left_at.setdefault(gone, now)      # what is not in the whole list is gone
                self._gone.setdefault(gone, now)
        for entry in roll.entries:
            name = entry.endpoint.id
            self.entries[name] = entry
            if entry.endpoint.status is i.Status.READY:
                self.left_at.pop(name, None)
                self._owners[entry.address] = name
            else:
                self.left_at.setdefault(name, now)
            self._gone.pop(name, None)
            if entry.endpoint.status is i.Status.GONE:
                self._gone[name] = now
        self.seq = roll.seq
        self._forget(now)

    def _forget(self, now: int) -> None:
        """Ids and addresses are ever new: what went so long ago that nothing is out there is forgotten."""
        while self._gone and next(iter(self._gone.values())) < now - FORGET_US:
            name = next(iter(self._gone))
            address = self.entries.pop(name).address
            del self._gone[name], self.left_at[name]
            if self._owners.get(address) == name:
                del self._owners[address]

    def _watch(self) -> None:
        why, moved = "", True
        while moved:
            at = self._discovery
            why = self._watch_at(at)
            moved = at != self._discovery
            if not moved and self._scheduler.now() < self._moved_at + MOVING_US:
                moved = True        # it may come up there a moment later than we were told
                self._scheduler.sleep(MOVING_STEP_US)
        self._watching = False
        log.info("watch on the farm broken: %s", why)
        self._tell(i.Listed(i.ListKind.FAILED))

    def _watch_at(self, address: tuple[str, int]) -> str:
        """Follow the watch there to its end; says why it ended."""
        sock = None
        try:
            sock = streams.dial(self._scheduler, address, self._scheduler.now() + DIAL_US)
            self._follow(sock, address)
        except (OSError, http.Malformed, ValueError, RecursionError) as error:
            return str(error) or type(error).__name__
        finally:
            if sock is not None:
                sock.close()
        return "ended"

    def _follow(self, sock: socket.socket, address: tuple[str, int]) -> None:
        streams.send(self._scheduler, sock, http.request(
            "GET", f"/v1/servers?stream=1&index={self.seq}", "discovery", []), self._scheduler.now() + DIAL_US)
        reader, text, until = http.AnswerReader(MOST_LINE), b"", self._scheduler.now() + FIRST_US
        while not reader.complete:
            if address != self._discovery:      # moved while this task was not paused, so nothing woke it
                raise OSError("discovery has moved")
            data = streams.receive(self._scheduler, sock, until)
            if not data:
                raise OSError("discovery closed it")
            reader.feed(data)
            if not reader.head_done:
                continue
            if reader.status != 200:
                raise OSError(f"discovery answered {reader.status}")
            *lines, text = (text + reader.take()).split(b"\n")
            if len(text) > MOST_LINE:
                raise ValueError("a line of the list is too long")
            for line in lines:
                until = self._scheduler.now() + SILENT_US
                if line.strip():
                    self._learn(read_roll(json.loads(line)))

    def _learn(self, roll: Roll) -> None:
        if not roll.whole and roll.seq <= self.seq:
            return      # what we have already
        log.info("farm: version %d, %s %d", roll.seq, "all" if roll.whole else "changed", len(roll.entries))
        self._keep(roll)
        kind = i.ListKind.WHOLE if roll.whole else i.ListKind.CHANGES
        self._tell(i.Listed(kind, [entry.endpoint for entry in roll.entries]))

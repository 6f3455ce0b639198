"""Discovery's list of endpoints, kept up by a watch. What it learns goes to the host as Listed events."""

from __future__ import annotations

import random
import socket
from collections import Counter
from collections.abc import Callable
from dataclasses import replace

from scalefall.net import http, streams
from scalefall.net.list_stream import Entry, ListUpdate, ObjectStream, read_list
from scalefall.net.logs import log
from scalefall.net.scheduler import Scheduler, Task
from scalefall.policy.events import Endpoint, EndpointListUpdate, EndpointStatus, ListUpdateKind

SECOND = 1_000_000
DIAL_US = SECOND  # a dial to discovery is given up after this
FIRST_US = 3 * SECOND  # and a watch that has not answered after this
BEAT_US = 2 * SECOND  # discovery sends a line at least so often
SILENT_US = 3 * SECOND  # a watch with no line for this long is broken: told counts from 6 s on
BULK = 64 * 1024  # of an object that is still coming, for each of which it may take so long again
MOVING_US, MOVING_STEP_US = 3 * SECOND, SECOND // 10  # after a move it is asked again at once for so long
FORGET_US = 60 * SECOND  # an endpoint gone for so long is forgotten, or for as long as any message may take
MOST_LIST = 1024 * 1024  # bytes of one object of the list, where the settings' memory allows no more
# A change counts as told 6 s after discovery had it and could be reached: docs/design/races.md adds these up.
SILENT_SPREAD_US = SECOND // 2  # within this a watch that fell silent is opened anew, and
CLOSED_SPREAD_US = 2 * SECOND  # within this one that was heard and broke otherwise: not all senders in one moment
AGAIN_US = SECOND // 20  # doubled by each try that fails, up to these, where lists are pushed and where asked for
MOST_AGAIN_US, MOST_RETRY_US = SECOND // 2, 4 * SECOND // 5
PIECE, MANY = 32 * 1024, 100  # bytes and entries of a list after which the others have their turn
UNHEARD_US = 2 * SECOND  # and so long after a start the old list is taken as it is, if nothing has been heard


class EndpointList:
    def __init__(
        self,
        scheduler: Scheduler,
        discovery: tuple[str, int] | None,
        known: ListUpdate,
        tell: Callable[[EndpointListUpdate], None],
        pushed: bool = False,
        most: int = MOST_LIST,
        seed: int = 0,
        forget_us: int = FORGET_US,
    ) -> None:
        """Where lists are pushed, what discovery has counts as told whether or not a watch is open: so one is open all
        the time, and what was known before is told only when discovery has said what of it still holds."""
        self._scheduler, self._discovery, self._tell = scheduler, discovery, tell
        self._pushed, self._most, self._introduced = pushed, max(most, MOST_LIST), not pushed
        self._forget_us, self._random = max(forget_us, FORGET_US), random.Random(seed)
        self._heard_at, self._silent = -1, False  # when a watch last said anything; it broke by saying nothing
        self._failed = False  # the module was told so last
        self.entries: dict[str, Entry] = {}
        self._served: Counter[int] = Counter()  # entries by destination
        self.left_at: dict[str, int] = {}  # when we were told that an endpoint drains or is gone
        self._out: set[str] = set()  # taken out by the operators: they drain, whatever the list says
        self._listed: dict[str, Entry] = {}  # what it says of these
        self._gone: dict[str, int] = {}  # when we were told that it is gone, in this order
        self._owners: dict[tuple[str, int], str] = {}  # the endpoint in service that was told last at an address
        self.seq = known.seq
        self.unread, self._said = 0, ()  # entries that could not be read
        self._task: Task | None = None
        self._moved_at = -MOVING_US
        self._keep(known)

    def start(self) -> None:
        if self._pushed:
            self._scheduler.call_at(self._scheduler.now() + UNHEARD_US, self._introduce)
        else:
            self._tell(self.known())
        if self._pushed or not self.entries:
            self.subscribe()  # nothing can go out before the list comes: not after the others' turns

    def _introduce(self) -> None:
        """Once, where lists are pushed: what was known before goes to the module, ahead of what is new."""
        if not self._introduced:
            self._introduced = True
            self._tell(self.known())

    def known(self) -> EndpointListUpdate:
        """The list as this sender had it last; it may be old."""
        return EndpointListUpdate(ListUpdateKind.CACHED, [entry.endpoint for entry in self.entries.values()])

    def serves(self, destination: int) -> bool:
        """Whether the list names, or has lately named, an endpoint of the destination; an empty one tells nothing."""
        return not self.entries or destination in self._served

    def keep_for(self, forget_us: int) -> None:
        """Messages may take longer now; what is out may still be there for as long as before."""
        self._forget_us = max(self._forget_us, forget_us)

    def names(self, name: str) -> bool:
        """Whether the list has the endpoint, and has not told that it is gone."""
        return name in self.entries and name not in self._gone

    def take_out(self, names: set[str]) -> None:
        """These endpoints drain from now on, also where the list names them only later."""
        self._out |= names
        self._again(names)

    def put_back(self, name: str) -> None:
        """The list holds for it again."""
        self._out.discard(name)
        self._again({name})

    def _again(self, names: set[str]) -> None:
        known = sorted(name for name in names if self.names(name))
        if known:
            self._keep(
                ListUpdate(self.seq, False, [self._listed.pop(name, None) or self.entries[name] for name in known])
            )
            if self._introduced:
                self._tell(EndpointListUpdate(ListUpdateKind.CHANGES, self._endpoints(known)))

    def _endpoints(self, names: list[str]) -> list[Endpoint]:
        """As the module is told of them: as they are kept."""
        return [self.entries[name].endpoint for name in names]

    def replaced(self, entry: Entry) -> bool:
        """Whether a call meant for this endpoint, which has left, would reach another one at its address."""
        name = entry.endpoint.id
        return name in self.left_at and self._owners.get(entry.address, name) != name

    def subscribe(self) -> None:
        """Open a watch, unless there is one. From then on it is opened anew whenever it breaks: where lists are asked
        for, each failure is one FAILED event, but the module's pause after it may be longer than a change has time."""
        if self._task is None:
            self._task = self._scheduler.spawn(self._watch)

    def move(self, discovery: tuple[str, int]) -> None:
        """Discovery is at another address now: watch it there at once, from its whole list, as it may number its
        versions anew. What was watched or asked for there is no failure that the module should hear of."""
        if discovery == self._discovery:
            return
        self._discovery, self.seq, self._moved_at = discovery, 0, self._scheduler.now()
        if self._task is not None:
            self._scheduler.wake(self._task, streams.Interrupted("discovery has moved"))

    def _keep(self, update: ListUpdate) -> None:
        now = self._scheduler.now()
        if update.whole:
            for gone in self.entries.keys() - {entry.endpoint.id for entry in update.entries} - set(update.unread):
                self._listed.pop(gone, None)
                self.left_at.setdefault(gone, now)  # what is not in the whole list is gone
                self._gone.setdefault(gone, now)
        for entry in update.entries:
            name = entry.endpoint.id
            if name in self._out and entry.endpoint.status is EndpointStatus.READY:
                self._listed[name] = entry
                entry = replace(entry, endpoint=replace(entry.endpoint, status=EndpointStatus.DRAINING))
            else:
                self._listed.pop(name, None)
            self._put(name, entry)
            if entry.endpoint.status is EndpointStatus.READY:
                self.left_at.pop(name, None)
                self._owners[entry.address] = name
            else:
                self.left_at.setdefault(name, now)
            self._gone.pop(name, None)
            if entry.endpoint.status is EndpointStatus.GONE:
                self._gone[name] = now
        self.seq = update.seq
        self._forget(now)

    def _put(self, name: str, entry: Entry | None) -> None:
        old = self.entries.pop(name, None)
        if old is not None:
            self._served[old.endpoint.destination] -= 1
            if not self._served[old.endpoint.destination]:
                del self._served[old.endpoint.destination]
        if entry is not None:
            self.entries[name] = entry
            self._served[entry.endpoint.destination] += 1

    def _forget(self, now: int) -> None:
        """Ids and addresses are ever new: what went so long ago that nothing is out there is forgotten."""
        while self._gone and next(iter(self._gone.values())) < now - self._forget_us:
            name = next(iter(self._gone))
            address = self.entries[name].address
            self._put(name, None)
            self._listed.pop(name, None)
            del self._gone[name], self.left_at[name]
            if self._owners.get(address) == name:
                del self._owners[address]

    def _watch(self) -> None:
        pause = AGAIN_US
        while True:
            at, begun = self._discovery, self._scheduler.now()
            why = self._watch_at(at)
            now = self._scheduler.now()
            if at != self._discovery:
                continue
            if now < self._moved_at + MOVING_US:
                self._scheduler.sleep(MOVING_STEP_US)  # it may come up there a moment later than we were told
                continue
            log.info("watch on the endpoint list broken: %s", why)
            if not self._pushed and not self._silent:
                self._failed = True
                self._tell(EndpointListUpdate(ListUpdateKind.FAILED))
            pause = self._rest(self._heard_at >= begun, pause)

    def _rest(self, heard: bool, pause: int) -> int:
        """Wait until the watch is to be opened anew; gives back the pause that the next one doubles."""
        if self._pushed:
            pause = AGAIN_US if heard else min(2 * pause, MOST_AGAIN_US)
            span = pause * (0.5 + self._random.random())
        elif heard or self._silent:
            pause = AGAIN_US
            span = (SILENT_SPREAD_US if self._silent else CLOSED_SPREAD_US) * self._random.random()
        else:
            pause = min(2 * pause, MOST_RETRY_US)
            span = pause * (1 + self._random.random()) / 2
        self._scheduler.sleep(int(span))
        return pause

    def _watch_at(self, address: tuple[str, int]) -> str:
        """Follow the watch there to its end; says why it ended."""
        sock, self._silent = None, False
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
        streams.send(
            self._scheduler,
            sock,
            http.request("GET", f"/v1/servers?stream=1&index={self.seq}", "discovery", []),
            self._scheduler.now() + DIAL_US,
        )
        reader, objects, first = http.AnswerReader(self._most), ObjectStream(self._most), True
        said_at, most, coming = self._scheduler.now(), FIRST_US, 0
        came_at = said_at
        while not reader.complete:
            self._stays(address)
            until = min(said_at + most * (1 + coming // BULK), came_at + most)
            try:
                data = streams.receive(self._scheduler, sock, until)
            except streams.TimeUp:
                self._silent = reader.head_done  # what it would have told counts as told soon, heard or not
                raise
            self._stays(address)
            if not data:
                raise OSError("discovery closed it")
            came_at = self._scheduler.now()
            reader.feed(data)
            if not reader.head_done:
                continue
            if reader.status != 200:
                raise OSError(f"discovery answered {reader.status}")
            data, between = reader.take(), objects.between
            tables = objects.feed(data)
            for table in tables:
                if len(data) >= PIECE:
                    self._scheduler.sleep(0)  # a long list takes its turns
                update = read_list(table, strict=False)
                if len(update.entries) >= MANY:
                    self._scheduler.sleep(0)
                if first and not update.whole and update.seq < self.seq:
                    self.seq, self._silent = 0, True
                    raise OSError("discovery counts its versions anew")
                first = False
                self._stays(address)
                self._learn(update)
            coming += len(data)
            if tables or data and between and data.isspace():  # a part of an object is no word: it may drip for good
                self._introduce()
                if self._failed:  # an ask that was heard, whether or not anything is new
                    self._failed = False
                    self._tell(EndpointListUpdate(ListUpdateKind.CHANGES, []))
                said_at, most, coming = self._scheduler.now(), SILENT_US, 0
                self._heard_at = said_at
            if len(data) >= PIECE:
                self._scheduler.sleep(0)

    def _stays(self, address: tuple[str, int]) -> None:
        """Moved while this task was not paused, so nothing woke it: the old address counts otherwise than the new one,
        and what it still says must not become the version that the new one is asked from."""
        if address != self._discovery:
            raise OSError("discovery has moved")

    def _learn(self, update: ListUpdate) -> None:
        if update.unread:
            self._unread(update)
        self._introduce()
        if not update.whole and update.seq <= self.seq:
            return  # what we have already
        log.info(
            "endpoint list: version %d, %s %d", update.seq, "all" if update.whole else "changed", len(update.entries)
        )
        self._keep(update)
        self._failed = False
        kind = ListUpdateKind.WHOLE if update.whole else ListUpdateKind.CHANGES
        stays = [name for name in update.unread if update.whole and name in self.entries]
        self._tell(
            EndpointListUpdate(kind, self._endpoints([*(entry.endpoint.id for entry in update.entries), *stays]))
        )

    def _unread(self, update: ListUpdate) -> None:
        """Entries that cannot be read: each costs itself, once in the log, and what was known of it stays."""
        self.unread += len(update.unread)
        if update.unread != self._said:
            self._said = update.unread
            log.warning(
                "endpoint list: %d entries of version %d cannot be read and stay as they were, the first %r",
                len(update.unread),
                update.seq,
                update.unread[0],
            )

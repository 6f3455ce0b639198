"""The platform's front: clients hand in messages over HTTP, one request each, and GET /healthz."""

from __future__ import annotations

import re
import socket
from collections.abc import Callable
from dataclasses import dataclass
from enum import IntEnum
from urllib.parse import unquote

from scalefall.net import http, streams
from scalefall.net.delivery_request import Accepted, AdmissionResult, Conflict, DeliveryRequest, GivenUp, NotServed
from scalefall.net.logs import log
from scalefall.net.scheduler import READ, READY, Scheduler, Task
from scalefall.policy.settings import Idempotency, MessageClass

SECOND = 1_000_000
REQUEST_US = 2 * SECOND  # from a request's first byte to its last, and to a connection's first byte
WRITE_US = 2 * SECOND  # an answer that is not read for so long is given up
IDLE_US = 2050_000  # a connection with no request is closed after this
SPARE_US = 2 * SECOND  # or after this, if room is wanted
SILENT_US = SECOND // 4  # a silent one is closed after this if half of the room is taken
YOUNG_US = SECOND // 20  # and one whose request is not all there yet is not closed for room before this
WAIT_US = SECOND // 200  # until room is looked for again
LINGER_US = SECOND // 2  # after the last answer, what still comes is read and dropped for so long
MAX_LINGER_BYTES = 256 * 1024  # and so much of it
BACKLOG, ACCEPTS = 512, 32  # in the listener's queue; accepted in a row before others have their turn
LINES, LINES_US = 10, 10 * SECOND  # rejected requests that are logged one by one, in each such span
UNREAD_US = 400_000  # a request may lie unread for as long as its client waits for an answer; its time runs,
# and a start shows nothing of it on this process's clock: so much is kept back,
UNREAD_PART, UNREAD_MOST = 20, 2  # or this part of its class's deadline; and this part of what is left at most
LAG_STEPS, LAG_PART = 3, 10  # an end takes a turn, a notice and its answer: each may be late by as much as turns are
UNITS = {"m": 1000, "u": 1}
DEADLINE = re.compile(r"(\d{1,12})(?:\.(\d{1,6})\d*)?([mu])\Z")
ROUTE = re.compile(r"(?:^|[,;\s])dest=(\d{1,9})(?:[,;\s]|\Z)")
WORD = re.compile(r"[!-~]{1,200}\Z")


class State(IntEnum):
    """Of a client's connection; the first of these are closed first when room is wanted."""

    LEAVING = 0  # nothing more is said to it, and what still comes is dropped
    SPARE = 1  # idle for so long that it may be closed (only as a rank)
    SILENT = 2  # nothing has come yet
    READING = 3  # part of a request has come
    ONCE = 4  # idle, and has handed in one message at most (only as a rank)
    YOUNG = 5  # new, or silent or reading for so short a time that it is given some more
    IDLE = 6  # a request has been answered, and nothing has come since
    ASKING = 7  # a request is being answered


@dataclass(slots=True, eq=False)
class Client:
    """One connection of the client's side."""

    sock: socket.socket
    reader: http.RequestReader
    since: int
    task: Task | None = None
    state: State = State.YOUNG  # until its task has had a look
    served: int = 0  # messages handed in
    earliest_arrival_us: int = 0  # what is read next had not come before this

    def turn(self, state: State, now: int) -> None:
        self.state, self.since = state, now


def parse_delivery_request(
    reader: http.RequestReader, classes: dict[str, MessageClass], began: int, unread: int = 0, lag: int = 0
) -> DeliveryRequest:
    """The request as a transaction; MalformedMessage says what it lacks, and with which status. Its first byte was
    read at began and may have come so much earlier as unread says, and turns are late by lag, in microseconds."""
    path = re.sub(r"\Ahttp://[^/?]*", "", reader.target).partition("?")[0]
    name = unquote(path).split("/")[1] if path.startswith("/") else ""
    cls = classes.get(name)
    if cls is None:
        raise http.MalformedMessage(404, "no such path or class")
    if reader.method != "POST":
        raise http.MalformedMessage(405, "only POST")
    fields = reader.fields
    ident, key = fields.get("x-request-id", ""), fields.get("idempotency-key")
    if not WORD.match(ident):
        raise http.MalformedMessage(400, "X-Request-Id is missing or not a word")
    if not WORD.match("-" if key is None and cls.idempotency is not Idempotency.WITH_KEY else key or ""):
        raise http.MalformedMessage(400, "Idempotency-Key is missing or not a word")
    deadline, route = DEADLINE.match(fields.get("x-deadline", "")), ROUTE.findall(fields.get("x-route-to", ""))
    if deadline is None:
        raise http.MalformedMessage(400, "X-Deadline is missing or not a time")
    if len(route) != 1:
        raise http.MalformedMessage(400, "X-Route-To does not name one dest")
    left = min(int(float(f"{deadline[1]}.{deadline[2] or 0}") * UNITS[deadline[3]]), cls.deadline_us)
    unread = min(UNREAD_US, left // UNREAD_MOST, max(unread, cls.deadline_us // UNREAD_PART))
    left -= unread + min(left // LAG_PART, LAG_STEPS * lag)
    return DeliveryRequest(ident, name, int(route[0]), began + left, key, bytes(reader.body))


def encode_admission_result(verdict: AdmissionResult, keep: bool) -> bytes:
    if isinstance(verdict, Accepted):
        return http.answer(202, [], keep=keep)
    if isinstance(verdict, GivenUp):
        return http.answer(500, [], b"given up\n", keep)
    if isinstance(verdict, Conflict):
        return http.answer(409, [], b"the id of another message that is open\n", keep)
    if isinstance(verdict, NotServed):
        return http.answer(404, [], b"the route carries no messages of this class\n", keep)
    seconds = f"{-(-verdict.retry_after_us // 1000) / 1000:.3f}"
    fields = [("Retry-After", seconds)] if verdict.retry_after_us > 0 else []
    return http.answer(503 if verdict.unavailable else 429, fields, keep=keep)


class IngressServer:
    def __init__(
        self,
        scheduler: Scheduler,
        classes: dict[str, MessageClass],
        most: int,
        offer: Callable[[DeliveryRequest], object],
        withdraw: Callable[[DeliveryRequest], object],
    ) -> None:
        self._scheduler, self._classes, self._most = scheduler, classes, most
        self._offer, self._withdraw = offer, withdraw
        self._clients: dict[Client, None] = {}
        self._listener: socket.socket | None = None
        self.shutting_down = self.draining = False
        self._lines, self._unsaid, self._lines_until = 0, 0, 0
        self._quiet_at = 0  # what waits in the listener's queue had not come before this

    def listen(self, address: tuple[str, int]) -> tuple[str, int]:
        self._listener = streams.listen(address, BACKLOG)
        self._accepting = self._scheduler.spawn(self._accept)
        return self._listener.getsockname()

    def close_idle(self) -> None:
        """The process ends soon: answer on, but each connection no further than its present request."""
        self.shutting_down = True
        self._drop_idle()

    def drain(self, on: bool) -> None:
        """The same while the operators empty the sender, until they say that it may be used again."""
        self.draining = on
        if on:
            self._drop_idle()

    def _drop_idle(self) -> None:
        """A request that has come to one in this very moment is still answered."""
        for client in [client for client in self._clients if client.state is State.IDLE]:
            self._scheduler.wake(client.task, streams.Interrupted("no longer wanted"))

    def stop_listening(self) -> None:
        """Whoever waits in the listener's queue is taken in first: closing it would reset them."""
        if self._listener is not None:
            listener, self._listener = self._listener, None
            self._scheduler.wake(self._accepting, None)
            try:
                while len(self._clients) < self._most:
                    self._welcome(listener.accept()[0])
            except OSError:
                pass
            listener.close()

    def shut_down_connections(self) -> None:
        """The process is over in a moment, and a socket that ends with bytes unread takes its last answer along."""
        for client in self._clients:
            try:
                client.sock.shutdown(socket.SHUT_WR)
            except OSError:
                continue
            left = MAX_LINGER_BYTES  # who floods must not hold up the end
            while left > 0 and (data := _receive_now(client.sock)):
                left -= len(data)

    @property
    def unavailable(self) -> bool:
        return self.shutting_down or self.draining

    @property
    def answering(self) -> bool:
        return any(client.state in (State.YOUNG, State.READING, State.ASKING) for client in self._clients)

    def _accept(self) -> None:
        behind = False
        while self._listener is not None:
            if self._scheduler.pause(None, self._listener, READ) is not READY or self._listener is None:
                continue
            self._quiet_at = self._quiet_at if behind else self._scheduler.earliest_arrival_us
            behind = True
            try:
                for _ in range(ACCEPTS):
                    if len(self._clients) >= self._most and not self._make_room():
                        self._scheduler.sleep(WAIT_US)  # the others wait in the listener's queue
                        break
                    self._welcome(self._listener.accept()[0])
                    if self._crowded:
                        self._make_room(State.SILENT)
                    if len(self._clients) >= self._most:
                        self._make_room()  # one place is free for whoever comes next
            except BlockingIOError:
                behind = False
            except OSError as error:
                log.warning("cannot accept: %s", error)
                self._scheduler.sleep(SECOND // 10)

    def _welcome(self, sock: socket.socket) -> None:
        sock.setblocking(False)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        client = Client(sock, http.RequestReader(), self._scheduler.now(), earliest_arrival_us=self._quiet_at)
        self._clients[client] = None
        client.task = self._scheduler.spawn(self._serve, client)

    @property
    def _crowded(self) -> bool:
        """Half of the places are taken. What stays open with no request takes room at the other side too, which may
        have less: from here on connections end with their answer, and silent ones soon."""
        return len(self._clients) >= self._most // 2

    def _make_room(self, most: State = State.IDLE) -> bool:
        """Close the connection that is missed least: those that keep asking go last, and none being answered."""
        now = self._scheduler.now()
        while True:
            found = min(self._clients, key=lambda client: (self._rank(client, now), client.since), default=None)
            rank = State.ASKING if found is None else self._rank(found, now)
            if (
                rank is State.YOUNG
                or rank > most
                or (most is State.SILENT and rank is most and now - found.since < SILENT_US)
            ):
                return False
            if found.state is State.LEAVING or not _pending(found.sock):
                self._drop(found)
                return True
            found.turn(State.READING, now)  # a request, or more of one, has come to it in this very moment

    @staticmethod
    def _rank(client: Client, now: int) -> State:
        age = now - client.since
        if client.state in (State.SILENT, State.READING) and age < YOUNG_US:
            return State.YOUNG
        if client.state is not State.IDLE:
            return client.state
        return State.SPARE if age >= SPARE_US else State.IDLE if client.served > 1 else State.ONCE

    def _drop(self, client: Client) -> None:
        if client in self._clients:
            del self._clients[client]
            self._scheduler.wake(client.task, streams.Interrupted("closed"))
            client.sock.close()

    # -- one client

    def _serve(self, client: Client) -> None:
        try:
            while client in self._clients and self._one_request(client):
                client.reader.begin_next()
            self._leave(client)
        except http.MalformedMessage as error:
            if client in self._clients:
                self._reject(client, error)
        except OSError:
            pass  # gone; what it had not been told of has been withdrawn
        finally:
            self._drop(client)

    def _one_request(self, client: Client) -> bool:
        """Read and answer one request; whether the connection carries on."""
        reader = client.reader
        began = self._read(client)
        if not reader.complete:
            return False
        client.turn(State.ASKING, self._scheduler.now())
        self._alone(reader)
        keep = reader.keep and not self.unavailable and not self._crowded
        if reader.target.partition("?")[0] == "/healthz":
            ready = 503 if self.unavailable else 200
            self._answer(client, http.answer(ready if reader.method in ("GET", "HEAD") else 405, [], keep=keep))
        else:
            transaction = parse_delivery_request(
                reader, self._classes, began, began - client.earliest_arrival_us, self._scheduler.lag_us
            )
            client.served += 1
            self._hand_in(client, transaction)
            keep = reader.keep and not self.unavailable and not self._crowded
            try:
                self._answer(client, encode_admission_result(transaction.admission, keep))
            except OSError:
                self._withdraw(transaction)
                raise
        client.turn(State.IDLE, self._scheduler.now())
        client.earliest_arrival_us = client.since
        return keep

    @staticmethod
    def _alone(reader: http.RequestReader) -> None:
        """Requests come one at a time: what comes behind one that has no answer yet shows a length that is wrong,
        or hides another request, so neither is passed on. Line ends behind a body are passed over."""
        if reader.unparsed.strip(b"\r\n"):
            raise http.MalformedMessage(400, "more than one request at a time")
        reader.unparsed.clear()

    def _read(self, client: Client) -> int:
        """Read one request; when its first byte came. Not complete if the connection ended before it did."""
        reader, began = client.reader, self._scheduler.now()
        asked, until = False, began + IDLE_US
        if client.state is not State.IDLE:
            client.turn(State.SILENT, began)
            until = began + REQUEST_US
        while not reader.complete:
            poll_count, asked_at = self._scheduler.poll_count, self._scheduler.now()
            try:
                data = streams.receive(self._scheduler, client.sock, until)
            except streams.TimedOut:
                if reader.begun:
                    raise http.MalformedMessage(408, "the request took too long") from None
                data = _receive_now(client.sock)  # it may have come in this very moment
            except streams.Interrupted:
                data = _receive_now(client.sock) if client in self._clients and not reader.begun else b""
            if not data:
                return began
            if not reader.begun:
                began = self._scheduler.now()
                if poll_count != self._scheduler.poll_count:  # nothing was there at first
                    client.earliest_arrival_us = max(asked_at, self._scheduler.earliest_arrival_us)
                until = min(until, began + REQUEST_US) if client.state is State.SILENT else began + REQUEST_US
                client.turn(State.READING, began)
            reader.feed(data)
            if reader.head_done and not reader.complete and not asked and "expect" in reader.fields:
                asked = True
                if reader.fields["expect"].lower() != "100-continue":
                    raise http.MalformedMessage(417, "unknown expectation")
                self._answer(client, b"HTTP/1.1 100 Continue\r\n\r\n")
        return began

    def _hand_in(self, client: Client, transaction: DeliveryRequest) -> None:
        """Offer it to the module and wait for its verdict; a client that goes meanwhile withdraws it."""
        transaction.on_decided = lambda: self._scheduler.wake(client.task, None)
        self._offer(transaction)
        while transaction.admission is None:
            why = self._scheduler.pause(None, client.sock, READ)
            if why is READY and transaction.admission is None:
                data = _receive_now(client.sock)
                if data == b"":
                    self._withdraw(transaction)
                    raise ConnectionResetError("the client is gone")
                client.reader.unparsed += data or b""
                try:
                    self._alone(client.reader)
                except http.MalformedMessage:
                    self._withdraw(transaction)
                    raise

    def _answer(self, client: Client, data: bytes) -> None:
        streams.send(self._scheduler, client.sock, data, self._scheduler.now() + WRITE_US)

    def _reject(self, client: Client, error: http.MalformedMessage) -> None:
        self._log(error)
        client.turn(State.LEAVING, self._scheduler.now())
        fields = [("Allow", "POST")] if error.status == 405 else []
        try:
            self._answer(client, http.answer(error.status, fields, f"{error}\n".encode(), keep=False))
        except OSError:
            return
        self._leave(client)

    def _leave(self, client: Client) -> None:
        """End our sending, read and drop what still comes, and only then close: closing with bytes unread resets the
        connection, and an answer that its client has not read yet is lost with it. Nothing that is read from here on
        is taken on: its client has been told, or sees with no answer that it has to come again."""
        client.turn(State.LEAVING, self._scheduler.now())
        until, left = self._scheduler.now() + LINGER_US, MAX_LINGER_BYTES
        try:
            client.sock.shutdown(socket.SHUT_WR)
            while left > 0 and self._scheduler.now() < until:
                data = streams.receive(self._scheduler, client.sock, until)
                if not data:
                    break
                left -= len(data)
                self._scheduler.sleep(0)  # who floods must not keep the others from their turn
        except OSError:
            pass

    def _log(self, error: http.MalformedMessage) -> None:
        """The first ones line by line, then their number: a client that floods must not fill the log as well."""
        now = self._scheduler.now()
        if now >= self._lines_until:
            if self._unsaid:
                log.info("requests rejected: %d more", self._unsaid)
            self._lines, self._unsaid, self._lines_until = 0, 0, now + LINES_US
        self._lines += 1
        if self._lines > LINES:
            self._unsaid += 1
        else:
            log.info("request rejected: %d %s", error.status, error)


def _pending(sock: socket.socket) -> bool:
    """Whether bytes have come that nobody has read."""
    try:
        return bool(sock.recv(1, socket.MSG_PEEK))
    except OSError:
        return False


def _receive_now(sock: socket.socket) -> bytes | None:
    """What has come; none at the end of the stream; None if nothing has come after all."""
    try:
        return sock.recv(streams.MAX_READ_BYTES)
    except BlockingIOError:
        return None
    except OSError:
        return b""

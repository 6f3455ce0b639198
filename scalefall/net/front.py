"""The platform's front: user agents hand in messages over HTTP, one request each, and GET /healthz."""
from __future__ import annotations

import re
import socket
from collections.abc import Callable
from dataclasses import dataclass
from urllib.parse import unquote

from scalefall.interface import Effect, MessageClass
from scalefall.net import http, streams
from scalefall.net.checks import log
from scalefall.net.scheduler import READ, READY, Scheduler, Task
from scalefall.net.transaction import Failed, Taken, Transaction, Verdict

SECOND = 1_000_000
REQUEST_US = 5 * SECOND         # from a request's first byte to its last
WRITE_US = 5 * SECOND           # an answer that is not read for so long is given up
IDLE_US = 60 * SECOND           # a connection with no request is closed after this
LINGER_US = SECOND              # after an early answer, what still comes is read and dropped for so long
BACKLOG = 256
UNITS = {"m": 1000, "u": 1}
DEADLINE = re.compile(r"(\d{1,12})(?:\.(\d{1,6})\d*)?([mu])\Z")
ROUTE = re.compile(r"(?:^|[,;\s])dest=(\d{1,9})(?:[,;\s]|\Z)")
WORD = re.compile(r"[!-~]{1,200}\Z")


@dataclass(slots=True, eq=False)
class UserAgent:
    """One connection of the client's side."""
    sock: socket.socket
    reader: http.RequestReader
    task: Task | None = None
    idle_since: int | None = None       # no request is being read or answered


def read_transaction(reader: http.RequestReader, classes: dict[str, MessageClass], began: int) -> Transaction:
    """The request as a transaction; Malformed says what it lacks, and with which status."""
    path = re.sub(r"\Ahttp://[^/?]*", "", reader.target).partition("?")[0]
    name = unquote(path).split("/")[1] if path.startswith("/") else ""
    cls = classes.get(name)
    if cls is None:
        raise http.Malformed(404, "no such path or class")
    if reader.method != "POST":
        raise http.Malformed(405, "only POST")
    fields = reader.fields
    ident, key = fields.get("x-request-id", ""), fields.get("idempotency-key")
    if not WORD.match(ident):
        raise http.Malformed(400, "X-Request-Id is missing or not a word")
    if not WORD.match("-" if key is None and cls.effect is not Effect.KEYED else key or ""):
        raise http.Malformed(400, "Idempotency-Key is missing or not a word")
    deadline, route = DEADLINE.match(fields.get("x-deadline", "")), ROUTE.search(fields.get("x-route-to", ""))
    if deadline is None:
        raise http.Malformed(400, "X-Deadline is missing or not a time")
    if route is None:
        raise http.Malformed(400, "X-Route-To names no dest")
    left = int(float(f"{deadline[1]}.{deadline[2] or 0}") * UNITS[deadline[3]])
    return Transaction(ident, name, int(route[1]), began + min(left, cls.deadline_us), key, bytes(reader.body))


def write_verdict(verdict: Verdict, keep: bool) -> bytes:
    if isinstance(verdict, Taken):
        return http.answer(202, [], keep=keep)
    if isinstance(verdict, Failed):
        return http.answer(500, [], b"given up\n", keep)
    seconds = f"{-(-verdict.retry_after_us // 1000) / 1000:.3f}"
    fields = [("Retry-After", seconds)] if verdict.retry_after_us > 0 else []
    return http.answer(503 if verdict.turned_away else 429, fields, keep=keep)


class Front:
    def __init__(self, scheduler: Scheduler, classes: dict[str, MessageClass], most: int,
                 offer: Callable[[Transaction], object], withdraw: Callable[[Transaction], object]) -> None:
        self._scheduler, self._classes, self._most = scheduler, classes, most
        self._offer, self._withdraw = offer, withdraw
        self._agents: dict[UserAgent, None] = {}
        self._listener: socket.socket | None = None
        self.closing = False

    def listen(self, address: tuple[str, int]) -> tuple[str, int]:
        listener = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        try:
            listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            listener.bind(address)
            listener.listen(BACKLOG)
            listener.setblocking(False)
        except OSError:
            listener.close()
            raise
        self._listener = listener
        self._accepting = self._scheduler.spawn(self._accept)
        return listener.getsockname()

    def close_idle(self) -> None:
        """The process ends soon: answer on, but each connection no further than its present request."""
        self.closing = True
        for agent in [agent for agent in self._agents if agent.idle_since is not None]:
            self._drop(agent)

    def stop_listening(self) -> None:
        if self._listener is not None:
            listener, self._listener = self._listener, None
            self._scheduler.wake(self._accepting, None)
            listener.close()

    @property
    def answering(self) -> bool:
        return any(agent.idle_since is None for agent in self._agents)

    def _accept(self) -> None:
        while self._listener is not None:
            if self._scheduler.pause(None, self._listener, READ) is not READY or self._listener is None:
                continue
            if len(self._agents) >= self._most and not self._make_room():
                self._scheduler.sleep(SECOND // 100)    # the others wait in the listener's queue
                continue
            try:
                sock, _ = self._listener.accept()
            except BlockingIOError:
                continue
            except OSError as error:
                log.warning("cannot accept: %s", error)
                self._scheduler.sleep(SECOND // 10)
                continue
            sock.setblocking(False)
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            agent = UserAgent(sock, http.RequestReader(), idle_since=self._scheduler.now())
            self._agents[agent] = None
            agent.task = self._scheduler.spawn(self._serve, agent)

    def _make_room(self) -> bool:
        idle = [agent for agent in self._agents if agent.idle_since is not None]
        if idle:
            self._drop(min(idle, key=lambda agent: agent.idle_since))
        return bool(idle)

    def _drop(self, agent: UserAgent) -> None:
        if agent in self._agents:
            del self._agents[agent]
            self._scheduler.wake(agent.task, streams.Interrupted("closed"))
            agent.sock.close()

    # -- one user agent

    def _serve(self, agent: UserAgent) -> None:
        try:
            while agent in self._agents and self._one_request(agent):
                agent.reader.again()
        except http.Malformed as error:
            self._reject(agent, error)
        except OSError:
            pass        # gone; what it had not been told of has been withdrawn
        finally:
            self._drop(agent)

    def _one_request(self, agent: UserAgent) -> bool:
        """Read and answer one request; whether the connection carries on."""
        reader = agent.reader
        began = self._read(agent)
        agent.idle_since = None
        if not reader.complete:
            return False
        keep = reader.keep and not self.closing
        if reader.target.partition("?")[0] == "/healthz":
            ready = 503 if self.closing else 200
            self._answer(agent, http.answer(ready if reader.method in ("GET", "HEAD") else 405, [], keep=keep))
        else:
            transaction = read_transaction(reader, self._classes, began)
            self._hand_in(agent, transaction)
            keep = reader.keep and not self.closing
            try:
                self._answer(agent, write_verdict(transaction.verdict, keep))
            except OSError:
                self._withdraw(transaction)
                raise
        agent.idle_since = self._scheduler.now()
        return keep

    def _read(self, agent: UserAgent) -> int:
        """Read one request; when its first byte came. Not complete if the connection ended before it did."""
        reader, began = agent.reader, self._scheduler.now()
        reader.advance()        # what came along with the request before
        if reader.begun:
            agent.idle_since = None
        asked = False
        while not reader.complete:
            until = began + (REQUEST_US if reader.begun else IDLE_US)
            try:
                data = streams.receive(self._scheduler, agent.sock, until)
            except streams.TimeUp:
                if reader.begun:
                    raise http.Malformed(408, "the request took too long") from None
                return began
            if not data:
                return began
            if not reader.begun:
                began, agent.idle_since = self._scheduler.now(), None
            reader.feed(data)
            if reader.head_done and not reader.complete and not asked and "expect" in reader.fields:
                asked = True
                if reader.fields["expect"].lower() != "100-continue":
                    raise http.Malformed(417, "unknown expectation")
                self._answer(agent, b"HTTP/1.1 100 Continue\r\n\r\n")
        return began

    def _hand_in(self, agent: UserAgent, transaction: Transaction) -> None:
        """Offer it to the module and wait for its verdict; a user agent that goes meanwhile withdraws it."""
        transaction.told = lambda: self._scheduler.wake(agent.task, None)
        self._offer(transaction)
        while transaction.verdict is None:
            watched = len(agent.reader.rest) < http.MOST_HEAD
            why = self._scheduler.pause(None, *((agent.sock, READ) if watched else ()))
            if why is READY and transaction.verdict is None:
                data = _receive_now(agent.sock)
                if data == b"":
                    self._withdraw(transaction)
                    raise ConnectionResetError("the user agent is gone")
                agent.reader.rest += data or b""

    def _answer(self, agent: UserAgent, data: bytes) -> None:
        streams.send(self._scheduler, agent.sock, data, self._scheduler.now() + WRITE_US)

    def _reject(self, agent: UserAgent, error: http.Malformed) -> None:
        log.info("request rejected: %d %s", error.status, error)
        until = self._scheduler.now() + LINGER_US
        fields = [("Allow", "POST")] if error.status == 405 else []
        try:
            self._answer(agent, http.answer(error.status, fields, f"{error}\n".encode(), keep=False))
            agent.sock.shutdown(socket.SHUT_WR)
            while streams.receive(self._scheduler, agent.sock, until):
                pass        # closing with bytes unread would reset the connection and lose the answer
        except OSError:
            pass


def _receive_now(sock: socket.socket) -> bytes | None:
    """What has come; none at the end of the stream; None if nothing has come after all."""
    try:
        return sock.recv(streams.PIECE)
    except BlockingIOError:
        return None
    except OSError:
        return b""

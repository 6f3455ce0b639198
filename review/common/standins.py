"""Stand-ins for a case: the platform (discovery and /reports), endpoints, clients, and a sender process.

Standard library only, one asyncio loop, loopback addresses only. What they do follows the protocol page; what a case
adds to that (an endpoint that is shut, a configuration that changes) is in the case itself.
"""

from __future__ import annotations

import asyncio
import base64
import contextlib
import copy
import json
import os
import pathlib
import random
import shutil
import signal
import socket
import tempfile
import time
import tomllib
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from typing import Any

ROOT = pathlib.Path(__file__).resolve().parents[2]
HOST = "127.0.0.1"
CLIENT_WAIT_S = 0.4  # the protocol: a client waits this long for its answer
HEARTBEAT_S = 2.0  # the protocol: an empty line on a watch while nothing changes
READY_TIMEOUT_S = 30.0  # the protocol: how long a sender may take to be ready
MOVED_CLOSE_S = 1.5  # the page: what is open at an address of discovery that was left is closed after this
PLAY_TIMEOUT_S = 115.0  # a case that takes longer could not run
RESTART_PAUSE_S = 0.6  # the protocol: from SIGKILL to the next start
SIGTERM_TO_SIGKILL_S = 3.7  # the protocol: the least time between the two

SETTINGS: dict[str, Any] = {
    "areas": ["here"],
    "caps": {
        "cancelling": True,
        "cpuUsPerRequest": 0.0,
        "cpuUsPerS": 400000,
        "dialTimeout": 1500.0,
        "idleClose": 10000.0,
        "maxAttempts": 6,
        "maxOpen": 216,
        "maxRetryAfter": 3000.0,
        "maxStreams": 1,
        "parallelTries": False,
        "peers": False,
        "probes": False,
        "retryAfter": True,
    },
    "clientHabits": {"marksRetry": True},
    "familyInfo": {
        "kindApart": [False, False],
        "late": "linear",
        "perCall": [10, 1],
        "refusedPrice": 0.03,
        "workers": 12,
        "zoneFee": [0.0],
    },
    "grades": [
        {
            "name": "event-notice",
            "aim": 3000.0,
            "deadline": 24000.0,
            "effect": "keyed",
            "keyScope": "all",
            "keyTtl": 6000.0,
            "lateWorth": 0.3,
            "stream": False,
            "worth": 1.0,
        },
        {
            "name": "status-update",
            "aim": 3000.0,
            "deadline": 28000.0,
            "effect": "safe",
            "keyScope": "all",
            "keyTtl": 5000.0,
            "lateWorth": 0.3,
            "stream": False,
            "worth": 1.0,
        },
        {
            "name": "fee-order",
            "aim": 3000.0,
            "deadline": 24000.0,
            "effect": "unsafe",
            "keyScope": "all",
            "keyTtl": 5000.0,
            "lateWorth": 0.4,
            "stream": False,
            "worth": 3.0,
        },
    ],
    "guarantees": {
        "answerSlack": 20.0,
        "askWithin": 10000.0,
        "cold": 9800.0,
        "coldFrom": 0.18,
        "drainGrace": 1000.0,
        "fall": 2000.0,
        "fallMultiple": 2.0,
    },
    "index": 0,
    "overShareWorth": 0.1,
    "registryMode": "ask",
    "report": {"fields": ["x0", "x1"], "how": "answers"},
    "resultMix": {"whole": 0.45, "worstClass": 0.2, "worstTenant": 0.0, "worstWindow": 0.35},
    "serviceType": "deliver",
    "shapes": ["bulk-partner", "partner"],
    "siblings": 1,
    "stage": 0,
    "stages": ["partner-systems"],
    "tenants": [],
    "tick": 5.0,
    "weights": "none",
}


class CannotRunError(Exception):
    """The case could not be played: its exit code is 2."""


class Record:
    """record.txt: one line for what was sent, answered and run, with the seconds since the start."""

    def __init__(self, path: pathlib.Path) -> None:
        self._file = open(path, "w", encoding="utf-8", buffering=1)  # noqa: SIM115 - open as long as the case
        self._started = time.monotonic()

    def now(self) -> float:
        """Return the seconds since the start."""
        return time.monotonic() - self._started

    def __call__(self, text: str) -> None:
        """Write a line."""
        self._file.write(f"{self.now():8.3f} {text}\n")


# -- HTTP/1.1, as little as the stand-ins need


@dataclass
class Head:
    """The first line and the fields of a request or an answer, by names in lower case."""

    first: str
    fields: dict[str, str]


async def read_head(reader: asyncio.StreamReader) -> Head | None:
    """Return the next head; None if the connection ended before it."""
    try:
        raw = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError, asyncio.LimitOverrunError):
        return None
    first, *lines = raw.decode("latin-1").split("\r\n")[:-2]
    fields = {}
    for line in lines:
        name, _, value = line.partition(":")
        fields[name.lower()] = value.strip()
    return Head(first, fields)


async def read_body(reader: asyncio.StreamReader, head: Head) -> bytes:
    """Return the body that follows a head."""
    return await reader.readexactly(int(head.fields.get("content-length", "0")))


def answer(status: int, body: bytes = b"", **fields: str) -> bytes:
    """Return an answer; an underscore in a field's name stands for a hyphen."""
    lines = [f"HTTP/1.1 {status} X", *(f"{name.replace('_', '-')}: {value}" for name, value in fields.items())]
    if status != 204:
        lines.append(f"Content-Length: {len(body)}")
    return "\r\n".join([*lines, "", ""]).encode() + body


# -- the platform: discovery and /reports


class Platform:
    """Discovery's list and watches, and the notices that it was sent."""

    def __init__(self, record: Record) -> None:
        self._record = record
        self.seq = 1
        self.hosts: dict[str, dict[str, Any]] = {}
        self.notices: dict[str, list[tuple[float, dict[str, Any]]]] = {}
        self._watches: set[asyncio.Queue[bytes]] = set()
        self._server: asyncio.Server | None = None
        self._open: set[asyncio.StreamWriter] = set()
        self.address = ""

    async def start(self) -> None:
        """Listen at a new address."""
        self._server = await asyncio.start_server(self._serve, HOST, 0)
        self.address = f"{HOST}:{self._server.sockets[0].getsockname()[1]}"

    async def move(self) -> None:
        """Listen at another address; the old one accepts nothing more, and what is open there is closed later."""
        server, left = self._server, set(self._open)
        await self.start()
        if server is not None:
            server.close()
        asyncio.get_running_loop().call_later(MOVED_CLOSE_S, lambda: [writer.close() for writer in left])
        self._record(f"platform: moved to {self.address}")

    def known(self) -> dict[str, Any]:
        """Return the whole list."""
        return {"seq": self.seq, "whole": True, "hosts": [copy.deepcopy(host) for host in self.hosts.values()]}

    def put(self, host: dict[str, Any]) -> None:
        """Add or change an endpoint, and tell it on the open watches."""
        self.seq += 1
        self.hosts[host["host"]] = host
        line = json.dumps({"seq": self.seq, "whole": False, "hosts": [host]}).encode() + b"\n"
        for watch in self._watches:
            watch.put_nowait(line)
        self._record(f"platform: list version {self.seq}: {host['host']} {host['health']}")

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self._open.add(writer)
        try:
            while (head := await read_head(reader)) is not None:
                body = await read_body(reader, head)
                target = head.first.split(" ")[1]
                if target == "/reports":
                    self._take_notices(body)
                    writer.write(answer(204))
                elif "stream=1" in target:
                    await self._watch(writer)
                    return
                else:
                    writer.write(answer(200, json.dumps(self.known()).encode()))
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass  # the sender has gone, or the case is over
        finally:
            self._open.discard(writer)
            writer.close()

    def _take_notices(self, body: bytes) -> None:
        for line in body.splitlines():
            notice = json.loads(line)
            self.notices.setdefault(notice["id"], []).append((self._record.now(), notice))
            self._record(f"platform: notice {json.dumps(notice)}")

    async def _watch(self, writer: asyncio.StreamWriter) -> None:
        queue: asyncio.Queue[bytes] = asyncio.Queue()
        self._watches.add(queue)
        try:
            writer.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
            line = json.dumps(self.known()).encode() + b"\n"
            while True:
                writer.write(b"%x\r\n%s\r\n" % (len(line), line))
                await writer.drain()
                try:
                    line = await asyncio.wait_for(queue.get(), HEARTBEAT_S)
                except TimeoutError:
                    line = b"\n"
        finally:
            self._watches.discard(queue)


# -- endpoints


@dataclass
class Call:
    """One call that an endpoint got: its last byte has come."""

    at: float
    endpoint: str
    ids: list[str]
    bodies: list[bytes]
    keys: list[str | None]
    given_up: bool = False  # the sender closed the connection before the answer


Behaviour = Callable[["Endpoint", Call], Awaitable[bytes | None]]


@dataclass
class Endpoint:
    """One endpoint. `behaviour` returns the answer to a call; None: the connection is reset with no answer."""

    name: str
    destination: int
    kind: str
    behaviour: Behaviour
    record: Record
    calls: list[Call] = field(default_factory=list)
    ran: list[tuple[float, str, bytes]] = field(default_factory=list)  # each message that took effect
    address: str = ""

    async def start(self) -> None:
        """Listen at a free port."""
        server = await asyncio.start_server(self._serve, HOST, 0)
        self.address = f"{HOST}:{server.sockets[0].getsockname()[1]}"

    def row(self, health: str = "in_service") -> dict[str, Any]:
        """Return its entry of discovery's list."""
        return {
            "host": self.name,
            "dial": self.address,
            "site": "here",
            "class": self.kind,
            "block": self.destination,
            "health": health,
            "share": 1.0,
            "born_ms": 0,
        }

    def run(self, call: Call) -> None:
        """Let the messages of a call take effect."""
        for message_id, body in zip(call.ids, call.bodies, strict=True):
            self.ran.append((self.record.now(), message_id, body))
            self.record(f"endpoint {self.name}: ran {message_id} {body[:40]!r}")

    async def _behave(self, reader: asyncio.StreamReader, call: Call) -> bytes | None:
        """Return the behaviour's answer, and note whether the sender gives up the call before it is there."""
        working = asyncio.ensure_future(self.behaviour(self, call))
        closed = asyncio.ensure_future(reader.read(1))
        await asyncio.wait((working, closed), return_when=asyncio.FIRST_COMPLETED)
        if not working.done():
            call.given_up = True
            self.record(f"endpoint {self.name}: the call {' '.join(call.ids)} was given up")
        elif not closed.done():
            closed.cancel()
            await asyncio.wait((closed,))
        return await working

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        sock = writer.get_extra_info("socket")
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        try:
            while (head := await read_head(reader)) is not None:
                call = _read_call(self, head, await read_body(reader, head))
                self.calls.append(call)
                self.record(f"endpoint {self.name}: call {' '.join(call.ids)}")
                reply = await self._behave(reader, call)
                if reply is None:
                    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, b"\1\0\0\0\0\0\0\0")
                    return
                self.record(f"endpoint {self.name}: answered {reply.split(b' ')[1].decode()} to {' '.join(call.ids)}")
                writer.write(reply)
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass  # the sender has gone, or the case is over
        finally:
            writer.close()


def _read_call(endpoint: Endpoint, head: Head, body: bytes) -> Call:
    now = endpoint.record.now()
    if head.first.split(" ")[1].endswith(":batch"):
        rows = json.loads(body)
        return Call(
            now,
            endpoint.name,
            [row["id"] for row in rows],
            [base64.b64decode(row["body"]) for row in rows],
            [row.get("key") for row in rows],
        )
    return Call(now, endpoint.name, [head.fields["x-request-id"]], [body], [head.fields.get("idempotency-key")])


def delivered(call: Call, load: str = "") -> bytes:
    """Return the answer to a call that has run, with a load report if there is one."""
    fields = {"X_Load": load} if load else {}
    if len(call.ids) == 1:
        return answer(200, **fields)
    rows = [{"id": message_id, "state": "accepted"} for message_id in call.ids]
    return answer(200, json.dumps(rows).encode(), **fields)


class RatePartner:
    """A partner with a plain rate: above it a call is turned away unseen, and told how long to wait."""

    def __init__(self, limit_per_s: float, burst: float, work_s: float) -> None:
        """Set the calls a second that it takes, how many at once after a rest, and the time that a call takes."""
        self._limit_per_s, self._burst, self._work_s = limit_per_s, burst, work_s
        self._tokens, self._refilled_at = burst, 0.0

    async def __call__(self, endpoint: Endpoint, call: Call) -> bytes:
        """Return the answer to a call; it has run if there is room for it."""
        now = endpoint.record.now()
        self._tokens = min(self._burst, self._tokens + (now - self._refilled_at) * self._limit_per_s)
        self._refilled_at = now
        load = json.dumps({"x0": max(0.0, (self._tokens - 1) / self._burst), "x1": self._limit_per_s})
        if self._tokens < 1:
            return answer(429, Retry_After=f"{(1 - self._tokens) / self._limit_per_s:.3f}", X_Load=load)
        self._tokens -= 1
        await asyncio.sleep(self._work_s)
        endpoint.run(call)
        return delivered(call, load)


# -- clients


@dataclass
class Message:
    """A message that was handed in, and what its client was answered; 0: nothing."""

    id: str
    class_name: str
    destination: int
    deadline_ms: int
    body: bytes
    sent_at: float = 0.0
    status: int = 0


async def hand_in(record: Record, address: str, message: Message) -> int:
    """Hand a message in over a connection of its own, as a client of the protocol does; return the answer's status."""
    host, _, port = address.rpartition(":")
    message.sent_at = record.now()
    writer = None
    try:
        reader, writer = await asyncio.open_connection(host, int(port))
        head = (
            f"POST /{message.class_name} HTTP/1.1\r\nHost: service.internal\r\nX-Request-Id: {message.id}\r\n"
            f"X-Deadline: {message.deadline_ms}m\r\nX-Route-To: dest={message.destination}\r\n"
            f"Idempotency-Key: key-{message.id}\r\nContent-Length: {len(message.body)}\r\n\r\n"
        )
        message.sent_at = record.now()
        writer.write(head.encode() + message.body)
        reply = await asyncio.wait_for(read_head(reader), CLIENT_WAIT_S)
        message.status = int(reply.first.split(" ")[1]) if reply else 0
    except (OSError, TimeoutError):
        message.status = 0
    finally:
        if writer is not None:
            writer.close()
    record(f"client: {message.id} {message.class_name} to {message.destination}: answered {message.status}")
    return message.status


async def is_ready(address: str) -> bool:
    """Return whether a sender answers GET /healthz with 200."""
    host, _, port = address.rpartition(":")
    writer = None
    try:
        reader, writer = await asyncio.open_connection(host, int(port))
        writer.write(b"GET /healthz HTTP/1.1\r\nHost: service.internal\r\n\r\n")
        reply = await asyncio.wait_for(read_head(reader), CLIENT_WAIT_S)
        return reply is not None and " 200 " in reply.first + " "
    except (OSError, TimeoutError):
        return False
    finally:
        if writer is not None:
            writer.close()


# -- the sender


def free_address() -> str:
    """Return an address with a free port, below those that the system gives to outgoing connections."""
    while True:
        with socket.socket() as sock:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            port = random.randrange(10_000, 30_000)
            with contextlib.suppress(OSError):
                sock.bind((HOST, port))
                return f"{HOST}:{port}"


class Case:
    """A temporary folder with a configuration and a state folder, and the sender processes that were started on it."""

    def __init__(self, folder: pathlib.Path) -> None:
        self.record = Record(folder / "record.txt")
        self.trouble = os.environ.get("TROUBLE", "1") != "0"
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix="case-"))
        self.state, self.temporary = self.folder / "state", self.folder / "tmp"
        self.state.mkdir()
        self.temporary.mkdir()
        self.platform = Platform(self.record)
        self.endpoints: dict[str, Endpoint] = {}
        self.messages: dict[str, Message] = {}
        self.settings = copy.deepcopy(SETTINGS)
        self.known: dict[str, Any] | None = None
        self.listen = free_address()
        self.admin, self.second_admin = free_address(), free_address()
        self.processes: list[asyncio.subprocess.Process] = []
        run = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text())["run"]
        self._command: str = run
        self.record(f"trouble: {'yes' if self.trouble else 'no'}")

    async def add_endpoint(self, name: str, destination: int, kind: str, behaviour: Behaviour) -> Endpoint:
        """Start an endpoint and put it into the list."""
        endpoint = Endpoint(name, destination, kind, behaviour, self.record)
        await endpoint.start()
        self.endpoints[name] = endpoint
        self.platform.hosts[name] = endpoint.row()
        return endpoint

    def write_config(self, without: str = "") -> None:
        """Replace the file of the configuration, in one step; it lacks the key `without`."""
        table = {
            "name": "n0",
            "listen": self.listen,
            "discovery": self.platform.address,
            "seed": "8c1f30d27a5be964",
            "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024, "disk_mb": 3},
            "known": self.known if self.known is not None else self.platform.known(),
            "settings": self.settings,
        }
        table.pop(without, None)
        path = self.folder / "config.json"
        path.with_suffix(".new").write_text(json.dumps(table))
        path.with_suffix(".new").replace(path)

    async def start(self, label: str, admin: str = "") -> asyncio.subprocess.Process:
        """Start `run` of the deploy file; its log goes to the record's folder's temporary place."""
        environ = {name: value for name, value in os.environ.items() if not name.startswith("RELAY_")}
        environ |= {
            "RELAY_NAME": "n0",
            "RELAY_CONFIG": str(self.folder / "config.json"),
            "RELAY_STATE": str(self.state),
            "RELAY_LISTEN": self.listen,
            "RELAY_DISCOVERY": self.platform.address,
            "RELAY_ADMIN": admin or self.admin,
            "TMPDIR": str(self.temporary),
        }
        with open(self.folder / f"log-{len(self.processes)}.txt", "wb") as log:
            process = await asyncio.create_subprocess_exec(
                "/bin/sh", "-c", self._command, cwd=ROOT, env=environ, stdout=log, stderr=log
            )
        self.processes.append(process)
        self.record(f"platform: started {label}")
        return process

    async def until_ready(self, process: asyncio.subprocess.Process) -> None:
        """Wait until the sender is put to use."""
        until = time.monotonic() + READY_TIMEOUT_S
        while time.monotonic() < until:
            if process.returncode is not None:
                raise CannotRunError(f"the sender ended with {process.returncode} before it was ready")
            if await is_ready(self.listen):
                self.record("platform: the sender is ready")
                return
            await asyncio.sleep(0.05)
        raise CannotRunError("the sender was not ready in time")

    async def restart(self, process: asyncio.subprocess.Process, graceful: bool) -> asyncio.subprocess.Process:
        """Restart the sender as the protocol page has it; return the new process, which is ready."""
        if graceful:
            self.record("platform: SIGTERM")
            process.send_signal(signal.SIGTERM)
            await asyncio.sleep(SIGTERM_TO_SIGKILL_S)
        if process.returncode is None:
            self.record("platform: SIGKILL")
            process.kill()
        await process.wait()
        await asyncio.sleep(RESTART_PAUSE_S)
        new = await self.start("the sender again")
        await self.until_ready(new)
        return new

    async def hand_in(self, message: Message) -> int:
        """Hand a message in; return the answer's status."""
        self.messages[message.id] = message
        return await hand_in(self.record, self.listen, message)

    def logs(self) -> str:
        """Return what the processes have logged."""
        return "".join(
            f"-- log of process {number}\n" + path.read_text(errors="replace")
            for number, path in enumerate(sorted(self.folder.glob("log-*.txt")))
        )

    async def close(self) -> None:
        """End all processes, and put their logs into the record."""
        for process in self.processes:
            if process.returncode is None:
                process.kill()
                await process.wait()
        for line in self.logs().splitlines():
            self.record(f"log: {line}")
        shutil.rmtree(self.folder, ignore_errors=True)


def play(folder: pathlib.Path, steps: Callable[[Case], Awaitable[list[str]]]) -> int:
    """Play a case; return 0 if the rule held, 1 if it was broken, 2 if the case could not run."""

    async def run() -> int:
        case = Case(folder)
        try:
            await case.platform.start()
            broken = await asyncio.wait_for(steps(case), PLAY_TIMEOUT_S)
        except (CannotRunError, TimeoutError) as error:
            case.record(f"result: cannot run: {error}")
            print(f"cannot run: {error}")
            return 2
        finally:
            await case.close()
        for line in broken:
            case.record(f"broken: {line}")
            print(f"broken: {line}")
        verdict = "the rule was broken" if broken else "the rule held"
        case.record(f"result: {verdict}")
        print(verdict)
        return 1 if broken else 0

    return asyncio.run(run())

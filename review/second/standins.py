"""Stand-ins for the second review: the platform, endpoints, clients and the life of a sender, on loopback.

They speak the protocol of the users' pages and do nothing that these do not allow. Standard library only.
"""

from __future__ import annotations

import asyncio
import contextlib
import copy
import json
import os
import random
import shutil
import signal
import socket
import sys
import tempfile
import time
import tomllib
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

ROOT = Path(__file__).resolve().parents[2]
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
HELD, BROKEN, NOT_RUN = 0, 1, 2
LIMIT_SLACK_S = 0.05  # PROTOCOL: every time limit is 50 ms longer
NOTICE_SLACK_S = 0.3  # PROTOCOL: a message with no end this long after its time is lost
READY_SLACK_S = 1.5  # PROTOCOL: no notice is overdue until this long after a restarted sender is ready
CLIENT_PATIENCE_S = 0.4  # PROTOCOL: a client waits this long for its answer
BEAT_S = 2.0  # PROTOCOL: an empty line on a watch on which nothing changes


class CaseError(Exception):
    """The case could not run: neither held nor broken."""


def free_port() -> int:
    """Return a port that is free on the loopback address."""
    with socket.socket() as sock:
        sock.bind(("127.0.0.1", 0))
        port: int = sock.getsockname()[1]
        return port


def run_command() -> str:
    """Return the command of the deploy file that starts a sender."""
    command: str = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text())["run"]
    return command


class Record:
    """What was sent, answered and run, by time; written to record.txt at the end."""

    def __init__(self, folder: Path) -> None:
        """Start the clock of the case."""
        self.path = folder / "record.txt"
        self.began = time.monotonic()
        self.lines: list[str] = []

    def now(self) -> float:
        """Return the seconds since the case began."""
        return time.monotonic() - self.began

    def add(self, text: str) -> None:
        """Add a line with its time."""
        self.lines.append(f"{self.now():9.3f} {text}")

    def write(self) -> None:
        """Write all lines."""
        self.path.write_text("\n".join(self.lines) + "\n")


@dataclass
class Message:
    """A message that a client handed in, and all that was seen of it."""

    id: str
    class_name: str
    dest: int
    due: float
    key: str | None
    body: bytes
    sender: str = ""  # where it was handed in
    status: int = 0  # of the sender's answer; 0: none
    taken_at: float = 0.0  # when the client heard 202 or 200
    calls: list[tuple[float, str, int]] = field(default_factory=list)  # last byte, endpoint, status of the answer
    delivered_at: list[float] = field(default_factory=list)
    notices: list[tuple[float, str]] = field(default_factory=list)


async def read_head(reader: asyncio.StreamReader) -> tuple[str, dict[str, str]]:
    """Return the start line and the fields of a message; an empty start line at the end of the stream."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return "", {}
    lines = head.decode("latin-1").split("\r\n")
    fields = {}
    for line in lines[1:]:
        name, colon, value = line.partition(":")
        if colon:
            fields[name.lower()] = value.strip()
    return lines[0], fields


def encode_answer(status: int, fields: dict[str, str], body: bytes = b"") -> bytes:
    """Return an HTTP answer."""
    reason = {200: "OK", 204: "No Content", 429: "Too Many Requests", 500: "Error", 503: "Unavailable"}.get(status, "-")
    lines = [f"HTTP/1.1 {status} {reason}", *(f"{name}: {value}" for name, value in fields.items())]
    if status != 204:
        lines.append(f"Content-Length: {len(body)}")
    return ("\r\n".join(lines) + "\r\n\r\n").encode() + body


class World:
    """One run: the record, the messages and everything that has to be ended."""

    def __init__(self, folder: Path) -> None:
        """Start with nothing."""
        self.record = Record(folder)
        self.temporary = Path(tempfile.mkdtemp(prefix="case-"))
        self.messages: dict[str, Message] = {}
        self.servers: list[asyncio.Server] = []
        self.senders: list[Sender] = []
        self.tasks: list[asyncio.Task[Any]] = []
        self.writers: set[asyncio.StreamWriter] = set()  # of the connections that the stand-ins serve
        self.random = random.Random(7)

    def spawn(self, work: Any) -> None:
        """Run a coroutine beside the case."""
        self.tasks.append(asyncio.ensure_future(work))

    async def close(self) -> None:
        """End every process and task of the run."""
        for sender in self.senders:
            await sender.kill()
        for task in self.tasks:
            task.cancel()
        for server in self.servers:
            server.close()
        await asyncio.gather(*self.tasks, return_exceptions=True)
        await asyncio.sleep(0.1)
        for writer in self.writers:
            writer.close()
        await asyncio.sleep(0.1)
        self.record.write()
        shutil.rmtree(self.temporary, ignore_errors=True)

    def add_message(self, class_name: str, dest: int, deadline_s: float, keyed: bool, size: int = 0) -> Message:
        """Return a new message, whose time begins now."""
        name = f"{self.random.getrandbits(64):016x}"
        key = f"{self.random.getrandbits(128):032x}" if keyed else None
        body = f"body of {name}".encode().ljust(size, b".")
        message = Message(name, class_name, dest, self.record.now() + deadline_s, key, body)
        self.messages[name] = message
        return message


class Platform:
    """Discovery and the notices, at one address."""

    def __init__(self, world: World, name: str, hosts: dict[str, dict[str, Any]]) -> None:
        """Start with a list of endpoints, by id."""
        self.world = world
        self.name = name
        self.hosts = copy.deepcopy(hosts)
        self.seq = 1
        self.changed_in: dict[str, int] = dict.fromkeys(hosts, 1)
        self.silent = False  # discovery is down: nothing is said on lists; notices are answered all the same
        self.muted_since = -1.0  # watches opened before this time say nothing more, though they stay open
        self.wait: Callable[[], tuple[float, int]] | None = None  # how long a new call waits, and the status it gets
        self.told: dict[str, dict[str, Any]] = copy.deepcopy(hosts)  # the list as it was last written to the sender
        self.told_seq = 1
        self._news = asyncio.Condition()
        self.port = 0

    async def start(self) -> None:
        """Listen on a free port."""
        server = await asyncio.start_server(self._serve, "127.0.0.1", self.port)
        self.port = server.sockets[0].getsockname()[1]
        self.world.servers.append(server)

    async def change(self, host: str, **values: Any) -> None:
        """Change an entry of the list, and tell all watches unless discovery is down."""
        self.seq += 1
        self.hosts[host].update(values)
        self.changed_in[host] = self.seq
        self.world.record.add(f"{self.name}: has version {self.seq}: {host} {values}")
        await self.wake()

    async def wake(self) -> None:
        """Let the watches look at the list again."""
        async with self._news:
            self._news.notify_all()

    async def set_silent(self, silent: bool) -> None:
        """Begin or end an outage of discovery."""
        self.silent = silent
        self.world.record.add(f"{self.name}: discovery {'down' if silent else 'back'}")
        await self.wake()

    def known(self) -> dict[str, Any]:
        """Return the list as this sender had it last, for its configuration."""
        return {"seq": self.told_seq, "whole": True, "hosts": list(self.told.values())}

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.world.writers.add(writer)
        with contextlib.suppress(ConnectionError, asyncio.IncompleteReadError):
            while True:
                line, fields = await read_head(reader)
                if not line:
                    break
                method, target, _ = line.split(" ")
                if method == "POST":
                    body = await reader.readexactly(int(fields.get("content-length", "0")))
                    writer.write(encode_answer(204, {}))
                    await writer.drain()
                    self._note(body)
                else:
                    await self._watch(target, reader, writer)
                    break
        self.world.writers.discard(writer)
        writer.close()

    def _note(self, body: bytes) -> None:
        for row in body.splitlines():
            notice = json.loads(row)
            self.world.record.add(f"{self.name}: notice {notice}")
            message = self.world.messages.get(notice["id"])
            if message is not None:
                message.notices.append((self.world.record.now(), notice["state"]))

    async def _watch(self, target: str, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Answer a watch: the whole list or the changes, then each change, and an empty line every 2 s."""
        after = int(dict(pair.split("=") for pair in target.partition("?")[2].split("&")).get("index", "0"))
        self.world.record.add(f"{self.name}: watch from version {after}")
        opened_at, begun = self.world.record.now(), False
        if self.wait is not None:
            wait_s, status = self.wait()
            await asyncio.sleep(wait_s)
            if status != 200:
                self.world.record.add(f"{self.name}: call refused with {status} after {wait_s:g} s")
                writer.write(encode_answer(status, {"Connection": "close"}))
                return
        while True:
            while self.silent:
                async with self._news:
                    await self._news.wait()
            if reader.at_eof() or reader.exception() is not None or writer.is_closing():
                return  # nobody hears it any more
            if opened_at < self.muted_since:
                await reader.read()  # silent until its other side ends it
                return
            if not begun:
                writer.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
            rows = [row for host, row in self.hosts.items() if self.changed_in[host] > after]
            whole = not begun and after == 0
            if whole:
                rows = list(self.hosts.values())
            text = b"\n"
            if rows or not begun:
                text = json.dumps({"seq": self.seq, "whole": whole, "hosts": rows}).encode() + b"\n"
                self.world.record.add(f"{self.name}: wrote version {self.seq}")
                self.told.update(copy.deepcopy({row["host"]: row for row in rows}))
                self.told_seq = self.seq
            after, begun = self.seq, True
            writer.write(b"%x\r\n%s\r\n" % (len(text), text))
            await writer.drain()
            with contextlib.suppress(asyncio.TimeoutError):
                async with asyncio.timeout(BEAT_S), self._news:
                    await self._news.wait()


Answer = Callable[[Message], Awaitable[tuple[int, dict[str, str]]]]


class Endpoint:
    """An endpoint: one call at a time on a connection; `answer` decides, after whatever it waits for."""

    def __init__(self, world: World, name: str, dest: int, answer: Answer, batch: int = 1) -> None:
        """Create an endpoint that does not listen yet."""
        self.world = world
        self.name = name
        self.dest = dest
        self.answer = answer
        self.batch = batch
        self.port = 0
        self.calls: list[float] = []  # times of the calls' last bytes
        self.first_bytes: list[float] = []  # times of the calls' first bytes
        self.strangers = 0  # calls that no client handed in

    async def start(self) -> None:
        """Listen on a free port."""
        server = await asyncio.start_server(self._serve, "127.0.0.1", self.port)
        self.port = server.sockets[0].getsockname()[1]
        self.world.servers.append(server)

    def entry(self, kind: str, zone: str) -> dict[str, Any]:
        """Return its entry in discovery's list."""
        return {
            "host": self.name,
            "dial": f"127.0.0.1:{self.port}",
            "site": zone,
            "class": kind,
            "block": self.dest,
            "health": "in_service",
            "share": 1.0,
            "born_ms": 0,
        }

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.world.writers.add(writer)
        with contextlib.suppress(ConnectionError, asyncio.IncompleteReadError):
            while True:
                first = await reader.read(1)
                if not first:
                    break
                began = self.world.record.now()
                line, fields = await read_head(reader)
                line = first.decode("latin-1") + line
                body = await reader.readexactly(int(fields.get("content-length", "0")))
                self.first_bytes.append(began)
                self.calls.append(self.world.record.now())
                if line.split(" ")[1].endswith(":batch"):
                    writer.write(await self._batch(json.loads(body)))
                else:
                    message = self._find(fields.get("x-request-id", ""), body)
                    if message is None:
                        writer.write(encode_answer(400, {}))
                    else:
                        status, more = await self._call(message)
                        writer.write(encode_answer(status, more))
                await writer.drain()
        self.world.writers.discard(writer)
        writer.close()

    async def _call(self, message: Message) -> tuple[int, dict[str, str]]:
        at = self.world.record.now()
        self.world.record.add(f"{self.name}: call {message.id} {message.class_name}")
        status, fields = await self.answer(message)
        message.calls.append((at, self.name, status))
        if status == 200:
            message.delivered_at.append(self.world.record.now())
        self.world.record.add(f"{self.name}: answers {message.id} {status} {fields or ''}")
        return status, fields

    async def _batch(self, rows: list[dict[str, str]]) -> bytes:
        states, more = [], {}
        words = {200: "accepted", 500: "fault", 429: "deferred", 503: "deferred"}
        for row in rows:
            message = self._find(row["id"], None)
            if message is None:
                return encode_answer(400, {})
            status, fields = await self._call(message)
            more.update(fields)
            states.append({"id": message.id, "state": words[status]})
        return encode_answer(200, more, json.dumps(states).encode())

    def _find(self, name: str, body: bytes | None) -> Message | None:
        message = self.world.messages.get(name)
        if message is None or message.dest != self.dest or (body is not None and message.body != body):
            self.strangers += 1
            self.world.record.add(f"{self.name}: call that no client handed in: {name}")
            return None
        return message


class Sender:
    """A sender's place: its addresses, its folder, and its processes one after the other."""

    def __init__(self, world: World, name: str, platform: Platform, settings: dict[str, Any]) -> None:
        """Choose its address, and make its folder."""
        self.world = world
        self.name = name
        self.platform = platform
        self.settings = settings
        self.port = free_port()
        self.folder = world.temporary / name
        (self.folder / "state").mkdir(parents=True)
        (self.folder / "tmp").mkdir()
        self.config = self.folder / "config.json"
        self.process: asyncio.subprocess.Process | None = None
        self.started_at = 0.0
        self.ready_at = 0.0
        world.senders.append(self)

    def table(self) -> dict[str, Any]:
        """Return its configuration."""
        return {
            "name": self.name,
            "listen": f"127.0.0.1:{self.port}",
            "discovery": f"127.0.0.1:{self.platform.port}",
            "seed": f"{self.world.random.getrandbits(64):016x}",
            "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024, "disk_mb": 3},
            "known": self.platform.known(),
            "settings": self.settings,
        }

    def write_config(self, table: dict[str, Any]) -> None:
        """Replace its configuration file."""
        partial = self.config.with_suffix(".new")
        partial.write_text(json.dumps(table))
        partial.replace(self.config)

    async def start(self) -> None:
        """Start a process with the deploy file's command, and wait until it is ready."""
        self.write_config(self.table())
        environment = {
            "PATH": os.environ.get("PATH", ""),
            "RELAY_NAME": self.name,
            "RELAY_LISTEN": f"127.0.0.1:{self.port}",
            "RELAY_DISCOVERY": f"127.0.0.1:{self.platform.port}",
            "RELAY_STATE": str(self.folder / "state"),
            "RELAY_CONFIG": str(self.config),
            "TMPDIR": str(self.folder / "tmp"),
        }
        log = (self.folder / "log").open("ab")
        self.process = await asyncio.create_subprocess_exec(
            "/bin/sh", "-c", run_command(), cwd=ROOT, env=environment, stdout=log, stderr=log
        )
        log.close()
        self.started_at = self.world.record.now()
        self.world.record.add(f"{self.name}: started")
        while True:
            if self.process.returncode is not None or self.world.record.now() > self.started_at + 30:
                raise CaseError(f"{self.name} did not get ready: {self.log()[-300:]}")
            if await self._is_ready():
                break
            await asyncio.sleep(0.02)
        self.ready_at = self.world.record.now()
        self.world.record.add(f"{self.name}: ready")

    async def _is_ready(self) -> bool:
        try:
            reader, writer = await asyncio.open_connection("127.0.0.1", self.port)
        except OSError:
            return False
        line = ""
        with contextlib.suppress(ConnectionError):
            writer.write(b"GET /healthz HTTP/1.1\r\nHost: service.internal\r\nConnection: close\r\n\r\n")
            line, _ = await read_head(reader)
        writer.close()
        return " 200 " in line

    def signal(self, number: int) -> None:
        """Send a signal to the process."""
        if self.process is not None and self.process.returncode is None:
            self.world.record.add(f"{self.name}: gets {signal.Signals(number).name}")
            self.process.send_signal(number)

    async def kill(self) -> None:
        """Kill the process, if it runs, and wait for its end."""
        if self.process is None:
            return
        self.signal(signal.SIGKILL)
        await self.process.wait()
        self.process = None

    def log(self) -> str:
        """Return the log of all of its processes."""
        path = self.folder / "log"
        return path.read_text(errors="replace") if path.exists() else ""

    async def hand_in(self, message: Message) -> None:
        """Hand a message in on a connection of its own, and wait for the answer as a client does."""
        world = self.world
        message.sender = self.name
        fields = [
            f"POST /{message.class_name} HTTP/1.1",
            "Host: service.internal",
            f"X-Request-Id: {message.id}",
            f"X-Deadline: {max(1, round((message.due - world.record.now()) * 1000))}m",
            f"Content-Length: {len(message.body)}",
            f"X-Route-To: dest={message.dest}",
        ]
        if message.key is not None:
            fields.append(f"Idempotency-Key: {message.key}")
        data = ("\r\n".join(fields) + "\r\n\r\n").encode() + message.body
        line = ""
        with contextlib.suppress(OSError, asyncio.TimeoutError):
            reader, writer = await asyncio.open_connection("127.0.0.1", self.port)
            writer.write(data)
            async with asyncio.timeout(CLIENT_PATIENCE_S):
                line, _ = await read_head(reader)
            writer.close()
        message.status = int(line.split(" ")[1]) if line else 0
        if message.status in (200, 202):
            message.taken_at = world.record.now()
        world.record.add(
            f"{self.name}: {message.id} {message.class_name} dest={message.dest} due {message.due:.3f}"
            f" answered {message.status or 'nothing'}"
        )

    async def hand_in_at_rate(self, until: float, per_s: float, make: Callable[[], Message]) -> None:
        """Hand messages in at a rate, until a time."""
        while self.world.record.now() < until:
            self.world.spawn(self.hand_in(make()))
            await asyncio.sleep(self.world.random.uniform(0.5, 1.5) / per_s)


def settings(
    *,
    registry: str,
    kinds: dict[str, int],
    zones: list[str],
    classes: list[dict[str, Any]],
    caps: dict[str, Any],
    rules: dict[str, float],
    report: str,
    siblings: int,
    slots: int,
) -> dict[str, Any]:
    """Return a settings object under the names of the wire page."""
    return {
        "areas": zones,
        "caps": {"cancelling": True, "cpuUsPerRequest": 0.0, "cpuUsPerS": 400000, "maxStreams": 1, **caps},
        "clientHabits": {"marksRetry": True},
        "familyInfo": {
            "kindApart": [False for _ in kinds],
            "late": "linear",
            "notes": "full: milliseconds to wait, 0 if none is told; moot: 1 no slot was free",
            "perCall": list(kinds.values()),
            "refusedPrice": 0.03,
            "reportX0": "share of the allowance that is left",
            "reportX1": "calls a second that the limit allows; 0 where there is none",
            "workers": slots,
            "zoneFee": [0.0 for _ in zones],
        },
        "grades": classes,
        "guarantees": rules,
        "index": 0,
        "overShareWorth": 0.1,
        "registryMode": registry,
        "report": {"fields": ["x0", "x1"] if report != "none" else [], "how": report},
        "resultMix": {"whole": 0.45, "worstClass": 0.2, "worstTenant": 0.0, "worstWindow": 0.35},
        "serviceType": "deliver",
        "shapes": list(kinds),
        "siblings": siblings,
        "stage": 0,
        "stages": ["partner-systems"],
        "tariffs": {"connection": 0.0, "handshake": 0.06, "lateFail": 0.02, "peer": 0.0091, "waste": 0.08},
        "tenants": [],
        "tick": 5.0,
        "weights": "none",
        "worthBy": "request",
        "zone": zones[0],
    }


def message_class(
    name: str, effect: str, aim_s: float, deadline_s: float, worth: float, ttl_s: float
) -> dict[str, Any]:
    """Return a class of messages under the names of the wire page."""
    return {
        "aim": aim_s * 1000,
        "deadline": deadline_s * 1000,
        "effect": effect,
        "keyScope": "all",
        "keyTtl": ttl_s * 1000,
        "lateWorth": 0.3,
        "name": name,
        "stream": False,
        "worth": worth,
    }


def lhota(siblings: int) -> dict[str, Any]:
    """Return settings like those of lhota-matrika: lists are asked for, answers carry reports."""
    return settings(
        registry="ask",
        kinds={"bulk-partner": 10, "partner": 1},
        zones=["radnice-sal"],
        classes=[
            message_class("event-notice", "keyed", 3, 24, 1.0, 6),
            message_class("status-update", "safe", 3, 28, 1.0, 5),
            message_class("fee-order", "unsafe", 3, 24, 3.0, 5),
        ],
        caps={
            "dialTimeout": 1500.0,
            "idleClose": 10000.0,
            "maxAttempts": 6,
            "maxOpen": 216,
            "maxRetryAfter": 3000.0,
            "parallelTries": False,
            "peers": False,
            "probes": False,
            "retryAfter": True,
        },
        rules={
            "answerSlack": 20.0,
            "askWithin": 10000.0,
            "cold": 9800.0,
            "coldFrom": 0.18,
            "drainGrace": 1000.0,
            "fall": 2000.0,
            "fallMultiple": 2.0,
        },
        report="answers",
        siblings=siblings,
        slots=12,
    )


def tota(siblings: int) -> dict[str, Any]:
    """Return settings like those of tota-port-of-spain: lists are pushed, no reports, no talk among senders."""
    return settings(
        registry="push",
        kinds={"lens-labs": 1, "frame-suppliers": 1, "insurers": 1},
        zones=["floor-1", "floor-2"],
        classes=[
            message_class("order", "keyed", 4, 24, 1.0, 25),
            message_class("status", "safe", 2, 16, 2.0, 5),
        ],
        caps={
            "dialTimeout": 1000.0,
            "idleClose": 15000.0,
            "maxAttempts": 8,
            "maxOpen": 90,
            "maxRetryAfter": 2000.0,
            "parallelTries": True,
            "peers": False,
            "probes": True,
            "retryAfter": True,
        },
        rules={
            "answerSlack": 20.0,
            "askWithin": 10000.0,
            "cold": 14000.0,
            "coldFrom": 0.2,
            "drainGrace": 1000.0,
            "fall": 1500.0,
            "fallMultiple": 2.0,
        },
        report="none",
        siblings=siblings,
        slots=16,
    )


def kulku(siblings: int) -> dict[str, Any]:
    """Return settings like those of kulku-main: lists are asked for, limits are in the list, a grace of 0.5 s."""
    table = settings(
        registry="ask",
        kinds={"big-operators": 1, "ticket-sellers": 1, "small-apps": 1},
        zones=["hall-a", "hall-b"],
        classes=[
            message_class("ticket-order", "keyed", 4, 28, 2.0, 7.5),
            message_class("disruption-notice", "safe", 1, 6, 1.0, 5),
        ],
        caps={
            "dialTimeout": 1500.0,
            "idleClose": 10000.0,
            "maxAttempts": 8,
            "maxOpen": 200,
            "maxRetryAfter": 3000.0,
            "parallelTries": False,
            "peers": False,
            "probes": False,
            "retryAfter": True,
        },
        rules={
            "answerSlack": 20.0,
            "askWithin": 10000.0,
            "cold": 14000.0,
            "coldFrom": 0.18,
            "drainGrace": 500.0,
            "fall": 3000.0,
            "fallMultiple": 2.0,
        },
        report="none",
        siblings=siblings,
        slots=20,
    )
    table["weights"] = "nominal"
    return table


def lost(world: World, senders: list[Sender]) -> list[Message]:
    """Return the messages that were taken on, and had neither a delivery nor a notice in their time."""
    found = []
    ready_at = max(sender.ready_at for sender in senders)
    for message in world.messages.values():
        if not message.taken_at:
            continue
        by = max(message.due, ready_at + READY_SLACK_S if ready_at > message.taken_at else 0)
        by += NOTICE_SLACK_S + LIMIT_SLACK_S
        ends = [at for at in message.delivered_at if at <= by] + [at for at, _ in message.notices if at <= by]
        if not ends and by <= world.record.now():
            found.append(message)
    return found


def main(play: Callable[[World], Awaitable[int]], folder: Path) -> None:
    """Run a case and exit with its result."""

    async def run() -> int:
        world = World(folder)
        try:
            async with asyncio.timeout(110):
                return await play(world)
        except (CaseError, TimeoutError) as error:
            world.record.add(f"could not run: {error!r}")
            return NOT_RUN
        finally:
            for sender in world.senders:
                for line in sender.log().splitlines():
                    world.record.lines.append(f"      log {sender.name}: {line}")
            await world.close()

    result = asyncio.run(run())
    words = {HELD: "held", BROKEN: "broken", NOT_RUN: "could not run"}
    print(f"{folder.name}: {words[result]}")
    sys.exit(result)

"""Attempts: one call to an endpoint, with one message or several, over connections that are kept in pools.

How an attempt ends is read off PROTOCOL's table. A connection that could not be had, or that broke before the call's
last byte was written, proves that nothing has run; after that byte it may have.
"""

from __future__ import annotations

import base64
import json
import math
import re
import socket
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

from scalefall import interface as i
from scalefall.net import http, streams
from scalefall.net.checks import check, log
from scalefall.net.endpoint_list import Entry
from scalefall.net.connection_retention import ConnectionRetention
from scalefall.net.scheduler import READ, TIME_UP, Scheduler, Task

MS = 1000
SECOND = 1_000_000
IDLE_MARGIN_US = 500 * MS  # a kept connection is closed so long before its endpoint would close it
REST_US = 20 * MS  # so long after an answer a connection is not used again: what still comes shows in it
AGED_US = 80 * MS  # a rested connection that nobody has used for so long may have died meanwhile
MOST_LOST, LOST_OVER = 0.03, 50  # above this share, over about so many calls, what must not run twice avoids them
ANSWER_US = SECOND  # from an answer's first byte to its last
DELIVERED_US = 200 * MS  # the same, once all that matters is known
STATES = {
    "accepted": i.Outcome.OK,
    "fault": i.Outcome.ERROR,
    "deferred": i.Outcome.FULL,
    "expired": i.Outcome.NOT_SENT,
    "no_more": i.Outcome.NOT_SENT,
}
Place = tuple[str, tuple[str, int]]  # an endpoint at its address: a new one there is not the one known before
DECIMAL = re.compile(r"\d{1,9}(\.\d{0,9})?\Z")


@dataclass(slots=True)
class MessageInCall:
    """One message in an attempt: the number of its attempt, and when its sender stops waiting."""

    id: str
    attempt: int
    ends_at_us: int
    key: str | None
    body: bytes
    not_idempotent: bool = False  # must not take effect twice: if it may have run, it has failed
    start_by_us: float = math.inf  # its first byte must not go out later: a repeat is dropped only so long


@dataclass(slots=True)
class Result:
    """What became of one message of an attempt."""

    outcome: i.Outcome
    wait_us: int = 0
    finished: bool = False
    unreadable: bool = False  # the endpoint could not read the call


@dataclass(slots=True, eq=False)
class Attempt:
    entry: Entry
    loads: list[MessageInCall]
    begun: int
    task: Task | None = None
    sock: socket.socket | None = None
    fresh: bool = False  # its connection is new
    idled: bool = False  # its connection had been idle for AGED_US or more
    written: bool = False  # the call's last byte is on its way
    over: bool = False


@dataclass(slots=True, eq=False)
class Kept:
    """An idle connection and the task that watches over it."""

    sock: socket.socket
    place: Place
    rested: int  # from then on it may be used again
    idle_close: int  # its endpoint closes it after so long
    keeper: Task | None = None


class Attempts:
    """Carries out Send, Cancel and Close; settle is called once for each message of an attempt."""

    def __init__(
        self,
        scheduler: Scheduler,
        settings: i.Settings,
        most_sockets: int,
        settle: Callable[[i.Attempted, bool], None],
        may_begin: Callable[[Entry], bool],
        wanted: Callable[[str], bool] = lambda name: True,
    ) -> None:
        self._scheduler, self._set, self._most = scheduler, settings, most_sockets
        self._settle, self._may_begin, self._wanted = settle, may_begin, wanted
        self._pools: dict[Place, deque[Kept]] = {}  # idle connections, the one used last at the right; none is empty
        self._out: dict[tuple[str, int], Attempt] = {}
        self._idle: dict[Kept, None] = {}  # all idle ones, the longest idle first
        self._busy = 0
        self._retention = ConnectionRetention(settings.siblings)
        self._lost = 0.0  # share, of late, of calls on idle connections that were reset with no answer

    @property
    def in_flight(self) -> int:
        return len({id(one) for one in self._out.values()})

    def begin(self, entry: Entry, loads: list[MessageInCall]) -> None:
        one = Attempt(entry, loads, self._scheduler.now())
        for load in loads:
            check((load.id, load.attempt) not in self._out, "an attempt is begun once")
            self._out[load.id, load.attempt] = one
        one.task = self._scheduler.spawn(self._carry, one)

    def cancel(self, name: str, attempt: int) -> None:
        """Stop waiting for one message. Its connection is closed with the last of the attempt: as long as it is open
        the message counts as out, and must not be told as ended."""
        one = self._out.get((name, attempt))
        if one is None or one.over:
            return
        for load in one.loads:
            if load.id == name:
                load.ends_at_us = min(load.ends_at_us, self._scheduler.now())
        if all(load.ends_at_us <= self._scheduler.now() for load in one.loads):
            unknown = i.Outcome.CANCELLED if one.written else i.Outcome.CONNECT_FAILED
            self._end(one, Result(unknown))

    def close_idle(self, entry: Entry) -> None:
        for kept in list(self._pools.get(_place(entry), ())):
            self._discard(kept)

    def endpoint_left(self, entry: Entry) -> None:
        """The endpoint wants nothing new any more, or has gone."""
        self.close_idle(entry)
        self._retention.forget(_place(entry))

    def close(self) -> None:
        for kept in list(self._idle):
            self._discard(kept)

    # -- connections

    def _connect(self, one: Attempt, until: int) -> None:
        """The connection used last of those that are idle, have rested and are still up; otherwise a new one. More
        than belongs to an answer may come right behind it, and must not answer the next call."""
        now, idle = self._scheduler.now(), self._pools.get(_place(one.entry), ())
        wary = self._lost > MOST_LOST and any(load.not_idempotent for load in one.loads)
        for kept in [kept for kept in reversed(idle) if kept.rested <= now]:
            one.idled = kept.rested + AGED_US <= now
            if one.idled and wary:
                break  # the others have been idle for longer
            self._forget(kept)
            if _still_up(kept.sock):
                one.sock = kept.sock
                return
            kept.sock.close()
        while self._idle and self._busy + len(self._idle) > self._most:
            self._discard(next(iter(self._idle)))  # the longest idle one makes room
        if self._busy > self._most:
            raise OSError("no socket left")
        one.idled, one.fresh = False, True
        one.sock = streams.dial(
            self._scheduler,
            one.entry.address,
            min(until, self._scheduler.now() + (one.entry.dial_us or self._set.dial_timeout_us)),
        )

    def _keep(self, one: Attempt) -> None:
        idle_close = one.entry.idle_us or self._set.idle_close_us
        if not self._retention.retention_us(_place(one.entry), idle_close):
            one.sock.close()
            one.sock = None
            return
        kept = Kept(one.sock, _place(one.entry), self._scheduler.now() + REST_US, idle_close)
        self._pools.setdefault(kept.place, deque()).append(kept)
        self._idle[kept] = None
        kept.keeper = self._scheduler.spawn(self._watch_over, kept)
        one.sock = None

    def _watch_over(self, kept: Kept) -> None:
        """Close an idle connection in time, and at once when its endpoint does or sends what nobody asked for."""
        span = max(kept.idle_close // 2, kept.idle_close - IDLE_MARGIN_US)
        span = min(span, REST_US + self._retention.retention_us(kept.place, kept.idle_close))
        if kept in self._idle:
            why = self._scheduler.pause(self._scheduler.now() + span, kept.sock, READ)
            if why is TIME_UP or kept in self._idle:
                self._discard(kept)

    def _forget(self, kept: Kept) -> None:
        """Out of the pool, and its keeper's pause is over: the socket has no waiter left."""
        del self._idle[kept]
        pool = self._pools[kept.place]
        pool.remove(kept)
        if not pool:
            del self._pools[kept.place]
        self._scheduler.wake(kept.keeper, "taken")

    def _discard(self, kept: Kept) -> None:
        if kept in self._idle:
            self._forget(kept)
            kept.sock.close()

    # -- an attempt

    def _carry(self, one: Attempt) -> None:
        if one.over:
            return
        self._busy += 1
        reader = http.AnswerReader()
        try:
            self._call(one, reader)
        except Exception as error:
            if not isinstance(error, (OSError, http.Malformed)):
                self._scheduler.failed("pass", self._call)
            if not one.over:
                self._broken(one, reader, error)
        finally:
            self._busy -= 1
            if not one.over:
                log.error("pass to %s ended with no result", one.entry.endpoint.id)
                self._end(one, Result(i.Outcome.ERROR if one.written else i.Outcome.CONNECT_FAILED))

    def _call(self, one: Attempt, reader: http.AnswerReader) -> None:
        until = max(load.ends_at_us for load in one.loads)
        self._retention.call_started(_place(one.entry), self._scheduler.now())
        self._connect(one, until)
        if one.over:
            self._drop(one)
            return
        if not self._may_begin(one.entry):  # drained, or told to wait, while the connection came up
            self._keep(one)
            self._end(one, Result(i.Outcome.NOT_SENT))
            return
        now = self._scheduler.now()
        self._leave_out(
            one,
            [
                load
                for load in one.loads
                if load.start_by_us < now or load.ends_at_us <= now or not self._wanted(load.id)
            ],
        )
        if not one.loads:
            self._keep(one)
            one.over = True
            return
        # An endpoint starts a call at its last byte, so one that is overtaken in its middle never ran: by the end of a
        # message's time, which has its final answer by then, or of the time for which a repeat is dropped.
        streams.send(
            self._scheduler,
            one.sock,
            self._encode(one),
            min(end for load in one.loads for end in (load.ends_at_us, load.start_by_us)),
        )
        one.written = True
        begun = 0
        while not reader.complete:
            data = streams.receive(self._scheduler, one.sock, until)
            begun = begun or self._scheduler.now()
            if one.over:
                return
            if not data:
                reader.ended()
                if reader.complete:
                    break
                raise ConnectionResetError("the endpoint closed the connection")
            reader.feed(data)
            told = reader.status == 200 and len(one.loads) == 1
            until = min(until, begun + (DELIVERED_US if told else ANSWER_US))
        self._learn(one, False)
        results = self._read(one, reader)
        if one.fresh:
            crowded = isinstance(results, Result) and results.outcome is i.Outcome.CROWDED
            (self._retention.connection_rejected if crowded else self._retention.connection_accepted)(_place(one.entry))
        if reader.keep and not reader.rest and results is not None:
            self._keep(one)
        results = results or Result(i.Outcome.ERROR, read_wait(reader.fields))
        self._end(one, results, reader)

    def _leave_out(self, one: Attempt, late: list[MessageInCall]) -> None:
        """A dial may take over a second: what might take effect twice by now, or is over, does not go along. A call
        with several waits for the one that has most time."""
        for load in late:
            one.loads.remove(load)
            self._tell(one, load, Result(i.Outcome.NOT_SENT), {})

    def _tell(self, one: Attempt, load: MessageInCall, result: Result, report: dict[str, float]) -> None:
        del self._out[load.id, load.attempt]
        self._settle(
            i.Attempted(
                load.id,
                load.attempt,
                one.entry.endpoint.id,
                result.outcome,
                self._scheduler.now() - one.begun,
                result.finished,
                result.wait_us,
                dict(report),
            ),
            result.unreadable,
        )

    def _encode(self, one: Attempt) -> bytes:
        endpoint_left = max(1, max(load.ends_at_us for load in one.loads) - self._scheduler.now())
        host = one.entry.host or one.entry.endpoint.id
        deadline = ("X-Deadline", f"{endpoint_left // MS}m" if endpoint_left >= 10 * MS else f"{endpoint_left}u")
        if len(one.loads) == 1:
            load = one.loads[0]
            fields = [("X-Request-Id", load.id), deadline, ("Content-Type", "application/octet-stream")]
            if load.key is not None:
                fields.insert(1, ("Idempotency-Key", load.key))
            return http.request("POST", "/v1/messages", host, fields, load.body)
        rows = [_row(load.id, load.key, base64.b64encode(load.body).decode()) for load in one.loads]
        return http.request(
            "POST",
            "/v1/messages:batch",
            host,
            [deadline, ("Content-Type", "application/json")],
            json.dumps(rows, separators=(",", ":")).encode(),
        )

    def _broken(self, one: Attempt, reader: http.AnswerReader, error: Exception) -> None:
        """The table's lower half: no whole answer came. A first line of 200 is true for a single message; whatever
        else a spoilt answer says, the call may have run."""
        single, status, begun = len(one.loads) == 1, reader.status, reader.begun or reader.interim
        if not one.written:
            result = Result(i.Outcome.CONNECT_FAILED)
        elif single and status == 200:
            result = Result(i.Outcome.OK, finished=True)
        elif begun and (not isinstance(error, OSError) or isinstance(error, streams.TimeUp)):
            log.warning("answer of %s cannot be used: %s", one.entry.endpoint.id, error)
            result = Result(i.Outcome.ERROR)
        elif status and status != 200:  # broken off: the first line counts, what it tells has been told
            result = self._by_status(one, reader)
        elif isinstance(error, streams.TimeUp):
            result = Result(i.Outcome.TIMEOUT)
        else:
            result = Result(i.Outcome.RESET if isinstance(error, OSError) else i.Outcome.ERROR)
        self._learn(one, result.outcome is i.Outcome.RESET)
        self._end(one, result, reader)

    def _learn(self, one: Attempt, lost: bool) -> None:
        """Connections may die while they are idle with no word to us: how often, calls on such ones tell."""
        if one.idled and one.written:
            self._lost += (lost - self._lost) / LOST_OVER

    def _read(self, one: Attempt, reader: http.AnswerReader) -> Result | dict[str, Result] | None:
        """None if the answer is whole but cannot be used."""
        if reader.status == 200 and len(one.loads) > 1:
            return self._read_batch(one, reader)
        return self._by_status(one, reader)

    def _by_status(self, one: Attempt, reader: http.AnswerReader) -> Result:
        status, wait = reader.status, read_wait(reader.fields)
        if status == 200:
            return Result(i.Outcome.OK if len(one.loads) == 1 else i.Outcome.ERROR, wait, len(one.loads) == 1)
        if status == 429 or status == 503:
            if "x-egress-full" in reader.fields:
                return Result(i.Outcome.NOT_SENT, wait)
            # What turns a call away knows its load and tells it; what turns a connection away does not get so far.
            crowded = (
                status == 503
                and one.fresh
                and reader.head_done
                and not wait
                and self._set.answers_report
                and "x-load" not in reader.fields
            )
            return Result(i.Outcome.CROWDED if crowded else i.Outcome.FULL, wait)
        if status == 504 or status == 410:
            return Result(i.Outcome.NOT_SENT, wait, status == 410)
        if status != 500:
            log.warning("answer of %s cannot be used: status %d", one.entry.endpoint.id, status)
        if status in (400, 413) and len(one.loads) > 1:
            return Result(i.Outcome.NOT_SENT, wait, unreadable=True)
        return Result(i.Outcome.ERROR, wait)

    def _read_batch(self, one: Attempt, reader: http.AnswerReader) -> dict[str, Result] | None:
        wait, results = read_wait(reader.fields), {}
        try:
            for row in json.loads(bytes(reader.body)):
                results[row["id"]] = Result(STATES[row["state"]], wait, row["state"] in ("accepted", "expired"))
        except (ValueError, TypeError, KeyError, RecursionError) as error:
            log.warning("answer of %s cannot be used: %r", one.entry.endpoint.id, error)
            return None
        return {load.id: results.get(load.id) or Result(i.Outcome.ERROR, wait) for load in one.loads}

    def _end(self, one: Attempt, results: Result | dict[str, Result], reader: http.AnswerReader | None = None) -> None:
        """Tell every message's outcome, once. What an attempt that is over still brings touches nothing."""
        one.over = True
        report = read_report(reader.fields) if reader is not None and reader.head_done else {}
        self._drop(one)
        for load in one.loads:
            self._tell(one, load, results if isinstance(results, Result) else results[load.id], report)

    def _drop(self, one: Attempt) -> None:
        """Close the attempt's connection and end its task's pause on it."""
        if one.task is not None:
            self._scheduler.wake(one.task, streams.Interrupted("the attempt is over"))
        if one.sock is not None:
            one.sock.close()
            one.sock = None


def _place(entry: Entry) -> Place:
    return entry.endpoint.id, entry.address


def _row(name: str, key: str | None, body: str) -> dict[str, str]:
    return {"id": name, "body": body} if key is None else {"id": name, "key": key, "body": body}


def batch_row_size(name: str, key: str | None, body: bytes) -> int:
    """What a message takes of the body of a call with several."""
    return len(json.dumps(_row(name, key, ""), separators=(",", ":"))) + 4 * -(-len(body) // 3) + 2


def _still_up(sock: socket.socket) -> bool:
    try:
        sock.recv(1, socket.MSG_PEEK)
    except BlockingIOError:
        return True
    except OSError:
        pass
    return False


def read_wait(fields: dict[str, str]) -> int:
    """Retry-After, in seconds with decimals, as microseconds; rounded up, as a wait is not cut short."""
    value = fields.get("retry-after", "")
    return math.ceil(float(value) * SECOND) if DECIMAL.match(value) else 0


def read_report(fields: dict[str, str]) -> dict[str, float]:
    """The report that an answer may carry; one that cannot be read is as good as none."""
    try:
        table: Any = json.loads(fields.get("x-load") or "{}")
        report = {name: float(value) for name, value in table.items()}
        if all(0 <= value < math.inf for value in report.values()):
            return report
        raise ValueError("no figures")
    except (ValueError, TypeError, AttributeError, OverflowError, RecursionError):
        log.warning("report cannot be read: %.80r", fields.get("x-load"))
        return {}

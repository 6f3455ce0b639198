"""Adapter between the engine and the simulator: JSON lines on standard input and output, one reply for each batch.

It translates the wire's events to the engine's and the engine's actions to the wire's commands, and decides nothing. A
batch is `{"clock": milliseconds, "inbox": [event, ...]}`, its reply `{"cmds": [command, ...]}`. Events and commands
are rows: the name, then the instance that the row is for, then the arguments.
"""

from __future__ import annotations

import json
import sys
from typing import Any

from scalefall.errors import ProtocolError
from scalefall.policy.actions import (
    Action,
    CancelAttempt,
    CloseIdleConnections,
    Fail,
    LogLine,
    PollEndpointList,
    Probe,
    Send,
    SetTimer,
    Shed,
)
from scalefall.policy.engine import Engine
from scalefall.policy.events import (
    AttemptFinished,
    Endpoint,
    EndpointListUpdate,
    EndpointStatus,
    Event,
    ListUpdateKind,
    Message,
    MessageWithdrawn,
    Outcome,
    ProbeFinished,
    TimerFired,
)
from scalefall.settings_reader import SettingsError, read_settings, to_microseconds, to_milliseconds

OUTCOMES = {
    "done": Outcome.OK,
    "err": Outcome.ERROR,
    "busy": Outcome.OVERLOADED,
    "etimedout": Outcome.TIMEOUT,
    "econnrefused": Outcome.CONNECT_FAILED,
    "econnreset": Outcome.RESET,
    "ecanceled": Outcome.CANCELLED,
    "skipped": Outcome.NOT_SENT,
}


Row = list[Any]  # one event or command of the wire
Events = dict[str, list[Event]]  # events of one batch by instance


class WireError(ProtocolError):
    """A line of input is malformed; the text names the event and the reason."""


class SimulatorAdapter:
    """The engines of this process, one for each instance, and the numbered endpoint lists of the wire."""

    def __init__(self) -> None:
        """Start with no instance."""
        self.engines: dict[str, Engine] = {}
        self._report_fields: dict[str, list[str]] = {}  # by instance
        self._tenants: dict[str, list[str]] = {}  # names by instance, in the order of the settings
        self._inventories: dict[int, list[Endpoint]] = {}  # endpoint lists by number

    def batch(self, clock_ms: float, inbox: list[Row]) -> list[Row]:
        """Hand each instance its events, in order, in one step; return the commands.

        Raises:
            WireError: An event is malformed.
        """
        now_us = to_microseconds(clock_ms)
        events: Events = {}
        reply: list[Row] = []
        for row in inbox:
            try:
                self._read_row(now_us, row, events)
            except SettingsError as error:
                reply.append(["fault", row[1], str(error)])
            except ValueError as error:
                raise WireError(f"event {row[:1]}: {error}") from error
            except (TypeError, IndexError, KeyError, AttributeError) as error:
                name = row[0] if isinstance(row, list) and row else row
                raise WireError(f"event {str(name)[:80]!r}: missing or wrong value ({error!r})") from error
        for instance, instance_events in events.items():
            self._handle(now_us, instance, instance_events, reply)
        return reply

    def _handle(self, now_us: int, instance: str, events: list[Event], reply: list[Row]) -> None:
        engine = self.engines.get(instance)
        if engine is None or not events:
            return
        try:
            reply.extend(write_action(instance, action) for action in engine.handle(now_us, events))
        except Exception as error:  # noqa: BLE001 - any failure of the engine is reported as a command of the wire
            reply.append(["fault", instance, f"{type(error).__name__}: {error}"])

    def _read_row(self, now_us: int, row: Row, events: Events) -> None:
        """Apply an event that concerns the process; add one for an instance's engine to the batch's events."""
        if not isinstance(row, list) or not row:
            raise WireError(f"event is not a list with a name: {str(row)[:80]}")
        name = row[0]
        if name == "inventory":
            self._inventories[row[1]] = [_read_endpoint(entry) for entry in row[2]]
        elif name == "openInstance":
            events.pop(row[1], None)
            self._open(row)
        elif name == "teardown":
            events.pop(row[1], None)
            self.engines.pop(row[1], None)
        elif name not in ("peer", "accepted"):
            event = self._read_event(name, row)
            events.setdefault(row[1], []).append(event)

    def _open(self, row: Row) -> None:
        instance = row[1]
        settings = read_settings(row[3])
        self.engines[instance] = Engine(settings, int(row[2]))
        self._report_fields[instance] = settings.report_fields
        self._tenants[instance] = list(settings.tenants)

    def _read_event(self, name: str, row: Row) -> Event:
        if name == "ingress":
            return Message(row[2], row[9], row[6], to_microseconds(row[4]), self._tenant(row[1], row[3]), row[8])
        if name == "settled":
            return self._read_attempt(row)
        if name == "pong":
            return ProbeFinished(
                row[2], OUTCOMES[row[3]], to_microseconds(row[4]), 0, self._load_report(row[1], row[5])
            )
        if name == "timer":
            return TimerFired(int(row[2]))
        if name == "dropped":
            return MessageWithdrawn(row[2])
        if name == "backendsChanged":
            kind = ListUpdateKind(row[2])
            failed = kind is ListUpdateKind.FAILED
            return EndpointListUpdate(kind, [] if failed else list(self._inventories[row[4]]))
        raise WireError(f"unknown event {str(name)[:80]!r}")

    def _read_attempt(self, row: Row) -> AttemptFinished:
        return AttemptFinished(
            id=row[2],
            attempt=row[3],
            endpoint=row[4],
            outcome=OUTCOMES[row[5]],
            latency_us=to_microseconds(row[6]),
            finished=bool(row[7]),
            retry_after_us=to_microseconds(row[8]) if row[5] == "busy" else 0,
            load_report=self._load_report(row[1], row[9]),
        )

    def _tenant(self, instance: str, value: Any) -> str | None:
        """Return a tenant's name from its name or its index in the settings."""
        names = self._tenants.get(instance, [])
        if isinstance(value, int) and not isinstance(value, bool):
            return names[value] if 0 <= value < len(names) else None
        name: str | None = value
        return name

    def _load_report(self, instance: str, values: list[float] | None) -> dict[str, float]:
        return dict(zip(self._report_fields.get(instance, []), values, strict=False)) if values else {}


def _read_endpoint(entry: Row) -> Endpoint:
    return Endpoint(entry[0], entry[1], entry[2], entry[3], EndpointStatus(entry[4]), float(entry[5] or 0))


def write_action(instance: str, action: Action) -> Row:
    """Return an action as a command of the wire."""
    match action:
        case Send(id=message, endpoint=endpoint, timeout_us=timeout):
            return ["deliver", instance, message, to_milliseconds(timeout), endpoint]
        case SetTimer(token=token, delay_us=delay):
            return ["schedule", instance, token, to_milliseconds(delay)]
        case Shed(id=message, retry_after_us=after):
            return ["shed", instance, message, to_milliseconds(after)]
        case Fail(id=message):
            return ["giveUp", instance, message]
        case CancelAttempt(id=message, attempt=attempt):
            return ["stopAttempt", instance, message, attempt]
        case Probe(endpoint=endpoint):
            return ["check", instance, endpoint]
        case CloseIdleConnections(endpoint=endpoint):
            return ["release", instance, endpoint]
        case PollEndpointList(on=on):
            return ["tail", instance, on]
        case LogLine(line=line):
            return ["debug", instance, line]
    raise TypeError(f"unknown action {action!r}")


def read_batch(line: str) -> tuple[float, list[Row]]:
    """Return the clock in milliseconds and the events of a line.

    Raises:
        WireError: The line is not a batch.
    """
    try:
        batch = json.loads(line)
    except ValueError as error:
        raise WireError(f"not valid JSON ({error})") from error
    if not isinstance(batch, dict) or not isinstance(batch.get("inbox"), list):
        raise WireError("a batch must be an object with 'clock' and the array 'inbox'")
    if isinstance(batch.get("clock"), bool) or not isinstance(batch.get("clock"), (int, float)):
        raise WireError("'clock' must be a number")
    return batch["clock"], batch["inbox"]


def main() -> int:
    """Answer standard input line by line; return the exit code, 2 if a line is malformed."""
    adapter = SimulatorAdapter()
    for number, line in enumerate(sys.stdin, 1):
        try:
            reply = adapter.batch(*read_batch(line))
        except WireError as error:
            print(f"scalefall.adapter: line {number}: {error}", file=sys.stderr)
            return 2
        sys.stdout.write(json.dumps({"cmds": reply}, separators=(",", ":")) + "\n")
        sys.stdout.flush()
    return 0


if __name__ == "__main__":
    sys.exit(main())

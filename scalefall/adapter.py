"""Wire to interface and back: JSON lines on standard input, one reply a batch on standard output. Chooses nothing."""

from __future__ import annotations

import json
import sys
from typing import Any

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
from scalefall.settings_reader import ms, read_settings, us

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


class WireError(Exception):
    """What came in cannot be read; the text says what and where."""


class Host:
    """The instances of this process and the numbered lists that they are told of."""

    def __init__(self) -> None:
        self.senders: dict[str, Engine] = {}
        self.fields: dict[str, list[str]] = {}
        self.tenants: dict[str, list[str]] = {}
        self.sheets: dict[int, list[Endpoint]] = {}
        self.next_attempt: dict[str, dict[str, int]] = {}

    def batch(self, clock: float, inbox: list[Any]) -> list[list[Any]]:
        """Hand each instance its events, in order, in one call; give back the wire's actions."""
        now, events, reply = us(clock), {}, []
        for row in inbox:
            try:
                self._take(now, row, events, reply)
            except ValueError as error:
                if not str(error).startswith("settings:"):
                    raise WireError(f"event {row[:1]}: {error}") from error
                reply.append(["fault", row[1], str(error)])
            except (TypeError, IndexError, KeyError, AttributeError) as error:
                name = row[0] if isinstance(row, list) and row else row
                raise WireError(f"event {str(name)[:80]!r}: missing or wrong value ({error!r})") from error
        for sender_id in list(events):
            self._handle(now, sender_id, events, reply)
        return reply

    def _handle(self, now: int, sender_id: str, events: dict[str, list[Event]], reply: list[list[Any]]) -> None:
        sender, waiting = self.senders.get(sender_id), events.pop(sender_id, [])
        if sender is None or not waiting:
            return
        try:
            reply.extend(write_action(sender_id, action) for action in sender.handle(now, waiting))
        except Exception as error:  # the wire's word for a module that failed
            reply.append(["fault", sender_id, f"{type(error).__name__}: {error}"])

    def _take(self, now: int, row: Any, events: dict[str, list[Event]], reply: list[list[Any]]) -> None:
        if not isinstance(row, list) or not row:
            raise WireError(f"event is not a list with a name: {str(row)[:80]}")
        name = row[0]
        if name == "inventory":
            self.sheets[row[1]] = [
                Endpoint(e[0], e[1], e[2], e[3], EndpointStatus(e[4]), float(e[5] or 0)) for e in row[2]
            ]
        elif name == "openInstance":
            events.pop(row[1], None)
            settings = read_settings(row[3])
            self.fields[row[1]], self.senders[row[1]] = settings.report_fields, Engine(settings, int(row[2]))
            self.tenants[row[1]] = list(settings.tenants)
        elif name == "teardown":
            events.pop(row[1], None)
            self.senders.pop(row[1], None)
        elif name not in ("peer", "accepted"):
            event = self._event(name, row)
            events.setdefault(row[1], []).append(event)

    def _event(self, name: str, row: list[Any]) -> Event:
        if name == "ingress":
            return Message(row[2], row[9], row[6], us(row[4]), self._tenant(row[1], row[3]), row[8])
        if name == "settled":
            return AttemptFinished(
                row[2],
                row[3],
                row[4],
                OUTCOMES[row[5]],
                us(row[6]),
                bool(row[7]),
                us(row[8]) if row[5] == "busy" else 0,
                self._report(row[1], row[9]),
            )
        if name == "pong":
            return ProbeFinished(row[2], OUTCOMES[row[3]], us(row[4]), 0, self._report(row[1], row[5]))
        if name == "timer":
            return TimerFired(int(row[2]))
        if name == "dropped":
            return MessageWithdrawn(row[2])
        if name == "backendsChanged":
            kind = ListUpdateKind(row[2])
            return EndpointListUpdate(kind, [] if kind is ListUpdateKind.FAILED else list(self.sheets[row[4]]))
        raise WireError(f"unknown event {str(name)[:80]!r}")

    def _tenant(self, sender_id: str, value: Any) -> str | None:
        names = self.tenants.get(sender_id, [])
        if isinstance(value, int) and not isinstance(value, bool):
            return names[value] if 0 <= value < len(names) else None
        return value

    def _report(self, sender_id: str, row: Any) -> dict[str, float]:
        return dict(zip(self.fields.get(sender_id, []), row)) if row else {}


def write_action(sender_id: str, action: Action) -> list[Any]:
    """One action as the wire's row."""
    match action:
        case Send(id=message, endpoint=endpoint, timeout_us=timeout):
            return ["deliver", sender_id, message, ms(timeout), endpoint]
        case SetTimer(token=token, delay_us=delay):
            return ["schedule", sender_id, token, ms(delay)]
        case Shed(id=message, retry_after_us=after):
            return ["shed", sender_id, message, ms(after)]
        case Fail(id=message):
            return ["giveUp", sender_id, message]
        case CancelAttempt(id=message, attempt=attempt):
            return ["stopAttempt", sender_id, message, attempt]
        case Probe(endpoint=endpoint):
            return ["check", sender_id, endpoint]
        case CloseIdleConnections(endpoint=endpoint):
            return ["release", sender_id, endpoint]
        case PollEndpointList(on=on):
            return ["tail", sender_id, on]
        case LogLine(line=line):
            return ["debug", sender_id, line]
    raise TypeError(f"unknown action {action!r}")


def read_batch(line: str) -> tuple[float, list[Any]]:
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
    host = Host()
    for number, line in enumerate(sys.stdin, 1):
        try:
            reply = host.batch(*read_batch(line))
        except WireError as error:
            print(f"scalefall.adapter: line {number}: {error}", file=sys.stderr)
            return 2
        sys.stdout.write(json.dumps({"cmds": reply}, separators=(",", ":")) + "\n")
        sys.stdout.flush()
    return 0


if __name__ == "__main__":
    sys.exit(main())

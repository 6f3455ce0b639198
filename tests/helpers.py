"""A Sender under test and the events that drive it; no server is modelled here."""

from __future__ import annotations

from scalefall import interface as i
from scalefall.policy import Sender

MS, S = 1000, 1_000_000


def message_class(name="safe", effect=i.Effect.SAFE, **changes):
    values = dict(
        name=name,
        aim_us=S,
        deadline_us=8 * S,
        worth=1.0,
        late_worth=0.5,
        effect=effect,
        key_scope_zone=False,
        key_ttl_us=5 * S,
        in_order=False,
    )
    return i.MessageClass(**(values | changes))


CLASSES = (
    message_class(),
    message_class("keyed", i.Effect.KEYED),
    message_class("zoned", i.Effect.KEYED, key_scope_zone=True),
    message_class("unsafe", i.Effect.UNSAFE, deadline_us=16 * S, aim_us=4 * S),
    message_class("ordered", i.Effect.UNSAFE, deadline_us=16 * S, aim_us=4 * S, in_order=True),
)


def settings(**changes):
    values = dict(
        index=0,
        siblings=2,
        classes={c.name: c for c in CLASSES},
        tenants={},
        over_share_worth=0.1,
        slots=10,
        per_call={"one": 1, "many": 20, "route": 1},
        apart={"one": False, "many": False, "route": True},
        zone_fee={"a": 0.0, "b": 0.0},
        halving=False,
        max_attempts=6,
        max_held=100,
        cancelling=True,
        probes=True,
        retry_after=True,
        max_retry_after_us=2 * S,
        idle_close_us=5 * S,
        dial_timeout_us=S,
        streams=1,
        ask=False,
        ask_within_us=10 * S,
        weights="none",
        report_fields=["x0", "x1"],
        answer_slack_us=20 * MS,
        cold_from=0.25,
        cold_us=12 * S,
        drain_grace_us=S,
        fall_us=3 * S,
        fall_multiple=1.5,
        turn_gap_us=300 * MS,
        tick_us=5 * MS,
    )
    return i.Settings(**(values | changes))


class Drive:
    """Hands events to one Sender and keeps what it did."""

    def __init__(self, **changes):
        self.settings = settings(**changes)
        self.sender, self.now, self.actions, self.attempts = Sender(self.settings, 7), 0, [], {}

    def turn(self, *events, after=0):
        self.now += after
        self.actions = self.sender.handle(self.now, list(events))
        for action in self.of(i.Send):
            self.attempts[action.id] = self.attempts.get(action.id, -1) + 1
        return self.actions

    def of(self, kind):
        return [action for action in self.actions if isinstance(action, kind)]

    def list(self, *rows, kind=i.ListKind.WHOLE, status=i.Status.READY):
        """Rows are (id, destination, kind of endpoint, zone), the last two optional."""
        full = [(*row, "one", "a")[:4] if len(row) == 2 else (*row, "a")[:4] for row in rows]
        return self.turn(i.Listed(kind, [i.Endpoint(e, z, k, d, status, 0.0) for e, d, k, z in full]))

    def arrive(self, *ids, cls="safe", dest=1, key=None, after=0, tenant=None):
        due = self.settings.classes[cls].deadline_us if cls in self.settings.classes else 8 * S
        self.turn(*(i.Message(m, dest, cls, self.now + after + due, tenant, key) for m in ids), after=after)
        return [send.id for send in self.of(i.Send)]

    def result(self, ids, endpoint, outcome=i.Outcome.OK, after=100 * MS, wait=0, report=None):
        """Outcomes of the last attempts of ids; a number for wait, or one for each."""
        ids = [ids] if isinstance(ids, str) else ids
        waits = wait if isinstance(wait, list) else [wait] * len(ids)
        self.turn(
            *(
                i.Attempted(m, self.attempts[m], endpoint, outcome, after, outcome is i.Outcome.OK, w, report or {})
                for m, w in zip(ids, waits)
            ),
            after=after,
        )
        return [send.id for send in self.of(i.Send)]

    def tick(self, after=20 * MS):
        self.turn(i.Timer(1), after=after)
        return [send.id for send in self.of(i.Send)]

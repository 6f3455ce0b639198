"""Maps the names in the code to the names in the stored data; no other module knows both.

The stored files and the JSON beside them do not follow renames in the code. When a class, a method or a field is
renamed, only this module changes, and never its JSON keys.
"""

import math
from dataclasses import dataclass, field

from scalefall.assignment.assembly import AssignmentSettings, assemble
from scalefall.assignment.model import Node
from scalefall.assignment.snapshot import TableState, decode, encode
from scalefall.control.transport.leadership import LeaderState
from scalefall.control.transport.state import StateDirectory
from scalefall.net import journal, learned_rates
from scalefall.net.journal_records import FinalAnswer, PendingDelivery
from scalefall.net.maintenance_store import MaintenanceStore
from scalefall.policy.actions import RouteAllowance
from scalefall.policy.events import EndpointReport, LearnedRate, Outcome
from scalefall.policy.settings import Idempotency

DISK_BYTES = 4_000_000  # the sender's limit for its state folder
REPEAT = {
    "not recorded": None,
    "freely": Idempotency.IDEMPOTENT,
    "with key": Idempotency.WITH_KEY,
    "never": Idempotency.NOT_IDEMPOTENT,
}
FINAL_ANSWERS = {"none": None, "failed": FinalAnswer.FAILED, "returned": FinalAnswer.RETURNED}
MAX_AGES_US = {"rates": learned_rates.MAX_AGE_US}  # age in microseconds from which stored data is ignored
OUTCOMES = {"not sent": Outcome.NOT_SENT, "cannot connect": Outcome.CONNECT_FAILED}


def _name_of(table, value):
    (name,) = [name for name, own in table.items() if own == value]
    return name


# -- the sender's journal


def open_journal(folder):
    return journal.Journal(str(folder), DISK_BYTES)


def perform(opened_journal, operation):
    """Apply one of the stored operations to a journal; return whether it was written."""
    match operation:
        case ["accept", row]:
            return opened_journal.record_accepted(delivery(row))
        case ["start attempt", ids, wall_us, zone]:
            return opened_journal.record_attempt_started(ids, wall_us, zone)
        case ["finish attempt", name, may_have_run]:
            opened_journal.record_attempt_finished(name, may_have_run)
        case ["finish", name]:
            opened_journal.record_finished(name)
        case ["owe notice", name, end, after_ms]:
            opened_journal.record_final_answer(name, FINAL_ANSWERS[end], after_ms)
        case _:
            raise ValueError(operation)
    return True


def delivery(row):
    return PendingDelivery(
        id=row["id"],
        class_name=row["class"],
        destination=row["destination"],
        due_wall_us=row["due_us"],
        idempotency_key=row["key"],
        body=bytes.fromhex(row["body"]),
        idempotency=REPEAT[row["repeat"]],
        key_scope_zone=row["key holds in one zone"],
        key_ttl_us=row["key_lifetime_us"],
    )


def deliveries(opened_journal):
    """Return all pending deliveries of a journal, in its order."""
    return [
        {
            "id": row.id,
            "class": row.class_name,
            "destination": row.destination,
            "due_us": row.due_wall_us,
            "key": row.idempotency_key,
            "body": row.body.hex(),
            "attempts": row.attempts,
            "may_have_run_at_us": row.may_have_run_wall_us,
            "may_have_run_in": row.may_have_run_zone,
            "attempt_open": row.in_flight,
            "last_attempt_at_us": row.attempt_started_wall_us,
            "last_attempt_in": row.attempt_zone,
            "owes": _name_of(FINAL_ANSWERS, row.final_answer),
            "after_ms": row.retry_after_ms,
            "repeat": _name_of(REPEAT, row.idempotency),
            "key holds in one zone": row.key_scope_zone,
            "key_lifetime_us": row.key_ttl_us,
        }
        for row in opened_journal.pending.values()
    ]


# -- the sender's learned rates and endpoints in maintenance


def save_rates(folder, rows, wall_us):
    learned_rates.save(str(folder), learned_rates.reserved_bytes(DISK_BYTES), [rate(row) for row in rows], wall_us)


def load_rates(folder, wall_us):
    return [rate_row(row) for row in learned_rates.load(str(folder), learned_rates.reserved_bytes(DISK_BYTES), wall_us)]


def rate(row):
    return LearnedRate(
        destination=row["destination"], route=row["route"], own_rate=row["own_rate"], limit=row["reported_limit"]
    )


def rate_row(known):
    return {
        "destination": known.destination,
        "route": known.route,
        "own_rate": known.own_rate,
        "reported_limit": known.limit,
    }


def save_maintenance(folder, names):
    return MaintenanceStore(str(folder), DISK_BYTES).save(set(names))


def load_maintenance(folder):
    return sorted(MaintenanceStore(str(folder), DISK_BYTES).load())


# -- control's state folder


@dataclass
class _Ledger:
    number: int = 0


class StandIn:
    """Stands in for a control service: records what it restores from its predecessor, and provides what is saved."""

    def __init__(self, state, assignment_text, now_us):
        self.ledger, self.allocator, self.engine = _Ledger(), self, self
        self._state, self._text, self._now = state, assignment_text, now_us
        self.seen = {}

    def become_leader(self, now, number, snapshot=None):
        self.seen |= {"granting_at_us": now, "highest_number": number, "assignment_text": snapshot}
        self.ledger.number = number

    def restore(self, events, now):
        self.seen["events"] = [event_row(event) for event in events]

    def generation(self):
        return 0 if self._text is None else 1

    def snapshot(self):
        return self._text

    def unsettled_allowances(self):
        return [
            RouteAllowance(
                destination=row["destination"],
                route=row["route"],
                endpoints={name: math.inf if own is None else own for name, own in row["endpoints"].items()},
                rate=row["rate"],
                retry_after_until=self._now + row["silent_for_us"],
            )
            for row in self._state["allowances"]
        ]

    def learned_rates(self):
        return [rate(row) for row in self._state["rates"]]


def event_row(event):
    match event:
        case LearnedRate():
            return {"learned": rate_row(event)}
        case EndpointReport():
            return {
                "endpoint": event.endpoint,
                "sent_at_us": event.sent_us,
                "outcome": _name_of(OUTCOMES, event.outcome),
                "wait_us": event.retry_after_us,
            }


@dataclass
class Leader:
    """The part of a control process that uses the state folder."""

    folder: str
    state: dict
    assignment_text: str | None
    now_us: int
    wall_us: int
    service: StandIn = field(init=False)

    def __post_init__(self):
        self.service = StandIn(self.state, self.assignment_text, self.now_us)
        self._leader_state = LeaderState(self.service, StateDirectory(str(self.folder)), 1_000_000)

    def lead(self):
        """Acquire leadership; return what the service restored from its predecessor."""
        assert self._leader_state.acquire_leadership(self.now_us, self.wall_us)
        return self.service.seen

    def grant_up_to(self, number):
        self.service.ledger.number = number
        self._leader_state.reserve_numbers()

    def save(self):
        self._leader_state.save(self.now_us, self.wall_us)

    def end(self):
        self._leader_state.release()


def assignment_text(row):
    state = TableState(
        table={shard: tuple(holders) for shard, holders in row["holders"]},
        isolated=dict(row["own_shards"]),
        generation=row["generation"],
        nodes=tuple(Node(*each) for each in row["nodes"]),
    )
    return encode(state, row["settings"])


def assignment_row(text, settings):
    state = decode(text, settings)
    return {
        "settings": settings,
        "generation": state.generation,
        "own_shards": sorted([destination, shard] for destination, shard in state.isolated.items()),
        "nodes": [[node.name, node.region, node.zone] for node in state.nodes],
        "holders": [[shard, list(holders)] for shard, holders in state.table.items()],
    }


def reassembled_snapshot(text, shards):
    """Return the snapshot of a coordinator that starts from this text, and the reason if it rejected the text."""
    settings = AssignmentSettings(shards=shards, lease_us=2_000_000, delay_us=500_000, restart_us=3_000_000)
    assembly, rejected = assemble(0, settings, text)
    return assembly.snapshot(), rejected

"""The audit's rules other than that for grants; audit.py describes each. No I/O."""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterator, Sequence
from dataclasses import dataclass, field

from scalefall.control.audit_log import SECOND, LogRow, RowsByEvent, between, grouped

DRAIN_GRACE_US = SECOND  # calls may begin for so long after a drain, while the change reaches the proxies
ROUNDING_CALLS = 3  # calls tolerated above a window's capacity, which need not be an integer
NEVER = 1 << 62  # us; later than any row


@dataclass(slots=True)
class Finding:
    """The audit's result for one rule."""

    rule: str
    checked: int = 0  # the number of cases to which the rule applied
    violations: list[str] = field(default_factory=list)  # one sentence each, with line numbers

    @property
    def verdict(self) -> str:
        """Return "kept", "broken" or "not seen"."""
        if self.violations:
            return "broken"
        return "kept" if self.checked else "not seen"


def check_drains(rows: RowsByEvent, finding: Finding) -> None:
    """Check that no call to a draining endpoint begins later than DRAIN_GRACE_US after the drain."""
    sent = grouped(rows["sent"], lambda row: row.text_if_any("endpoint"))
    changes_of = grouped(rows["endpoint"], lambda row: row.text_if_any("endpoint"))
    for endpoint, changes in changes_of.items():
        first = changes[0]
        candidates = sent.get(endpoint) or sent.get(first.text_if_any("address"), [])
        calls = [row for row in candidates if row.text_if_any("route") == first.text_if_any("route")]
        for drained, until in _drained_spans(changes, finding):
            for call in between(calls, drained.at + DRAIN_GRACE_US + 1, until):
                finding.violations.append(
                    f"line {call.line}: {call.text_if_any('proxy')} sends to {endpoint} "
                    f"{(call.at - drained.at) / 1e6:.3f} s after line {drained.line} took it out"
                )


def _drained_spans(changes: Sequence[LogRow], finding: Finding) -> Iterator[tuple[LogRow, int]]:
    """Yield the spans in which an endpoint drains or is removed: the change that began it, the next change's time."""
    drained: LogRow | None = None
    for position, change in enumerate(changes):
        if change.text("now") not in ("draining", "gone"):
            drained = None
            continue
        drained = drained or change
        finding.checked += 1
        yield drained, changes[position + 1].at if position + 1 < len(changes) else NEVER


def check_retry_after(rows: RowsByEvent, finding: Finding) -> None:
    """Check that no proxy that must know of a Retry-After begins a call on its route before it has passed."""
    known_after = max((row.number_or("wait_heard_ms", 0) for row in rows["ready"]), default=0) * 1000
    sent = grouped(rows["sent"], lambda row: row.text_if_any("route"))
    for answer in rows["answered"]:
        retry_after = answer.number_or("wait_ms", 0) * 1000
        if retry_after <= 0:
            continue
        finding.checked += 1
        for call in between(sent.get(answer.text("route"), []), answer.at + 1, answer.at + int(retry_after)):
            is_same_proxy = call.text_if_any("proxy") == answer.text_if_any("proxy")
            if is_same_proxy or call.at > answer.at + known_after:
                finding.violations.append(
                    f"line {call.line}: {call.text_if_any('proxy')} sends on route {answer.text_if_any('route')} "
                    f"{(call.at - answer.at) / 1e6:.3f} s into the wait of {retry_after / 1e6:.3f} s of "
                    f"line {answer.line}"
                )


def check_slow_start(rows: RowsByEvent, finding: Finding) -> None:
    """Check that no window exceeds the capacity of a destination that warms up, and that none fails by overload."""
    for row in rows["fell"]:
        finding.violations.append(f"line {row.line}: {row.text_if_any('partner')} falls over")
    calls_of = grouped(rows["took"], lambda row: row.text_if_any("partner"))
    for row in rows["capacity"]:
        if not row.fields.get("cold") or row.number("a_second") <= 0:
            continue
        finding.checked += 1
        window = row.number("fall_ms") * 1000
        calls = between(calls_of.get(row.text("partner"), []), row.at - window, row.at)
        capacity = row.number("fall") * row.number("a_second") * window / SECOND + ROUNDING_CALLS
        count = sum(call.at >= row.number("since") for call in calls)
        if count > capacity:
            finding.violations.append(
                f"line {row.line}: {count} calls within {window / 1e6:g} s reach "
                f"{row.text_if_any('partner')}, which takes {row.number('a_second'):.1f} a second and is cold"
            )


def check_idempotency(rows: RowsByEvent, finding: Finding) -> None:
    """Check that a message that must not be repeated takes effect at most once."""
    first_of: dict[str, LogRow] = {}
    for row in rows["effect"]:
        if row.text_if_any("repeat") != "never":
            continue
        finding.checked += 1
        first = first_of.setdefault(row.text("id"), row)
        if first is not row:
            finding.violations.append(
                f"line {row.line}: {row.text_if_any('id')} takes effect again, after line {first.line}"
            )


def check_final_answers(rows: RowsByEvent, finding: Finding) -> None:
    """Check that each message that a proxy accepted has exactly one final answer."""
    answers = Counter(row.text_if_any("id") for row in rows["ended"])
    for row in rows["taken"]:
        finding.checked += 1
        count = answers[row.text("id")]
        if count != 1:
            plural = "s" if count > 1 else ""
            finding.violations.append(
                f"line {row.line}: {row.text_if_any('id')} has {count or 'no'} final answer{plural}"
            )

"""The audit: checks the logs of control, proxies and destinations against the rules of operation. No I/O.

Rows are JSON objects, one per line, from any number of logs; their order does not matter, but all logs must share one
clock (`timestamp`, ISO 8601 in UTC, or `at` in us). The rules, by the names of events and fields in the logs:

    drain    after a control `endpoint` with now=draining or gone, no proxy has a `sent` to it that begins more than 1 s
             later, until the endpoint is ready again
    wait     after a proxy `answered` with wait_ms, there is no `sent` of that proxy on the route within that time, and
             none of another proxy later than control's notification delay (wait_heard_ms of control's `ready`)
    grants   from control's `granted`, `had` and `allowance`: the amount that may be in use, by number, lease and delay,
             never exceeds the largest allowance of the last lease + delay
    fall     from a destination's `took` and `capacity`: while it is cold, no window of fall_ms has more calls than fall
             times its capacity, and no destination `fell`
    twice    no id has two `effect` rows with repeat=never
    answer   each message that a proxy has `taken` has exactly one `ended`

Each rule is reported as kept, broken (with the lines), or not seen: a log without a drain proves nothing about drains.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable, Sequence

from scalefall.control.audit_grants import check_grants
from scalefall.control.audit_log import LogRow, ReadLog, RowsByEvent, by_event, read_log
from scalefall.control.audit_rules import (
    Finding,
    check_drains,
    check_final_answers,
    check_idempotency,
    check_retry_after,
    check_slow_start,
)

__all__ = ["RULE_NAMES", "Finding", "LogRow", "ReadLog", "audit", "format_findings", "read_log"]

MAX_VIOLATIONS_SHOWN = 10  # violations shown of each rule; a log with one fault may have thousands
RULES: dict[str, Callable[[RowsByEvent, Finding], None]] = {
    "drain": check_drains,
    "wait": check_retry_after,
    "grants": check_grants,
    "fall": check_slow_start,
    "twice": check_idempotency,
    "answer": check_final_answers,
}
RULE_NAMES = tuple(RULES)


def audit(rows: Iterable[LogRow]) -> list[Finding]:
    """Check rows, sorted by time, against each rule, in the order of RULE_NAMES."""
    events = by_event(rows)
    findings = []
    for name, check in RULES.items():
        finding = Finding(name)
        try:
            check(events, finding)
        except (KeyError, TypeError, ValueError, ZeroDivisionError) as error:
            finding.violations.append(f"a line lacks what this rule needs ({error!r}): nothing is proved")
        findings.append(finding)
    return findings


def format_findings(findings: Sequence[Finding], skipped_lines: int = 0) -> str:
    """Return the report: a line per rule, followed by its violations; `skipped_lines`: lines that are no log rows."""
    lines = []
    for finding in findings:
        lines.append(f"{finding.rule:<8}{finding.verdict:<10}{finding.checked} checked")
        lines += [f"        {violation}" for violation in finding.violations[:MAX_VIOLATIONS_SHOWN]]
        if len(finding.violations) > MAX_VIOLATIONS_SHOWN:
            lines.append(f"        and {len(finding.violations) - MAX_VIOLATIONS_SHOWN} more")
    if skipped_lines:
        lines.append(f"{skipped_lines} lines are no JSON objects with an event and a time, and were passed over")
    return "\n".join(lines) + "\n"

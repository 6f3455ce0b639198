"""The audit: whether the logs of control, proxies and destinations show each rule kept, or where it was broken. No I/O.

Rows are JSON objects, one a line, of any number of logs put together; their order doesn't matter, their clock must be
one (`timestamp`, ISO 8601 in UTC, or `at` in us). What is judged, by the names of events and fields in the log:

    drain    after a control `endpoint` with now=draining or gone, no proxy `sent` to it that begins more than 1 s
             later, until it is ready again
    wait     after a proxy `answered` with wait_ms, no `sent` of that proxy on the route before it is over, and none of
             another proxy once it must have heard of it (wait_heard_ms of control's `ready`)
    grants   from control's `granted`, `had` and `allowance`: what may be in use, by number, lease and delay, is never
             more than the largest allowance of the last lease + delay
    fall     from a destination's `took` and `capacity`: while it is cold, no window of fall_ms holds more than fall
             times what it takes, and none `fell`
    twice    no id has two `effect` rows with repeat=never
    answer   each message that a proxy has `taken` has exactly one `ended`

Every rule is reported as kept, broken (with the lines), or not seen: a log without a drain proves nothing of drains.
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

MAX_VIOLATIONS_SHOWN = 10  # violations of one rule in the report: a log with one fault may have thousands
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
    """Judge rows in the order of their time by every rule, in the order of RULE_NAMES."""
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
    """The report: a line each rule, below it what broke it; `skipped_lines`: how many lines were none of a log."""
    lines = []
    for finding in findings:
        lines.append(f"{finding.rule:<8}{finding.verdict:<10}{finding.checked} checked")
        lines += [f"        {violation}" for violation in finding.violations[:MAX_VIOLATIONS_SHOWN]]
        if len(finding.violations) > MAX_VIOLATIONS_SHOWN:
            lines.append(f"        and {len(finding.violations) - MAX_VIOLATIONS_SHOWN} more")
    if skipped_lines:
        lines.append(f"{skipped_lines} lines are no JSON objects with an event and a time, and were passed over")
    return "\n".join(lines) + "\n"

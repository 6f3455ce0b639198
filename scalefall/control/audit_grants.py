"""The audit's rule for grants: the amount that may be in use never exceeds the allowance. No I/O.

Times are those of control's own clock where a row has it (`clock`), as a line is written some milliseconds after the
event.
"""

from __future__ import annotations

from bisect import bisect_left, bisect_right
from collections.abc import Sequence
from dataclasses import dataclass

from scalefall.control.audit_log import LogRow, RowsByEvent, grouped
from scalefall.control.audit_rules import Finding


@dataclass(slots=True, frozen=True)
class GrantSpan:
    """A grant and the time until which its holder may use it."""

    row: LogRow
    expires_at: int  # us


def check_grants(rows: RowsByEvent, finding: Finding) -> None:
    """Check that the sum over holders of the largest usable grant of each is within the largest allowance."""
    grants_of, allowances_of, acknowledged_of = (
        grouped([_at_own_clock(row) for row in rows[event]], _route) for event in ("granted", "allowance", "had")
    )
    for route, grants in grants_of.items():
        spans = _spans(grants, acknowledged_of.get(route, []))
        allowances = allowances_of.get(route, [])
        for position, span in enumerate(spans):
            finding.checked += 1
            in_use = _in_use(spans, position)
            allowed = _largest_allowance(allowances, span.row)
            if in_use > allowed:
                finding.violations.append(
                    f"line {span.row.line}: grants of {in_use / 1000:g} a second may be in use "
                    f"on route {route}, where {allowed / 1000:g} was the most allowed"
                )


def _at_own_clock(row: LogRow) -> LogRow:
    return LogRow(row.line, row.number_or("clock", row.at), row.event, row.fields)


def _route(row: LogRow) -> int:
    return row.number("route")


def _lifetime_us(grant: LogRow) -> int:
    """Return the longest time from sending a grant to its expiry without an acknowledgement: lease and delay."""
    return grant.number("lease_ms") * 1000 + grant.number("delay_ms") * 1000


def _spans(grants: Sequence[LogRow], acknowledgements: Sequence[LogRow]) -> list[GrantSpan]:
    """Return all grants of one route, each until it expires or a later one is acknowledged."""
    by_holder = grouped(acknowledgements, lambda row: row.text_if_any("holder"))
    spans = []
    for grant in grants:
        expires_at = grant.at + _lifetime_us(grant)
        for acknowledged in by_holder.get(grant.text("holder"), []):
            expires_at = min(expires_at, _expiry_acknowledged(grant, acknowledged, expires_at))
        spans.append(GrantSpan(grant, expires_at))
    return spans


def _expiry_acknowledged(grant: LogRow, acknowledged: LogRow, otherwise: int) -> int:
    """Return until when a grant may be in use after the holder's acknowledgement; `otherwise` if it is unrelated."""
    concerns_grant = acknowledged.at >= grant.at and acknowledged.number("number") >= grant.number("number")
    if not concerns_grant:
        return otherwise
    is_this_one = acknowledged.number("number") == grant.number("number")
    return acknowledged.at + (grant.number("lease_ms") * 1000 if is_this_one else 0)


def _in_use(spans: Sequence[GrantSpan], position: int) -> int:
    """Return what all holders together may use just after the grant at this position."""
    grant = spans[position].row
    earliest = grant.at - _lifetime_us(grant)
    amounts: dict[str, int] = {}
    for span in reversed(spans[: position + 1]):
        if span.row.at <= earliest:
            break
        if span.expires_at > grant.at:
            holder = span.row.text("holder")
            amounts[holder] = max(amounts.get(holder, 0), span.row.number("amount"))
    return sum(amounts.values())


def _largest_allowance(allowances: Sequence[LogRow], grant: LogRow) -> int:
    """Return the largest allowance in force at any time within the last lease and delay."""
    first = bisect_left(allowances, grant.at - _lifetime_us(grant), key=lambda row: row.at)
    after_last = bisect_right(allowances, grant.at, key=lambda row: row.at)
    in_force = allowances[max(0, first - 1) : after_last]
    return max((row.number("amount") for row in in_force), default=0)

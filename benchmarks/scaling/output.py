"""Output of a run: tables as JSON, one plot a role, and lines for people."""

from __future__ import annotations

import json
from pathlib import Path
from typing import Any

from benchmarks.scaling.figures import Figure, Role
from benchmarks.scaling.plots import plot
from benchmarks.scaling.estimate import Row

TITLES = {
    Role.SENDER_MESSAGES: "A sender, its messages",
    Role.SENDER_CONTROL: "A sender, its part of control",
    Role.CONTROL: "A control instance",
    Role.LIST_SOURCE: "The source of the list",
    Role.FAILURES: "Failures",
}
SIGNIFICANT_DIGITS = 6


def write(folder: Path, mode: str, figures: list[Figure], rows: dict[str, list[Row]], facts: dict[str, Any]) -> None:
    folder.mkdir(parents=True, exist_ok=True)
    for role in Role:
        of_role = [figure for figure in figures if figure.role is role]
        table = {"mode": mode, "figures": [_rounded(figure.as_json()) for figure in of_role]}
        _write_json(folder / f"{role.value}.json", table)
        (folder / f"{role.value}.svg").write_text(plot(f"{TITLES[role]} ({mode})", of_role))
    estimated = {traffic: [_row_as_json(row) for row in of_traffic] for traffic, of_traffic in rows.items()}
    _write_json(folder / "without-assignment.json", {"mode": mode, "reckoned": _rounded(estimated)} | _rounded(facts))


def _row_as_json(row: Row) -> dict[str, Any]:
    return {"name": row.name, "value": row.value, "unit": row.unit, "budget": row.budget, "verdict": row.verdict}


def figure_lines(figures: list[Figure]) -> list[str]:
    lines = []
    for role in Role:
        lines.append(f"\n{TITLES[role]}")
        for figure in figures:
            if figure.role is role:
                line = figure.line
                lines.append(
                    f"  {figure.name:<32} {line.slope:>14,.4g} {figure.unit:<40} from {line.intercept:,.4g}; "
                    f"line kept within {line.deviation:.1%}, grows as size^{line.power:.2f}"
                )
    return lines


def estimate_lines(rows: dict[str, list[Row]]) -> list[str]:
    """Return a table with one column for each kind of traffic."""
    title = "Without assignment, 900 senders and 420,000 destinations (estimated)"
    lines = [f"\n{title:<68}" + "".join(f"{traffic:>30}" for traffic in rows)]
    for same in zip(*rows.values(), strict=False):
        cells = [f"{row.value:,.4g}" + (f" ({row.verdict})" if row.budget is not None else "") for row in same]
        budget = f", budget {same[0].budget:,.4g}" if same[0].budget is not None else ""
        lines.append(f"  {f'{same[0].name}, {same[0].unit}{budget}':<66}" + "".join(f"{cell:>30}" for cell in cells))
    return lines


def sample_lines(sample: dict[str, Any], same_size: dict[str, float]) -> list[str]:
    """Return lines with a run's bytes a second and sender beside the estimates for its size."""
    lines = [
        f"\nRun: {sample['senders']} senders, {sample['destinations']:,} destinations, of which each uses "
        f"{sample['touched']:.0f}; {sample['messages']:.0f} messages a second and sender; a sender takes "
        f"{sample['sender_cores']:.2%} of a core, control {sample['control_cores']:.2f} cores; "
        f"{sample['unsent']:.1%} of the messages were not sent"
    ]
    for kind, estimated in same_size.items():
        run = sample["bytes_by_kind"][kind]
        lines.append(f"  {kind:<12} run {run:>12,.0f}   estimated {estimated:>12,.0f} bytes/s")
    return lines


def write_divided(folder: Path, mode: str, plays: list[dict[str, Any]]) -> None:
    """Write the runs with destinations assigned to senders."""
    _write_json(folder / "with-assignment.json", {"mode": mode, "plays": _rounded(plays)})


def divided_lines(plays: list[dict[str, Any]]) -> list[str]:
    """Return one table for each run of divided.py."""
    return [line for play in plays for line in _play_lines(play)]


def _play_lines(play: dict[str, Any]) -> list[str]:
    lines = [
        f"\nDivided: {play['senders']} senders, {play['destinations']:,} destinations, {play['shards']:,} shards and "
        f"{play['isolated']} isolated destinations, Zipf {play['exponent']}, seed {play['seed']}",
        f"  most loaded sender {play['load_ratio']:.3f} of the mean",
        f"  at rest: {play['rest_bytes_p99']:,.0f} bytes/s (p99), {play['rest_bytes_worst']:,.0f} (worst); control "
        f"{play['rest_control_cores']:.2f} cores; a sender {play['rest_sender_cores']:.3%} of one, and "
        f"{play['sender_bytes']:,} bytes of state",
        f"  a change: {play['change_control_s']:.2f} s of control, then in force after {play['change_s']:.3f} s, "
        f"{play['change_zone_s']:.3f} s while a zone is lost",
        f"  the play: {play['process_mb']:,.0f} MB, {play['steps_s']:.0f} s",
    ]
    for name, row in play["failures"].items():
        lines.append(
            f"  {name:<18} x{row['times']:<4} moved {row['moved']:,} (lost {row['lost']:,}, filled {row['filled']:,}); "
            f"{row['interrupted']:>7,} interrupted, served again after {row['gap_p50']:.1f} s (p50), "
            f"{row['gap_p99']:.1f} (p99), {row['gap_worst']:.1f} (worst); {row['bytes_p99']:,.0f} bytes/s (p99), "
            f"{row['bytes_worst']:,.0f} (worst); control {row['control_cores']:.2f} cores"
        )
    return lines


def _rounded(value: Any) -> Any:
    if isinstance(value, float):
        return float(f"{value:.{SIGNIFICANT_DIGITS}g}")
    if isinstance(value, dict):
        return {key: _rounded(each) for key, each in value.items()}
    if isinstance(value, (list, tuple)):
        return [_rounded(each) for each in value]
    return value


def _write_json(path: Path, table: Any) -> None:
    path.write_text(json.dumps(table, indent=1) + "\n")

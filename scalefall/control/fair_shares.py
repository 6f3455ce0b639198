"""Max-min fair division of an amount. No I/O, no clock."""

from __future__ import annotations

from collections.abc import Mapping


def max_min_fair(demands: Mapping[str, int], amount: int) -> dict[str, int]:
    """Divide an amount so that no holder gets more than one whose demand is unmet, but for rounding.

    What remains when all demands are met is split evenly, so that a demand may grow. Source: max-min fairness as in
    Bertsekas and Gallager, Data Networks, 6.5.2.

    Returns:
        The amount for each holder, in ascending order of demand. The sum is at most `amount`.
    """
    amounts: dict[str, int] = {}
    remaining = amount
    by_demand = sorted(demands.items(), key=lambda row: (row[1], row[0]))
    for position, (holder, demand) in enumerate(by_demand):
        amounts[holder] = min(demand, remaining // (len(demands) - position))
        remaining -= amounts[holder]
    for position, holder in enumerate(amounts):
        surplus = remaining // (len(amounts) - position)
        amounts[holder] += surplus
        remaining -= surplus
    return amounts

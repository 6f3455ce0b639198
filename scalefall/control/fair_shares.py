"""Max-min fair division of an amount. No I/O, no clock."""

from __future__ import annotations

from collections.abc import Mapping


def max_min_fair(demands: Mapping[str, int], amount: int) -> dict[str, int]:
    """Divide an amount so that nobody gets more while another has less and demands more.

    What is left when all demands are met is split evenly, for what comes next. Source: max-min fairness as in
    Bertsekas and Gallager, Data Networks, 6.5.2.

    Returns:
        The amount for each holder, in the order of rising demands. The sum is at most `amount`.
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

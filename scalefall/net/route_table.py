"""The rules of routes, where a file of the operator's own has them."""

from __future__ import annotations

from collections.abc import Mapping

from scalefall.net.config import RouteRules


class RouteTable:
    """Answers what a route carries and how long its clients may be told to wait.

    It is empty, and nothing is limited, where endpoints come from discovery. The reloader replaces its content.
    """

    def __init__(self) -> None:
        """Start with no rules."""
        self.rules: Mapping[int, RouteRules] = {}

    def replace(self, rules: Mapping[int, RouteRules]) -> None:
        """Put these rules, by destination, into force."""
        self.rules = rules

    def carries(self, destination: int, class_name: str) -> bool:
        """Return whether the route to a destination carries messages of a class.

        A destination without rules carries every class: without endpoints it is turned away for that reason.
        """
        rules = self.rules.get(destination)
        return rules is None or class_name in rules.classes

    def cap_retry_after(self, destination: int, retry_after_us: int) -> int:
        """Return a wait in microseconds, shortened to what the route's rules allow a client to be told."""
        rules = self.rules.get(destination)
        return retry_after_us if rules is None else min(retry_after_us, rules.max_retry_after_us)

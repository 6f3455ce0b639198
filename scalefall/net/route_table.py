"""The rules of routes from the operator's file."""

from __future__ import annotations

from collections.abc import Mapping

from scalefall.net.config import RouteRules


class RouteTable:
    """Answers which classes a route carries, and bounds the Retry-After that its clients get.

    Without the operator's file it is empty, and nothing is restricted. The reloader replaces its content.
    """

    def __init__(self) -> None:
        """Start with no rules."""
        self.rules: Mapping[int, RouteRules] = {}

    def replace(self, rules: Mapping[int, RouteRules]) -> None:
        """Replace the rules, which are by destination."""
        self.rules = rules

    def carries(self, destination: int, class_name: str) -> bool:
        """Return whether the route to a destination carries messages of a class.

        A destination without rules carries every class; if it has no endpoints, its messages are rejected for that.
        """
        rules = self.rules.get(destination)
        return rules is None or class_name in rules.classes

    def cap_retry_after(self, destination: int, retry_after_us: int) -> int:
        """Return a Retry-After in microseconds, bounded by the route's rules."""
        rules = self.rules.get(destination)
        return retry_after_us if rules is None else min(retry_after_us, rules.max_retry_after_us)

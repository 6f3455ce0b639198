"""What the service asks of whoever makes resources: the transport, as their bodies are protobuf."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass

from scalefall.control.catalog import Resource
from scalefall.net.config import RouteRules
from scalefall.net.list_stream import Entry
from scalefall.policy.actions import RouteAllowance

RouteEntries = dict[int, list[Entry]]  # the endpoints of each route


@dataclass(slots=True, frozen=True)
class ResourceBuilder:
    """Makes resources of the fleet and of the decision module's figures."""

    # From the endpoints and the rules of routes: what follows from the configuration alone.
    from_configuration: Callable[[RouteEntries, dict[int, RouteRules]], list[Resource]]

    # From a route, its endpoints, the module's rows for it and the time in us: its endpoints as they are now.
    endpoints: Callable[[int, list[Entry], list[RouteAllowance], int], Resource]

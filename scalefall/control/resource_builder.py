"""The interface for making resources, implemented by the transport, as their bodies are protobuf."""

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
    """Functions that make resources from the fleet and the engine's figures."""

    # Makes the resources that depend on the configuration alone, from the endpoints and the rules of routes.
    from_configuration: Callable[[RouteEntries, dict[int, RouteRules]], list[Resource]]

    # Makes a route's endpoint resource from its number, its endpoints, the engine's rows for it and the time in us.
    endpoints: Callable[[int, list[Entry], list[RouteAllowance], int], Resource]

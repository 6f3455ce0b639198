"""Configurations of many destinations for the model: one endpoint each, and changes that drain one."""

from __future__ import annotations

from collections.abc import Collection

from scalefall.lab.classes import DEFAULT_CLASSES
from scalefall.lab.world import settings as world_settings
from scalefall.net.config import Fleet, RouteRules
from scalefall.net.list_stream import Entry
from scalefall.policy.events import Endpoint, EndpointStatus
from scalefall.policy.settings import Settings

DOWN_EVERY = 91  # one destination of so many is down: 1.1%
DOWN_REMAINDER = 2  # and it is not the one that Zipf traffic has the most of
ZONE, ENDPOINT_KIND, ENDPOINT_PORT = "a", "one", 80
MAX_ATTEMPTS, MAX_RETRY_AFTER_US = 6, 2_000_000
RULES = RouteRules(frozenset(DEFAULT_CLASSES), MAX_ATTEMPTS, MAX_RETRY_AFTER_US)


def settings() -> Settings:
    return world_settings(DEFAULT_CLASSES)


def is_down(destination: int) -> bool:
    return destination % DOWN_EVERY == DOWN_REMAINDER


def entry(destination: int, status: EndpointStatus = EndpointStatus.READY) -> Entry:
    endpoint = Endpoint(endpoint_id(destination), ZONE, ENDPOINT_KIND, destination, status, 0.0)
    return Entry(endpoint, address(destination))


def endpoint_id(destination: int) -> str:
    return f"e{destination:06}"


def address(destination: int) -> tuple[str, int]:
    """Another one for each destination below 2 ** 24."""
    return f"10.{destination >> 16 & 255}.{destination >> 8 & 255}.{destination & 255}", ENDPOINT_PORT


def configuration(destinations: int, drained: Collection[int] = ()) -> Fleet:
    """Destinations from 0, each with one endpoint; those of drained drain."""
    entries = [
        entry(number, EndpointStatus.DRAINING if number in drained else EndpointStatus.READY)
        for number in range(destinations)
    ]
    return Fleet(entries, dict.fromkeys(range(destinations), RULES))

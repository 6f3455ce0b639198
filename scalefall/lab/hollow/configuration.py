"""Configurations of many destinations for the model, with one endpoint each, some of them draining."""

from __future__ import annotations

from collections.abc import Collection

from scalefall.lab.classes import DEFAULT_CLASSES
from scalefall.lab.world import settings as world_settings
from scalefall.net.config import Fleet, RouteRules
from scalefall.net.list_stream import Entry
from scalefall.policy.events import Endpoint, EndpointStatus
from scalefall.policy.settings import Settings

DOWN_EVERY = 91  # one destination in 91 is down: 1.1%
DOWN_REMAINDER = 2  # 0 would put the destination with the most Zipf traffic down
ZONE = "a"
ENDPOINT_KIND = "one"
ENDPOINT_PORT = 80
MAX_ATTEMPTS = 6
MAX_RETRY_AFTER_US = 2_000_000
RULES = RouteRules(frozenset(DEFAULT_CLASSES), MAX_ATTEMPTS, MAX_RETRY_AFTER_US)


def settings() -> Settings:
    """Return the settings of lab/world.py with its default classes."""
    return world_settings(DEFAULT_CLASSES)


def is_down(destination: int) -> bool:
    """Return whether calls to a destination fail."""
    return destination % DOWN_EVERY == DOWN_REMAINDER


def entry(destination: int, status: EndpointStatus = EndpointStatus.READY) -> Entry:
    endpoint = Endpoint(endpoint_id(destination), ZONE, ENDPOINT_KIND, destination, status, 0.0)
    return Entry(endpoint, address(destination))


def endpoint_id(destination: int) -> str:
    return f"e{destination:06}"


def address(destination: int) -> tuple[str, int]:
    """Return the address of a destination's endpoint; unique below 2 ** 24."""
    return f"10.{destination >> 16 & 255}.{destination >> 8 & 255}.{destination & 255}", ENDPOINT_PORT


def configuration(destinations: int, drained: Collection[int] = ()) -> Fleet:
    """Return destinations from 0 up, each with one endpoint; those in `drained` are draining."""
    entries = [
        entry(number, EndpointStatus.DRAINING if number in drained else EndpointStatus.READY)
        for number in range(destinations)
    ]
    return Fleet(entries, dict.fromkeys(range(destinations), RULES))

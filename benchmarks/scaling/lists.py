"""Measures the source of the endpoint list: the size of discovery's objects, for the whole list and for changes."""

from __future__ import annotations

import json
from typing import Any

from benchmarks.scaling.figures import Quantity, Role
from benchmarks.scaling.series import Series
from scalefall.lab.hollow.configuration import address, endpoint_id

ROLE = Role.LIST_SOURCE
ENDPOINT_COUNTS = {"quick": (1000, 2000, 4000), "full": (105_000, 210_000, 420_000)}
CHANGE_COUNTS = (1, 10, 100)


def host_row(number: int, health: str = "in_service") -> dict[str, Any]:
    """Return one endpoint as discovery sends it (format: net/list_stream.py)."""
    host, port = address(number)
    return {
        "host": endpoint_id(number),
        "dial": f"{host}:{port}",
        "site": "a",
        "class": "one",
        "block": number,
        "health": health,
        "share": 1.0,
        "born_ms": 0,
    }


def full_list(count: int) -> dict[str, Any]:
    return {"seq": 2, "whole": True, "hosts": [host_row(number) for number in range(count)]}


def changed_list(count: int) -> dict[str, Any]:
    return {"seq": 3, "whole": False, "hosts": [host_row(number, "terminating") for number in range(count)]}


def source(mode: str) -> list[Series]:
    """Measure the bytes sent to one sender on its watch, as JSON without indentation."""
    first = Series(ROLE, "list, whole", Quantity.BYTES, "bytes an endpoint and sender", "endpoints")
    changes = Series(ROLE, "list, changes", Quantity.BYTES, "bytes a change and sender", "changed endpoints")
    for count in ENDPOINT_COUNTS[mode]:
        first.add(count, len(json.dumps(full_list(count)).encode()) + 1)
    for count in CHANGE_COUNTS:
        changes.add(count, len(json.dumps(changed_list(count)).encode()) + 1)
    return [first, changes]

"""What a control service keeps for the one after it, so that a restart forgets neither a guard nor a told wait.

No I/O, no clock. What is kept is facts, not the module's insides: which endpoints are in doubt, which waits run and
which paces and limits are known. The next service tells them to its module as events: an endpoint that was in doubt has
failed just now, so its guard goes up anew and its ramp begins at the beginning. That is slower than going on, never
faster. Waits are kept by the wall clock, as the monotonic one may begin anew.
"""

from __future__ import annotations

import math
from typing import Any

from scalefall import interface as i
from scalefall.net import learned_rates

FORM = 1
MOST_WAIT_US = 3_600_000_000  # a wait that ends later than this is no wait but a clock that was set
DOUBT_US = 600_000_000  # a partner in doubt longer ago than this is as one that is met for the first time


def capture(allowed: list[i.Allowed], known: list[i.Known], now: int, wall: int) -> dict[str, Any]:
    """The rows to be kept, as plain JSON."""
    doubts, waits = [], {}
    for row in allowed:
        doubts += [name for name, own in row.endpoints.items() if own < math.inf]  # its guard's, or its route's
        if row.silent_until > now and row.endpoints:
            waits[next(iter(row.endpoints))] = wall + row.silent_until - now
    return {
        "form": FORM,
        "wall": wall,
        "doubts": sorted(doubts),
        "waits": waits,
        "paces": [learned_rates.put(row) for row in known],
    }


def restore(kept: Any, now: int, wall: int) -> list[i.Event]:
    """Events for a module that has its list of endpoints; ValueError where it can't be read."""
    try:
        if kept["form"] != FORM:
            raise ValueError(f"form {kept['form']!r} is not known here")
        age = wall - kept["wall"]
        known: list[i.Event] = [learned_rates.get(*row) for row in kept["paces"]]
        waits = [
            i.Reported(str(name), now, i.Outcome.NOT_SENT, int(until - wall))
            for name, until in kept["waits"].items()
            if 0 < until - wall <= MOST_WAIT_US
        ]
        doubts = [i.Reported(str(name), now, i.Outcome.CONNECT_FAILED) for name in kept["doubts"]]
    except (KeyError, TypeError, AttributeError, OverflowError) as error:
        raise ValueError(f"missing or wrong value ({error!r})") from error
    fresh = -MOST_WAIT_US < age < learned_rates.FRESH_US
    return (known if fresh else []) + waits + (doubts if age < DOUBT_US else [])

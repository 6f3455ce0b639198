"""How many destinations a sender touches within the span for which it holds their grants, by the kind of traffic."""

from __future__ import annotations

import random

from benchmarks.scaling.target import DESTINATIONS, EVENTS_A_SENDER, USED_S
from scalefall.lab.hollow.clock import SECOND
from scalefall.lab.hollow.control import ControlOptions
from scalefall.lab.hollow.traffic import AliasTable, bursty, distinct, independent, zipf_weights

SEED = 20
EXPONENTS = {"uniform": 0.0, "Zipf 0.8": 0.8, "Zipf 1.1": 1.1}
SPANS = {"used": USED_S * SECOND, "reported": ControlOptions().report_us}
CLUMP, CLUMP_US = 20, 2 * SECOND  # events in a clump on average, and how long one lasts


def touched() -> dict[str, dict[str, int]]:
    """By kind of traffic, at the target size, from SEED: "used" within USED_S, "reported" in the first load report."""
    found = {}
    for name, exponent in EXPONENTS.items():
        table = AliasTable(zipf_weights(DESTINATIONS, exponent))
        found[name] = {
            word: distinct(independent(table, EVENTS_A_SENDER, random.Random(SEED)), span)
            for word, span in SPANS.items()
        }
        found[f"{name}, clumped"] = {
            word: distinct(bursty(table, EVENTS_A_SENDER, random.Random(SEED), CLUMP, CLUMP_US), span)
            for word, span in SPANS.items()
        }
    return found

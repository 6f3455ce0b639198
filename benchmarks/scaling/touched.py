"""Counts the destinations that a sender uses within the span for which it holds their grants, by kind of traffic."""

from __future__ import annotations

import random

from benchmarks.scaling.target import DESTINATIONS, EVENTS_PER_SENDER_PER_S, IN_USE_S
from scalefall.lab.hollow.clock import SECOND
from scalefall.lab.hollow.control import ControlOptions
from scalefall.lab.hollow.traffic import AliasTable, bursty, distinct, independent, zipf_weights

SEED = 20
ZIPF_EXPONENTS = {"uniform": 0.0, "Zipf 0.8": 0.8, "Zipf 1.1": 1.1}
SPANS_US = {"used": IN_USE_S * SECOND, "reported": ControlOptions().report_us}
CLUMP_EVENTS = 20  # on average
CLUMP_US = 2 * SECOND


def touched() -> dict[str, dict[str, int]]:
    """Return counts by kind of traffic at the target size: "used" within IN_USE_S, "reported" in the first report."""
    counts = {}
    for name, exponent in ZIPF_EXPONENTS.items():
        table = AliasTable(zipf_weights(DESTINATIONS, exponent))
        counts[name] = {
            span_name: distinct(independent(table, EVENTS_PER_SENDER_PER_S, random.Random(SEED)), span_us)
            for span_name, span_us in SPANS_US.items()
        }
        counts[f"{name}, clumped"] = {
            span_name: distinct(
                bursty(table, EVENTS_PER_SENDER_PER_S, random.Random(SEED), CLUMP_EVENTS, CLUMP_US), span_us
            )
            for span_name, span_us in SPANS_US.items()
        }
    return counts

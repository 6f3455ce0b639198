"""Runs one measurement in its own process: `python -m benchmarks.scaling.job NAME MODE` prints its figures as JSON."""

from __future__ import annotations

import json
import sys

from benchmarks.scaling import (
    control_instance,
    divided,
    failures,
    lists,
    sample,
    sender_control,
    sender_messages,
    touched,
)
from benchmarks.scaling.processor import step_ns

JOBS = {  # longest first, so that none of them starts last
    "failures": failures.played,
    "failures-lost": failures.lost,
    "delivered": sender_messages.delivered,
    "granted": sender_control.granted,
    "allocator": control_instance.allocator,
    "catalog": control_instance.catalog,
    "configured": control_instance.configured,
    "grants": control_instance.grants,
    "streams": control_instance.streams,
    "list-change": sender_control.list_change,
    "changed": sender_control.changed,
    "journal": sender_messages.journal,
    "source": lists.source,
    "catalog-memory": control_instance.catalog_memory,
    "allocator-memory": control_instance.allocator_memory,
    "grants-memory": control_instance.grants_memory,
    "streams-memory": control_instance.streams_memory,
    "listed-memory": sender_control.list_memory,
    "held-memory": sender_messages.pending_memory,
}
# Jobs whose results are not slopes.
FACT_JOBS = {"divided": divided.facts, "sample": sample.run, "touched": lambda _mode: touched.touched()}
# Timed several times.
SHORT_JOBS = ("granted", "allocator", "catalog", "configured", "grants", "streams", "list-change")
TIMED_JOBS = ("failures", "failures-lost", "delivered", *SHORT_JOBS)
# Ends the names of jobs whose process must allocate by malloc.
MEMORY_SUFFIX = "-memory"


def main(name: str, mode: str) -> None:
    if name in FACT_JOBS:
        print(json.dumps({"step_ns": step_ns(), "figures": [], "facts": FACT_JOBS[name](mode)}))
        return
    figures = [series.figure().as_json() for series in JOBS[name](mode)]
    print(json.dumps({"step_ns": step_ns(), "figures": figures, "facts": None}))


if __name__ == "__main__":
    main(*sys.argv[1:])

"""Runs control in virtual time with failing links, over many seeds, and checks each run with the audit.

    python benchmarks/control_proof.py [--runs 200] [--first SEED] [--seconds S]

Links are reset, blackholed for up to 20 s or delayed by up to 5 s; endpoints drain as a link fails. Then a
destination that recovers cold with all proxies waiting: without failures, with one proxy cut off over the recovery, and
with control restarted in the middle; and the three choices of a proxy when its lease ends. Exit code 1 if a rule was
broken.
"""

import argparse
import json
import pathlib
import sys
import time
from collections import Counter

sys.path.insert(0, str(pathlib.Path(__file__).parent.parent))
from scalefall.control import audit
from scalefall.lab.world import SECOND, Plan, World, world_with_outage

COLD_RETURNS = {
    "whole": {},
    "one proxy cut off over the return": {"disconnections": ((0, 15 * SECOND, 30 * SECOND),)},
    "cut off from before the outage to its end": {"disconnections": ((1, 11 * SECOND, 20 * SECOND),)},
    "control restarted at the return": {"control_restarts": ((21 * SECOND, 22 * SECOND),)},
    "control restarted in the ramp": {"control_restarts": ((26 * SECOND, 27 * SECOND),)},
}


def run_and_audit(world):
    rows, _ = audit.read_log(json.dumps(row) for row in world.run())
    return rows, audit.audit(rows)


def run_worlds(title, worlds):
    """Print a summary of the runs and return the number of violations."""
    counts, checked, broken, started = Counter(), Counter(), [], time.perf_counter()
    number = overloads = 0
    for seed, world in worlds:
        _, findings = run_and_audit(world)
        number, overloads = number + 1, overloads + world.destination.overload_failures
        for proxy in world.proxies:
            counts.update(proxy.counts)
        for finding in findings:
            checked[finding.rule] += finding.checked
            broken += [f"seed {seed}: {finding.rule}: {line}" for line in finding.violations]
    print(
        f"{title}: {number} runs in {time.perf_counter() - started:.0f} s; "
        f"{', '.join(f'{rule} {checked[rule]}' for rule in audit.RULE_NAMES)} checked, {len(broken)} broken; "
        f"destination overloaded {overloads} times"
    )
    print("    " + ", ".join(f"{how} {count}" for how, count in sorted(counts.items())))
    for line in broken[:10]:
        print("    " + line)
    return len(broken)


def ramp(seed):
    """Print the cold recovery second by second: calls sent and the destination's capacity."""
    world = world_with_outage(seed)
    rows, _ = run_and_audit(world)
    sent = Counter(row.at // SECOND for row in rows if row.event == "took")
    takes = {row.at // SECOND: row.fields["a_second"] for row in rows if row.event == "capacity"}
    print(f"ramp of seed {seed}: second, calls sent (#), capacity (|)")
    for second in range(10, 45):
        line = list("#" * sent[second] + " " * 40)[:40]
        line[min(39, int(takes.get(second, 30)))] = "|"
        print(f"  {second:3} {''.join(line).rstrip()}")


def main():
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter)
    parser.add_argument("--runs", type=int, default=200)
    parser.add_argument("--first", type=int, default=0)
    parser.add_argument("--seconds", type=int, default=30)
    options = parser.parse_args()
    seeds = range(options.first, options.first + options.runs)
    broken = run_worlds("failing links", ((seed, World(Plan(seconds=options.seconds), seed)) for seed in seeds))
    for title, failures in COLD_RETURNS.items():
        broken += run_worlds(
            f"cold return, {title}", ((seed, world_with_outage(seed, **failures)) for seed in list(seeds)[:20])
        )
    for choice in ("fallback", "stop", "floor"):
        plan = Plan(seconds=options.seconds, at_end=choice)
        broken_here = run_worlds(
            f"at the lease's end: {choice}", ((seed, World(plan, seed)) for seed in list(seeds)[:50])
        )
        broken += broken_here if choice != "floor" else 0
    ramp(options.first)
    return 1 if broken else 0


if __name__ == "__main__":
    sys.exit(main())

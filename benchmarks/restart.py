"""Measures how long a restarted sender takes to become ready, with a full journal and a list of 1,024 endpoints.

    .venv/bin/python benchmarks/restart.py [--starts 10] [--siblings 1]

Each start has a folder of its own, filled through the journal's code to its limit (3 MB) with small messages, most of
them with attempts that may have run. Its time runs from the start of the program to its 200 on /healthz. Prints each
time and the ninth decile; exits with 1 if that is over 10 s.
"""

from __future__ import annotations

import argparse
import math
import os
import sys
import tempfile
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent
sys.path[:0] = [str(ROOT), str(ROOT / "tests")]

MAX_READY_S = 10
NINTH_DECILE = 0.9


def main() -> int:
    from restarthelp import fill_state, start, write_config

    parser = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter)
    parser.add_argument("--starts", type=int, default=10)
    parser.add_argument("--siblings", type=int, default=1)
    options = parser.parse_args()
    with tempfile.TemporaryDirectory() as folder:
        config, times = write_config(folder, siblings=options.siblings), []
        for number in range(options.starts):
            state = Path(folder, str(number))
            state.mkdir()
            messages = fill_state(state)
            result = start(config, state)
            times.append(result.seconds)
            print(f"{result.seconds:6.2f} s, {result.restored} of {messages} messages restored", flush=True)
    ninth_decile_s = sorted(times)[math.ceil(NINTH_DECILE * len(times)) - 1]
    print(
        f"ninth decile of {len(times)} starts: {ninth_decile_s:.2f} s; longest {max(times):.2f} s; "
        f"{os.cpu_count()} cores"
    )
    return int(ninth_decile_s > MAX_READY_S)


if __name__ == "__main__":
    sys.exit(main())

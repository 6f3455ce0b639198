"""Measures how check, fmt and diff scale with the size of the site: 20, 2,000 and 20,000 endpoints.

    python benchmarks/language.py [--sizes 20 2000 20000] [--files 1000]

Each command runs in a process of its own on a folder written for it; time and peak memory are that process's, with its
start. The growth is that of the time without the start, as a power of the number of endpoints: 1 is linear.
"""

import argparse
import json
import math
import os
import pathlib
import resource
import shutil
import subprocess
import sys
import tempfile
import time

ROOT = pathlib.Path(__file__).parent.parent
SITE_HEADER = """include "partners/*.scale"
class fee-order { aim 3s; deadline 24s; repeat never; worth 3; late-worth 40% }
class event-notice { aim 3s; deadline 24s; repeat keyed for 6s }
policy careful { attempts 4; wait at-most 3s; dial within 1500ms }
"""


def write_site(folder, endpoints, files, limit=4):
    """Write a site with so many endpoints, one pool and one route in each file."""
    files = max(1, min(files, endpoints // 20))
    (folder / "partners").mkdir(parents=True)
    (folder / "site.scale").write_text(SITE_HEADER)
    for number in range(files):
        rows = "".join(
            f"  endpoint e{endpoint} {{ at 10.{number >> 8}.{number & 255}.{endpoint + 1}:8081; zone praha }}\n"
            for endpoint in range(endpoints // files)
        )
        (folder / "partners" / f"p{number:05}.scale").write_text(
            f"# Partner {number}.\npool p{number} {{\n  kind partner\n  limit {limit} per 1s; connections 6\n"
            f"  dial-within 10.0.0.0/8\n{rows}}}\n"
            f"route {number} {{ pool p{number}; policy careful; classes fee-order }}\n"
        )


def run_command(*words):
    """Run one command in a process of its own; return its seconds, peak MB and exit code."""
    started = time.perf_counter()
    child = subprocess.Popen(
        [sys.executable, "-m", "scalefall", *map(str, words)],
        cwd=ROOT,
        stdout=subprocess.DEVNULL,
        stderr=subprocess.DEVNULL,
    )
    _, status, usage = os.wait4(child.pid, 0)
    return time.perf_counter() - started, usage.ru_maxrss / 1024, os.waitstatus_to_exitcode(status)


def main():
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter)
    parser.add_argument("--sizes", type=int, nargs="+", default=[20, 2000, 20_000])
    parser.add_argument("--files", type=int, default=1000)
    parser.add_argument("--times", type=int, default=3)
    options = parser.parse_args()
    start = min(run_command("--version")[0] for _ in range(options.times))
    print(
        f"start only {start:.2f} s\n{'endpoints':>10}{'files':>7}  {'command':<8}{'seconds':>8}{'peak MB':>9}"
        f"{'growth':>8}"
    )
    last = {}
    with tempfile.TemporaryDirectory() as folder:
        for size in options.sizes:
            old, new = pathlib.Path(folder, f"old{size}"), pathlib.Path(folder, f"new{size}")
            write_site(old, size, options.files)
            write_site(new, size, options.files, 5)
            for name, words, expected_code in (
                ("check", ("check", old), 0),
                ("fmt", ("fmt", "--check", old), 0),
                ("diff", ("diff", old, new), 1),
            ):
                rows = [run_command(*words) for _ in range(options.times)]
                assert all(row[2] == expected_code for row in rows), (name, rows)
                seconds, peak = min(row[0] for row in rows), max(row[1] for row in rows)
                work_s, growth = max(1e-3, seconds - start), ""
                if name in last:
                    growth = f"{math.log(work_s / last[name][1]) / math.log(size / last[name][0]):.2f}"
                last[name] = size, work_s
                count = len(list((old / "partners").iterdir()))
                print(f"{size:>10}{count:>7}  {name:<8}{seconds:>8.2f}{peak:>9.0f}{growth:>8}", flush=True)
            shutil.rmtree(old)
            shutil.rmtree(new)
    print(
        json.dumps(
            {
                "python": sys.version.split()[0],
                "cpus": os.cpu_count(),
                "own_peak_mb": resource.getrusage(resource.RUSAGE_SELF).ru_maxrss // 1024,
            }
        )
    )


if __name__ == "__main__":
    main()

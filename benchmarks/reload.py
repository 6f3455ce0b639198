"""Measures the latency of hand-ins to a running sender, with and without a reload in progress.

    python benchmarks/reload.py [--endpoints 20000] [--files 1000] [--rate 50] [--seconds 10]

A sender runs on a site of so many endpoints (all unreachable but one), and messages for that one are handed in at a
fixed rate, timed from their intended times: first without reloads, then with one SIGHUP after another.
"""

import argparse
import http.client
import os
import pathlib
import signal
import socket
import subprocess
import sys
import tempfile
import threading
import time

from language import ROOT, write_site


def serve(listener):
    """Serve a destination that answers every call with 200 at once."""

    def serve_connection(sock):
        with sock, sock.makefile("rb") as file:
            while line := file.readline():
                length = 0
                while line not in (b"\r\n", b""):
                    name, _, value = line.partition(b":")
                    length = int(value) if name.lower() == b"content-length" else length
                    line = file.readline()
                file.read(length)
                sock.sendall(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")

    while True:
        threading.Thread(target=serve_connection, args=(listener.accept()[0],), daemon=True).start()


def hand_in(address, rate, seconds, tag):
    """Hand in messages; return the sorted milliseconds from each one's intended time to its answer."""
    connection = http.client.HTTPConnection(*address, timeout=60)
    times, started = [], time.perf_counter()
    for number in range(int(rate * seconds)):
        intended = started + number / rate
        time.sleep(max(0, intended - time.perf_counter()))
        connection.request(
            "POST",
            "/fee-order",
            b"body",
            {"X-Request-Id": f"{tag}-{number}", "X-Deadline": "20000m", "X-Route-To": "dest=900000"},
        )
        answer = connection.getresponse()
        answer.read()
        assert answer.status == 202, answer.status
        times.append((time.perf_counter() - intended) * 1000)
    return sorted(times)


def print_quantiles(title, times):
    quantiles = [times[min(len(times) - 1, int(len(times) * fraction))] for fraction in (0.5, 0.9, 0.99)]
    print(
        f"{title:<28}{len(times):>6} messages  p50 {quantiles[0]:6.1f}  p90 {quantiles[1]:6.1f}  "
        f"p99 {quantiles[2]:6.1f}  max {times[-1]:6.1f} ms",
        flush=True,
    )


def main():
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter)
    parser.add_argument("--endpoints", type=int, default=20_000)
    parser.add_argument("--files", type=int, default=1000)
    parser.add_argument("--rate", type=float, default=50)
    parser.add_argument("--seconds", type=float, default=10)
    options = parser.parse_args()
    listener = socket.create_server(("127.0.0.1", 0))
    threading.Thread(target=serve, args=(listener,), daemon=True).start()
    with tempfile.TemporaryDirectory() as folder:
        site, state = pathlib.Path(folder, "site"), pathlib.Path(folder, "state")
        state.mkdir()
        write_site(site, options.endpoints, options.files)
        with open(site / "site.scale", "a") as file:
            file.write(
                "sender { slots 50; hold 1000 }\n"
                f"pool toy {{ endpoint t {{ at 127.0.0.1:{listener.getsockname()[1]} }} }}\n"
                "route 900000 { pool toy }\n"
            )
        child = subprocess.Popen(
            [
                sys.executable,
                "-O",
                "-m",
                "scalefall",
                "run",
                "--config",
                str(site),
                "--state",
                str(state),
                "--listen",
                "127.0.0.1:0",
            ],
            cwd=ROOT,
            stderr=subprocess.PIPE,
            text=True,
        )
        lines = []

        def wait_for_line(text):
            for line in child.stderr:
                lines.append(line)
                if text in line:
                    return line
            sys.exit("".join(lines))

        host, _, port = wait_for_line("ready: ").split()[-1].rpartition(":")
        reloads, stop = [], threading.Event()

        def reload():
            while not stop.is_set():
                started = time.perf_counter()
                child.send_signal(signal.SIGHUP)
                wait_for_line("configuration read again")
                reloads.append(time.perf_counter() - started)

        try:
            address = host, int(port)
            print_quantiles("without reloads", hand_in(address, options.rate, options.seconds, "a"))
            thread = threading.Thread(target=reload, daemon=True)
            thread.start()
            print_quantiles("with constant reloads", hand_in(address, options.rate, options.seconds, "b"))
            stop.set()
            thread.join(60)
            with open(f"/proc/{child.pid}/status") as file:
                peak = next(line.split()[1] for line in file if line.startswith("VmHWM"))
            print(
                f"{len(reloads)} reloads, {sum(reloads) / len(reloads):.2f} s each; peak memory of the sender "
                f"{int(peak) // 1024} MB; {os.cpu_count()} cores"
            )
        finally:
            child.terminate()
            child.wait(60)


if __name__ == "__main__":
    main()

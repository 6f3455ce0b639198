"""Stands in for the other side, to try scalefall on one machine: discovery, the platform's /reports, two endpoints.

    python3 example/toy_server.py [--discovery PORT] [--endpoints PORT PORT] [--a-second N]

A third endpoint, the only one of destination 9, is in the list but nothing listens there.
Prints its addresses, then a line for each message delivered and each delivery report. An endpoint takes N calls a
second and answers 429 with Retry-After above that. Port 0 picks a free one. Standard library only; it does not model
real destinations.
"""

import argparse
import contextlib
import json
import sys
import threading
import time
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer

HEARTBEAT_INTERVAL_S = 2


def print_line(text):
    """Print a line in one write: print() writes the line end separately, so lines of two threads could mix."""
    sys.stdout.write(f"{text}\n")
    sys.stdout.flush()


class Handler(BaseHTTPRequestHandler):
    protocol_version = "HTTP/1.1"
    disable_nagle_algorithm = True

    def log_message(self, *_):
        pass

    def body(self):
        return self.rfile.read(int(self.headers.get("Content-Length", 0)))

    def reply(self, status, body=b"", **fields):
        self.send_response(status)
        for name, value in fields.items():
            self.send_header(name.replace("_", "-"), value)
        if status != 204:
            self.send_header("Content-Length", str(len(body)))
        self.end_headers()
        self.wfile.write(body)


class Discovery(Handler):
    hosts = []

    def do_GET(self):
        table = json.dumps({"seq": 2, "whole": True, "hosts": self.hosts}).encode()
        if "stream=1" not in self.path:
            self.reply(200, table)
            return
        self.send_response(200)
        self.send_header("Transfer-Encoding", "chunked")
        self.end_headers()
        try:
            self.chunk(table + b"\n")
            while True:
                time.sleep(HEARTBEAT_INTERVAL_S)
                self.chunk(b"\n")
        except OSError:
            self.close_connection = True

    def chunk(self, data):
        self.wfile.write(b"%x\r\n%s\r\n" % (len(data), data))

    def do_POST(self):
        for line in self.body().splitlines():
            print_line(f"notice {line.decode()}")
        self.reply(204)


class Endpoint(Handler):
    calls_per_s = 5
    call_count, current_second, lock = 0, 0, threading.Lock()

    def do_POST(self):
        body, now = self.body(), time.time()
        with self.lock:
            if int(now) != Endpoint.current_second:
                Endpoint.current_second, Endpoint.call_count = int(now), 0
            Endpoint.call_count += 1
            remaining = self.calls_per_s - Endpoint.call_count
        load = json.dumps({"x0": max(0, remaining) / self.calls_per_s, "x1": self.calls_per_s})
        if remaining < 0:
            self.reply(429, Retry_After=f"{1 - now % 1:.3f}", X_Load=load)
            return
        time.sleep(0.1)
        if self.path.endswith(":batch"):
            ids = [row["id"] for row in json.loads(body)]
            answer = json.dumps([{"id": name, "state": "accepted"} for name in ids]).encode()
        else:
            ids, answer = [self.headers["X-Request-Id"]], b""
        for name in ids:
            print_line(f"delivered {name} at {self.server.server_port}")
        self.reply(200, answer, X_Load=load)


def main():
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter)
    parser.add_argument("--discovery", type=int, default=8500)
    parser.add_argument("--endpoints", type=int, nargs=2, default=[9001, 9002])
    parser.add_argument("--a-second", type=int, default=5)
    options = parser.parse_args()
    Endpoint.calls_per_s = options.a_second
    servers = [ThreadingHTTPServer(("127.0.0.1", port), Endpoint) for port in options.endpoints]
    for number, server in enumerate(servers):
        Discovery.hosts.append(
            {
                "host": f"toy-{number}",
                "dial": f"127.0.0.1:{server.server_port}",
                "site": "here",
                "class": "toy",
                "block": 7,
                "health": "in_service",
                "share": 1.0,
                "born_ms": 0,
            }
        )
    Discovery.hosts.append(Discovery.hosts[0] | {"host": "toy-away", "dial": "127.0.0.1:1", "block": 9})
    servers.append(ThreadingHTTPServer(("127.0.0.1", options.discovery), Discovery))
    for server in servers:
        server.daemon_threads = True
        threading.Thread(target=server.serve_forever, daemon=True).start()
    print_line(f"discovery at 127.0.0.1:{servers[-1].server_port}")
    with contextlib.suppress(KeyboardInterrupt):
        threading.Event().wait()


if __name__ == "__main__":
    main()

"""A stand-in destination on a socket: `python -m scalefall.lab.partner --port P --limit N [--away FROM-TO]
[--class NAME=REPEAT]`.

Times are seconds from its start. It logs JSON lines for the audit to standard output: took, effect, capacity, fell.
"""

from __future__ import annotations

import argparse
import json
import threading
import time
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer

from scalefall.lab.classes import REPEAT_WORDS, add_classes, classes_of
from scalefall.lab.partner.model import SECOND, DestinationModel, DestinationProfile
from scalefall.policy.events import Outcome

CAPACITY_LOG_INTERVAL_S = 0.1


def main() -> None:
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter)
    parser.add_argument("--port", type=int, default=0)
    parser.add_argument("--limit", type=float, default=30.0)
    parser.add_argument("--away", action="append", default=[], metavar="FROM-TO")
    parser.add_argument("--resets", type=float, default=0.0)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--name", default="partner")
    add_classes(parser)
    options = parser.parse_args()
    classes = classes_of(options)
    outages = tuple(
        (int(float(start) * SECOND), int(float(end) * SECOND))
        for start, _, end in (span.partition("-") for span in options.away)
    )
    profile = DestinationProfile(options.limit, outages=outages, reset_ratio=options.resets)
    destination, lock, started_at = DestinationModel(profile, options.seed), threading.Lock(), time.monotonic_ns()

    def now() -> int:
        return (time.monotonic_ns() - started_at) // 1000

    def log_event(event: str, **fields: object) -> None:
        print(
            json.dumps(
                {"at": time.time_ns() // 1000, "who": options.name, "event": event, "partner": options.name, **fields}
            ),
            flush=True,
        )

    class Handler(BaseHTTPRequestHandler):
        protocol_version = "HTTP/1.1"

        def log_message(self, *_: object) -> None:
            pass

        def do_POST(self) -> None:
            self.rfile.read(int(self.headers.get("Content-Length", 0)))
            name, class_name = self.headers.get("X-Request-Id", ""), self.path.strip("/").partition("/")[0]
            with lock:
                log_event("took", id=name)
                effects, failures = destination.effects[name], destination.overload_failures
                answer = destination.call(name, now())
                if destination.overload_failures > failures:
                    log_event("fell")
                if destination.effects[name] > effects:
                    log_event(
                        "effect",
                        id=name,
                        repeat=REPEAT_WORDS[classes[class_name].idempotency] if class_name in classes else "never",
                    )
            time.sleep(answer.delay_us / SECOND)
            if answer.outcome in (Outcome.RESET, Outcome.CONNECT_FAILED):
                self.close_connection = True
                return
            self.send_response(429 if answer.outcome is Outcome.OVERLOADED else 200)
            if answer.retry_after_us:
                self.send_header("Retry-After", f"{answer.retry_after_us / SECOND:.3f}")
            self.send_header("X-Load", json.dumps(answer.load_report))
            self.send_header("Content-Length", "0")
            self.end_headers()

    class Server(ThreadingHTTPServer):
        daemon_threads = True
        request_queue_size = 128

        def handle_error(self, *_: object) -> None:
            pass  # a proxy closed its connection

    def serve(port: int) -> Server:
        server = Server(("127.0.0.1", port), Handler)
        threading.Thread(target=server.serve_forever, daemon=True).start()
        return server

    server: Server | None = serve(options.port)
    port = server.server_address[1]
    log_event("listening", port=port)
    while True:
        time.sleep(CAPACITY_LOG_INTERVAL_S)
        with lock:
            is_down, capacity, since = (
                destination.is_unavailable(now()),
                destination.capacity(now()),
                destination.slow_start_since,
            )
        if is_down and server is not None:
            server.shutdown()
            server.server_close()
            server = None
        elif not is_down and server is None:
            server = serve(port)
        if since >= 0:
            log_event(
                "capacity",
                a_second=capacity,
                cold=now() < since + profile.slow_start_us,
                fall=profile.overload_multiple,
                fall_ms=profile.overload_window_us // 1000,
                since=time.time_ns() // 1000 - now() + since,
            )


if __name__ == "__main__":
    main()

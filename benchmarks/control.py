"""Measures control under load: delay of a drain to each of N proxies, cost of a proxy, and bytes of one change.

    python benchmarks/control.py [--streams 3 100 1000] [--endpoints 2000] [--names 3] [--drains 10] [--whole]

Control is a process of its own. The streams are raw ones in this process; each subscribes to --names routes of 100
endpoints, acknowledges everything and answers heartbeats. Delays run from the change in the control process (its log)
to the arrival here, so they include the time that this process takes to read the messages. CPU and memory are the
control process's; `at rest` includes the heartbeats of all leases.
"""

import argparse
import asyncio
import json
import os
import pathlib
import signal
import subprocess
import sys
import tempfile
import time
from datetime import datetime

import grpc
from envoy.service.discovery.v3 import ads_pb2_grpc, discovery_pb2

ROOT = pathlib.Path(__file__).parent.parent
EDS = "type.googleapis.com/envoy.config.endpoint.v3.ClusterLoadAssignment"
ENDPOINTS_PER_ROUTE = 100
STREAMS_PER_CHANNEL = 50
CLOCK_TICKS_PER_S = os.sysconf("SC_CLK_TCK")


def write_site(folder, endpoints, drained):
    """Write a site whose first endpoint is ready or drains."""
    rows = [
        "sender { name bench; listen 127.0.0.1:0 }",
        "class c { aim 3s; deadline 24s; repeat freely }",
        "kind one { per-call 1 }",
    ]
    for route in range(max(1, endpoints // ENDPOINTS_PER_ROUTE)):
        rows.append(f"pool p{route} {{ kind one")
        rows += [
            f"  endpoint e{index} {{ at 10.{route // 250}.{route % 250}.{index + 1}:80"
            f"{'; state draining' if drained and not route + index else ''} }}"
            for index in range(ENDPOINTS_PER_ROUTE)
        ]
        rows += ["}", f"route {route + 1} {{ pool p{route} }}"]
    (folder / "site.scale").write_text("\n".join(rows) + "\n")


def start_control(folder, endpoints, *flags):
    """Start control on a site of so many endpoints in a new folder; its log is its standard error."""
    (folder / "state").mkdir()
    write_site(folder, endpoints, False)
    return subprocess.Popen(
        [
            sys.executable,
            "-O",
            "-m",
            "scalefall",
            "control",
            "--config",
            str(folder),
            "--state",
            str(folder / "state"),
            "--plain-text",
            "--listen",
            "127.0.0.1:0",
            *flags,
        ],
        cwd=ROOT,
        stderr=subprocess.PIPE,
        text=True,
    )


class Stream:
    def __init__(self, channel, number, names, incremental):
        self.incremental, self.names = incremental, names
        stub = ads_pb2_grpc.AggregatedDiscoveryServiceStub(channel)
        self.call = (stub.DeltaAggregatedResources if incremental else stub.StreamAggregatedResources)()
        self.request_type = discovery_pb2.DeltaDiscoveryRequest if incremental else discovery_pb2.DiscoveryRequest
        self.node = {"id": f"n{number}", "client_features": ["xds.config.supports-resource-ttl"]}
        self.update_count, self.bytes, self.received_at, self.ready = 0, 0, 0.0, asyncio.Event()

    async def run(self):
        names_field = "resource_names_subscribe" if self.incremental else "resource_names"
        await self.call.write(self.request_type(node=self.node, type_url=EDS, **{names_field: self.names}))
        subscription = {} if self.incremental else {"resource_names": self.names}
        async for response in self.call:
            if self.incremental:
                has_update = any(row.HasField("resource") for row in response.resources)
            else:
                has_update = any(len(row.value) > 200 for row in response.resources)  # a heartbeat has no body
            if has_update:
                self.received_at, self.bytes, self.update_count = (
                    time.time(),
                    response.ByteSize(),
                    self.update_count + 1,
                )
                self.ready.set()
            await self.call.write(self.request_type(type_url=EDS, response_nonce=response.nonce, **subscription))


def process_usage(pid):
    """Return the CPU seconds and resident MB of a process."""
    fields = pathlib.Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    rss = int(pathlib.Path(f"/proc/{pid}/statm").read_text().split()[1]) * os.sysconf("SC_PAGE_SIZE") / 1e6
    return (int(fields[11]) + int(fields[12])) / CLOCK_TICKS_PER_S, rss


def quantile(values, fraction):
    return sorted(values)[min(len(values) - 1, int(len(values) * fraction))]


async def measure(count, options):
    with tempfile.TemporaryDirectory() as name:
        folder = pathlib.Path(name)
        child = start_control(folder, options.endpoints, "--log-format", "json")
        lines = asyncio.Queue()
        loop = asyncio.get_running_loop()

        def read():
            for line in child.stderr:
                loop.call_soon_threadsafe(lines.put_nowait, json.loads(line))

        reader = loop.run_in_executor(None, read)

        async def event(wanted):
            while True:
                row = await asyncio.wait_for(lines.get(), 60)
                if row["event"] == wanted:
                    return row

        try:
            address = (await event("ready"))["listen"]
            empty = process_usage(child.pid)[1]
            channels = [
                grpc.aio.insecure_channel(address, options=[("grpc.use_local_subchannel_pool", 1)])
                for _ in range(-(-count // STREAMS_PER_CHANNEL))
            ]
            names = [f"route-{index + 1}" for index in range(options.names)]
            streams = [
                Stream(channels[index // STREAMS_PER_CHANNEL], index, names, not options.whole)
                for index in range(count)
            ]
            tasks = [asyncio.create_task(stream.run()) for stream in streams]
            await asyncio.gather(*(asyncio.wait_for(stream.ready.wait(), 60) for stream in streams))
            await asyncio.sleep(2)
            before, rest_started = process_usage(child.pid), time.time()
            own_cpu_s = time.process_time()
            await asyncio.sleep(options.rest)
            cpu_spent, rest_s = process_usage(child.pid)[0] - before[0], time.time() - rest_started
            own_cpu_s = time.process_time() - own_cpu_s
            delays, last_delays = [], []
            for drain in range(options.drains):
                for stream in streams:
                    stream.ready.clear()
                write_site(folder, options.endpoints, drain % 2 == 0)
                child.send_signal(signal.SIGHUP)
                row = await event("endpoint")
                changed_at = datetime.fromisoformat(row["timestamp"].replace("Z", "+00:00")).timestamp()
                await asyncio.gather(*(asyncio.wait_for(stream.ready.wait(), 60) for stream in streams))
                times = [stream.received_at - changed_at for stream in streams]
                delays += times
                last_delays.append(max(times))
                await asyncio.sleep(1)
            memory = process_usage(child.pid)[1]
            print(
                f"{count:5} streams: delay p50 {1000 * quantile(delays, 0.5):.1f} ms, "
                f"p99 {1000 * quantile(delays, 0.99):.1f} ms, last "
                f"{1000 * quantile(last_delays, 0.5):.1f} ms (median) and "
                f"{1000 * max(last_delays):.1f} ms (worst) of {len(last_delays)};\n"
                f"      at rest {100 * cpu_spent / rest_s:.1f}% of a core (the streams here: "
                f"{100 * own_cpu_s / rest_s:.1f}%); {memory:.0f} MB, "
                f"{(memory - empty) * 1000 / count:.0f} kB a stream;\n"
                f"      one change of {options.endpoints} endpoints: {streams[0].bytes} bytes",
                flush=True,
            )
            for task in tasks:
                task.cancel()
            for channel in channels:
                await channel.close()
        finally:
            child.terminate()
            child.wait(10)
            await reader


def main():
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter)
    parser.add_argument("--streams", type=int, nargs="+", default=[3, 100, 1000])
    parser.add_argument("--endpoints", type=int, default=2000)
    parser.add_argument("--names", type=int, default=3)
    parser.add_argument("--drains", type=int, default=10)
    parser.add_argument("--rest", type=float, default=5.0)
    parser.add_argument("--whole", action="store_true", help="state of the world instead of incremental")
    options = parser.parse_args()
    for count in options.streams:
        asyncio.run(measure(count, options))


if __name__ == "__main__":
    main()

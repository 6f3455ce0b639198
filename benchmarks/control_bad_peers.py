"""Runs kinds of misbehaving peers against control: its memory, and whether good streams get heartbeats in time.

    python benchmarks/control_bad_peers.py [--seconds 8]

Three good streams answer heartbeats all along; the longest gap between two messages must stay under the endpoint lease.
Exit code 1 if it did not, if memory grew by more than 64 MB under one kind, or if the process ended.
"""

import argparse
import asyncio
import contextlib
import pathlib
import sys
import tempfile
import time

import grpc
from envoy.service.discovery.v3 import ads_pb2_grpc, discovery_pb2

sys.path.insert(0, str(pathlib.Path(__file__).parent))
from control import EDS, Stream, start_control, process_usage

ENDPOINT_LEASE_S = 0.9
MAX_MEMORY_GROWTH_MB = 64
LOCAL_CHANNEL_OPTIONS = [("grpc.use_local_subchannel_pool", 1)]
STREAM_PATH = "/envoy.service.discovery.v3.AggregatedDiscoveryService/StreamAggregatedResources"


class GapStream(Stream):
    """Records the longest time between two messages."""

    longest_gap, last_message = 0.0, 0.0

    async def run(self):
        names = {"resource_names_subscribe": self.names}
        await self.call.write(self.request_type(node=self.node, type_url=EDS, **names))
        async for response in self.call:
            now = time.monotonic()
            self.longest_gap, self.last_message = (
                max(self.longest_gap, now - self.last_message if self.last_message else 0.0),
                now,
            )
            await self.call.write(self.request_type(type_url=EDS, response_nonce=response.nonce))


def first_request(number, names):
    return discovery_pb2.DiscoveryRequest(node={"id": f"bad{number}"}, type_url=EDS, resource_names=names)


async def garbage(address, deadline):
    """Send invalid frames after a valid HTTP/2 preface."""
    host, _, port = address.rpartition(":")
    while time.monotonic() < deadline:
        with contextlib.suppress(OSError):
            _, writer = await asyncio.open_connection(host, int(port))
            writer.write(b"PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n" + b"\xff" * 4096)
            await writer.drain()
            await asyncio.sleep(0.002)
            writer.close()


async def giant(address, deadline):
    async with grpc.aio.insecure_channel(address, options=LOCAL_CHANNEL_OPTIONS) as channel:
        while time.monotonic() < deadline:
            call = channel.stream_stream(STREAM_PATH)()
            with contextlib.suppress(grpc.RpcError, asyncio.InvalidStateError):
                await call.write(b"x" * 20_000_000)
                await call.read()


async def subscriptions(address, deadline):
    """Subscribe to 10,000 names, other ones each time, on ten streams."""

    async def one(number):
        async with grpc.aio.insecure_channel(address, options=LOCAL_CHANNEL_OPTIONS) as channel:
            call = channel.stream_stream(STREAM_PATH)()
            data = [
                first_request(number, [f"route-{part}-{index}" for index in range(10_000)]).SerializeToString()
                for part in "ab"
            ]
            with contextlib.suppress(grpc.RpcError, asyncio.InvalidStateError):
                while time.monotonic() < deadline:
                    data.reverse()
                    await call.write(data[0])
                    await asyncio.sleep(0.01)

    await asyncio.gather(*(one(number) for number in range(10)))


async def no_nonce(address, deadline):
    """Subscribe to endpoints and never acknowledge."""
    async with grpc.aio.insecure_channel(address, options=LOCAL_CHANNEL_OPTIONS) as channel:
        calls = [ads_pb2_grpc.AggregatedDiscoveryServiceStub(channel).StreamAggregatedResources() for _ in range(50)]
        for number, call in enumerate(calls):
            await call.write(first_request(number, ["route-1"]))
        await asyncio.sleep(max(0, deadline - time.monotonic()))


async def openings(address, deadline):
    """Open about a thousand streams a second."""

    async def one(channel, number):
        with contextlib.suppress(grpc.RpcError, asyncio.InvalidStateError):
            call = ads_pb2_grpc.AggregatedDiscoveryServiceStub(channel).StreamAggregatedResources()
            await call.write(first_request(number, ["route-1"]))
            await call.read()
            call.cancel()

    opened = 0
    async with grpc.aio.insecure_channel(address, options=LOCAL_CHANNEL_OPTIONS) as channel:
        started = time.monotonic()
        while time.monotonic() < deadline:
            await asyncio.gather(*(one(channel, 0) for _ in range(20)))
            opened += 20
            await asyncio.sleep(max(0, opened / 1000 - (time.monotonic() - started)))
    return f"{opened / (time.monotonic() - started):.0f} a second"


async def no_reading(address, deadline):
    """Send requests and acknowledgements without ever reading, so that responses fill the connection."""

    async def one(number):
        async with grpc.aio.insecure_channel(
            address, options=[*LOCAL_CHANNEL_OPTIONS, ("grpc.http2.lookahead_bytes", 1024)]
        ) as channel:
            call = ads_pb2_grpc.AggregatedDiscoveryServiceStub(channel).StreamAggregatedResources()
            with contextlib.suppress(grpc.RpcError, asyncio.InvalidStateError):
                nonce = 0
                while time.monotonic() < deadline:
                    nonce += 1
                    await call.write(
                        discovery_pb2.DiscoveryRequest(
                            node={"id": f"bad{number}"} if nonce == 1 else None,
                            type_url=EDS,
                            resource_names=[f"route-{index + 1}" for index in range(nonce % 20 + 1)],
                            response_nonce=f"{nonce - 1}" if nonce > 1 else "",
                        )
                    )
                    await asyncio.sleep(0.002)

    await asyncio.gather(*(one(number) for number in range(20)))


async def play(seconds):
    with tempfile.TemporaryDirectory() as name:
        child = start_control(pathlib.Path(name), 2000)
        while "ready: control" not in (line := child.stderr.readline()):
            pass
        address, failures = line.split()[-1], 0
        reading = asyncio.get_running_loop().run_in_executor(None, child.stderr.read)
        channel = grpc.aio.insecure_channel(address, options=LOCAL_CHANNEL_OPTIONS)
        good_streams = [GapStream(channel, number, ["route-1", "route-2"], True) for number in range(3)]
        tasks = [asyncio.create_task(stream.run()) for stream in good_streams]
        await asyncio.sleep(2)
        for misbehave in (garbage, giant, subscriptions, no_nonce, openings, no_reading):
            for stream in good_streams:
                stream.longest_gap = 0.0
            before = process_usage(child.pid)
            note = await misbehave(address, time.monotonic() + seconds)
            longest_gap, after = max(stream.longest_gap for stream in good_streams), process_usage(child.pid)
            is_bad = (
                longest_gap >= ENDPOINT_LEASE_S
                or after[1] - before[1] > MAX_MEMORY_GROWTH_MB
                or child.poll() is not None
            )
            failures += is_bad
            print(
                f"{misbehave.__name__:<14}{'BAD ' if is_bad else 'good'}  "
                f"longest gap of good streams {1000 * longest_gap:.0f} ms, "
                f"CPU {100 * (after[0] - before[0]) / seconds:.0f}%, memory {before[1]:.0f} -> {after[1]:.0f} MB"
                f"{'; ' + note if note else ''}",
                flush=True,
            )
            await asyncio.sleep(1)
        for task in tasks:
            task.cancel()
        await channel.close()
        child.terminate()
        log = await reading
        failures += "Traceback" in log
        print(f"control exited with code {child.wait(10)}; {log.count('Traceback')} tracebacks in its log")
        return 1 if failures else 0


def main():
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter)
    parser.add_argument("--seconds", type=float, default=8)
    return asyncio.run(play(parser.parse_args().seconds))


if __name__ == "__main__":
    sys.exit(main())

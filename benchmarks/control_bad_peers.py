"""Bad peers at a control service, one kind after another: its memory, and whether good streams still hear it in time.

    python benchmarks/control_bad_peers.py [--seconds 8]

Three good streams answer heartbeats all along; the longest gap between two of them must stay under the endpoint lease.
Exit code 1 if it didn't, or if memory grew by more than 64 MB under one kind, or the process ended.
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
from control import EDS, Stream, started, used

LEASE_S, MOST_MB = 0.9, 64
LOCAL = [("grpc.use_local_subchannel_pool", 1)]
PATH = "/envoy.service.discovery.v3.AggregatedDiscoveryService/StreamAggregatedResources"


class Good(Stream):
    """Knows the longest time between two messages."""

    gap, last = 0.0, 0.0

    async def run(self):
        names = {"resource_names_subscribe": self.names}
        await self.call.write(self.kind(node=self.node, type_url=EDS, **names))
        async for response in self.call:
            now = time.monotonic()
            self.gap, self.last = max(self.gap, now - self.last if self.last else 0.0), now
            await self.call.write(self.kind(type_url=EDS, response_nonce=response.nonce))


def first(number, names):
    return discovery_pb2.DiscoveryRequest(node={"id": f"bad{number}"}, type_url=EDS, resource_names=names)


async def garbage(at, until):
    """Random bytes on the socket, and frames that are none after a good preface."""
    host, _, port = at.rpartition(":")
    while time.monotonic() < until:
        with contextlib.suppress(OSError):
            _, writer = await asyncio.open_connection(host, int(port))
            writer.write(b"PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n" + b"\xff" * 4096)
            await writer.drain()
            await asyncio.sleep(0.002)
            writer.close()


async def giant(at, until):
    async with grpc.aio.insecure_channel(at, options=LOCAL) as channel:
        while time.monotonic() < until:
            call = channel.stream_stream(PATH)()
            with contextlib.suppress(grpc.RpcError, asyncio.InvalidStateError):
                await call.write(b"x" * 20_000_000)
                await call.read()


async def subscriptions(at, until):
    """10,000 names, others each time, on ten streams."""

    async def one(number):
        async with grpc.aio.insecure_channel(at, options=LOCAL) as channel:
            call = channel.stream_stream(PATH)()
            data = [first(number, [f"route-{part}-{n}" for n in range(10_000)]).SerializeToString() for part in "ab"]
            with contextlib.suppress(grpc.RpcError, asyncio.InvalidStateError):
                while time.monotonic() < until:
                    data.reverse()
                    await call.write(data[0])
                    await asyncio.sleep(0.01)

    await asyncio.gather(*(one(number) for number in range(10)))


async def no_nonce(at, until):
    """Asks for endpoints that change, and never answers."""
    async with grpc.aio.insecure_channel(at, options=LOCAL) as channel:
        calls = [ads_pb2_grpc.AggregatedDiscoveryServiceStub(channel).StreamAggregatedResources() for _ in range(50)]
        for number, call in enumerate(calls):
            await call.write(first(number, ["route-1"]))
        await asyncio.sleep(max(0, until - time.monotonic()))


async def openings(at, until):
    """About a thousand streams a second."""

    async def one(channel, number):
        with contextlib.suppress(grpc.RpcError, asyncio.InvalidStateError):
            call = ads_pb2_grpc.AggregatedDiscoveryServiceStub(channel).StreamAggregatedResources()
            await call.write(first(number, ["route-1"]))
            await call.read()
            call.cancel()

    opened = 0
    async with grpc.aio.insecure_channel(at, options=LOCAL) as channel:
        began = time.monotonic()
        while time.monotonic() < until:
            await asyncio.gather(*(one(channel, 0) for _ in range(20)))
            opened += 20
            await asyncio.sleep(max(0, opened / 1000 - (time.monotonic() - began)))
    return f"{opened / (time.monotonic() - began):.0f} a second"


async def no_reading(at, until):
    """Answers and asks without ever reading: what it is sent stays on the way."""

    async def one(number):
        async with grpc.aio.insecure_channel(at, options=[*LOCAL, ("grpc.http2.lookahead_bytes", 1024)]) as channel:
            call = ads_pb2_grpc.AggregatedDiscoveryServiceStub(channel).StreamAggregatedResources()
            with contextlib.suppress(grpc.RpcError, asyncio.InvalidStateError):
                nonce = 0
                while time.monotonic() < until:
                    nonce += 1
                    await call.write(
                        discovery_pb2.DiscoveryRequest(
                            node={"id": f"bad{number}"} if nonce == 1 else None,
                            type_url=EDS,
                            resource_names=[f"route-{n + 1}" for n in range(nonce % 20 + 1)],
                            response_nonce=f"{nonce - 1}" if nonce > 1 else "",
                        )
                    )
                    await asyncio.sleep(0.002)

    await asyncio.gather(*(one(number) for number in range(20)))


async def play(seconds):
    with tempfile.TemporaryDirectory() as name:
        child = started(pathlib.Path(name), 2000)
        while "ready: control" not in (line := child.stderr.readline()):
            pass
        at, wrong = line.split()[-1], 0
        reading = asyncio.get_running_loop().run_in_executor(None, child.stderr.read)
        channel = grpc.aio.insecure_channel(at, options=LOCAL)
        goods = [Good(channel, number, ["route-1", "route-2"], True) for number in range(3)]
        tasks = [asyncio.create_task(good.run()) for good in goods]
        await asyncio.sleep(2)
        for kind in (garbage, giant, subscriptions, no_nonce, openings, no_reading):
            for good in goods:
                good.gap = 0.0
            before = used(child.pid)
            note = await kind(at, time.monotonic() + seconds)
            gap, after = max(good.gap for good in goods), used(child.pid)
            bad = gap >= LEASE_S or after[1] - before[1] > MOST_MB or child.poll() is not None
            wrong += bad
            print(
                f"{kind.__name__:<14}{'BAD ' if bad else 'good'}  longest gap of good streams {1000 * gap:.0f} ms, "
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
        wrong += "Traceback" in log
        print(f"it ended with {child.wait(10)}; {log.count('Traceback')} tracebacks in its log")
        return 1 if wrong else 0


def main():
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter)
    parser.add_argument("--seconds", type=float, default=8)
    return asyncio.run(play(parser.parse_args().seconds))


if __name__ == "__main__":
    sys.exit(main())

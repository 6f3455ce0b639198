"""A change that a silent watch missed is learned too late where discovery is crowded: a drained endpoint is called."""

import asyncio
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "second"))

import standins
from standins import BROKEN, HELD, LIMIT_SLACK_S, TROUBLE, CaseError, Endpoint, Message, Platform, Sender, World

SENDERS = 2
TOLD_S = 6.0  # what a silent watch misses counts as told this long after it fell silent
GRACE_S = 0.5  # drainGrace of the settings
TIMEOUT_S = 2.0  # timeout_ms of the site: a call that has waited for longer is refused with 503
CROWDED_S = 4.5  # after this time calls are served again, though each still waits
WAIT_S = 1.9
RATE_PER_S = 8.0  # messages, of each sender


async def start_all(world: World) -> tuple[Endpoint, Platform, list[Sender]]:
    """Start two endpoints of one destination, discovery and the senders; return the endpoint that is to drain first."""

    async def answer(_: Message) -> tuple[int, dict[str, str]]:
        await asyncio.sleep(world.random.uniform(0.18, 0.3))
        return 200, {}

    endpoints = [Endpoint(world, "s-11", 1, answer), Endpoint(world, "s-12", 1, answer)]
    for endpoint in endpoints:
        await endpoint.start()
    hosts = {endpoint.name: endpoint.entry("big-operators", "hall-a") for endpoint in endpoints}
    for host in hosts.values():
        host["share"] = 40.0  # calls a second that the destination takes
    platform = Platform(world, "discovery", hosts)
    await platform.start()
    senders = []
    for index in range(SENDERS):
        settings = standins.kulku(SENDERS)
        settings["index"] = index
        senders.append(Sender(world, f"n{index}", platform, settings))
    await asyncio.gather(*(sender.start() for sender in senders))
    return endpoints[0], platform, senders


async def play(world: World) -> int:
    """Play the day, and judge the rule on drains."""
    record = world.record
    endpoint, platform, senders = await start_all(world)

    def make() -> Message:
        if world.random.random() < 0.67:
            return world.add_message("ticket-order", 1, 28, True)
        return world.add_message("disruption-notice", 1, 6, False)

    for sender in senders:
        world.spawn(sender.hand_in_at_rate(record.now() + 16, RATE_PER_S, make))
    await asyncio.sleep(5)
    silent_at = record.now()

    def wait() -> tuple[float, int]:
        return (TIMEOUT_S, 503) if record.now() < silent_at + CROWDED_S else (WAIT_S, 200)

    if TROUBLE:
        await platform.wake()  # an empty line on each watch, the last one
        await asyncio.sleep(0.02)
        silent_at = platform.muted_since = record.now()
        platform.wait = wait
        record.add("discovery: all open watches fall silent; calls wait")
    await asyncio.sleep(0.1)
    await platform.change("s-11", health="terminating")
    changed_at = record.now()
    await asyncio.sleep(14)

    told_at = max(changed_at, silent_at + TOLD_S) if TROUBLE else changed_at
    if len(endpoint.calls) < 10:
        raise CaseError("too few calls")
    late = [at for at in endpoint.first_bytes if at > told_at + GRACE_S + LIMIT_SLACK_S]
    record.add(
        f"s-11 counts as told to drain at {told_at:.3f};"
        f" calls to it more than {GRACE_S + LIMIT_SLACK_S} s later: {len(late)}"
        + (f", the last {late[-1] - told_at:.2f} s later" if late else "")
    )
    return BROKEN if late else HELD


standins.main(play, Path(__file__).resolve().parent)

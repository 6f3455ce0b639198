"""A wait that is told with more than nine decimals is not heeded."""

import asyncio
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "second"))

import standins
from standins import BROKEN, HELD, LIMIT_SLACK_S, TROUBLE, CaseError, Endpoint, Message, Platform, Sender, World

SHUT_S = 10.0  # 5.2 to 20 s
TELLS_WAIT = 0.75  # the share of refusals that tell a wait: 0.54 to 0.96
LET_THROUGH_S = 0.1  # PROTOCOL: calls that come within 100 ms of the answer are let through
TRAFFIC_PER_S = 5.0
LIMIT_PER_S = 12.0


async def play(world: World) -> int:
    """Play the day, and judge the rule on waits."""
    record = world.record
    shut_until = [0.0]
    waits: list[tuple[float, float, str]] = []  # from, until, as written

    async def answer(_: Message) -> tuple[int, dict[str, str]]:
        report = {"X-Load": f'{{"x0":0.5,"x1":{LIMIT_PER_S:g}}}'}
        if record.now() < shut_until[0]:
            await asyncio.sleep(0.01)
            now = record.now()
            left = shut_until[0] - now
            if world.random.random() >= TELLS_WAIT or left <= 0:
                return 503, report
            waits.append((now, now + left, str(left)))
            return 429, {"Retry-After": str(left), **report}
        await asyncio.sleep(world.random.uniform(0.17, 0.3))
        return 200, report

    endpoint = Endpoint(world, "s-11", 1, answer)
    await endpoint.start()
    platform = Platform(world, "platform", {"s-11": endpoint.entry("partner", "radnice-sal")})
    await platform.start()
    sender = Sender(world, "n0", platform, standins.lhota(1))
    await sender.start()

    def make() -> Message:
        name = world.random.choices(("event-notice", "status-update", "fee-order"), (62, 20, 18))[0]
        return world.add_message(name, 1, 28 if name == "status-update" else 24, name == "event-notice")

    world.spawn(sender.hand_in_at_rate(record.now() + 25, TRAFFIC_PER_S, make))
    await asyncio.sleep(8)
    if TROUBLE:
        shut_until[0] = record.now() + SHUT_S
        record.add(f"s-11: shut until {shut_until[0]:.3f}")
    await asyncio.sleep(20)

    if len(endpoint.calls) < 30 or (TROUBLE and not waits):
        raise CaseError("too few calls, or no wait was told")
    broken = 0
    for since, until, text in waits:
        early = [at for at in endpoint.calls if since + LET_THROUGH_S + LIMIT_SLACK_S < at < until - LIMIT_SLACK_S]
        if early:
            broken += 1
            record.add(
                f"told at {since:.3f} to wait {text} s: {len(early)} calls before its end,"
                f" the first {early[0] - since:.2f} s after it was told"
            )
    record.add(f"calls: {len(endpoint.calls)}; waits told: {len(waits)}; not heeded: {broken}")
    return BROKEN if broken else HELD


standins.main(play, Path(__file__).resolve().parent)

"""Messages that wait untried are given up at a restart, with no call, once their class has left the settings."""

import asyncio
import signal
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "second"))

import standins
from standins import BROKEN, HELD, TROUBLE, CaseError, Endpoint, Message, Platform, Sender, World

LIMIT_PER_S = 2.0  # bulk-partner: 1.6 to 4.3 calls a second at least
WINDOW_S = 1.0  # its limit is a count in each span of 1 s
WARM_S = 6.0  # ordinary traffic, from which the sender learns the limit
CLUMP = 6  # a clump: as many as the partner takes in 1.4 to 3.5 s
DEAD_S = 0.6  # PROTOCOL: the next start is 0.6 s after SIGKILL
DEADLINE_S = 24.0
OLD_CLASS, NEW_CLASS = "fee-order", "fee-order-2"


async def play(world: World) -> int:
    """Play the day, and judge what the restart found untried."""
    record = world.record
    window = [-1, 0]  # the number of the span, and the calls in it

    async def answer(_: Message) -> tuple[int, dict[str, str]]:
        at = record.now()
        if int(at / WINDOW_S) != window[0]:
            window[:] = [int(at / WINDOW_S), 0]
        window[1] += 1
        left = max(0.0, 1 - window[1] / LIMIT_PER_S)
        report = {"X-Load": f'{{"x0":{left:.2f},"x1":{LIMIT_PER_S:g}}}'}
        if window[1] > LIMIT_PER_S:
            return 429, {"Retry-After": f"{(window[0] + 1) * WINDOW_S - at + 0.01:.3f}", **report}
        await asyncio.sleep(world.random.uniform(0.17, 0.3))
        return 200, report

    endpoint = Endpoint(world, "s-11", 1, answer)
    await endpoint.start()
    platform = Platform(world, "platform", {"s-11": endpoint.entry("partner", "radnice-sal")})
    await platform.start()
    sender = Sender(world, "n0", platform, standins.lhota(1))
    await sender.start()

    def make() -> Message:
        return world.add_message(world.random.choice(("status-update", OLD_CLASS)), 1, DEADLINE_S, False)

    await sender.hand_in_at_rate(record.now() + WARM_S, 1.2, make)
    clump = [world.add_message(OLD_CLASS, 1, DEADLINE_S, False) for _ in range(CLUMP)]
    for message in clump:
        await sender.hand_in(message)
    if TROUBLE:
        for row in sender.settings["grades"]:
            if row["name"] == OLD_CLASS:
                row["name"] = NEW_CLASS
        sender.write_config(sender.table())
        sender.signal(signal.SIGHUP)
        await asyncio.sleep(0.3)
        await sender.kill()
        killed_at = record.now()
        await asyncio.sleep(DEAD_S)
        await sender.start()
    else:
        killed_at = record.now()
    untried = [
        message
        for message in world.messages.values()
        if message.taken_at and not message.calls and message.due - record.now() > DEADLINE_S / 2
    ]
    if len(untried) < 3 or killed_at == 0:
        raise CaseError(f"{len(untried)} messages untried")
    await asyncio.sleep(max(0.0, max(message.due for message in untried) - record.now()) + 2)

    half = DEADLINE_S / 2
    early = [
        message
        for message in untried
        if not message.calls and message.notices and message.due - message.notices[0][0] > half
    ]
    lost = standins.lost(world, [sender])
    record.add(
        f"untried with over half of their time left: {len(untried)}; of these given up early with no call: {len(early)}"
        f"; lost: {len(lost)}"
    )
    return BROKEN if 2 * len(early) > len(untried) or lost else HELD


standins.main(play, Path(__file__).resolve().parent)

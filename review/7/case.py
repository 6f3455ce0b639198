"""Messages with long bodies: what counts as one call in slow start goes out as one call for each message."""

import asyncio
import sys
from math import sqrt
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "second"))

import standins
from standins import BROKEN, HELD, LIMIT_SLACK_S, TROUBLE, CaseError, Endpoint, Message, Platform, Sender, World

SENDERS = 2
BODY_BYTES = 30_000  # PROTOCOL: a body holds no more than 64 KiB
LIMIT_PER_S = 6.0  # calls, as it reports; bulk-partner: at least 1.6 to 4.3 a second
TRAFFIC_PER_S = 4.5  # messages: 75% of it
WORK_S = (0.17, 0.3)
WARM_UP_S = 15.0
OUTAGE_S = 10.0  # 5.2 to 20 s
COLD_FROM, COLD_S, MULTIPLE, WINDOW_S = 0.18, 9.8, 2.0, 2.0  # coldFrom, cold, fallMultiple, fall of the settings
CORES, QUEUE_PER_CORE = 2, 8  # queue_per_core of the site: 2 to 8
CAPACITY_PER_S = CORES / (sum(WORK_S) / len(WORK_S))  # what it can do when warm: 8.5 calls a second, over its limit


class Partner:
    """A partner with one endpoint, which is shut for a while and comes back cold."""

    def __init__(self, world: World) -> None:
        """Start warm and open."""
        self.world = world
        self.endpoint = Endpoint(world, "s-11", 1, self.answer)
        self.back_at = float("inf")
        self.is_shut = False
        self.told: set[str] = set()  # senders with a call that was refused in the outage
        self.calls: list[tuple[float, str]] = []  # time and sender
        self.free_at = [0.0] * CORES
        self.starts: list[float] = []  # of the accepted calls

    def fraction(self, at: float) -> float:
        """Return the share of its capacity that it has at a time."""
        if at < self.back_at:
            return 1.0
        return min(1.0, COLD_FROM + (1 - COLD_FROM) * (at - self.back_at) / COLD_S)

    def shut(self) -> None:
        """Begin the outage."""
        self.is_shut = True
        self.world.record.add("s-11: shut")

    def come_back(self) -> None:
        """End the outage."""
        self.is_shut = False
        self.back_at = self.world.record.now()
        self.free_at, self.starts = [0.0] * CORES, []
        self.world.record.add("s-11: back, cold")

    async def answer(self, message: Message) -> tuple[int, dict[str, str]]:
        """Answer a call: full while it is shut and with its queue full, else after its work."""
        now = self.world.record.now()
        self.calls.append((now, message.sender))
        full = 503, {"X-Load": f'{{"x0":0,"x1":{LIMIT_PER_S:g}}}'}
        if self.is_shut:
            await asyncio.sleep(0.02)
            self.told.add(message.sender)
            return full
        core = self.free_at.index(min(self.free_at))
        start = max(now, self.free_at[core])
        if start > now and sum(1 for one in self.starts if one > now) >= CORES * QUEUE_PER_CORE:
            return full
        self.starts.append(start)
        self.free_at[core] = start + self.world.random.uniform(*WORK_S) / self.fraction(start)
        await asyncio.sleep(self.free_at[core] - now)
        return 200, {"X-Load": f'{{"x0":0.3,"x1":{LIMIT_PER_S:g}}}'}

    def first_fall(self) -> str:
        """Return how it falls first by the rule; an empty text if it holds."""
        for at, _ in self.calls:
            if at < self.back_at or self.fraction(at) >= 1:
                continue
            window = [sender for other, sender in self.calls if at <= other < at + WINDOW_S - LIMIT_SLACK_S]
            budget = MULTIPLE * CAPACITY_PER_S * self.fraction(at + WINDOW_S) * WINDOW_S  # by its end, where it is most
            allowed = budget + (3 * sqrt(budget) + 3 if budget < 30 else 2 * sqrt(budget) + 2)
            from_told = sum(sender in self.told for sender in window)
            if len(window) > allowed and 3 * from_told > 2 * len(window):
                return (
                    f"{len(window)} calls in {WINDOW_S:g} s from {at - self.back_at:.2f} s after its return on,"
                    f" {from_told} of senders that were told; N is {budget:.1f}, allowed are {allowed:.1f}"
                )
        return ""


async def play(world: World) -> int:
    """Play the day, and judge the rule on cold destinations."""
    record, partner = world.record, Partner(world)
    await partner.endpoint.start()
    platform = Platform(world, "platform", {"s-11": partner.endpoint.entry("bulk-partner", "radnice-sal")})
    await platform.start()
    senders = []
    for index in range(SENDERS):
        settings = standins.lhota(SENDERS)
        settings["index"] = index
        senders.append(Sender(world, f"n{index}", platform, settings))
    await asyncio.gather(*(sender.start() for sender in senders))

    def make() -> Message:
        name = world.random.choices(("event-notice", "status-update", "fee-order"), (62, 20, 18))[0]
        return world.add_message(name, 1, 28 if name == "status-update" else 24, name == "event-notice", BODY_BYTES)

    end = record.now() + WARM_UP_S + OUTAGE_S + COLD_S + 2
    for sender in senders:
        world.spawn(sender.hand_in_at_rate(end, TRAFFIC_PER_S / SENDERS, make))
    await asyncio.sleep(WARM_UP_S)
    if TROUBLE:
        partner.shut()
    await asyncio.sleep(OUTAGE_S)
    if TROUBLE:
        partner.come_back()
    await asyncio.sleep(max(0.0, end - record.now()) + 2)

    if len(partner.calls) < 50 or (TROUBLE and len(partner.told) < SENDERS):
        raise CaseError("too few calls, or a sender that saw no outage")
    fall = partner.first_fall()
    record.add(f"s-11 falls: {fall}" if fall else f"s-11 holds: {len(partner.calls)} calls")
    return BROKEN if fall else HELD


standins.main(play, Path(__file__).resolve().parent)

"""A sender that restarts while discovery is down sends to an endpoint that its agent had told to drain."""

import asyncio
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "second"))

import standins
from standins import BROKEN, HELD, LIMIT_SLACK_S, TROUBLE, CaseError, Endpoint, Message, Platform, Sender, World

SENDERS = 3  # one of three is killed: 33%, where the page has up to 44%
DEAD_S = 1.2  # tota: a sender comes back after 1.1 to 8 s
OUTAGE_S = 8.0  # herd: discovery is down for 8 s
GRACE_S = 1.0  # drainGrace of the settings


class Day:
    """Three senders, each with an agent of its own, and an endpoint that drains."""

    def __init__(self, world: World) -> None:
        """Set up the endpoints."""
        self.world = world
        self.is_draining = False
        self.draining = Endpoint(world, "s-11", 1, self.answer_of_drained)
        self.endpoints = [
            self.draining,
            Endpoint(world, "s-12", 1, self.answer),
            Endpoint(world, "s-21", 2, self.answer),
        ]
        self.senders: list[Sender] = []

    async def answer(self, _: Message) -> tuple[int, dict[str, str]]:
        """Answer a call after its work."""
        await asyncio.sleep(self.world.random.uniform(0.15, 0.25))
        return 200, {}

    async def answer_of_drained(self, message: Message) -> tuple[int, dict[str, str]]:
        """Turn calls away once the endpoint drains."""
        return (503, {}) if self.is_draining else await self.answer(message)

    async def start(self) -> None:
        """Start all processes and stand-ins."""
        for endpoint in self.endpoints:
            await endpoint.start()
        hosts = {endpoint.name: endpoint.entry("insurers", "floor-1") for endpoint in self.endpoints}
        for index in range(SENDERS):
            agent = Platform(self.world, f"agent-{index}", hosts)
            await agent.start()
            settings = standins.tota(SENDERS)
            settings["index"] = index
            self.senders.append(Sender(self.world, f"n{index}", agent, settings))
        await asyncio.gather(*(sender.start() for sender in self.senders))

    def make(self) -> Message:
        """Return a message as the clients of the site send them."""
        dest = self.world.random.choice((1, 1, 2))
        if self.world.random.random() < 0.6:
            return self.world.add_message("order", dest, 24, True)
        return self.world.add_message("status", dest, 16, False)

    async def drain(self) -> None:
        """Let the endpoint drain, and the agents have it."""
        self.is_draining = True
        for sender in self.senders:
            await sender.platform.change(self.draining.name, health="terminating")

    async def set_silent(self, silent: bool) -> None:
        """Begin or end the outage of discovery."""
        for sender in self.senders:
            await sender.platform.set_silent(silent and TROUBLE)


async def play(world: World) -> int:
    """Play the day, and judge the rule on drains."""
    day, record = Day(world), world.record
    await day.start()
    victim, end = day.senders[0], record.now() + 20
    for sender in day.senders[1:]:
        world.spawn(sender.hand_in_at_rate(end, 6, day.make))
    world.spawn(victim.hand_in_at_rate(record.now() + 4, 6, day.make))
    await asyncio.sleep(4)

    if TROUBLE:
        await victim.kill()
    await asyncio.sleep(0.2)
    await day.drain()
    agents_have_it_at = record.now()
    await asyncio.sleep(0.2)
    await day.set_silent(True)
    await asyncio.sleep(DEAD_S - 0.4)
    if TROUBLE:
        await victim.start()
    told_at = max(victim.started_at, agents_have_it_at)
    world.spawn(victim.hand_in_at_rate(end, 6, day.make))
    await asyncio.sleep(max(0.0, agents_have_it_at + 0.2 + OUTAGE_S - record.now()))
    await day.set_silent(False)
    await asyncio.sleep(max(0.0, end - record.now()) + 3)

    taken = [message for message in world.messages.values() if message.taken_at > told_at]
    if len(taken) < 20 or len(day.draining.calls) < 5:
        raise CaseError("too few messages")
    late = [at for at in day.draining.first_bytes if at > told_at + GRACE_S + LIMIT_SLACK_S]
    record.add(
        f"s-11 told to drain by {told_at:.3f}; calls to it more than {GRACE_S + LIMIT_SLACK_S} s later: {len(late)}"
        + (f", the first {late[0] - told_at:.2f} s and the last {late[-1] - told_at:.2f} s later" if late else "")
    )
    return BROKEN if late else HELD


standins.main(play, Path(__file__).resolve().parent)

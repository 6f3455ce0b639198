"""Discovery has moved; then the file of the configuration is replaced by one that lacks a key."""

import asyncio
import pathlib
import signal
import sys

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "common"))

from standins import CannotRunError, Case, Message, RatePartner, play  # noqa: E402

DESTINATION = 7
LIMIT_PER_S = 1.8  # the page: a partner takes 1.8 to 4.9 calls a second at least
BURST = 1.0  # calls that it takes at once after a rest
WORK_S = 0.25  # the page: 170 to 300 ms at a partner of usual pace
CLUMP = 6  # the page: as many as the partner takes in 1.4 to 3.5 s
LEFT_MS = 2_500  # what is left of the class's 24 s, as of a message that its client hands in once more
FIRST_SECOND_S = 1.5  # the page: no SIGHUP in the first second, nor before the sender is ready
COUNTS_S = 4.5  # the page: 4 s after SIGHUP, what discovery has to tell counts as told
LATE_S = 0.5  # the page: up to half a second after its time a message's end is only late; later it is lost
CLUMPS = 3


async def steps(case: Case) -> list[str]:
    """Play the case; return what broke the rule."""
    partner = await case.add_endpoint("e-1", DESTINATION, "partner", RatePartner(LIMIT_PER_S, BURST, WORK_S))
    case.write_config()
    sender = await case.start("the sender")
    await case.until_ready(sender)
    await asyncio.sleep(FIRST_SECOND_S)
    await case.platform.move()
    case.write_config()
    case.record("platform: SIGHUP, discovery moved")
    sender.send_signal(signal.SIGHUP)
    await asyncio.sleep(COUNTS_S)
    case.write_config(without="discovery" if case.trouble else "")
    case.record(f"platform: SIGHUP, the file {'lacks its key discovery' if case.trouble else 'is as before'}")
    sender.send_signal(signal.SIGHUP)
    await asyncio.sleep(COUNTS_S)
    for clump in range(CLUMPS):
        await asyncio.gather(
            *(
                case.hand_in(Message(f"fee-{clump}-{number}", "fee-order", DESTINATION, LEFT_MS, b"a paid fee"))
                for number in range(CLUMP)
            )
        )
        await asyncio.sleep(LEFT_MS / 1000 + 1)
    await asyncio.sleep(2)
    taken = [message for message in case.messages.values() if message.status in (200, 202)]
    if not taken:
        raise CannotRunError("no message was taken on")
    ran = {name for _, name, _ in partner.ran}
    lost = [message.id for message in taken if message.id not in ran and not has_notice(case, message)]
    noticed = sum(message.id in case.platform.notices for message in taken)
    case.record(f"taken on: {len(taken)}, delivered: {len(ran)}, with a notice: {noticed}, lost: {len(lost)}")
    return [f"{name} was taken on, and is neither delivered nor ended by a notice" for name in lost]


def has_notice(case: Case, message: Message) -> bool:
    """Return whether a message was ended by a notice before it counts as lost."""
    last = message.sent_at + message.deadline_ms / 1000 + LATE_S
    return any(at <= last for at, _ in case.platform.notices.get(message.id, []))


if __name__ == "__main__":
    sys.exit(play(HERE, steps))

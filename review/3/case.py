"""A new configuration drops a class while messages of it are held; a planned restart follows."""

import asyncio
import copy
import pathlib
import signal
import sys

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "common"))

from standins import CannotRunError, Case, Endpoint, Message, RatePartner, play  # noqa: E402

DESTINATION = 7
LIMIT_PER_S = 4.5  # the page: a partner takes at least 1.8 to 4.9 calls a second
BURST = LIMIT_PER_S  # calls that it takes at once after a rest
WORK_S = 0.25  # the page: 170 to 300 ms at a partner of usual pace
CLUMP = 15  # the page: as many as the partner takes in 1.4 to 3.5 s
DEADLINE_MS = 24_000  # the class's
FIRST_SECOND_S = 1.5  # the page: no SIGHUP in the first second, nor before the sender is ready
HELD_S = 0.3  # from SIGHUP to the kill of the restart


async def steps(case: Case) -> list[str]:
    """Play the case; return what broke the rule."""
    partner = await case.add_endpoint("e-1", DESTINATION, "partner", RatePartner(LIMIT_PER_S, BURST, WORK_S))
    case.write_config()
    sender = await case.start("the sender")
    await case.until_ready(sender)
    await asyncio.sleep(FIRST_SECOND_S)
    await asyncio.gather(
        *(
            case.hand_in(Message(f"fee-{number}", "fee-order", DESTINATION, DEADLINE_MS, b"fee %d" % number))
            for number in range(CLUMP)
        )
    )
    if case.trouble:
        drop_class(case)
    case.write_config()
    case.record(f"platform: SIGHUP, fee-order {'dropped' if case.trouble else 'kept'}")
    sender.send_signal(signal.SIGHUP)
    await asyncio.sleep(HELD_S)
    sender = await case.restart(sender, graceful=False)
    ready_at = case.record.now()
    called_before = {name for call in partner.calls if call.at < ready_at for name in call.ids}
    untried = [
        message
        for message in case.messages.values()
        if message.status in (200, 202)
        and message.id not in called_before
        and message.sent_at + message.deadline_ms / 2000 > ready_at
    ]
    if not untried:
        raise CannotRunError("the restart found no untried message")
    last = max(message.sent_at + message.deadline_ms / 1000 for message in untried)
    while case.record.now() < last + 0.5 and not all(is_over(case, partner, message) for message in untried):
        await asyncio.sleep(0.1)
    early = [message for message in untried if given_up_early(case, partner, message)]
    case.record(f"untried at the restart: {len(untried)}, given up early with no call: {len(early)}")
    if 2 * len(early) > len(untried):
        return [f"{len(early)} of {len(untried)} untried messages were given up early with no call"]
    return []


def drop_class(case: Case) -> None:
    """Replace the class by one of another name with the same values."""
    case.settings = copy.deepcopy(case.settings)
    for grade in case.settings["grades"]:
        if grade["name"] == "fee-order":
            grade["name"] = "fee-order-b"


def called(partner: Endpoint, message: Message) -> bool:
    """Return whether a message was ever sent to the partner."""
    return any(message.id in call.ids for call in partner.calls)


def is_over(case: Case, partner: Endpoint, message: Message) -> bool:
    """Return whether a message was delivered or ended by a notice."""
    return message.id in case.platform.notices or any(message.id == name for _, name, _ in partner.ran)


def given_up_early(case: Case, partner: Endpoint, message: Message) -> bool:
    """Return whether a message was ended by a notice with half of its time left, and never called."""
    notices = case.platform.notices.get(message.id, [])
    half = message.sent_at + message.deadline_ms / 2000
    return bool(notices) and notices[0][0] < half and not called(partner, message)


if __name__ == "__main__":
    sys.exit(play(HERE, steps))

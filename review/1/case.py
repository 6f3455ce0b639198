"""Requests on resting connections cross the moment in which a sender that ends shuts these connections."""

import asyncio
import pathlib
import signal
import sys
from collections import Counter

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "common"))

from standins import (  # noqa: E402
    RESTART_PAUSE_S,
    SIGTERM_TO_SIGKILL_S,
    Call,
    Case,
    Endpoint,
    Message,
    delivered,
    play,
    read_head,
)

DESTINATION = 7
WORK_S = 0.2  # the page: 170 to 300 ms at a partner of usual pace
DEADLINE_MS = 24_000  # the class's
NEW_CONNECTIONS_S = 0.35  # the page: for 0.2 to 0.4 s after SIGTERM new connections keep coming
RESTING = 24  # connections that come in this time, and rest
CROSSING_S = (
    0.0022  # the site file: client_ms up to 1.1 each way, so what crosses the end comes at most so long after it
)
RESTED_S = 0.1  # with TROUBLE=0 they rest for this long only
WARM_UP = 8  # ordinary messages before each restart
RESTARTS = 6


async def serve(endpoint: Endpoint, call: Call) -> bytes:
    """Run each call, and answer that it has run."""
    await asyncio.sleep(WORK_S)
    endpoint.run(call)
    return delivered(call)


async def rest(case: Case, message: Message, delay_s: float, ends: list[float]) -> None:
    """Open a connection that rests; hand a message in on it just as the sender ends it, or before that.

    `ends` has the times at which connections of this round were seen to end. What would come too long after the first
    of them to have crossed it is not sent.
    """
    await asyncio.sleep(delay_s)
    host, _, port = case.listen.rpartition(":")
    try:
        reader, writer = await asyncio.open_connection(host, int(port))
    except OSError:
        return
    try:
        if case.trouble:
            await reader.read(1)  # the end of the stream: the sender has shut the connection
            ends.append(case.record.now())
            if ends[-1] > ends[0] + CROSSING_S:
                return
        else:
            await asyncio.sleep(RESTED_S)
        case.messages[message.id] = message
        message.sent_at = case.record.now()
        head = (
            f"POST /{message.class_name} HTTP/1.1\r\nHost: service.internal\r\nX-Request-Id: {message.id}\r\n"
            f"X-Deadline: {message.deadline_ms}m\r\nX-Route-To: dest={message.destination}\r\n"
            f"Content-Length: {len(message.body)}\r\n\r\n"
        )
        writer.write(head.encode() + message.body)
        reply = await read_head(reader)
        message.status = int(reply.first.split(" ")[1]) if reply else 0
    except OSError:
        pass
    finally:
        writer.close()
    case.record(
        f"client: {message.id}, sent at {message.sent_at:.4f} on a resting connection: answered {message.status}"
    )


def resting_message(round_number: int, number: int) -> Message:
    """Return a fee-order with a fee of its own."""
    body = f"fee {round_number}-{number}".encode()
    return Message(f"rest-{round_number}-{number}", "fee-order", DESTINATION, DEADLINE_MS, body)


async def hand_in_again(case: Case, round_number: int) -> None:
    """Send the requests of a round that had no answer once more on a new connection, as the page has it."""
    for message in list(case.messages.values()):
        if message.id.startswith(f"rest-{round_number}-") and not message.status:
            name = message.id.replace("rest", "again")
            await case.hand_in(Message(name, message.class_name, DESTINATION, DEADLINE_MS, message.body))
    await asyncio.sleep(1)


async def steps(case: Case) -> list[str]:
    """Play the case; return what broke the rule."""
    partner = await case.add_endpoint("e-1", DESTINATION, "partner", serve)
    case.write_config()
    sender = await case.start("the sender")
    await case.until_ready(sender)
    for round_number in range(RESTARTS):
        ends: list[float] = []
        for number in range(WARM_UP):
            name = f"fee-{round_number}-{number}"
            await case.hand_in(Message(name, "fee-order", DESTINATION, DEADLINE_MS, b"a paid fee"))
            await asyncio.sleep(WORK_S)
        case.record("platform: SIGTERM")
        sender.send_signal(signal.SIGTERM)
        told_at = case.record.now()
        await asyncio.gather(
            *(
                rest(
                    case,
                    resting_message(round_number, number),
                    NEW_CONNECTIONS_S * number / RESTING,
                    ends,
                )
                for number in range(RESTING)
            )
        )
        await asyncio.sleep(max(0.0, told_at + SIGTERM_TO_SIGKILL_S - case.record.now()))
        if sender.returncode is None:
            case.record("platform: SIGKILL")
            sender.kill()
        await sender.wait()
        await asyncio.sleep(RESTART_PAUSE_S)
        sender = await case.start("the sender again")
        await case.until_ready(sender)
        await hand_in_again(case, round_number)
    called = {name for call in partner.calls for name in call.ids}
    resting = [message for message in case.messages.values() if message.id.startswith("rest-")]
    forwarded = [message.id for message in resting if not message.status and message.id in called]
    answered = sum(message.status > 0 for message in resting)
    case.record(f"on resting connections: {len(resting)}, answered: {answered}, forwarded unanswered: {len(forwarded)}")
    effects = Counter(body for _, name, body in partner.ran if not name.startswith("fee-"))
    twice = sum(count > 1 for count in effects.values())
    case.record(f"fees that took effect twice, as their clients sent them again: {twice}")
    return [f"{name} was forwarded, and its connection was ended with no answer" for name in forwarded]


if __name__ == "__main__":
    sys.exit(play(HERE, steps))

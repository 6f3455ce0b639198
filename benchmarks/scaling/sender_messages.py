"""Role: a sender takes messages in and delivers them. Processor time, memory of what is held, bytes of the journal."""

from __future__ import annotations

import os
import pathlib
import socket
import sys
import tempfile
import threading
import time
from dataclasses import replace

from benchmarks.scaling.figures import Quantity, Role
from benchmarks.scaling.processor import Steps, memory_of
from benchmarks.scaling.series import Series
from scalefall.cli.run import configuration as configuration_on_file
from scalefall.lab.hollow import configuration
from scalefall.net.config import Config
from scalefall.net.delivery_request import DeliveryRequest
from scalefall.net.journal import Journal
from scalefall.net.journal_records import PendingDelivery
from scalefall.net.scheduler import Scheduler
from scalefall.net.sender import Sender
from scalefall.policy.engine import Engine
from scalefall.policy.events import EndpointListUpdate, ListUpdateKind, Message, MessageWithdrawn
from scalefall.policy.settings import Idempotency

ROLE = Role.SENDER_MESSAGES
BODY = 200  # bytes of a message
HELD_DESTINATIONS = 100
DISK = 1 << 30
DUE_US = 24_000_000
RATE = 400  # messages a second that are handed in
SLICE = 100  # messages between timings of the fixed loop
END_US = 100_000  # for the last of a slice to be delivered
DESTINATION = 900000  # as in benchmarks/reload.py
CLASS = "often"

DELIVERED = {"quick": (200, 400, 800), "full": (1000, 2000, 4000)}
HELD = {"quick": (1000, 2000, 4000), "full": (5000, 10_000, 20_000)}


def delivered(mode: str) -> list[Series]:
    """A sender on a file of its own, and a partner that answers at once, as in benchmarks/cost.py; but the sender is in
    this process, so that the fixed loop is timed where it runs. Its thread's time is what counts."""
    sys.path.append(str(pathlib.Path(__file__).resolve().parent.parent))
    from reload import hand_in, serve

    series = Series(ROLE, "message delivered", Quantity.TIME, "steps a message", "messages delivered")
    listener = socket.create_server(("127.0.0.1", 0))
    threading.Thread(target=serve, args=(listener,), daemon=True).start()
    scheduler = Scheduler()

    def play(sender: Sender) -> None:
        sender.start()
        scheduler.in_thread(hand_in, sender.address, RATE, SLICE / RATE, "first")
        for count in DELIVERED[mode]:
            total = 0.0
            for at in range(0, count, SLICE):
                steps, begun = Steps(), time.thread_time_ns()
                scheduler.in_thread(hand_in, sender.address, RATE, SLICE / RATE, f"m{count}-{at}")
                scheduler.sleep(END_US)
                total += steps.of(time.thread_time_ns() - begun)
            series.add(count, total)
        scheduler.stop()

    with tempfile.TemporaryDirectory() as folder:
        state = pathlib.Path(folder, "state")
        state.mkdir()
        scheduler.spawn(play, Sender(scheduler, _on_file(state, listener.getsockname())))
        scheduler.run()
    return [series]


def held(mode: str) -> list[Series]:
    """What a held message takes: the module's record, the transaction, and the journal's."""
    names = {
        "module": "held message, module",
        "transaction": "held message, transaction",
        "journal": "held message, journal",
    }
    found = {
        part: Series(ROLE, name, Quantity.MEMORY, "bytes a message", "messages held") for part, name in names.items()
    }
    for count in HELD[mode]:
        with tempfile.TemporaryDirectory() as folder:
            transactions: list[DeliveryRequest] = []
            module, book = _module(count), Journal(folder, DISK)
            found["transaction"].add(count, memory_of(_make, transactions, count))
            found["module"].add(count, memory_of(_hand_in, module, transactions))
            assert len(module.state.messages) == count, "not all are held"
            found["journal"].add(count, memory_of(_take_on, book, transactions))
            book.close()
    return list(found.values())


def journal(mode: str) -> list[Series]:
    """Bytes written for a message until it is delivered at its first attempt, and for one that is owed."""
    written = Series(ROLE, "journal, written", Quantity.BYTES, "bytes a message", "messages delivered")
    owed = Series(ROLE, "journal, owed", Quantity.BYTES, "bytes a message", "messages owed")
    for count in HELD[mode]:
        with tempfile.TemporaryDirectory() as folder:
            book, path = Journal(folder, DISK), os.path.join(folder, "journal")
            transactions = [_transaction(number) for number in range(count)]
            for transaction in transactions:
                book.record_accepted(_owed(transaction))
            owed.add(count, os.path.getsize(path))
            for transaction in transactions:
                book.record_attempt_started([transaction.id], DUE_US, "zone-1")
                book.record_finished(transaction.id)
            written.add(count, os.path.getsize(path))
            book.close()
    return [written, owed]


def _on_file(state: pathlib.Path, partner: tuple[str, int]) -> Config:
    """The site of benchmarks/cost.py."""
    path = state.with_suffix(".scale")
    path.write_text(
        f"sender {{ slots 50; listen 127.0.0.1:0 }}\nkind toy {{ per-call 10 }}\n"
        f"class fee-order {{ aim 3s; deadline 24s; repeat never; worth 3; late-worth 40% }}\n"
        f"pool p {{ kind toy; endpoint t {{ at {partner[0]}:{partner[1]} }} }}\n"
        f"route {DESTINATION} {{ pool p }}\n"
    )
    return configuration_on_file(str(path), str(state), {})[0].config


def _module(count: int) -> Engine:
    """A module with destinations that take nothing more, so that what comes is held."""
    module = Engine(replace(configuration.settings(), max_queued=2 * count, call_slots=1), 1)
    endpoints = [configuration.entry(number).endpoint for number in range(HELD_DESTINATIONS)]
    module.handle(0, [EndpointListUpdate(ListUpdateKind.WHOLE, endpoints)])
    first = [Message(f"first-{number}", number, CLASS, DUE_US, restored=True) for number in range(HELD_DESTINATIONS)]
    module.handle(0, first)
    for message in first:
        module.handle(0, [MessageWithdrawn(message.id)])
    return module


def _make(transactions: list[DeliveryRequest], count: int) -> None:
    transactions.extend(_transaction(number) for number in range(count))


def _hand_in(module: Engine, transactions: list[DeliveryRequest]) -> None:
    module.handle(0, [_message(transaction) for transaction in transactions])


def _take_on(journal_: Journal, transactions: list[DeliveryRequest]) -> None:
    for transaction in transactions:
        journal_.record_accepted(_owed(transaction))


def _transaction(number: int) -> DeliveryRequest:
    body = f"{number:08}".encode() + bytes(BODY - 8)
    return DeliveryRequest(f"message-{number:08}", CLASS, number % HELD_DESTINATIONS, DUE_US, None, body)


def _message(transaction: DeliveryRequest) -> Message:
    return Message(transaction.id, transaction.destination, transaction.class_name, transaction.due_us, restored=True)


def _owed(transaction: DeliveryRequest) -> PendingDelivery:
    return PendingDelivery(
        transaction.id,
        transaction.class_name,
        transaction.destination,
        DUE_US,
        transaction.idempotency_key,
        transaction.body,
        idempotency=Idempotency.IDEMPOTENT,
    )

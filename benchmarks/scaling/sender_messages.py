"""Measures a sender's cost of messages: processor time of delivery, memory of pending messages, journal size."""

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
BODY_BYTES = 200
PENDING_DESTINATIONS = 100
JOURNAL_LIMIT_BYTES = 1 << 30
DUE_US = 24_000_000
MESSAGES_PER_S = 400
SLICE_MESSAGES = 100  # messages between timings of the fixed loop
SLICE_SETTLE_US = 100_000  # for the last messages of a slice to be delivered
DESTINATION = 900000  # as in benchmarks/reload.py
MESSAGE_CLASS = "often"

DELIVERED_MESSAGES = {"quick": (200, 400, 800), "full": (1000, 2000, 4000)}
PENDING_MESSAGES = {"quick": (1000, 2000, 4000), "full": (5000, 10_000, 20_000)}


def delivered(mode: str) -> list[Series]:
    """Time deliveries to a destination that answers at once, as in benchmarks/cost.py.

    The sender runs in this process, so that the fixed loop is timed where it runs; its thread's time counts."""
    sys.path.append(str(pathlib.Path(__file__).resolve().parent.parent))
    from reload import hand_in, serve

    series = Series(ROLE, "message delivered", Quantity.TIME, "steps a message", "messages delivered")
    listener = socket.create_server(("127.0.0.1", 0))
    threading.Thread(target=serve, args=(listener,), daemon=True).start()
    scheduler = Scheduler()

    def deliver(sender: Sender) -> None:
        sender.start()
        scheduler.in_thread(hand_in, sender.address, MESSAGES_PER_S, SLICE_MESSAGES / MESSAGES_PER_S, "first")
        for count in DELIVERED_MESSAGES[mode]:
            total_steps = 0.0
            for offset in range(0, count, SLICE_MESSAGES):
                steps, started = Steps(), time.thread_time_ns()
                scheduler.in_thread(
                    hand_in, sender.address, MESSAGES_PER_S, SLICE_MESSAGES / MESSAGES_PER_S, f"m{count}-{offset}"
                )
                scheduler.sleep(SLICE_SETTLE_US)
                total_steps += steps.of(time.thread_time_ns() - started)
            series.add(count, total_steps)
        scheduler.stop()

    with tempfile.TemporaryDirectory() as folder:
        state = pathlib.Path(folder, "state")
        state.mkdir()
        scheduler.spawn(deliver, Sender(scheduler, _site_config(state, listener.getsockname())))
        scheduler.run()
    return [series]


def pending_memory(mode: str) -> list[Series]:
    """Measure the memory of a pending message: the engine's record, the request, and the journal's record."""
    names = {
        "module": "held message, module",
        "transaction": "held message, transaction",
        "journal": "held message, journal",
    }
    by_part = {
        part: Series(ROLE, name, Quantity.MEMORY, "bytes a message", "messages held") for part, name in names.items()
    }
    for count in PENDING_MESSAGES[mode]:
        with tempfile.TemporaryDirectory() as folder:
            requests: list[DeliveryRequest] = []
            engine, journal_file = _full_engine(count), Journal(folder, JOURNAL_LIMIT_BYTES)
            by_part["transaction"].add(count, memory_of(_make_requests, requests, count))
            by_part["module"].add(count, memory_of(_hand_in, engine, requests))
            assert len(engine.state.messages) == count, f"{len(engine.state.messages)} of {count} messages are pending"
            by_part["journal"].add(count, memory_of(_record_accepted, journal_file, requests))
            journal_file.close()
    return list(by_part.values())


def journal(mode: str) -> list[Series]:
    """Measure the bytes written for a message delivered at its first attempt, and for a pending one."""
    written = Series(ROLE, "journal, written", Quantity.BYTES, "bytes a message", "messages delivered")
    pending = Series(ROLE, "journal, owed", Quantity.BYTES, "bytes a message", "messages owed")
    for count in PENDING_MESSAGES[mode]:
        with tempfile.TemporaryDirectory() as folder:
            journal_file, path = Journal(folder, JOURNAL_LIMIT_BYTES), os.path.join(folder, "journal")
            requests = [_request(number) for number in range(count)]
            for request in requests:
                journal_file.record_accepted(_pending_record(request))
            pending.add(count, os.path.getsize(path))
            for request in requests:
                journal_file.record_attempt_started([request.id], DUE_US, "zone-1")
                journal_file.record_finished(request.id)
            written.add(count, os.path.getsize(path))
            journal_file.close()
    return [written, pending]


def _site_config(state: pathlib.Path, destination: tuple[str, int]) -> Config:
    """The site of benchmarks/cost.py."""
    path = state.with_suffix(".scale")
    path.write_text(
        f"sender {{ slots 50; listen 127.0.0.1:0 }}\nkind toy {{ per-call 10 }}\n"
        f"class fee-order {{ aim 3s; deadline 24s; repeat never; worth 3; late-worth 40% }}\n"
        f"pool p {{ kind toy; endpoint t {{ at {destination[0]}:{destination[1]} }} }}\n"
        f"route {DESTINATION} {{ pool p }}\n"
    )
    return configuration_on_file(str(path), str(state), {})[0].config


def _full_engine(count: int) -> Engine:
    """Return an engine whose destinations are at their limit, so that new messages stay pending."""
    engine = Engine(replace(configuration.settings(), max_queued=2 * count, call_slots=1), 1)
    endpoints = [configuration.entry(number).endpoint for number in range(PENDING_DESTINATIONS)]
    engine.handle(0, [EndpointListUpdate(ListUpdateKind.WHOLE, endpoints)])
    first = [
        Message(f"first-{number}", number, MESSAGE_CLASS, DUE_US, restored=True)
        for number in range(PENDING_DESTINATIONS)
    ]
    engine.handle(0, first)
    for message in first:
        engine.handle(0, [MessageWithdrawn(message.id)])
    return engine


def _make_requests(requests: list[DeliveryRequest], count: int) -> None:
    requests.extend(_request(number) for number in range(count))


def _hand_in(engine: Engine, requests: list[DeliveryRequest]) -> None:
    engine.handle(0, [_message(request) for request in requests])


def _record_accepted(journal_file: Journal, requests: list[DeliveryRequest]) -> None:
    for request in requests:
        journal_file.record_accepted(_pending_record(request))


def _request(number: int) -> DeliveryRequest:
    body = f"{number:08}".encode() + bytes(BODY_BYTES - 8)
    return DeliveryRequest(f"message-{number:08}", MESSAGE_CLASS, number % PENDING_DESTINATIONS, DUE_US, None, body)


def _message(request: DeliveryRequest) -> Message:
    return Message(request.id, request.destination, request.class_name, request.due_us, restored=True)


def _pending_record(request: DeliveryRequest) -> PendingDelivery:
    return PendingDelivery(
        request.id,
        request.class_name,
        request.destination,
        DUE_US,
        request.idempotency_key,
        request.body,
        idempotency=Idempotency.IDEMPOTENT,
    )

"""The snapshot that a control service stores for its successor, so that failures and Retry-After outlast a restart.

No I/O, no clock. It holds facts rather than the engine's internal state: the endpoints that have failed, the
Retry-After times in force, and the known rates and limits. The next service passes them to its engine as events. A
failed endpoint counts as having failed just now, so its slow start begins again: slower than continuing it, never
faster. Times are of the wall clock, as the monotonic clock restarts at a reboot.

The document's keys are a file format (the state directory's `figures`) and must not change.
"""

from __future__ import annotations

import math
from collections.abc import Iterable
from typing import Any, NamedTuple, TypeAlias, TypedDict, cast

from scalefall.errors import StorageError
from scalefall.net import learned_rates
from scalefall.policy.actions import RouteAllowance
from scalefall.policy.events import EndpointReport, Event, LearnedRate, Outcome

FORMAT = 1  # the document's format; others are rejected
MAX_RETRY_AFTER_US = 3_600_000_000  # a time further ahead means that the wall clock was set, and is ignored
MAX_FAILURE_AGE_US = 600_000_000  # an endpoint that failed longer ago is treated like a new one

Json: TypeAlias = dict[str, "Json"] | list["Json"] | str | int | float | bool | None


class SnapshotDocument(TypedDict):
    """The stored document, plain JSON."""

    form: int
    wall: int  # its time, us of the wall clock
    doubts: list[str]  # endpoints that have failed
    waits: dict[str, int]  # by an endpoint of the route: us of the wall clock until which its Retry-After runs
    paces: list[list[Any]]  # rows of learned_rates


class SnapshotError(StorageError, ValueError):
    """The document cannot be read; also a ValueError, as its value is not acceptable."""


def capture(allowed: Iterable[RouteAllowance], known: Iterable[LearnedRate], now: int, wall: int) -> SnapshotDocument:
    """Make the document.

    Args:
        allowed: the engine's rows with a rate limit, Retry-After or slow start in force.
        known: the rates that it has learned.
        now: the present time of the monotonic clock, us.
        wall: the present time of the wall clock, us.
    """
    failed: list[str] = []
    retry_after: dict[str, int] = {}
    for row in allowed:
        failed += [endpoint for endpoint, budget in row.endpoints.items() if budget < math.inf]
        if row.retry_after_until > now and row.endpoints:
            retry_after[next(iter(row.endpoints))] = wall + row.retry_after_until - now
    return SnapshotDocument(
        form=FORMAT,
        wall=wall,
        doubts=sorted(failed),
        waits=retry_after,
        paces=[learned_rates.to_row(row) for row in known],
    )


def restore(document: Json, now: int, wall: int) -> list[Event]:
    """Return the document as events for an engine that has its endpoint list. Times as in `capture`.

    Raises:
        SnapshotError: the document has another format, or a value is missing or wrong.
    """
    try:
        parsed = _read(cast(SnapshotDocument, document), now, wall)
    except SnapshotError:
        raise
    except ValueError as error:
        raise SnapshotError(str(error)) from error
    except (KeyError, TypeError, AttributeError, OverflowError) as error:
        raise SnapshotError(f"missing or wrong value ({error!r})") from error
    events: list[Event] = []
    if -MAX_RETRY_AFTER_US < parsed.age_us < learned_rates.MAX_AGE_US:
        events += parsed.rates
    events += parsed.retry_after
    if parsed.age_us < MAX_FAILURE_AGE_US:
        events += parsed.failures
    return events


class _ParsedDocument(NamedTuple):
    """A document's age and its facts as events."""

    age_us: int
    rates: list[LearnedRate]
    retry_after: list[EndpointReport]
    failures: list[EndpointReport]


def _read(document: SnapshotDocument, now: int, wall: int) -> _ParsedDocument:
    """Read the whole document; a missing or wrong value raises whatever its use raises."""
    if document["form"] != FORMAT:
        raise SnapshotError(f"unsupported form {document['form']!r}, expected {FORMAT}")
    age_us = wall - document["wall"]
    rates = [learned_rates.from_row(*row) for row in document["paces"]]
    retry_after = _retry_after_events(document["waits"], now, wall)
    failures = [EndpointReport(str(endpoint), now, Outcome.CONNECT_FAILED) for endpoint in document["doubts"]]
    return _ParsedDocument(age_us, rates, retry_after, failures)


def _retry_after_events(waits: dict[str, int], now: int, wall: int) -> list[EndpointReport]:
    events = []
    for endpoint, until in waits.items():
        remaining = until - wall
        if 0 < remaining <= MAX_RETRY_AFTER_US:
            events.append(EndpointReport(str(endpoint), now, Outcome.NOT_SENT, int(remaining)))
    return events

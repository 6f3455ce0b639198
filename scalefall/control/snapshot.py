"""What a control service leaves for the one after it, so that a restart forgets neither failures nor a Retry-After.

No I/O, no clock. What is stored is facts, not the module's insides: which endpoints have failed, which Retry-After
times run and which rates and limits are known. The next service hands them to its module as events: an endpoint that
had failed has failed just now, so its slow start begins anew. That is slower than going on, never faster. Times are of
the wall clock, as the monotonic one may begin anew.

The document's keys are a file format (the state directory's `figures`) and stay as they are.
"""

from __future__ import annotations

import math
from collections.abc import Iterable
from typing import Any, NamedTuple, TypeAlias, TypedDict, cast

from scalefall.errors import StorageError
from scalefall.net import learned_rates
from scalefall.policy.actions import RouteAllowance
from scalefall.policy.events import EndpointReport, Event, LearnedRate, Outcome

FORMAT = 1  # of the document; another one is not read
MAX_RETRY_AFTER_US = 3_600_000_000  # a time that lies farther ahead is no Retry-After but a clock that was set
MAX_FAILURE_AGE_US = 600_000_000  # an endpoint that failed longer ago is as one that is met for the first time

Json: TypeAlias = dict[str, "Json"] | list["Json"] | str | int | float | bool | None


class SnapshotDocument(TypedDict):
    """The document as it is written, plain JSON."""

    form: int
    wall: int  # us of the wall clock: when it was made
    doubts: list[str]  # endpoints that have failed
    waits: dict[str, int]  # by an endpoint of the route: us of the wall clock until which its Retry-After runs
    paces: list[list[Any]]  # rows of learned_rates


class SnapshotError(StorageError, ValueError):
    """A document that cannot be read; also a ValueError, as its value is not acceptable."""


def capture(allowed: Iterable[RouteAllowance], known: Iterable[LearnedRate], now: int, wall: int) -> SnapshotDocument:
    """Make the document.

    Args:
        allowed: the module's rows in which something is in force.
        known: the rates that it has learned.
        now: the present time of the monotonic clock, us.
        wall: the same of the wall clock, us.
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
    """The document as events for a module that has its list of endpoints. Times as of `capture`.

    Raises:
        SnapshotError: the document has another form, or a value is missing or wrong.
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
    """Read all parts; what is missing or wrong raises whatever its use raises."""
    if document["form"] != FORMAT:
        raise SnapshotError(f"form {document['form']!r} is not known here")
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

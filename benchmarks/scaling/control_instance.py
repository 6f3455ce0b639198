"""Measures a control instance: allocator steps, grants, streams with their heartbeats, and the catalog."""

from __future__ import annotations

import itertools
from collections.abc import Callable, Iterator

from benchmarks.scaling.figures import Quantity, Role
from benchmarks.scaling.processor import memory_of, steps_of
from benchmarks.scaling.series import Series
from scalefall.control.allocator import UNLIMITED, Allocator
from scalefall.control.catalog import EDS, Catalog
from scalefall.control.grants import MIN_GRANT, UNITS_PER_CALL
from scalefall.control.ledger import Ledger
from scalefall.control.service import ResourceBuilder
from scalefall.control.streams import Request, Response, XdsStream
from scalefall.control.transport import quota_wire, resources, wire
from scalefall.lab.hollow import configuration
from scalefall.lab.hollow.clock import SECOND
from scalefall.lab.hollow.control import ControlOptions, make_service
from scalefall.net.config import Fleet
from scalefall.policy.engine import Engine
from scalefall.policy.events import EndpointListUpdate, EndpointReport, EndpointStatus, ListUpdateKind, Outcome

ROLE = Role.CONTROL
OPTIONS = ControlOptions()
FIRST_GRANT_US = OPTIONS.lease_us + OPTIONS.delay_us
RENEWAL_US = OPTIONS.lease_us // 2
RESOURCE_TTL_US = OPTIONS.endpoint_lease_us

ALLOCATOR_DESTINATIONS = {"quick": (2000, 4000, 8000), "full": (105_000, 210_000, 420_000)}
ALLOCATOR_MEMORY_DESTINATIONS = {"quick": (1000, 2000, 4000), "full": (25_000, 50_000, 100_000)}
GRANTED_DESTINATIONS = {"quick": (1000, 2000, 4000), "full": (20_000, 40_000, 80_000)}
HOLDER_COUNTS = {"quick": (16, 32, 64), "full": (225, 450, 900)}
DESTINATIONS_PER_HOLDER = 20
STREAM_COUNTS = {"quick": (100, 200, 400), "full": (450, 900, 1800)}
NAMES_PER_STREAM = 3
NAME_COUNTS = {"quick": (500, 1000, 2000), "full": (5000, 10_000, 20_000)}
CATALOG_DESTINATIONS = {"quick": (250, 500, 1000), "full": (10_000, 20_000, 40_000)}


def allocator(mode: str) -> list[Series]:
    """Time an allocator step with 1.1% of destinations down: an engine step, its rows turned into allowances."""
    series = Series(ROLE, "allocator's turn", Quantity.TIME, "steps a destination", "destinations")
    for count in ALLOCATOR_DESTINATIONS[mode]:
        built, clock = _allocator(count), iter(range(FIRST_GRANT_US + SECOND, 1 << 40, SECOND))
        series.add(count, steps_of(_step, built, clock))
    return [series]


def allocator_memory(mode: str) -> list[Series]:
    series = Series(ROLE, "module and ledger", Quantity.MEMORY, "bytes a destination", "destinations")
    for count in ALLOCATOR_MEMORY_DESTINATIONS[mode]:
        series.add(count, memory_of(_allocator, count))
    return [series]


def grants(mode: str) -> list[Series]:
    """Measure first grants and renewals of one holder, and their messages."""
    first = Series(ROLE, "first grant", Quantity.TIME, "steps a destination", "destinations of one holder")
    renewals = Series(ROLE, "renewal", Quantity.TIME, "steps a destination", "destinations of one holder")
    size = Series(ROLE, "renewal on the wire", Quantity.BYTES, "bytes a renewal", "destinations of one holder")
    by_holder = Series(ROLE, "renewal, by holders", Quantity.TIME, "steps a holder", "holders of 20 destinations")
    for count in GRANTED_DESTINATIONS[mode]:
        ledger = _ledger(count, 1)
        sent: list[bytes] = []
        first.add(count, steps_of(_step_and_serialize, ledger, iter([FIRST_GRANT_US]), sent, repeats=1))
        times = iter(range(FIRST_GRANT_US + RENEWAL_US, 1 << 40, RENEWAL_US))
        renewals.add(count, steps_of(_step_and_serialize, ledger, times, sent))
        size.add(count, sum(map(len, sent)))
    for count in HOLDER_COUNTS[mode]:
        ledger = _ledger(DESTINATIONS_PER_HOLDER, count)
        _step_and_serialize(ledger, iter([FIRST_GRANT_US]), [])
        times = iter(range(FIRST_GRANT_US + RENEWAL_US, 1 << 40, RENEWAL_US))
        by_holder.add(count, steps_of(_step_and_serialize, ledger, times, []))
    return [first, renewals, size, by_holder]


def grants_memory(mode: str) -> list[Series]:
    series = Series(ROLE, "grant", Quantity.MEMORY, "bytes a destination", "destinations of one holder")
    for count in GRANTED_DESTINATIONS[mode]:
        series.add(count, memory_of(_granted_ledger, count))
    return [series]


def streams(mode: str) -> list[Series]:
    """Time a round of heartbeats, or a change sent to all streams, with acknowledgements, by streams and by names."""
    heartbeats = Series(ROLE, "heartbeat", Quantity.TIME, "steps a stream", "streams of 3 names")
    changes = Series(ROLE, "change, sent", Quantity.TIME, "steps a stream", "streams of 3 names")
    names = Series(ROLE, "heartbeat, by names", Quantity.TIME, "steps a name", "names of one stream")
    size = Series(ROLE, "heartbeat on the wire", Quantity.BYTES, "bytes a name", "names of one stream")
    catalog = _catalog(max(NAME_COUNTS[mode]), with_fixed=False)
    for count in STREAM_COUNTS[mode]:
        built, responses = [_stream(catalog, NAMES_PER_STREAM) for _ in range(count)], wire.ResponseEncoder()
        heartbeats.add(count, steps_of(_heartbeat_round(built, responses, [])))
        changes.add(count, steps_of(_change_round(catalog, built, responses)))
    for count in NAME_COUNTS[mode]:
        built, responses, sent = [_stream(catalog, count)], wire.ResponseEncoder(), []
        names.add(count, steps_of(_heartbeat_round(built, responses, sent)))
        size.add(count, len(sent[0]))
    return [heartbeats, changes, names, size]


def streams_memory(mode: str) -> list[Series]:
    series = Series(ROLE, "stream", Quantity.MEMORY, "bytes a stream", "streams of 3 names")
    names = Series(ROLE, "subscribed name", Quantity.MEMORY, "bytes a name", "names of one stream")
    catalog = _catalog(max(NAME_COUNTS[mode]), with_fixed=False)
    for count in STREAM_COUNTS[mode]:
        series.add(count, memory_of(_streams, catalog, count))
    for count in NAME_COUNTS[mode]:
        names.add(count, memory_of(_stream, catalog, count))
    return [series, names]


def catalog(mode: str) -> list[Series]:
    """Time the build of a catalog with four resources a destination, and the change of one of them."""
    build = Series(ROLE, "catalog, built", Quantity.TIME, "steps a destination", "destinations")
    update = Series(ROLE, "catalog, one changed", Quantity.TIME, "steps a destination", "destinations")
    for count in CATALOG_DESTINATIONS[mode]:
        build.add(count, steps_of(_catalog, count, repeats=3))
        built = _catalog(count)
        update.add(count, steps_of(_toggle_endpoints(built)))
    return [build, update]


def configured(mode: str) -> list[Series]:
    """Time a reconfiguration of a running service that drains or restores one endpoint."""
    series = Series(ROLE, "configuration, one changed", Quantity.TIME, "steps a destination", "destinations")
    for count in CATALOG_DESTINATIONS[mode]:
        service = make_service(0, configuration.settings(), _builder(), OPTIONS)
        service.configure(configuration.configuration(count), 0)
        changes = itertools.cycle([configuration.configuration(count, {1}), configuration.configuration(count)])
        series.add(count, steps_of(lambda service, changes: service.configure(next(changes), SECOND), service, changes))
    return [series]


def _builder() -> ResourceBuilder:
    settings = configuration.settings()
    return ResourceBuilder(
        lambda rows, routes: resources.static_resources(rows, routes, settings),
        lambda number, rows, allowed, now: resources.endpoint_resource(number, rows, allowed, now, RESOURCE_TTL_US),
    )


def catalog_memory(mode: str) -> list[Series]:
    series = Series(ROLE, "catalog", Quantity.MEMORY, "bytes a destination", "destinations")
    for count in CATALOG_DESTINATIONS[mode]:
        series.add(count, memory_of(_catalog, count))
    return [series]


def _allocator(count: int) -> Allocator:
    """Return an allocator that knows the failed endpoints and has done its first step over all destinations."""
    engine, ledger = Engine(configuration.settings(), 1), Ledger(0, OPTIONS.lease_us, OPTIONS.delay_us)
    built = Allocator(engine, ledger)
    endpoints = [configuration.entry(number).endpoint for number in range(count)]
    failed = [
        EndpointReport(configuration.endpoint_id(number), at, Outcome.CONNECT_FAILED)
        for number in range(count)
        if configuration.is_down(number)
        for at in (1, 2)
    ]
    built.step(0, [EndpointListUpdate(ListUpdateKind.WHOLE, endpoints)])
    built.step(SECOND // 2, failed)
    built.step(FIRST_GRANT_US, [])
    return built


def _ledger(destinations: int, holders: int) -> Ledger:
    ledger = Ledger(0, OPTIONS.lease_us, OPTIONS.delay_us)
    for number in range(holders):
        ledger.join(f"n{number}/i")
    for destination in range(destinations):
        ledger.allow(destination, UNLIMITED)
        for number in range(holders):
            ledger.set_demand(f"n{number}/i", destination, max(MIN_GRANT, UNITS_PER_CALL))
    return ledger


def _step_and_serialize(ledger: Ledger, times: Iterator[int], sent: list[bytes]) -> None:
    """Step the ledger at the next of the times and serialize its messages."""
    sent[:] = [
        quota_wire.grant(grant, {quota_wire.ROUTE: f"{grant.destination}"}, 1).SerializeToString()
        for grant in ledger.step(next(times))
    ]


def _granted_ledger(count: int) -> Ledger:
    ledger = _ledger(count, 1)
    _step_and_serialize(ledger, iter([FIRST_GRANT_US]), [])
    return ledger


def _step(built: Allocator, clock: Iterator[int]) -> None:
    built.step(next(clock), [])


def _streams(catalog_: Catalog, count: int) -> list[XdsStream]:
    return [_stream(catalog_, NAMES_PER_STREAM) for _ in range(count)]


def _catalog(count: int, with_fixed: bool = True) -> Catalog:
    fleet: Fleet = configuration.configuration(count)
    rows = {entry.endpoint.destination: [entry] for entry in fleet.entries}
    built = resources.static_resources(rows, fleet.routes, configuration.settings()) if with_fixed else []
    built += [_endpoints(number) for number in fleet.routes]
    catalog_ = Catalog()
    catalog_.replace(built)
    return catalog_


def _endpoints(number: int, status: EndpointStatus = EndpointStatus.READY) -> object:
    return resources.endpoint_resource(number, [configuration.entry(number, status)], [], 0, RESOURCE_TTL_US)


def _toggle_endpoints(built: Catalog) -> Callable[[], object]:
    """Return a function that toggles one set of endpoints between full and empty."""
    full, empty = _endpoints(0), resources.endpoint_resource(0, [], [], 0, RESOURCE_TTL_US)

    def change() -> None:
        replacement = empty if built.get(full.key) == full else full
        assert built.update([replacement]), "the catalog did not change"

    return change


def _stream(catalog_: Catalog, names: int) -> XdsStream:
    """Return a stream that has acknowledged the resources that it requested."""
    stream = XdsStream(catalog_, "n", True)
    (response,) = stream.request(Request(EDS, names=tuple(resources.resource_name(number) for number in range(names))))
    stream.request(Request(EDS, response.nonce))
    return stream


def _change_round(catalog_: Catalog, built: list[XdsStream], responses: wire.ResponseEncoder) -> Callable[[], object]:
    """Return a function that changes one set of endpoints and sends the change on all streams."""
    change = _toggle_endpoints(catalog_)

    def send_change() -> None:
        change()
        for stream in built:
            (action,) = stream.changed({(EDS, resources.resource_name(0))})
            responses.encode(action, True, True)
            stream.request(Request(EDS, action.nonce))

    return send_change


def _heartbeat_round(
    built: list[XdsStream], responses: wire.ResponseEncoder, sent: list[bytes]
) -> Callable[[], object]:
    clock = iter(range(SECOND, 1 << 40, SECOND))

    def send_heartbeats() -> None:
        now = next(clock)
        sent.clear()
        for stream in built:
            (action,) = stream.heartbeats(now)
            assert isinstance(action, Response)
            assert action.is_heartbeat
            sent.append(responses.encode(action, True, True))
            stream.request(Request(EDS, action.nonce))

    return send_heartbeats

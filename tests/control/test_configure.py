"""A reloaded configuration rebuilds and sends only the resources that differ."""

from helpers import settings

from scalefall.control.catalog import EDS, Resource
from scalefall.control.service import ControlService, ResourceBuilder
from scalefall.control.streams import Request, Response
from scalefall.net.config import Fleet, RouteRules
from scalefall.net.list_stream import Entry
from scalefall.policy.events import Endpoint, EndpointStatus

SECOND = 1_000_000  # us
RULES = RouteRules(frozenset({"c"}), 3, SECOND)


def fleet(*routes, draining=()):
    """Return a fleet with one endpoint for each route."""
    entries = [
        Entry(
            Endpoint(
                f"e{route}",
                "a",
                "one",
                route,
                EndpointStatus.DRAINING if route in draining else EndpointStatus.READY,
                0.0,
            ),
            ("127.0.0.1", 1 + route),
        )
        for route in routes
    ]
    return Fleet(entries, dict.fromkeys(routes, RULES))


def test_only_routes_that_differ_are_built_and_sent():
    """One route drains, one is new and one is removed; the other three are neither built nor sent."""
    built = []

    def endpoints(route, entries, _allowed, _now):
        built.append(route)
        version = ",".join(entry.endpoint.status.name for entry in entries)
        return Resource(EDS, f"route-{route}", version, None, destination=route)

    service = ControlService(
        0,
        settings(replica_count=1),
        3,
        ResourceBuilder(lambda _entries, _routes: [], endpoints),
        2 * SECOND,
        SECOND // 2,
        2 * SECOND,
    )
    service.resource_stream_opened(1, "a", True, False)
    service.request(1, Request(EDS, names=("*",)), 0)
    service.configure(fleet(*range(5)), 0)
    built.clear()
    outgoing = service.configure(fleet(0, 1, 2, 3, 7, draining={2}), SECOND)
    assert sorted(built) == [2, 7]
    sent = [action for _, action in outgoing if isinstance(action, Response)]
    assert {resource.name for action in sent for resource in action.resources} == {"route-2", "route-7"}
    assert [name for action in sent for name in action.removed] == ["route-4"]

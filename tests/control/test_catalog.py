"""The catalog: partial updates, and the resources of each node where destinations are divided."""

from typing import ClassVar

import pytest

from scalefall.control.catalog import CDS, EDS, SHARED, Catalog, InconsistentResourcesError, Resource


class DividedView:
    """Node "a" serves destination 1, node "b" serves 2."""

    served: ClassVar[dict[str, set[int]]] = {"a": {1}, "b": {2}}

    def covers(self, node, destination):
        """Return whether a node serves a destination."""
        return destination in self.served.get(node, ())

    def destinations(self, node):
        """Return the destinations that a node serves."""
        return self.served.get(node, ())


def resource(number, kind=EDS, version="1", needs=()):
    """Return a resource of one destination."""
    return Resource(kind, f"route-{number}", version, None, frozenset(needs), 0, number)


def test_a_node_has_the_resources_of_its_own_destinations_and_the_shared_ones():
    """Other resources appear absent to it, in look-ups and in the list of names."""
    catalog = Catalog(DividedView())
    catalog.replace([resource(1), resource(2), Resource(EDS, "everyone", "1", None, destination=SHARED)])
    assert catalog.get((EDS, "route-1"), "a")
    assert catalog.get((EDS, "route-2"), "a") is None
    assert catalog.get((EDS, "everyone"), "c")
    assert catalog.get((EDS, "route-1"), "c") is None
    assert sorted(catalog.names(EDS, "b")) == ["everyone", "route-2"]
    assert catalog.names(EDS, "c") == ["everyone"]


def test_a_partial_update_changes_nothing_else_and_an_inconsistent_one_changes_nothing():
    """An update may not refer to a missing resource, nor remove one that another resource refers to."""
    catalog = Catalog()
    needed, referring = resource(1, CDS), resource(1, EDS, needs=[(CDS, "route-1")])
    with pytest.raises(InconsistentResourcesError):
        catalog.update([referring])
    catalog.update([needed, referring, resource(2)])
    with pytest.raises(InconsistentResourcesError):
        catalog.update([], removed=[needed.key])
    assert catalog.generation == 1
    assert set(catalog.keys_of(1)) == {needed.key, referring.key}
    assert catalog.update([resource(2, version="2")]) == {(EDS, "route-2")}
    assert catalog.update([], removed=[*catalog.keys_of(1)]) == {needed.key, referring.key}
    assert list(catalog.names(EDS)) == ["route-2"]
    assert not catalog.keys_of(1)

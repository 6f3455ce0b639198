"""The catalog: parts that change, and what each holder may have where destinations are divided."""

from typing import ClassVar

import pytest

from scalefall.control.catalog import CDS, EDS, SHARED, Catalog, InconsistentResourcesError, Resource


class Divided:
    """Node "a" serves destination 1, node "b" serves 2."""

    served: ClassVar[dict[str, set[int]]] = {"a": {1}, "b": {2}}

    def covers(self, node, destination):
        """Whether a node serves a destination."""
        return destination in self.served.get(node, ())

    def destinations(self, node):
        """What a node serves."""
        return self.served.get(node, ())


def resource(number, kind=EDS, version="1", needs=()):
    """A resource of one destination."""
    return Resource(kind, f"route-{number}", version, None, frozenset(needs), 0, number)


def test_a_node_has_the_resources_of_its_own_destinations_and_the_shared_ones():
    """Others are as good as absent, in look-ups and in the list of names."""
    catalog = Catalog(Divided())
    catalog.replace([resource(1), resource(2), Resource(EDS, "everyone", "1", None, destination=SHARED)])
    assert catalog.get((EDS, "route-1"), "a")
    assert catalog.get((EDS, "route-2"), "a") is None
    assert catalog.get((EDS, "everyone"), "c")
    assert catalog.get((EDS, "route-1"), "c") is None
    assert sorted(catalog.names(EDS, "b")) == ["everyone", "route-2"]
    assert catalog.names(EDS, "c") == ["everyone"]


def test_a_part_changes_alone_and_an_inconsistent_one_changes_nothing():
    """Neither one that needs what is not there, nor one that removes what is needed."""
    catalog = Catalog()
    needed, needing = resource(1, CDS), resource(1, EDS, needs=[(CDS, "route-1")])
    with pytest.raises(InconsistentResourcesError):
        catalog.update([needing])
    catalog.update([needed, needing, resource(2)])
    with pytest.raises(InconsistentResourcesError):
        catalog.update([], removed=[needed.key])
    assert catalog.generation == 1
    assert set(catalog.keys_of(1)) == {needed.key, needing.key}
    assert catalog.update([resource(2, version="2")]) == {(EDS, "route-2")}
    assert catalog.update([], removed=[*catalog.keys_of(1)]) == {needed.key, needing.key}
    assert list(catalog.names(EDS)) == ["route-2"]
    assert not catalog.keys_of(1)

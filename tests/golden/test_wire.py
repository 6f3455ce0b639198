"""The bytes that the program sends on each wire equal the recorded goldens (record.py)."""

import drive
import pytest
import record

GOLDENS = {area: record.load(area) for area in drive.AREAS}


@pytest.mark.parametrize(
    ("area", "name"), [pytest.param(area, name, id=f"{area}-{name}") for area in GOLDENS for name in GOLDENS[area]]
)
def test_sent_bytes_equal_the_golden(area, name):
    assert drive.bytes_of(area)[name] == GOLDENS[area][name]


@pytest.mark.parametrize("area", GOLDENS)
def test_driven_names_equal_the_goldens_names(area):
    assert list(drive.bytes_of(area)) == list(GOLDENS[area])

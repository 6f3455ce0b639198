"""What goes out on any wire is, byte by byte, what was recorded (record.py) before."""

import drive
import pytest
import record

GOLDENS = {area: record.load(area) for area in drive.AREAS}


@pytest.mark.parametrize(
    ("area", "name"), [pytest.param(area, name, id=f"{area}-{name}") for area in GOLDENS for name in GOLDENS[area]]
)
def test_the_bytes_are_those_recorded(area, name):
    assert drive.bytes_of(area)[name] == GOLDENS[area][name]


@pytest.mark.parametrize("area", GOLDENS)
def test_every_golden_is_driven_and_everything_driven_has_a_golden(area):
    assert list(drive.bytes_of(area)) == list(GOLDENS[area])

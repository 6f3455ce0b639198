"""For all tests: what one has left open does not stay for the others."""

import gc

import pytest
from nethelp import World


@pytest.fixture(autouse=True)
def clear_worlds():
    yield
    if World.made:
        for world in World.made:
            world.clear()
        World.made.clear()
        gc.collect(1)

"""For all tests: what one has left open does not stay for the others."""

import gc

import pytest
from nethelp import VirtualTimeScheduler


@pytest.fixture(autouse=True)
def clear_worlds():
    yield
    if VirtualTimeScheduler.instances:
        for world in VirtualTimeScheduler.instances:
            world.end_tasks()
        VirtualTimeScheduler.instances.clear()
        gc.collect(1)

"""Ends the tasks that a test leaves open, so that they do not affect later tests."""

import gc

import pytest
from nethelp import VirtualTimeScheduler


@pytest.fixture(autouse=True)
def end_virtual_tasks():
    yield
    if VirtualTimeScheduler.instances:
        for world in VirtualTimeScheduler.instances:
            world.end_tasks()
        VirtualTimeScheduler.instances.clear()
        gc.collect(1)

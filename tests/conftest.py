"""Ends the tasks that a test leaves open, so that they do not affect later tests."""

import gc
import pathlib

import pytest
from benchmarks.scaling.known_red import read_known_red
from nethelp import VirtualTimeScheduler


@pytest.fixture(autouse=True)
def end_virtual_tasks():
    yield
    if VirtualTimeScheduler.instances:
        for world in VirtualTimeScheduler.instances:
            world.end_tasks()
        VirtualTimeScheduler.instances.clear()
        gc.collect(1)


KNOWN_RED = read_known_red(pathlib.Path(__file__).parent.parent / "KNOWN-RED.txt")
KNOWN_RED_PREFIX = "pytest: "


def pytest_collection_modifyitems(items):
    """Expect the tests that KNOWN-RED.txt lists to fail, and no others.

    A listed case that passes is a failure, as it is to be taken off. Of a test that is listed without its parameters
    some cases may pass.
    """
    causes = {
        entry.test.removeprefix(KNOWN_RED_PREFIX): entry.cause
        for entry in KNOWN_RED
        if entry.test.startswith(KNOWN_RED_PREFIX)
    }
    for item in items:
        function_id = item.nodeid.partition("[")[0]
        if item.nodeid in causes:
            item.add_marker(pytest.mark.xfail(reason=causes[item.nodeid], strict=True))
        elif function_id in causes:
            item.add_marker(pytest.mark.xfail(reason=causes[function_id], strict=False))


def pytest_report_header():
    """Print the tests that are expected to fail."""
    listed = [entry.test for entry in KNOWN_RED if entry.test.startswith(KNOWN_RED_PREFIX)]
    return [f"KNOWN-RED.txt: {name}" for name in listed]

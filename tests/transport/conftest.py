"""Fixtures of the transport tests."""

import pytest
from transporthelp import write_configuration


@pytest.fixture
def folder(tmp_path):
    """A folder with a configuration of one route and two endpoints, at ports where nothing listens."""
    write_configuration(tmp_path, 9001, 9002)
    return tmp_path

"""What the tests of the transport share."""

import pytest
from transporthelp import write_site


@pytest.fixture
def folder(tmp_path):
    """A folder whose site has one route with two endpoints, at ports where nothing listens."""
    write_site(tmp_path, 9001, 9002)
    return tmp_path

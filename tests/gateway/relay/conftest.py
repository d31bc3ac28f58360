"""Fixture of gateways that pass requests on to each other."""

from __future__ import annotations

from collections.abc import Iterator

import pytest
from gateway.relay.fleet import Fleet


@pytest.fixture
def fleet() -> Iterator[Fleet]:
    """Return three gateways and stop them afterwards."""
    created = Fleet()
    yield created
    created.stop()

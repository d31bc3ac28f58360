"""Fixtures for tests of the control host."""

from __future__ import annotations

import pytest
from control.fakes import FakeLoop

from apricotcart.state.machine import ClusterState


@pytest.fixture
def loop() -> FakeLoop:
    """Return a leader that commits at once."""
    return FakeLoop(ClusterState())

"""Fixtures of the control host's parts."""

from __future__ import annotations

import pytest
from control.fakes import FakeLoop

from apricotcart.state.machine import ClusterState


@pytest.fixture
def loop() -> FakeLoop:
    """Give a leader that commits at once."""
    return FakeLoop(ClusterState())

"""Fixtures and hypothesis profiles shared by all tests."""

from __future__ import annotations

import os
import socket

import pytest
from hypothesis import HealthCheck, settings

_CHECKS = [HealthCheck.too_slow]

settings.register_profile(
    'ci',
    derandomize=True,
    deadline=None,
    database=None,
    suppress_health_check=_CHECKS,
)
settings.register_profile(
    'explore',
    deadline=None,
    suppress_health_check=_CHECKS,
)
settings.load_profile(os.environ.get('HYPOTHESIS_PROFILE', 'ci'))


@pytest.fixture
def unused_tcp_port() -> int:
    """Return a loopback port that was free a moment ago."""
    with socket.socket() as probe:
        probe.bind(('127.0.0.1', 0))
        port: int = probe.getsockname()[1]
    return port

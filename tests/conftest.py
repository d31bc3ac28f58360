"""Fixtures and hypothesis profiles of all tests."""

from __future__ import annotations

import os

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

"""Seeded schedules that failed once; ``scripts/soak`` runs many others."""

from __future__ import annotations

from pathlib import Path

import pytest

from soak.checks import ALL_RULES
from soak.regressions import REGRESSIONS
from soak.schedule import run_seed

pytestmark = pytest.mark.xdist_group('soak')


@pytest.mark.parametrize('seed', REGRESSIONS)
def test_promises_hold_under_overlapping_faults(
    tmp_path: Path, seed: int
) -> None:
    """Guards against lost and untrue responses under faults.

    Also against lost desired states, and processes that end with a failure.
    """
    assert not run_seed(seed, tmp_path, ALL_RULES)

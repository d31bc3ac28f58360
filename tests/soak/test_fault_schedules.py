"""Short run of the seeded schedules; ``scripts/soak`` runs many seeds."""

from __future__ import annotations

from pathlib import Path

import pytest

from soak.checks import ALWAYS
from soak.schedule import run_seed

pytestmark = pytest.mark.xdist_group('soak')


@pytest.mark.parametrize('seed', [1, 2])
def test_promises_hold_under_overlapping_faults(
    tmp_path: Path, seed: int
) -> None:
    """Guards against responses that promise something untrue under faults.

    Also against lost desired states, and processes that end with a failure.
    """
    assert not run_seed(seed, tmp_path, ALWAYS)

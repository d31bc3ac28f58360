"""Random faults under a scripted clock; run_seeds.py runs many more."""

from __future__ import annotations

import pytest
from consensus.faults import Storm


@pytest.mark.parametrize('seed', range(24))
def test_storm_seed(seed: int) -> None:
    """Guards against lost writes, stale reads and two leaders at once."""
    storm = Storm(seed)
    storm.run()
    assert storm.cluster.history.reads

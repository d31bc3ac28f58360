"""Random fault schedules; run_seeds.py runs many more of them."""

from __future__ import annotations

import pytest
from consensus.faults import FaultSchedule


@pytest.mark.parametrize('seed', range(24))
def test_fault_schedule(seed: int) -> None:
    """Guards against lost writes, stale reads and two leaders in a term."""
    schedule = FaultSchedule(seed)
    schedule.run()
    assert schedule.cluster.history.reads

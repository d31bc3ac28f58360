"""A leader that many gateways synchronize with."""

from __future__ import annotations

import sys
from collections.abc import Sequence
from pathlib import Path
from typing import Final

import pytest

from soak.leaders import Leaders
from soak.syncing_gateways import TIMEOUT_S, SyncingGateways
from soak.world import running_world

pytestmark = pytest.mark.xdist_group('soak')
_GATEWAYS: Final = 191
_WARMUP_S: Final = 1.5
_RUN_S: Final = 6.0


def test_leader_answers_the_syncs_of_many_gateways(tmp_path: Path) -> None:
    """Guards against threads of syncs that hold each other up."""
    with running_world(tmp_path, gateways=0, coordinators=5) as world:
        leader = Leaders(world.fleet.coordinators).find()
        SyncingGateways(leader, _GATEWAYS).run(_WARMUP_S)
        gateways = SyncingGateways(leader, _GATEWAYS)
        gateways.run(_RUN_S)
    sys.stdout.write(f'{_summary(gateways)}\n')
    assert not gateways.failures
    assert max(gateways.durations_s) < TIMEOUT_S


def _summary(gateways: SyncingGateways) -> str:
    durations: Sequence[float] = sorted(gateways.durations_s)
    middle = durations[len(durations) // 2]
    return (
        f'{len(durations)} syncs, median {middle:.3f} s, '
        f'longest {durations[-1]:.3f} s, {len(gateways.failures)} failures'
    )

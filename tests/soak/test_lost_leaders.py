"""Leaders that are lost one after the other, each after acknowledging."""

from __future__ import annotations

import sys
import time
from contextlib import closing
from pathlib import Path
from typing import Final

import pytest

from soak.leaders import WATCHED_PATH, Leaders, RouteWatch, with_route
from soak.operators import desired_state
from soak.test_large_states import SlowFleet
from soak.world import running_world

pytestmark = pytest.mark.xdist_group('soak')
_GATEWAYS: Final = 8
_COORDINATORS: Final = 5
# `state_apply_ms` of the settings: all gateways obey a change after it.
_APPLY_S: Final = 2.0
# Time in which a gateway could still obey an older version.
_WATCH_S: Final = 5.0
# Time after which the leader does not wait for a gateway any more.
_FORGOTTEN_S: Final = 1.3
_FAST_BITS_PER_S: Final = 1e9


def test_gateways_obey_what_a_new_leader_acknowledged_before_it_stood_still(
    tmp_path: Path,
) -> None:
    """Guards against a leader that acknowledges before gateways find it."""
    with running_world(
        tmp_path,
        gateways=_GATEWAYS,
        coordinators=_COORDINATORS,
        endpoints=1,
    ) as world:
        leaders = Leaders(world.fleet.coordinators)
        leaders.replace(with_route(2))
        watch = RouteWatch(world)
        watch.await_served()
        leaders.freeze()
        acknowledged_at = leaders.replace(desired_state(3))
        leaders.freeze()
        time.sleep(_WATCH_S)
        late_s = {
            ip: served_at - acknowledged_at
            for ip, served_at in watch.stop().items()
        }
        sys.stdout.write(f'last served after the acknowledgement: {late_s}\n')
        assert max(late_s.values()) < _APPLY_S


def test_gateway_learns_what_a_lost_leader_acknowledged_without_it(
    tmp_path: Path,
) -> None:
    """Guards against waiting for an election to learn a change."""
    linked = SlowFleet(tmp_path, gateways=2, bits_per_s=_FAST_BITS_PER_S)
    with closing(linked):
        linked.fleet.start()
        leaders = Leaders(linked.fleet.coordinators)
        leaders.replace(with_route(2))
        linked.ready_s(linked.fleet.gateways)
        _cut(linked, is_cut=True)
        time.sleep(_FORGOTTEN_S)
        leaders.replace(desired_state(3))
        leaders.freeze()
        _cut(linked, is_cut=False)
        healed_at = time.monotonic()
        for gateway in linked.fleet.gateways:
            linked.in_force_s(gateway, WATCHED_PATH)
        assert time.monotonic() < healed_at + _APPLY_S


def _cut(linked: SlowFleet, *, is_cut: bool) -> None:
    for link in linked.links:
        link.is_cut = is_cut

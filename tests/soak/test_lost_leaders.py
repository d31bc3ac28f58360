"""Leaders that are lost one after the other, each after acknowledging."""

from __future__ import annotations

import sys
import time
from pathlib import Path
from typing import Final

import pytest

from soak.leaders import Leaders, RouteWatch, with_route
from soak.operators import desired_state
from soak.world import running_world

pytestmark = pytest.mark.xdist_group('soak')
_GATEWAYS: Final = 8
_COORDINATORS: Final = 5
# `state_apply_ms` of the settings: all gateways obey a change after it.
_APPLY_S: Final = 2.0
# Time in which a gateway could still obey an older version.
_WATCH_S: Final = 5.0


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
        leaders = Leaders(world)
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

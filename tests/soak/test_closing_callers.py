"""Callers that close their connections while others wait for responses."""

from __future__ import annotations

import random
import time
from pathlib import Path
from typing import Final

import pytest

from soak.world import running_world

pytestmark = pytest.mark.xdist_group('soak')
_FIRST_CALLERS: Final = 24
_MORE_CALLERS: Final = 120
_SOAK_S: Final = 5.0


def test_closing_callers_do_not_cancel_requests_of_others(
    tmp_path: Path,
) -> None:
    """Guards against requests that are cancelled for another caller's end.

    A gateway closes connections after each response while it stops, so that
    file descriptors are reused most then.
    """
    with running_world(tmp_path) as world:
        gateway = world.fleet.gateways[0].ip
        rng = random.Random(1)
        for callers in (_FIRST_CALLERS, _MORE_CALLERS):
            world.add_callers(gateway, callers, rng, keeps_connections=False)
            world.await_served(gateway)
        time.sleep(_SOAK_S)
        world.finish_callers()
        assert not world.find_faults()

"""Gateways that reach no endpoint while callers still reach them."""

from __future__ import annotations

import random
import sys
import time
from pathlib import Path
from typing import Final

import pytest

from soak.checks import ALWAYS
from soak.cuts import CutWay
from soak.records import DEADLINE_S, Records
from soak.world import running_world

pytestmark = pytest.mark.xdist_group('soak')
_GATEWAYS: Final = 3
_ENDPOINTS: Final = 4
_CALLERS: Final = 8
_CUT_S: Final = 10.0
# Time from the start of a cut until callers must be served again.
_RECOVER_S: Final = 3.0
# Share of the requests that the others serve.
_SERVED_SHARE: Final = 2 / 3


def _served_share(
    records: Records, gateways: set[str], start: float, end: float
) -> float:
    """Return the served share of the requests that began in a period."""
    attempts = [
        attempt
        for attempt in records.attempts
        if attempt.gateway in gateways and start <= attempt.started_at < end
    ]
    served = sum(attempt.is_served for attempt in attempts)
    sys.stdout.write(f'{gateways}: {served} of {len(attempts)} served\n')
    return served / len(attempts)


@pytest.mark.parametrize(
    'way', [CutWay.RESET, CutWay.SILENT, CutWay.NEW_REFUSED]
)
def test_callers_of_cut_off_gateway_are_served(
    tmp_path: Path, way: CutWay
) -> None:
    """Guards against a gateway that fails alone while others could serve.

    Its callers keep its address for seconds.
    """
    rng = random.Random(1)
    with running_world(
        tmp_path,
        gateways=_GATEWAYS,
        endpoints=_ENDPOINTS,
        can_be_cut_off=True,
    ) as world:
        for gateway in world.fleet.gateways:
            world.add_callers(gateway.ip, _CALLERS, rng)
            world.await_served(gateway.ip)
        cut_off, *others = world.fleet.gateways
        start = time.monotonic()
        world.cut(cut_off, way)
        time.sleep(_CUT_S)
        world.cut(cut_off, CutWay.NONE)
        # Later requests may be served after the end of the cut.
        end = time.monotonic() - DEADLINE_S
        start += _RECOVER_S
        world.await_served(cut_off.ip)
        world.finish_callers()
        assert not world.find_faults(ALWAYS)
        records = world.records
        there = _served_share(records, {cut_off.ip}, start, end)
        other_ips = {other.ip for other in others}
        elsewhere = _served_share(records, other_ips, start, end)
        assert there >= elsewhere * _SERVED_SHARE

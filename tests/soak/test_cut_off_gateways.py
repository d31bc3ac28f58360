"""Gateways that reach no endpoint while callers still reach them."""

from __future__ import annotations

import random
import sys
import time
from pathlib import Path
from typing import Final

import pytest

from soak.callers import DEADLINE_S
from soak.checks import ALWAYS
from soak.cuts import CutWay
from soak.records import Outcome, Records
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


class Period:
    """Served share of the requests that were sent in a period."""

    __slots__ = ('_end', '_records', '_start')

    def __init__(self, records: Records, start: float, end: float) -> None:
        self._records = records
        self._start = start
        self._end = end

    def served_share(self, gateways: set[str]) -> float:
        """Return the share at some gateways."""
        attempts = [
            attempt
            for attempt in self._records.attempts
            if attempt.gateway in gateways
            and self._start <= attempt.started_at < self._end
            and attempt.outcome is not Outcome.OPEN
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
        period = Period(world.records, start + _RECOVER_S, end)
        world.await_served(cut_off.ip)
        world.finish_callers()
        assert not world.find_faults(ALWAYS)
        there = period.served_share({cut_off.ip})
        elsewhere = period.served_share({other.ip for other in others})
        assert there >= elsewhere * _SERVED_SHARE

"""Guards against callers who read their answers slowly, or not at all.

Crowds and bounds are fixed. The process must live, and answer ordinary
requests while the crowd stays. Its memory includes what has arrived on its
sockets and is not read yet.
"""

from __future__ import annotations

import sys
import time
from collections.abc import Iterator
from contextlib import closing
from functools import partial
from pathlib import Path
from typing import Final

import pytest
from soak.endpoints import LARGE
from soak.fleet import CALLER_PORT
from soak.world import World
from web.crowd import count_threads
from web.crowd_world import (
    LEGAL,
    Question,
    answers,
    ordinary,
    restart,
    start_world,
    until,
)
from web.readers import PeakMemory, readers_at

pytestmark = [pytest.mark.xdist_group('crowds'), pytest.mark.timeout(120)]
# Machines of the smallest deployments.
_SMALL_MB: Final = 160
# One on which a crowd need not be large.
_TINY_MB: Final = 96
_BYTES_PER_MB: Final = 1_000_000
_MAX_BODY_BYTES: Final = 65_536
_MIB_KIB: Final = 1024
# Time after which an ordinary caller asks, and for which the crowd stays then.
_HEAD_START_S: Final = 6.0
_STAY_S: Final = 6.0


@pytest.fixture
def world(request: pytest.FixtureRequest, tmp_path: Path) -> Iterator[World]:
    """Return processes that serve on machines with some MB of memory."""
    started = start_world(tmp_path, request.param, _MAX_BODY_BYTES)
    yield started
    started.close()


def _require_answers(
    world: World,
    memory_mb: int,
    path: str,
    count: int,
    bytes_per_s: int,
) -> None:
    gateway = world.fleet.gateways[0]
    door = (gateway.ip, CALLER_PORT)
    pid = restart(gateway)
    asked: list[Question] = [
        (door, ordinary(LEGAL)),
        (door, ordinary(f'/idempotent/{LARGE}{_MIB_KIB}')),
        (door, ordinary('/stream/x')),
    ]
    for question in asked:
        until(partial(answers, *question))
    with (
        closing(PeakMemory(pid)) as memory,
        readers_at(door, path, count, bytes_per_s),
    ):
        time.sleep(_HEAD_START_S)
        answered = [answers(*question) for question in asked]
        threads = count_threads(pid)
        time.sleep(_STAY_S)
        answered.extend(answers(*question) for question in asked)
        assert gateway.running.poll() is None
        sys.stdout.write(
            f'{memory.total / _BYTES_PER_MB:.0f} MB, of it unread '
            f'{memory.unread / _BYTES_PER_MB:.0f}, threads {threads}, '
            f'answered {answered}\n'
        )
        assert all(answered)
        assert memory.total < memory_mb * _BYTES_PER_MB


@pytest.mark.parametrize('world', [_TINY_MB], indirect=True)
def test_gateway_outlives_answers_that_nobody_reads(world: World) -> None:
    """Guards against whole answers that fill the memory."""
    path = f'/idempotent/{LARGE}{4 * _MIB_KIB}'
    _require_answers(world, _TINY_MB, path, 150, 0)


@pytest.mark.parametrize('world', [_SMALL_MB], indirect=True)
def test_gateway_answers_beside_slow_readers(world: World) -> None:
    """Guards against slow readers who take all threads, or all memory."""
    path = f'/idempotent/{LARGE}256'
    _require_answers(world, _SMALL_MB, path, 900, 1024)


@pytest.mark.parametrize('world', [_SMALL_MB], indirect=True)
def test_gateway_answers_beside_slow_readers_of_streams(world: World) -> None:
    """Guards against streams that take all threads."""
    path = f'/stream/{LARGE}{_MIB_KIB}'
    _require_answers(world, _SMALL_MB, path, 900, 1024)

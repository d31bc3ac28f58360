"""Guards against unfinished heads that fill the memory of a process.

Crowd and bound are fixed. The heads are as large as the process takes.
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
from soak.fleet import CALLER_PORT
from soak.world import World
from web.crowd import crowd_at
from web.crowd_world import (
    LEGAL,
    answers,
    ordinary,
    restart,
    start_world,
    until,
)
from web.readers import PeakMemory

pytestmark = [pytest.mark.xdist_group('crowds'), pytest.mark.timeout(120)]
_MEMORY_MB: Final = 96
_MAX_BODY_BYTES: Final = 65_536
_CLIENTS: Final = 1500
_SEND_S: Final = 6.0
_HEAD: Final = b'GET / HTTP/1.1\r\nX-Large: %s' % (b'x' * 60_000)


@pytest.fixture
def world(tmp_path: Path) -> Iterator[World]:
    """Return processes that serve on machines with little memory."""
    started = start_world(tmp_path, _MEMORY_MB, _MAX_BODY_BYTES)
    yield started
    started.close()


def test_gateway_outlives_large_unfinished_heads(world: World) -> None:
    gateway = world.fleet.gateways[0]
    door = (gateway.ip, CALLER_PORT)
    pid = restart(gateway)
    until(partial(answers, door, ordinary(LEGAL)))
    with (
        closing(PeakMemory(pid)) as memory,
        crowd_at(door, _HEAD, _CLIENTS, len(_HEAD)) as crowd,
    ):
        crowd.send(_SEND_S, comes_back=True)
        time.sleep(1)
        answered = answers(door, ordinary(LEGAL))
        sys.stdout.write(
            f'{memory.total / 1e6:.0f} MB, of it unread '
            f'{memory.unread / 1e6:.0f}\n'
        )
        assert gateway.running.poll() is None
        assert answered
        assert memory.total < _MEMORY_MB * 1_000_000

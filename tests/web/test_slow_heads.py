"""Guards against clients who connect and send no request, or a part of one.

The crowd is fixed. While it stays, each address of a process answers.
"""

from __future__ import annotations

import time
from collections.abc import Iterator
from functools import partial
from typing import Final

import pytest
from soak.fleet import (
    CALLER_PORT,
    DIRECTORY_PORT,
    GATEWAY,
    LAST_LINK_PORT,
    OPERATOR_PORT,
    READINESS_PORT,
)
from soak.world import World
from web.crowd import ask, crowd_at
from web.crowd_world import (
    LEGAL,
    METRICS_PORT,
    PATIENCE_S,
    answers,
    ordinary,
    start_world,
    until,
)

pytestmark = [pytest.mark.xdist_group('crowds'), pytest.mark.timeout(120)]
_MEMORY_MB: Final = 160
_MAX_BODY_BYTES: Final = 65_536
_CLIENTS: Final = 100
_SEND_S: Final = 0.5
_HALF: Final = b'GET / HTTP/1.1\r\nHost: h\r\n'
_DOORS: Final = (
    ('gateway', READINESS_PORT, ('GET /v1/readyz HTTP/1.1', 'Host: h')),
    ('gateway', METRICS_PORT, ('GET /metrics HTTP/1.1', 'Host: h')),
    ('gateway', CALLER_PORT, ordinary(LEGAL)),
    (
        'coordinator',
        OPERATOR_PORT,
        ('GET /v1/Config.Fetch HTTP/1.1', 'Host: h'),
    ),
    (
        'coordinator',
        DIRECTORY_PORT,
        ('GET /v1/resolve?zone=z HTTP/1.1', 'Host: h'),
    ),
)


@pytest.fixture(scope='module')
def world(tmp_path_factory: pytest.TempPathFactory) -> Iterator[World]:
    """Return processes that serve."""
    folder = tmp_path_factory.mktemp('heads')
    started = start_world(folder, _MEMORY_MB, _MAX_BODY_BYTES)
    yield started
    started.close()


@pytest.mark.parametrize(
    'sent', [pytest.param(b'', id='silent'), pytest.param(_HALF, id='half')]
)
@pytest.mark.parametrize(('role', 'port', 'lines'), _DOORS)
def test_address_answers_beside_unfinished_requests(
    world: World, role: str, port: int, lines: tuple[str, ...], sent: bytes
) -> None:
    """Guards against connections that take all threads of an address."""
    fleet = world.fleet
    processes = fleet.gateways if role == GATEWAY else fleet.coordinators
    door = (processes[0].ip, port)
    until(partial(answers, door, lines))
    with crowd_at(door, sent + b'x', _CLIENTS, len(sent) or 1) as crowd:
        if sent:
            crowd.send(_SEND_S)
        time.sleep(_SEND_S)
        assert answers(door, lines)
        assert answers(door, lines)


def test_passed_on_requests_are_read_beside_silent_connections(
    world: World,
) -> None:
    """Guards against connections that keep other gateways from answers.

    The address refuses requests without a ticket.
    """
    door = (world.fleet.gateways[0].ip, LAST_LINK_PORT)
    with crowd_at(door, b'x', _CLIENTS, 1):
        time.sleep(_SEND_S)
        assert ask(door, ordinary(LEGAL), PATIENCE_S) > 0

"""Guards against clients that end a process or keep it from answering.

Each test starts the system's processes on loopback addresses. The crowds and
the bounds are fixed: a process must live, stay under its memory limit and the
bound on descriptors, and answer one ordinary request while the crowd stays.
"""

from __future__ import annotations

import resource
import sys
import time
from collections.abc import Iterator, Sequence
from concurrent.futures import ThreadPoolExecutor
from functools import partial
from typing import Final

import pytest
from soak.fleet import (
    CALLER_PORT,
    DIRECTORY_PORT,
    LAST_LINK_PORT,
    OPERATOR_PORT,
    READINESS_PORT,
    ManagedProcess,
)
from soak.operators import HOST
from soak.world import World
from web.crowd import (
    Body,
    ask,
    count_descriptors,
    count_threads,
    crowd_at,
    peak_bytes,
)
from web.crowd_world import (
    LEGAL,
    PATIENCE_S,
    Question,
    answers,
    listens,
    ordinary,
    restart,
    start_world,
    until,
)

pytestmark = [pytest.mark.xdist_group('crowds'), pytest.mark.timeout(120)]
_KIB: Final = 1024
_MIB: Final = _KIB * _KIB
_MEMORY_MB: Final = 96
_MEMORY_BYTES: Final = _MEMORY_MB * 1_000_000
# Bodies of callers up to this size are legal in these tests.
_MAX_BODY_BYTES: Final = _MIB
_CALLERS: Final = 80
_CLIENTS_OF_COORDINATOR: Final = 16
# Descriptors that a process may have beyond those before and the crowd's.
_SPARE_DESCRIPTORS: Final = 64
_SEND_S: Final = 15.0
# Time after which an ordinary caller asks while the crowd sends.
_HEAD_START_S: Final = 2.0
_ORDINARY: Final = ordinary(LEGAL)
_OK: Final = 200
_FETCH: Final = ('GET /v1/Config.Fetch HTTP/1.1', 'Host: h')
_RESOLVE: Final = ('GET /v1/resolve?zone=z HTTP/1.1', 'Host: h')


@pytest.fixture(scope='module')
def world(tmp_path_factory: pytest.TempPathFactory) -> Iterator[World]:
    """Return processes that serve; those that end are started again."""
    folder = tmp_path_factory.mktemp('crowds')
    started = start_world(folder, _MEMORY_MB, _MAX_BODY_BYTES)
    yield started
    started.close()


def _require_bounds(
    process: ManagedProcess,
    door: tuple[str, int],
    path: str,
    body: Body,
    count: int,
    ordinary: Sequence[Question],
    *,
    comes_back: bool = False,
) -> None:
    pid = restart(process)
    until(lambda: listens(door))
    for question in ordinary:
        until(partial(answers, *question))
    before = peak_bytes(pid)
    descriptors = count_descriptors(pid)
    threads = count_threads(pid)
    with (
        crowd_at(
            door, body.request(path, HOST), count, body.piece_bytes
        ) as crowd,
        ThreadPoolExecutor(1) as background,
    ):
        sending = background.submit(crowd.send, _SEND_S, comes_back=comes_back)
        time.sleep(_HEAD_START_S)
        answered = [answers(*question) for question in ordinary]
        sending.result()
        most = count_descriptors(pid)
        most_threads = count_threads(pid)
        answered.extend(answers(*question) for question in ordinary)
    sys.stdout.write(
        f'peak {before / 1e6:.0f} to {peak_bytes(pid) / 1e6:.0f} MB, '
        f'descriptors {descriptors} to {most}, '
        f'threads {threads} to {most_threads}\n'
    )
    assert process.running.poll() is None
    assert all(answered)
    assert peak_bytes(pid) < _MEMORY_BYTES
    assert most <= descriptors + count + _SPARE_DESCRIPTORS


@pytest.mark.parametrize(
    'body',
    [
        pytest.param(Body.chunked(_MAX_BODY_BYTES, 64 * _KIB), id='chunks'),
        pytest.param(Body.whole(_MAX_BODY_BYTES), id='whole'),
        pytest.param(Body.whole(_MAX_BODY_BYTES, 4 * _KIB), id='pieces'),
    ],
)
def test_gateway_outlives_unfinished_bodies(world: World, body: Body) -> None:
    """Guards against bodies that fill the memory or take all threads."""
    gateway = world.fleet.gateways[0]
    door = (gateway.ip, CALLER_PORT)
    _require_bounds(gateway, door, LEGAL, body, _CALLERS, [(door, _ORDINARY)])


def test_gateway_answers_beside_tiny_chunks(world: World) -> None:
    """Guards against chunks of one byte that take all of the processor.

    The callers come back when their connections are closed.
    """
    gateway = world.fleet.gateways[0]
    door = (gateway.ip, CALLER_PORT)
    _require_bounds(
        gateway,
        door,
        LEGAL,
        Body.chunked(_MAX_BODY_BYTES, 1),
        _CALLERS,
        [(door, _ORDINARY)],
        comes_back=True,
    )


@pytest.mark.parametrize('port', [CALLER_PORT, LAST_LINK_PORT])
def test_gateway_outlives_bodies_of_refused_requests(
    world: World, port: int
) -> None:
    """Guards against a refusal that first reads the whole body at once.

    It is sent on the port for callers, and on that for requests that other
    gateways pass on.
    """
    gateway = world.fleet.gateways[0]
    _require_bounds(
        gateway,
        (gateway.ip, port),
        '/none/x',
        Body.whole(16 * _MIB),
        _CLIENTS_OF_COORDINATOR,
        [((gateway.ip, CALLER_PORT), _ORDINARY)],
    )


@pytest.mark.parametrize(
    ('port', 'path'),
    [
        pytest.param(OPERATOR_PORT, '/v1/Config.Replace', id='operators'),
        pytest.param(DIRECTORY_PORT, '/v1/resolve', id='directory'),
    ],
)
def test_coordinator_outlives_unfinished_bodies(
    world: World, port: int, path: str
) -> None:
    """Guards against bodies that fill a coordinator's memory."""
    coordinator = world.fleet.coordinators[0]
    _require_bounds(
        coordinator,
        (coordinator.ip, port),
        path,
        Body.whole(8 * _MIB),
        _CLIENTS_OF_COORDINATOR,
        [
            ((coordinator.ip, OPERATOR_PORT), _FETCH),
            ((coordinator.ip, DIRECTORY_PORT), _RESOLVE),
        ],
    )


@pytest.mark.parametrize(
    'request_bytes',
    [
        pytest.param(b'GET /none HTTP/1.1\r\nHost: h\r\n\r\n', id='kept'),
        pytest.param(b'GET /none HTTP/1.1\r\nHost: h\r\n', id='slow-heads'),
    ],
)
def test_gateway_outlives_the_end_of_its_descriptors(
    world: World, request_bytes: bytes
) -> None:
    """Guards against connections that take all descriptors and stay idle.

    The ordinary caller waits for less than the idle time-out.
    """
    gateway = world.fleet.gateways[0]
    door = (gateway.ip, CALLER_PORT)
    pid = restart(gateway)
    until(lambda: answers(door, _ORDINARY))
    for port in (LAST_LINK_PORT, READINESS_PORT):
        until(partial(listens, (gateway.ip, port)))
    # The last server checks its own port once more before the start is over.
    time.sleep(_HEAD_START_S)
    most = count_descriptors(pid) + _CALLERS // 2
    resource.prlimit(pid, resource.RLIMIT_NOFILE, (most, most))
    with crowd_at(door, request_bytes, _CALLERS, _KIB) as crowd:
        crowd.send(_HEAD_START_S)
        assert count_descriptors(pid) <= most
        assert ask(door, _ORDINARY, 2 * PATIENCE_S) == _OK
    assert gateway.running.poll() is None
    assert peak_bytes(pid) < _MEMORY_BYTES

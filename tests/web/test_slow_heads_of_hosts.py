"""Guards against unfinished requests at entry hosts and control hosts.

The crowd is fixed, and the threads of the entry host are few.
"""

from __future__ import annotations

import time
from collections.abc import Iterator
from pathlib import Path
from typing import Final

import pytest
from support.cluster import Cluster
from web.crowd import ask, crowd_at
from web.crowd_world import PATIENCE_S

pytestmark = [pytest.mark.xdist_group('crowds'), pytest.mark.timeout(120)]
_CLIENTS: Final = 100
_SEND_S: Final = 0.5
_HALF: Final = b'GET / HTTP/1.1\r\nHost: h\r\n'
_QUESTION: Final = ('GET /v1/hosts HTTP/1.1', 'Host: h')


@pytest.fixture
def cluster(tmp_path: Path) -> Iterator[Cluster]:
    """Run a control host and an entry host."""
    hosts = Cluster(
        tmp_path / 'cluster',
        controls=1,
        entries=1,
        settings={'limits.threads': '4'},
    )
    try:
        hosts.start()
        yield hosts
    finally:
        hosts.stop()


@pytest.mark.parametrize(
    'sent', [pytest.param(b'', id='silent'), pytest.param(_HALF, id='half')]
)
@pytest.mark.parametrize('host', ['e1', 'c1'])
def test_host_answers_beside_unfinished_requests(
    cluster: Cluster, host: str, sent: bytes
) -> None:
    """Guards against connections that take all threads of a host."""
    addresses = {**cluster.entry_addresses, **cluster.control_addresses}
    door = (addresses[host].host, addresses[host].port)
    assert ask(door, _QUESTION, PATIENCE_S) > 0
    with crowd_at(door, sent + b'x', _CLIENTS, len(sent) or 1) as crowd:
        if sent:
            crowd.send(_SEND_S)
        time.sleep(_SEND_S)
        assert ask(door, _QUESTION, PATIENCE_S) > 0
        assert ask(door, _QUESTION, PATIENCE_S) > 0
    assert cluster.children[host].is_running()

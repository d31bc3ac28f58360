"""Guards against streams that hold events of two software versions."""

from __future__ import annotations

import socket
from collections.abc import Iterator

import pytest
from gateway.conftest import Bench
from gateway.endpoints import (
    LAST_CHUNK,
    ReceivedRequest,
    chunk,
    event,
    stream_head,
)
from gateway.served_gateway import ServedGateway

_EVENTS = [event(number) for number in range(1, 5)]
_ALL = b''.join(_EVENTS)


@pytest.fixture
def gateway(bench: Bench) -> Iterator[ServedGateway]:
    """Return a gateway that serves callers on loopback."""
    served = ServedGateway(bench)
    yield served
    served.stop()


def _break_new_streams(conn: socket.socket, request: ReceivedRequest) -> bool:
    """Break new streams after two events, and complete resumed ones."""
    last_event_id = request.header('last-event-id')
    conn.sendall(stream_head(request))
    begin = int(last_event_id or 0)
    end = len(_EVENTS) if last_event_id else 2
    for part in _EVENTS[begin:end]:
        conn.sendall(chunk(part))
    if last_event_id:
        conn.sendall(LAST_CHUNK)
    return False


def test_broken_stream_is_not_resumed_at_another_version(
    bench: Bench, gateway: ServedGateway
) -> None:
    bench.software_versions = ['v1', 'v1.1']
    endpoints = bench.serve(_break_new_streams, _break_new_streams)
    received = gateway.ask('resumable')
    assert received.status == 200
    assert not received.is_complete
    assert received.body == _EVENTS[0] + _EVENTS[1]
    assert sum(len(endpoint.received) for endpoint in endpoints) == 1


@pytest.mark.parametrize(
    'versions', [['v1', 'v1', 'v1.1'], ['v1', 'v1.1', 'v1.1']]
)
def test_broken_stream_is_resumed_at_its_own_version(
    bench: Bench, gateway: ServedGateway, versions: list[str]
) -> None:
    for _ in range(6):
        bench.software_versions = versions
        bench.serve(*(_break_new_streams for _ in versions))
        received = gateway.ask('resumable')
        used = {
            version
            for version, endpoint in zip(versions, bench.endpoints, strict=True)
            if endpoint.received
        }
        assert len(used) == 1
        assert received.is_complete == (versions.count(used.pop()) > 1)


def test_stream_of_unknown_version_is_refused_without_a_run(
    bench: Bench, gateway: ServedGateway
) -> None:
    """The gateway has no record of the attempt that began the stream."""
    bench.software_versions = ['v1', 'v1.1']
    endpoints = bench.serve(_break_new_streams, _break_new_streams)
    received = gateway.ask('resumable', 'Last-Event-Id: 2', 'Resumes: other')
    assert received.status == 503
    assert b'"run_state":"not_run"' in received.body
    assert not any(endpoint.received for endpoint in endpoints)

"""Tests of the platform client against the platform stand-in."""

from __future__ import annotations

import socket
import threading
import time
from contextlib import suppress
from typing import TYPE_CHECKING, Any

import pytest
from standin_calls import call

from apricotcart.provisioning.api import EXPIRED, NO_ANSWER, Request
from apricotcart.provisioning.client import PlatformClient
from apricotcart_standins.options import build_parser
from apricotcart_standins.relay.control import RelayControl
from apricotcart_standins.run import build_stand_in
from apricotcart_standins.web import Server

if TYPE_CHECKING:
    from collections.abc import Iterator

LONG_S = 30
NO_DELAY = (socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)


@pytest.fixture
def url() -> Iterator[str]:
    """Yield the base URL of a platform stand-in."""
    server = Server(
        ('127.0.0.1', 0),
        build_stand_in(build_parser().parse_args(['platform'])),
    )
    threading.Thread(
        target=server.serve_forever, args=(0.02,), daemon=True
    ).start()
    yield server.url
    server.shutdown()
    server.server_close()


def _report(fencing: int = 1) -> Request:
    body: dict[str, Any] = {'fencing': fencing, 'customer': 'a', 'window': 1}
    return Request(ticket=1, path='/usage', body=body)


def _client(url: str, duration_s: float = LONG_S) -> PlatformClient:
    return PlatformClient(url, lambda now, _: now + duration_s)


def test_client_sends(url: str) -> None:
    """Guards against a request that loses its fields."""
    assert _client(url).send(_report()).is_ok
    records = call('GET', f'{url}/usage')['usage']
    assert records[0]['customer'] == 'a'


def test_client_reads(url: str) -> None:
    """Guards against reads that are sent as writes."""
    request = Request(
        ticket=1, path='/prices', method='GET', body={}, fenced=False
    )
    answer = _client(url).send(request)
    assert answer.body['zones']['a']['cheap'] == pytest.approx(0.3)


def test_client_without_permit(url: str) -> None:
    """Guards against a request sent after authority was lost."""
    client = PlatformClient(url, lambda _now, _request: None)
    assert client.send(_report()).code == EXPIRED
    assert not call('GET', f'{url}/usage')['usage']


def test_client_stale(url: str) -> None:
    """Guards against a stale token whose refusal is not recognised."""
    client = _client(url)
    assert client.send(_report(2)).is_ok
    assert client.send(_report(1)).is_stale


def test_client_lost_answer(url: str) -> None:
    """Guards against a lost answer that is taken for a refusal."""
    call('POST', f'{url}/fault', {'fail_after': True})
    assert _client(url).send(_report()).code == NO_ANSWER


def test_client_late_answer(url: str) -> None:
    """Guards against waiting past the deadline."""
    call('POST', f'{url}/fault', {'late_s': LONG_S})
    started = time.monotonic()
    answer = _client(url, 0.2).send(_report())
    assert answer.code == NO_ANSWER
    assert time.monotonic() - started < LONG_S


@pytest.mark.parametrize('naive', [False, True])
def test_client_abandons_unsent(
    url: str, naive: bool, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against a request that arrives after its deadline.

    A partition delays the request beyond its deadline. The naive variant
    closes the connection without a reset, so the kernel keeps sending.
    """
    if naive:
        name = 'apricotcart.provisioning.client._RESET_ON_CLOSE'
        monkeypatch.setattr(name, NO_DELAY)
    parts = url.removeprefix('http://').split(':')
    relay = RelayControl(('127.0.0.1', 0), (parts[0], int(parts[1])))
    relay.set_faults({'cut': 'up'})
    client = _client(f'http://127.0.0.1:{relay.port}', 0.3)
    assert client.send(_report()).code == NO_ANSWER
    while not naive and not relay.get_status()['resets']:
        time.sleep(0.01)
    relay.set_faults({'cut': ''})
    while naive and not call('GET', f'{url}/usage')['usage']:
        time.sleep(0.01)
    assert _client(url).send(_report(2)).is_ok
    assert len(call('GET', f'{url}/usage')['usage']) == 1 + naive


def test_client_no_listener() -> None:
    """Guards against an exception that ends the sending thread."""
    client = _client('http://127.0.0.1:9')
    assert client.send(_report()).code == NO_ANSWER


def test_client_counts_late_write(url: str) -> None:
    """Guards against an uncounted late write after a pause of the sender."""
    readings = iter((10.0, 12.0, 12.0, 12.0, 12.0))
    client = PlatformClient(url, lambda now, _: now + 1, lambda: next(readings))
    client.send(_report())
    assert client.late_sends == 1


def _trickle(
    listener: socket.socket, payload: bytes, interval_s: float
) -> None:
    """Send an answer byte by byte, each long before a time limit of reads."""
    conn, _ = listener.accept()
    with conn, suppress(OSError):
        conn.recv(65536)
        for byte in payload:
            conn.sendall(bytes([byte]))
            time.sleep(interval_s)


@pytest.mark.parametrize(
    'payload',
    [
        b'HTTP/1.1 200 OK\r\nContent-Length: 2\r\nX-Note: a long one\r\n\r\n{}',
        b'HTTP/1.1 200 OK\r\nContent-Length: 60\r\n\r\n{"a": "%s"}'
        % (b'b' * 51),
    ],
)
def test_client_ends_an_answer_that_trickles(payload: bytes) -> None:
    """Guards against a time limit that starts anew with each byte."""
    with socket.create_server(('127.0.0.1', 0)) as listener:
        threading.Thread(
            target=_trickle, args=(listener, payload, 0.1), daemon=True
        ).start()
        port = listener.getsockname()[1]
        started = time.monotonic()
        answer = _client(f'http://127.0.0.1:{port}', 0.5).send(_report())
        assert answer.code == NO_ANSWER
        assert time.monotonic() - started < 1

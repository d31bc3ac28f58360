"""Tests of the client of the platform's API against a server on loopback.

They guard against one malformed entry that makes a list of endpoints unusable.
"""

from __future__ import annotations

import socket
import threading
import time
from collections.abc import Iterator
from contextlib import suppress
from http.server import BaseHTTPRequestHandler, HTTPServer
from typing import Any

import orjson
import pytest

from apricotcart.platform.cloud import PlatformClient
from apricotcart.provisioning.fleet_api import (
    EndpointOrder,
    FencedCall,
    PlatformUnavailableError,
    StaleFencingError,
)

_INSTANCE = {
    'id': 'i-1',
    'service': 'lm',
    'address': '10.0.0.1:80',
    'zone': 'a',
    'slots': 4,
    'state': 'ready',
    'born': 5,
    'version': 'v1',
}


class ApiHandler(BaseHTTPRequestHandler):
    """Returns the pages and status that the test sets; records posts."""

    pages: list[Any] = []
    status = 200
    requests: list[tuple[str, Any, bytes]] = []

    def do_GET(self) -> None:
        index = 1 if 'page_token' in self.path else 0
        page = self.pages[index]
        self._answer(page if isinstance(page, bytes) else orjson.dumps(page))

    def do_POST(self) -> None:
        length = int(self.headers['Content-Length'])
        self.requests.append((self.path, self.headers, self.rfile.read(length)))
        self._answer(b'a higher fence was seen')

    def log_message(self, *args: Any) -> None:
        """Discard the log line."""

    def _answer(self, body: bytes) -> None:
        self.send_response(self.status)
        self.send_header('Content-Length', str(len(body)))
        self.end_headers()
        self.wfile.write(body)


@pytest.fixture
def client() -> Iterator[PlatformClient]:
    """Return a client of an API on loopback."""
    server = HTTPServer(('127.0.0.1', 0), ApiHandler)
    thread = threading.Thread(target=server.serve_forever, daemon=True)
    thread.start()
    ApiHandler.status = 200
    ApiHandler.requests = []
    yield PlatformClient(f'127.0.0.1:{server.server_port}', 2)
    server.shutdown()
    server.server_close()


def test_instances_skips_malformed_entries(client: PlatformClient) -> None:
    ApiHandler.pages = [
        {
            'instances': [
                {**_INSTANCE, 'state': 'gone'},
                {**_INSTANCE, 'slots': 'four'},
                {**_INSTANCE, 'address': 'nowhere'},
                {**_INSTANCE, 'version': 2},
                {**_INSTANCE, 'version': None},
                {'id': 'i-9'},
                'text',
                None,
                _INSTANCE,
            ],
            'next': 'p-1',
        },
        {
            'instances': [
                {
                    **_INSTANCE,
                    'id': 'i-2',
                    'state': 'draining',
                    'leaves_ms': 900,
                },
            ],
            'next': None,
        },
    ]
    first, second = client.instances()
    assert (first.instance_id, first.born_ms, first.is_ready) == (
        'i-1',
        5,
        True,
    )
    assert not second.is_ready
    assert second.leaves_s == pytest.approx(0.9)


def test_instances_without_a_readable_time_to_warm_up_are_kept(
    client: PlatformClient, caplog: pytest.LogCaptureFixture
) -> None:
    """Guards against an endpoint that is lost for one figure."""
    times = [2500, None, '2', -1, True, 1e300]
    ApiHandler.pages = [
        {'instances': [{**_INSTANCE, 'warmup_left_ms': left} for left in times]}
    ]
    with caplog.at_level('INFO'):
        instances = client.instances()
    assert [instance.warmup_s for instance in instances] == [
        2.5,
        0,
        0,
        0,
        0,
        120,
    ]
    assert caplog.text.count('figure_ignored') == 3


@pytest.mark.parametrize('pages', [[[]], ['x'], [{'instances': 3}]])
def test_instances_of_malformed_page_is_empty(
    client: PlatformClient,
    pages: list[Any],
) -> None:
    ApiHandler.pages = pages
    try:
        instances = client.instances()
    except PlatformUnavailableError:
        return
    assert not instances


def test_order_carries_holder_and_token(client: PlatformClient) -> None:
    order = EndpointOrder(service='lm', zone='a', count=2, is_spot=True)
    assert client.order(FencedCall(holder='core-1', token=7), order)
    path, headers, body = ApiHandler.requests[0]
    assert path == '/scale'
    assert (headers['Duty-Holder'], headers['Fencing-Token']) == (
        'core-1',
        '7',
    )
    assert orjson.loads(body)['spot'] is True


def test_report_fails_with_stale_token(client: PlatformClient) -> None:
    ApiHandler.status = 409
    call = FencedCall(holder='core-1', token=7)
    with pytest.raises(StaleFencingError):
        client.report(call, 5, {'guild': 1})
    ApiHandler.status = 503
    with pytest.raises(PlatformUnavailableError):
        client.report(call, 5, {'guild': 1})


_GOOD = orjson.dumps(_INSTANCE)
_NESTED = b'{"id":' + b'[' * 100_000 + b']' * 100_000 + b'}'


@pytest.mark.parametrize(
    'odd',
    [
        b'[' * 1100 + b']' * 1100,
        _NESTED,
        b'{"id":"i-7","slots":' + b'9' * 400 + b'}',
        b'{"id":"i-7","born":' + b'9' * 5000 + b'}',
        b'{"id":"i-7","leaves_ms":1e400}',
        b'{"id":"%cud800"}' % ord('\\'),
        b'{"id":"\xff\xfe"}',
        rb'{"id":"]}, \"[", "instances": [1e999]}',
        b'nan',
        b'',
        b'{"id":NaN}',
    ],
)
def test_unreadable_entry_does_not_hide_the_others(
    client: PlatformClient, odd: bytes
) -> None:
    """Another writer left it; the list must not stand still."""
    page = b'{"instances":[%s,%s , %s],"next":"p-1"}' % (_GOOD, odd, _GOOD)
    last = b'{"next":null,"instances":[%s]}' % odd
    ApiHandler.pages = [page, last]
    assert [entry.instance_id for entry in client.instances()] == ['i-1', 'i-1']


@pytest.mark.parametrize(
    'page',
    [
        b'{"instances":[{"id":"i-1"},[[}',
        b'{"instances":[1e400]',
        b'[1e400]',
        b'{"other":[1e400]}',
        b'\xff',
        b'',
    ],
)
def test_page_that_is_broken_as_a_whole_is_no_list(
    client: PlatformClient, page: bytes
) -> None:
    """Guards against endpoints that vanish since a page is truncated."""
    ApiHandler.pages = [page]
    with pytest.raises(PlatformUnavailableError):
        client.instances()


@pytest.mark.parametrize(
    'fields',
    [
        {'address': '10.0.0.1:0'},
        {'address': '10.0.0.1:99999'},
        {'address': '10.0.0.1:\u0661\u0662'},
        {'address': '10.0.0.1:'},
        {'address': '10.0.0\x01.1:80'},
        {'address': 'somewhere:80'},
        {'slots': 0},
        {'slots': -5},
        {'slots': 2**63},
        {'id': ''},
        {'id': 'i-1\r\nKey: k'},
        {'id': 'i' * 300},
    ],
)
def test_entry_that_cannot_be_used_is_skipped(
    client: PlatformClient, fields: dict[str, Any]
) -> None:
    """A request to it would fail outside the errors that callers know."""
    good = {**_INSTANCE, 'id': 'i-2'}
    ApiHandler.pages = [{'instances': [{**_INSTANCE, **fields}, good]}]
    assert [entry.instance_id for entry in client.instances()] == ['i-2']


_ENDLESS = {
    'head': b'HTTP/1.1 200 OK\r\nX-Fill: ',
    'trailers': (
        b'HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n'
        b'2\r\n{}\r\n0\r\nX-Fill: '
    ),
    'body': b'HTTP/1.1 200 OK\r\n\r\n{',
}


@pytest.mark.parametrize('begin', _ENDLESS.values(), ids=_ENDLESS)
@pytest.mark.parametrize(
    ('block', 'pause_s'),
    [(b'a', 0.05), (b'a' * 65536, 0)],
    ids=['slow', 'fast'],
)
def test_answer_without_end_is_abandoned(
    begin: bytes, block: bytes, pause_s: float
) -> None:
    """Guards against a thread or the memory of a host held for ever."""
    sent: list[int] = []
    with socket.create_server(('127.0.0.1', 0)) as listener:
        thread = threading.Thread(
            target=_send_without_end,
            args=(listener, begin, block, pause_s, sent),
            daemon=True,
        )
        thread.start()
        port = listener.getsockname()[1]
        client = PlatformClient(f'127.0.0.1:{port}', 0.5)
        started_at = time.monotonic()
        with pytest.raises(PlatformUnavailableError):
            client.instances()
        assert time.monotonic() < started_at + 1
        thread.join(5)
    assert sum(sent) < 16_000_000


def _send_without_end(
    listener: socket.socket,
    begin: bytes,
    block: bytes,
    pause_s: float,
    sent: list[int],
) -> None:
    conn, _ = listener.accept()
    with conn, suppress(OSError):
        conn.recv(65536)
        conn.sendall(begin)
        for _ in range(1000):
            conn.sendall(block)
            sent.append(len(block))
            time.sleep(pause_s)

"""Tests of the client of the platform's API against a server on loopback.

They guard against one malformed entry that makes a list of endpoints unusable.
"""

from __future__ import annotations

import threading
from collections.abc import Iterator
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
        self._answer(orjson.dumps(self.pages[index]))

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

"""Guards against requests and responses that change on the way.

What an endpoint and a caller see must not depend on whether a request was
passed on.
"""

from __future__ import annotations

import re
import socket
from collections.abc import Callable

import pytest
from gateway.endpoints import ReceivedRequest, respond_with, response_bytes
from gateway.relay.fleet import Fleet, Link

_SENT_ANEW = frozenset((b'attempt-id', b'deadline-ms'))
_WAIT_S = 5
_LENGTH = re.compile(rb'\r\nContent-Length: (\d+)')

_HEADS = {
    'plain': b'POST /once/x?a=%2F&b HTTP/1.1\r\nHost: h\r\n',
    'absolute target': b'POST http://h/once/x?a=1 HTTP/1.1\r\nHost: h\r\n',
    'repeated headers': (
        b'POST /once/x HTTP/1.1\r\nHost: h\r\nX-A: 1\r\nx-a: 2\r\nX-Empty:\r\n'
    ),
    'latin-1 text': b'POST /once/x HTTP/1.1\r\nHost: h\r\nX-A: \xe9\xa0b\r\n',
    'hop-by-hop headers': (
        b'POST /once/x HTTP/1.1\r\nHost: h\r\nConnection: x-hop\r\n'
        b'X-Hop: 1\r\nTE: trailers\r\n'
    ),
    'headers of this system': (
        b'POST /once/x HTTP/1.1\r\nHost: h\r\nTenant: other\r\n'
        b'Expect-Instance: i-9\r\nKv-From: 1.2.3.4:5/x\r\n'
    ),
    'prompt': (
        b'POST /once/x HTTP/1.1\r\nHost: h\r\nModel: m\r\n'
        b'Token-Usage: 1460,80\r\nPrompt-Prefix: 5c1e:800,91bd:410\r\n'
    ),
    'without body': b'GET /idempotent/x HTTP/1.1\r\nHost: h\r\n',
    'head': b'HEAD /idempotent/x HTTP/1.1\r\nHost: h\r\n',
}
_BODIES = {
    'length': b'Content-Length: 7\r\n\r\npayload',
    'chunked': b'Transfer-Encoding: chunked\r\n\r\n7\r\npayload\r\n0\r\n\r\n',
    'none': b'\r\n',
}


def _ask(address: tuple[str, int], raw: bytes) -> bytes:
    """Return the response, up to its length or the end of the connection."""
    received = b''
    with socket.create_connection(address, _WAIT_S) as conn:
        conn.sendall(raw)
        while not _is_complete(received):
            data = conn.recv(65536)
            if not data:
                break
            received += data
    return received


def _is_complete(received: bytes) -> bool:
    head, end, body = received.partition(b'\r\n\r\n')
    length = _LENGTH.search(head)
    return bool(end and length and len(body) == int(length.group(1)))


def _fields(head: bytes) -> list[bytes]:
    """Return the lines of a head, except for those that differ each time."""
    lines = head.split(b'\r\n')
    return lines[:1] + sorted(
        line
        for line in lines[1:]
        if line.partition(b':')[0].lower() not in _SENT_ANEW
        and not line.lower().startswith(b'date:')
    )


def _both(fleet: Fleet, raw: bytes) -> list[bytes]:
    """Send a request to a gateway, and to one that passes it on."""
    fleet.sender.cut_off()
    return [
        _ask(gateway.served.address, raw)
        for gateway in (fleet.gateways[1], fleet.sender)
    ]


@pytest.mark.parametrize('body', _BODIES.values(), ids=_BODIES)
@pytest.mark.parametrize('head', _HEADS.values(), ids=_HEADS)
def test_endpoint_and_caller_see_no_difference(
    fleet: Fleet, head: bytes, body: bytes
) -> None:
    fleet.serve(respond_with(body=b'', X_Note='n'))
    common = b'Connection: close\r\nAttempt-Id: t\r\nDeadline-Ms: 3000\r\n'
    direct, passed_on = _both(fleet, head + common + body)
    first, second = fleet.endpoints[0].received
    assert _fields(first.head) == _fields(second.head)
    assert first.body == second.body
    direct_head, _, direct_body = direct.partition(b'\r\n\r\n')
    passed_head, _, passed_body = passed_on.partition(b'\r\n\r\n')
    assert direct_head.startswith(b'HTTP/1.1 200')
    assert _fields(direct_head) == _fields(passed_head)
    assert direct_body == passed_body


_RESPONSES: dict[str, Callable[[ReceivedRequest], bytes]] = {
    'length': lambda req: response_bytes(req, b'body', X_Note='n'),
    'error': lambda req: response_bytes(req, b'e', '404 Not Found'),
    'end of connection': lambda req: (
        f'HTTP/1.1 200 OK\r\nAttempt-Id: {req.attempt_id}\r\n'
        'Server-Stamp: s\r\n\r\nbody'
    ).encode(),
    'text to the end of connection': lambda req: (
        f'HTTP/1.1 200 OK\r\nAttempt-Id: {req.attempt_id}\r\n'
        'Content-Type: text/plain\r\nServer-Stamp: s\r\n\r\nid: 1\n\n'
    ).encode(),
}


@pytest.mark.parametrize('route', ['once', 'stream'])
@pytest.mark.parametrize('response', _RESPONSES.values(), ids=list(_RESPONSES))
def test_caller_gets_the_same_response(
    fleet: Fleet, route: str, response: Callable[[ReceivedRequest], bytes]
) -> None:
    def script(conn: socket.socket, request: ReceivedRequest) -> bool:
        conn.sendall(response(request))
        return False

    fleet.serve(script)
    raw = (
        f'POST /{route}/x HTTP/1.1\r\nHost: h\r\nConnection: close\r\n'
        'Attempt-Id: t\r\nDeadline-Ms: 2000\r\nContent-Length: 0\r\n\r\n'
    ).encode()
    direct, passed_on = [
        received.partition(b'\r\n\r\n') for received in _both(fleet, raw)
    ]
    if direct[0].startswith(b'HTTP/1.1 502'):
        # The words of a stream without events name another class.
        assert passed_on[0].startswith(b'HTTP/1.1 502')
        assert b'"code":"endpoint_broken"' in passed_on[2]
        return
    assert _fields(direct[0]) == _fields(passed_on[0])
    assert direct[2] == passed_on[2]


def test_endpoint_cannot_set_headers_of_gateways(fleet: Fleet) -> None:
    """Guards against an endpoint whose headers pass for a receipt."""
    fleet.serve(respond_with(Apricotcart_Receipt='A', Apricotcart_Ticket='A'))
    fleet.sender.cut_off()
    received = fleet.sender.ask('once')
    assert (received.status, received.body) == (200, b'ok')
    assert not any('apricotcart' in name for name in received.headers)


def test_connections_between_gateways_are_reused(
    fleet: Fleet, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against a connection for each request."""
    opened: list[Link] = []
    join = Link._join

    def count(link: Link, conn: socket.socket) -> None:
        opened.append(link)
        join(link, conn)

    monkeypatch.setattr(Link, '_join', count)
    fleet.serve(respond_with())
    fleet.use_peers(fleet.link(fleet.gateways[1], lambda received: None))
    fleet.sender.cut_off()
    for _ in range(5):
        assert fleet.sender.ask('once').status == 200
    assert len(opened) == 1

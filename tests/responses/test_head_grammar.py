"""Guards against damaged response heads that make a misread body a success.

Both kinds of entry read responses with these connections' readers.
"""

from __future__ import annotations

import socket
import threading
from collections.abc import Callable, Iterator
from contextlib import closing, suppress
from typing import NamedTuple

import h11
import pytest
import urllib3
from hypothesis import given
from hypothesis import strategies as st

from apricotcart.errors.tree import ApricotcartError
from apricotcart.gateway.api import ForwardedRequest
from apricotcart.gateway.exchanges.bodies import read_available
from apricotcart.gateway.exchanges.connections import EndpointConnection
from apricotcart.responses.framing import Framing, FramingError
from apricotcart.responses.strict_connections import strict_pools

_TIMEOUT_S = 5
_BODY = b'{"order": "seal-17", "state": "booked"}'
_CHUNKS = b'11\r\n' + _BODY[:17] + b'\r\n16\r\n' + _BODY[17:] + b'\r\n0\r\n\r\n'
_STATUS = b'HTTP/1.1 200 OK\r\n'
_FIELDS = b'Attempt-Id: a1\r\nServer-Stamp: s.7\r\nCache-Control: no-store\r\n'
_LENGTH_HEAD = b'%s%sContent-Length: %d\r\n\r\n' % (
    _STATUS,
    _FIELDS,
    len(_BODY),
)
_CHUNKED_HEAD = _STATUS + _FIELDS + b'Transfer-Encoding: chunked\r\n\r\n'
_RESPONSES = [(_LENGTH_HEAD, _BODY), (_CHUNKED_HEAD, _CHUNKS)]
_NAMES = ['length', 'chunked']


class Parsed(NamedTuple):
    """A response that was accepted as complete."""

    status: int
    headers: list[tuple[str, str]]
    body: bytes


def _serve(raw: bytes) -> str:
    """Answer one connection with bytes, and return the address."""
    listener = socket.create_server(('127.0.0.1', 0))

    def answer() -> None:
        with listener, suppress(OSError):
            conn, _ = listener.accept()
            with conn:
                conn.settimeout(_TIMEOUT_S)
                conn.recv(65536)
                conn.sendall(raw)
                conn.shutdown(socket.SHUT_WR)
                conn.recv(65536)

    threading.Thread(target=answer, daemon=True).start()
    host, port = listener.getsockname()
    return f'{host}:{port}'


def _read_at_gateway(raw: bytes) -> Parsed | None:
    conn = EndpointConnection(_serve(raw))
    conn.connect()
    with suppress(ApricotcartError, FramingError):
        return _exchange(conn)
    return None


def _exchange(conn: EndpointConnection) -> Parsed | None:
    message = ForwardedRequest(method='GET', target='/', headers=[], body=b'')
    with closing(conn):
        conn.send_request(message, [('Host', 'h')], _TIMEOUT_S)
        response = conn.read_response(_TIMEOUT_S)
        Framing.of_response(response)
        body = b''
        while chunk := read_available(response):
            body += chunk
        if response.length:
            return None
        return Parsed(response.status, response.getheaders(), body)


def _read_at_entry(raw: bytes) -> Parsed | None:
    errors = (urllib3.exceptions.HTTPError, OSError, FramingError)
    with strict_pools() as pools, suppress(*errors):
        response = pools.request(
            'GET', f'http://{_serve(raw)}/', timeout=_TIMEOUT_S
        )
        headers = list(response.headers.items())
        return Parsed(response.status, headers, response.data)
    return None


def _read_by_h11(raw: bytes) -> Parsed | None:
    """Read a response with another parser of the same grammar."""
    conn = h11.Connection(h11.CLIENT)
    conn.send(h11.Request(method='GET', target='/', headers=[('Host', 'h')]))
    conn.send(h11.EndOfMessage())
    conn.receive_data(raw)
    conn.receive_data(b'')
    with suppress(h11.RemoteProtocolError):
        return _final_response(list(_events(conn)))
    return None


def _events(conn: h11.Connection) -> Iterator[h11.Event]:
    while True:
        event = conn.next_event()
        if not isinstance(event, h11.Event):
            return
        yield event
        if isinstance(event, (h11.EndOfMessage, h11.ConnectionClosed)):
            return


def _final_response(events: list[h11.Event]) -> Parsed | None:
    if not isinstance(events[-1], h11.EndOfMessage):
        return None
    response = next(
        event for event in events if isinstance(event, h11.Response)
    )
    headers = [
        (name.decode(), text.decode('latin-1'))
        for name, text in response.headers
    ]
    parts = [event.data for event in events if isinstance(event, h11.Data)]
    return Parsed(response.status_code, headers, b''.join(parts))


Read = Callable[[bytes], Parsed | None]
_READERS = [_read_at_gateway, _read_at_entry]
_READER_NAMES = ['gateway', 'entry']


@pytest.mark.parametrize('read', _READERS, ids=_READER_NAMES)
@pytest.mark.parametrize(('head', 'body'), _RESPONSES, ids=_NAMES)
def test_sound_response_is_read(read: Read, head: bytes, body: bytes) -> None:
    parsed = read(head + body)
    assert parsed is not None
    assert parsed.status == 200
    assert parsed.body == _BODY


_DAMAGED_FIELDS = {
    'no-colon': b'Cache-Control no-store\r\n',
    'space-before-colon': b'Cache-Control : no-store\r\n',
    'no-name': b': no-store\r\n',
    'continuation': b' Cache-Control: no-store\r\n',
    'bare-return': b'Cache-Control: no\rstore\r\n',
    'null': b'Cache-Control: no\x00store\r\n',
    'control': b'Cache-Control: no\x0bstore\r\n',
    'name-with-space': b'Cache Control: no-store\r\n',
    'envelope': b'From a@b Sat Dec  5\r\n',
}


@pytest.mark.parametrize('read', _READERS, ids=_READER_NAMES)
@pytest.mark.parametrize('field', _DAMAGED_FIELDS.values(), ids=_DAMAGED_FIELDS)
@pytest.mark.parametrize('place', ['before', 'after'])
@pytest.mark.parametrize(('head', 'body'), _RESPONSES, ids=_NAMES)
def test_damaged_field_line_is_no_success(
    read: Read, field: bytes, place: str, head: bytes, body: bytes
) -> None:
    """Half of the body and a field line that the library would skip."""
    if place == 'before':
        damaged = head.replace(_STATUS, _STATUS + field)
    else:
        damaged = head[:-2] + field + b'\r\n'
    assert read(damaged + body) is None
    assert read(damaged + body[: len(body) // 2]) is None


_DAMAGED_STATUS_LINES = {
    'no-version': b'200 OK\r\n',
    'other-major': b'HTTP/2.0 200 OK\r\n',
    'long-status': b'HTTP/1.1 2000 OK\r\n',
    'zero': b'HTTP/1.1 000 OK\r\n',
    'one-digit': b'HTTP/1.1 0 OK\r\n',
    'two-digits': b'HTTP/1.1 99 OK\r\n',
    'exponent': b'HTTP/1.1 1e2 OK\r\n',
    'no-class': b'HTTP/1.1 600 OK\r\n',
    'largest': b'HTTP/1.1 999 OK\r\n',
    'sign': b'HTTP/1.1 +20 OK\r\n',
    'two-spaces': b'HTTP/1.1  200 OK\r\n',
    'control': b'HTTP/1.1 200 O\x00K\r\n',
    'lowercase': b'http/1.1 200 OK\r\n',
}


@pytest.mark.parametrize('read', _READERS, ids=_READER_NAMES)
@pytest.mark.parametrize(
    'line', _DAMAGED_STATUS_LINES.values(), ids=_DAMAGED_STATUS_LINES
)
def test_damaged_status_line_is_no_success(read: Read, line: bytes) -> None:
    damaged = _LENGTH_HEAD.replace(_STATUS, line)
    assert read(damaged + _BODY) is None


@pytest.mark.parametrize('read', _READERS, ids=_READER_NAMES)
def test_damaged_interim_response_is_no_success(read: Read) -> None:
    interim = b'HTTP/1.1 103 Early Hints\r\nLink x\r\n\r\n'
    assert read(interim + _LENGTH_HEAD + _BODY) is None


@pytest.mark.parametrize('read', _READERS, ids=_READER_NAMES)
def test_damaged_trailer_is_no_success(read: Read) -> None:
    chunks = _CHUNKS[:-2] + b'Checksum 17\r\n\r\n'
    assert read(_CHUNKED_HEAD + chunks) is None


class Edit(NamedTuple):
    """A damaged byte in the head of a response."""

    response: tuple[bytes, bytes]
    kind: str
    # Share of the head that is before the byte.
    place: float
    byte: int
    is_cut: bool

    def apply(self) -> bytes:
        """Return the damaged response."""
        head, body = self.response
        at = int(self.place * len(head))
        inserted = b'' if self.kind == 'drop' else bytes([self.byte])
        rest = head[at:] if self.kind == 'add' else head[at + 1 :]
        if self.is_cut:
            body = body[: len(body) // 2]
        return head[:at] + inserted + rest + body


_edits = st.builds(
    Edit,
    st.sampled_from(_RESPONSES),
    st.sampled_from(['change', 'drop', 'add']),
    st.floats(0, 1, exclude_max=True),
    st.integers(0, 255),
    st.booleans(),
)


@pytest.mark.parametrize('read', _READERS, ids=_READER_NAMES)
@given(edit=_edits)
def test_head_with_one_damaged_byte_is_read_exactly_or_not_at_all(
    read: Read, edit: Edit
) -> None:
    """Compares with another parser: what that rejects is no success.

    One byte can turn a head into another valid one; then both agree on it.
    """
    raw = edit.apply()
    parsed = read(raw)
    if parsed is None:
        return
    expected = _read_by_h11(raw)
    assert expected is not None
    assert parsed.status == expected.status
    assert parsed.body == expected.body
    fields = [(name.lower(), text) for name, text in parsed.headers]
    assert sorted(fields) == sorted(expected.headers)

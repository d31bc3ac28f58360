"""Guards against broken responses that look complete at the caller's socket."""

from __future__ import annotations

import itertools
import socket
import struct
from collections.abc import Iterator

import pytest
from gateway.conftest import Bench
from gateway.endpoints import (
    LAST_CHUNK,
    ReceivedRequest,
    Script,
    chunk,
    event,
    stream_head,
)
from gateway.served_gateway import Received, ServedGateway

_EVENTS = [event(number) for number in range(1, 5)]
_ALL = b''.join(_EVENTS)
_FRAMINGS = ('length', 'chunked', 'none')
_PLACES = ('head', 'no-event', 'event', 'delimiter', 'between', 'last')
_ENDINGS = ('fin', 'rst', 'silence')
_WAIT_MS = 2000
# Deadline of requests whose endpoint falls silent.
_SHORT_WAIT_MS = 300
_RESET_ON_CLOSE = struct.pack('ii', 1, 0)


@pytest.fixture
def gateway(bench: Bench) -> Iterator[ServedGateway]:
    """Return a gateway that serves callers on loopback."""
    served = ServedGateway(bench)
    yield served
    served.stop()


def _head(request: ReceivedRequest, *fields: str) -> bytes:
    lines = [
        'HTTP/1.1 200 OK',
        f'Attempt-Id: {request.attempt_id}',
        'Server-Stamp: s',
        *fields,
    ]
    return '\r\n'.join([*lines, '', '']).encode('latin-1')


class BrokenStream:
    """A stream of events whose endpoint fails at a given place."""

    def __init__(self, framing: str, place: str, ending: str) -> None:
        self.framing = framing
        self.place = place
        self.ending = ending

    @property
    def is_complete(self) -> bool:
        """Whether HTTP and the rule on events take it as complete."""
        if self.framing == 'length':
            return self.place == 'last'
        if self.framing == 'chunked':
            return False
        return self.ending == 'fin' and self.place in {'between', 'last'}

    def send(
        self,
        conn: socket.socket,
        request: ReceivedRequest,
        events: list[bytes],
    ) -> bool:
        head = _head(
            request, 'Content-Type: text/event-stream', *self._fields(events)
        )
        if self.place == 'head':
            conn.sendall(head[:-10])
        else:
            conn.sendall(head)
            for part in self._parts(events):
                conn.sendall(chunk(part) if self.framing == 'chunked' else part)
        return _end(conn, self.ending)

    def sent_events(self, events: list[bytes]) -> list[bytes]:
        """Return the events that are sent completely."""
        if self.place in {'head', 'no-event'}:
            return []
        return events if self.place == 'last' else events[:-2]

    def _parts(self, events: list[bytes]) -> list[bytes]:
        parts = list(self.sent_events(events))
        if self.place == 'event':
            parts.append(events[-2][:7])
        elif self.place == 'delimiter':
            parts.append(events[-2][:-1])
        return parts

    def _fields(self, events: list[bytes]) -> list[str]:
        if self.framing == 'length':
            return [f'Content-Length: {len(b"".join(events))}']
        if self.framing == 'chunked':
            return ['Transfer-Encoding: chunked']
        return []


def _end(conn: socket.socket, ending: str) -> bool:
    if ending == 'rst':
        conn.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _RESET_ON_CLOSE)
    if ending == 'silence':
        conn.recv(1)
    return False


def _resume(conn: socket.socket, request: ReceivedRequest) -> bool:
    begin = int(request.header('last-event-id') or 0)
    conn.sendall(stream_head(request))
    for part in _EVENTS[begin:]:
        conn.sendall(chunk(part))
    conn.sendall(LAST_CHUNK)
    return True


def _first_breaks(broken: BrokenStream) -> Script:
    """Return a script that fails once and then resumes correctly."""
    sent: list[str] = []

    def script(conn: socket.socket, request: ReceivedRequest) -> bool:
        sent.append(request.attempt_id)
        if len(sent) > 1:
            return _resume(conn, request)
        return broken.send(conn, request, _EVENTS)

    return script


def _second_breaks(broken: BrokenStream) -> Script:
    """Return a script that fails after two events, and again when resumed."""

    def script(conn: socket.socket, request: ReceivedRequest) -> bool:
        if request.header('last-event-id') == '1':
            return broken.send(conn, request, _EVENTS[1:])
        conn.sendall(stream_head(request) + chunk(_EVENTS[0]))
        return _end(conn, 'rst')

    return script


def _wait_ms(ending: str) -> int:
    return _SHORT_WAIT_MS if ending == 'silence' else _WAIT_MS


def _require_broken(received: Received, sent_events: list[bytes]) -> None:
    if received.status == 200:
        assert not received.is_complete
        assert b''.join(sent_events).startswith(received.body)
    else:
        assert received.status in {502, 504}


_CASES = [
    BrokenStream(*case)
    for case in itertools.product(_FRAMINGS, _PLACES, _ENDINGS)
]


def _name(case: BrokenStream) -> str:
    return f'{case.framing}-{case.place}-{case.ending}'


@pytest.mark.parametrize('broken', _CASES, ids=_name)
@pytest.mark.parametrize('route', ['stream', 'resumable'])
def test_broken_stream_never_looks_complete(
    bench: Bench, gateway: ServedGateway, broken: BrokenStream, route: str
) -> None:
    script = _first_breaks(broken)
    bench.serve(script, script)
    received = gateway.ask(route, wait_ms=_wait_ms(broken.ending))
    sent_events = broken.sent_events(_EVENTS)
    if broken.is_complete:
        assert received.is_complete
        assert received.body == b''.join(sent_events)
    elif route == 'resumable' and broken.ending != 'silence':
        assert received.is_complete
        assert received.body == _ALL
    else:
        _require_broken(received, sent_events)


@pytest.mark.parametrize('broken', _CASES, ids=_name)
def test_stream_that_breaks_again_never_looks_complete(
    bench: Bench, gateway: ServedGateway, broken: BrokenStream
) -> None:
    script = _second_breaks(broken)
    bench.serve(script, script)
    received = gateway.ask('resumable', wait_ms=_wait_ms(broken.ending))
    sent_events = [_EVENTS[0], *broken.sent_events(_EVENTS[1:])]
    if broken.is_complete:
        assert received.is_complete
        assert received.body == b''.join(sent_events)
    else:
        assert received.status == 200
        _require_broken(received, sent_events)


@pytest.mark.parametrize('ending', _ENDINGS)
@pytest.mark.parametrize('framing', _FRAMINGS)
@pytest.mark.parametrize('payload', [b'', b'part'])
def test_broken_body_never_looks_complete(
    bench: Bench,
    gateway: ServedGateway,
    framing: str,
    ending: str,
    payload: bytes,
) -> None:
    fields = {
        'length': ['Content-Length: 9'],
        'chunked': ['Transfer-Encoding: chunked'],
        'none': [],
    }

    def script(conn: socket.socket, request: ReceivedRequest) -> bool:
        conn.sendall(_head(request, *fields[framing]))
        if payload:
            conn.sendall(chunk(payload) if framing == 'chunked' else payload)
        return _end(conn, ending)

    bench.serve(script)
    received = gateway.ask('once', wait_ms=_wait_ms(ending))
    if framing == 'none' and ending == 'fin':
        assert received.is_complete
        assert received.body == payload
    else:
        assert received.status in {502, 504}


_EVENT_STREAM = 'Content-Type: text/event-stream'
_INVALID_FRAMINGS = {
    'lengths-differ': ('Content-Length: 9', 'Content-Length: 90'),
    'length-word': ('Content-Length: nine',),
    'length-sign': ('Content-Length: +9',),
    'length-underscore': ('Content-Length: 9_0',),
    'length-negative': ('Content-Length: -1',),
    'length-superscript': ('Content-Length: \xb2',),
    'gzip': ('Transfer-Encoding: gzip',),
    'gzip-chunked': ('Transfer-Encoding: gzip, chunked',),
    'chunked-twice': (
        'Transfer-Encoding: chunked',
        'Transfer-Encoding: chunked',
    ),
    'chunked-length': ('Transfer-Encoding: chunked', 'Content-Length: 9'),
}


@pytest.mark.parametrize(
    'fields', _INVALID_FRAMINGS.values(), ids=_INVALID_FRAMINGS
)
@pytest.mark.parametrize('route', ['once', 'stream', 'resumable'])
def test_invalid_framing_never_looks_complete(
    bench: Bench, gateway: ServedGateway, fields: tuple[str, ...], route: str
) -> None:
    content_type = [] if route == 'once' else [_EVENT_STREAM]

    def script(conn: socket.socket, request: ReceivedRequest) -> bool:
        if request.header('last-event-id'):
            return False
        body = chunk(_EVENTS[0]) if 'chunked' in fields[0] else _EVENTS[0]
        conn.sendall(_head(request, *content_type, *fields) + body)
        return False

    bench.serve(script, script)
    _require_broken(gateway.ask(route), [_EVENTS[0]])


_INVALID_LAST_CHUNKS = {
    'space': b' 0\r\n\r\n',
    'plus': b'+0\r\n\r\n',
    'minus': b'-0\r\n\r\n',
    'prefix': b'0x0\r\n\r\n',
    'underscore': b'0_0\r\n\r\n',
    'no-trailer': b'0\r\n',
    'no-size': b'\r\n',
}


@pytest.mark.parametrize(
    'last_chunk', _INVALID_LAST_CHUNKS.values(), ids=_INVALID_LAST_CHUNKS
)
@pytest.mark.parametrize('route', ['once', 'stream', 'resumable'])
def test_invalid_last_chunk_never_looks_complete(
    bench: Bench, gateway: ServedGateway, last_chunk: bytes, route: str
) -> None:
    content_type = [] if route == 'once' else [_EVENT_STREAM]

    def script(conn: socket.socket, request: ReceivedRequest) -> bool:
        if request.header('last-event-id'):
            return False
        head = _head(request, *content_type, 'Transfer-Encoding: chunked')
        conn.sendall(head + chunk(_EVENTS[0]) + last_chunk)
        return False

    bench.serve(script, script)
    _require_broken(gateway.ask(route), [_EVENTS[0]])


@pytest.mark.parametrize('route', ['once', 'stream', 'resumable'])
def test_chunk_that_exceeds_its_size_never_looks_complete(
    bench: Bench, gateway: ServedGateway, route: str
) -> None:
    content_type = [] if route == 'once' else [_EVENT_STREAM]

    def script(conn: socket.socket, request: ReceivedRequest) -> bool:
        if request.header('last-event-id'):
            return False
        head = _head(request, *content_type, 'Transfer-Encoding: chunked')
        conn.sendall(head + b'%x\r\n' % len(_EVENTS[0]) + _EVENTS[0] + b'xx')
        conn.sendall(LAST_CHUNK)
        return False

    bench.serve(script, script)
    _require_broken(gateway.ask(route), [_EVENTS[0]])


@pytest.mark.parametrize(
    'content_type',
    [
        '',
        'Text/Event-Stream',
        'text/event-stream;charset=utf-8',
        'application/octet-stream',
    ],
    ids=['none', 'other-case', 'parameter', 'other-type'],
)
@pytest.mark.parametrize('route', ['stream', 'resumable'])
@pytest.mark.parametrize('place', ['event', 'delimiter'])
def test_stream_of_any_content_type_never_looks_complete(
    bench: Bench,
    gateway: ServedGateway,
    content_type: str,
    route: str,
    place: str,
) -> None:
    partial = _EVENTS[2][:7] if place == 'event' else _EVENTS[2][:-1]
    fields = [f'Content-Type: {content_type}'] if content_type else []

    def script(conn: socket.socket, request: ReceivedRequest) -> bool:
        if request.header('last-event-id'):
            return _resume(conn, request)
        conn.sendall(_head(request, *fields) + _EVENTS[0] + _EVENTS[1])
        conn.sendall(partial)
        return False

    bench.serve(script, script)
    received = gateway.ask(route)
    if route == 'resumable':
        assert received.is_complete
        assert received.body == _ALL
    else:
        _require_broken(received, _EVENTS[:2])


@pytest.mark.parametrize('ending', ['fin', 'rst'])
@pytest.mark.parametrize('framing', _FRAMINGS)
def test_broken_stream_is_reset_for_callers_without_chunks(
    bench: Bench, gateway: ServedGateway, framing: str, ending: str
) -> None:
    """Guards against broken streams that HTTP/1.0 callers take as complete."""
    broken = BrokenStream(framing, 'event', ending)
    bench.serve(_first_breaks(broken))
    received = gateway.ask('stream', http='1.0')
    _require_broken(received, _EVENTS[:2])


@pytest.mark.parametrize(
    'status', ['103 Hints', '102 Busy'], ids=['103', '102']
)
@pytest.mark.parametrize('route', ['once', 'stream'])
def test_interim_response_is_not_the_response(
    bench: Bench, gateway: ServedGateway, status: str, route: str
) -> None:
    content_type = [] if route == 'once' else [_EVENT_STREAM]

    def script(conn: socket.socket, request: ReceivedRequest) -> bool:
        interim = _head(request).replace(b'200 OK', status.encode())
        length = f'Content-Length: {len(_ALL)}'
        conn.sendall(interim + _head(request, *content_type, length) + _ALL)
        return True

    bench.serve(script)
    received = gateway.ask(route)
    assert received.status == 200
    assert received.is_complete
    assert received.body == _ALL


def test_repeated_equal_length_is_one_length(
    bench: Bench, gateway: ServedGateway
) -> None:
    length = f'Content-Length: {len(_ALL)}'

    def script(conn: socket.socket, request: ReceivedRequest) -> bool:
        conn.sendall(_head(request, length, length) + _ALL)
        return True

    bench.serve(script)
    received = gateway.ask('once')
    assert received.is_complete
    assert received.body == _ALL

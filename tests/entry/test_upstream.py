"""Tests of calls to endpoints that fail, over real sockets."""

from __future__ import annotations

import socket
import threading
from collections.abc import Callable, Iterator

import pytest
from entry.fakes import (
    Received,
    SocketEndpoint,
    cut_reply,
    hang_up,
    reply,
    stay_silent,
)

from apricotcart.entry.errors import (
    EndpointCrashedError,
    EndpointTimeoutError,
    EndpointUnreachableError,
    MismatchedAnswerError,
)
from apricotcart.entry.upstream import Upstream, UpstreamCall
from apricotcart.errors.tree import MAY_HAVE_RUN, NOT_RUN

Start = Callable[..., SocketEndpoint]
MAX_BYTES = 1000


@pytest.fixture
def upstream() -> Upstream:
    """Return a client for endpoints."""
    return Upstream(2)


def _call(url: str, timeout_s: float = 30) -> UpstreamCall:
    return UpstreamCall(
        method='POST',
        url=f'{url}/x',
        headers={'X-Request-Id': 'r1'},
        body=b'{}',
        request_id='r1',
        read_timeout_s=timeout_s,
    )


@pytest.mark.parametrize('fresh', [True, False])
def test_send_never_resends(
    upstream: Upstream,
    endpoint: Start,
    fresh: bool,
) -> None:
    """Guards against an HTTP library that resends requests by itself."""
    server = endpoint(hang_up)
    with pytest.raises(EndpointCrashedError) as caught:
        upstream.send(_call(server.url), fresh=fresh)
    assert caught.value.run_state == MAY_HAVE_RUN
    assert server.connections == 1
    assert len(server.received) == 1


def test_refused_connection_is_not_run(
    upstream: Upstream,
    unused_tcp_port: int,
) -> None:
    """Guards against `may_have_run` for a request that was never sent."""
    with pytest.raises(EndpointUnreachableError) as caught:
        upstream.send(_call(f'http://127.0.0.1:{unused_tcp_port}'))
    assert caught.value.run_state == NOT_RUN


def test_silence_is_a_timeout(upstream: Upstream, endpoint: Start) -> None:
    """Guards against `not_run` for a request that an endpoint received."""
    with pytest.raises(EndpointTimeoutError) as caught:
        upstream.send(_call(endpoint(stay_silent).url, 0.1))
    assert caught.value.run_state == MAY_HAVE_RUN


def test_redirect_is_not_followed(upstream: Upstream, endpoint: Start) -> None:
    """Guards against an endpoint that redirects a request elsewhere."""
    other = endpoint(reply(b'{}'))

    def redirect(conn: socket.socket, request: Received) -> None:
        head = f'HTTP/1.1 307 X\r\nLocation: {other.url}/\r\n'
        conn.sendall(f'{head}Content-Length: 0\r\n\r\n'.encode())

    answer = upstream.send(_call(endpoint(redirect).url))
    assert answer.status == 307
    assert not other.connections


def test_answer_of_other_request(upstream: Upstream, endpoint: Start) -> None:
    """Guards against a swapped answer, and against reuse of its connection."""
    server = endpoint(reply(b'{}', request_id='r2'), reply(b'{}'))
    with pytest.raises(MismatchedAnswerError):
        upstream.send(_call(server.url))
    assert upstream.send(_call(server.url)).read(MAX_BYTES) == b'{}'
    assert server.connections == 2


def test_truncated_body_is_a_crash(upstream: Upstream, endpoint: Start) -> None:
    """Guards against a truncated body that is accepted as complete."""
    answer = upstream.send(_call(endpoint(cut_reply).url))
    with pytest.raises(EndpointCrashedError):
        answer.read(MAX_BYTES)


def test_body_too_large(upstream: Upstream, endpoint: Start) -> None:
    """Guards against unbounded memory use for an answer."""
    answer = upstream.send(_call(endpoint(reply(b'x' * 20)).url))
    with pytest.raises(EndpointCrashedError):
        answer.read(10)


def test_aborted_body_is_not_complete(
    upstream: Upstream,
    endpoint: Start,
) -> None:
    """Guards against a body that is accepted as complete after an abort."""

    def without_length(conn: socket.socket, request: Received) -> None:
        conn.sendall(b'HTTP/1.1 200 OK\r\nConnection: close\r\n\r\nhalf')

    answer = upstream.send(_call(endpoint(without_length).url))
    chunks: Iterator[bytes] = answer.chunks()
    assert next(chunks) == b'half'
    threading.Thread(target=answer.abort).start()
    with pytest.raises(EndpointCrashedError):
        next(chunks)


def test_unread_connection_is_not_reused(
    upstream: Upstream,
    endpoint: Start,
) -> None:
    """Guards against a connection returned to its pool with unread bytes."""
    server = endpoint(reply(b'{}'))
    answer = upstream.send(_call(server.url))
    answer.release()
    again = upstream.send(_call(server.url))
    assert again.read(MAX_BYTES) == b'{}'
    again.release()
    upstream.send(_call(server.url)).close()
    assert server.connections == 2


_HEAD = b'HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\n'


@pytest.mark.parametrize(
    'head',
    [
        b'HTTP/1.1 200 OK\r\n',
        _HEAD,
        _HEAD + b'Content-Len',
        _HEAD + b'Content-Length: 4',
        _HEAD + b'Content-Length: 4\r\n',
    ],
)
@pytest.mark.parametrize('fresh', [True, False])
def test_head_that_is_cut_off_is_no_response(
    upstream: Upstream, endpoint: Start, head: bytes, fresh: bool
) -> None:
    """Guards against a 200 with an empty body that looks complete."""

    def cut_head(conn: socket.socket, request: Received) -> None:
        conn.sendall(head)
        conn.shutdown(socket.SHUT_RDWR)

    with pytest.raises(EndpointCrashedError):
        upstream.send(_call(endpoint(cut_head).url), fresh=fresh)


@pytest.mark.parametrize(
    'body',
    [
        b'0x0\r\n\r\n',
        b'-0\r\n\r\n',
        b'2\r\nokk\r\n0\r\n\r\n',
        b'2\r\nok\r\n',
        b'2\r\nok\r\n0',
    ],
)
def test_broken_chunks_do_not_look_complete(
    upstream: Upstream, endpoint: Start, body: bytes
) -> None:
    """Guards against sizes that the HTTP library misreads."""

    def send_chunks(conn: socket.socket, request: Received) -> None:
        conn.sendall(_HEAD + b'Transfer-Encoding: chunked\r\n\r\n' + body)
        conn.shutdown(socket.SHUT_RDWR)

    answer = upstream.send(_call(endpoint(send_chunks).url))
    with pytest.raises(EndpointCrashedError):
        answer.read(MAX_BYTES)


@pytest.mark.parametrize(
    'fields',
    [
        b'Content-Length: 2\r\nContent-Length: 3\r\n',
        b'Content-Length: 2x\r\n',
        b'Content-Length: 2\r\nTransfer-Encoding: chunked\r\n',
        b'Transfer-Encoding: gzip\r\n',
    ],
)
def test_ambiguous_framing_is_no_response(
    upstream: Upstream, endpoint: Start, fields: bytes
) -> None:
    """Guards against a body that ends where nobody meant it to."""

    def send_head(conn: socket.socket, request: Received) -> None:
        conn.sendall(_HEAD + fields + b'\r\nok')
        conn.shutdown(socket.SHUT_RDWR)

    with pytest.raises(EndpointCrashedError):
        upstream.send(_call(endpoint(send_head).url))

"""Guards against requests that an endpoint has asked not to get."""

from __future__ import annotations

import contextlib
import socket

import pytest
from gateway.conftest import Bench
from gateway.endpoints import (
    LAST_CHUNK,
    ReceivedRequest,
    chunk,
    event,
    respond_with,
    response_bytes,
    stream_head,
)

from apricotcart.desired.records import RouteKind
from apricotcart.errors.tree import ApricotcartError

_REQUESTS = 30


def _ask(bench: Bench, kind: RouteKind = RouteKind.ONCE) -> int:
    try:
        response = bench.forwarder.forward(bench.call(kind))
    except ApricotcartError as exc:
        return exc.http_status
    with contextlib.suppress(ApricotcartError):
        b''.join(response.chunks)
    return response.status


@pytest.mark.parametrize('kind', [RouteKind.ONCE, RouteKind.IDEMPOTENT])
def test_endpoint_that_says_it_leaves_gets_no_more_requests(
    bench: Bench, kind: RouteKind
) -> None:
    """The list shows it later, or not at all while the platform is down."""
    leaving, staying = bench.serve(
        respond_with(Server_Leaving='1'), respond_with()
    )
    statuses = {_ask(bench, kind) for _ in range(_REQUESTS)}
    assert statuses == {200}
    assert len(leaving.received) <= 1
    assert len(staying.received) >= _REQUESTS - 1


def test_endpoint_that_leaves_stays_away_when_the_list_still_has_it(
    bench: Bench,
) -> None:
    """Guards against a list that lags behind the endpoint's own word."""
    leaving, _ = bench.serve(respond_with(Server_Leaving='1'), respond_with())
    for _ in range(_REQUESTS):
        _ask(bench)
        bench.drain('')
    assert len(leaving.received) <= 1


def test_last_endpoint_that_leaves_gets_no_more_requests(bench: Bench) -> None:
    """Callers are refused before anything has run."""
    leaving = bench.serve(respond_with(Server_Leaving='1'))[0]
    statuses = [_ask(bench) for _ in range(3)]
    assert statuses == [200, 503, 503]
    assert len(leaving.received) == 1


def test_stream_of_an_endpoint_that_leaves_ends_in_peace(bench: Bench) -> None:
    """Guards against streams that are moved without need."""

    def stream(conn: socket.socket, request: ReceivedRequest) -> bool:
        head = stream_head(request)
        conn.sendall(
            head.replace(b'\r\n\r\n', b'\r\nServer-Leaving: 1\r\n\r\n')
        )
        for number in range(1, 4):
            conn.sendall(chunk(event(number)))
        conn.sendall(LAST_CHUNK)
        return True

    bench.serve(stream, stream)
    response = bench.forwarder.forward(bench.call(RouteKind.STREAM))
    assert b''.join(response.chunks).count(b'data:') == 3
    assert sum(len(endpoint.received) for endpoint in bench.endpoints) == 1


def test_refusal_can_say_that_the_endpoint_leaves(bench: Bench) -> None:
    """Guards against a word that only counts in successful responses."""

    def refuse(conn: socket.socket, request: ReceivedRequest) -> bool:
        conn.sendall(
            response_bytes(
                request,
                b'',
                '503 Service Unavailable',
                Not_Executed='1',
                Server_Leaving='1',
            )
        )
        return True

    leaving, _ = bench.serve(refuse, respond_with())
    assert {_ask(bench) for _ in range(_REQUESTS)} == {200}
    assert len(leaving.received) <= 1

"""Guards against requests that an endpoint has asked not to get."""

from __future__ import annotations

import contextlib
import socket
import time

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
from apricotcart.errors.tree import NOT_RUN, ApricotcartError

_REQUESTS = 30
_PAUSE_S = 2.5
_INTERVAL_S = 0.05
# Requests that may arrive between half a second after the word and its end.
_DURING_PAUSE_MAX = 2
_GRACE_S = 0.5


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


class PausingEndpoint:
    """Turns requests away with 503 and asks for a pause."""

    def __init__(self, **fields: str) -> None:
        self._fields = fields
        self.arrivals: list[float] = []

    def __call__(self, conn: socket.socket, request: ReceivedRequest) -> bool:
        self.arrivals.append(time.monotonic())
        conn.sendall(
            response_bytes(
                request, b'', '503 Service Unavailable', **self._fields
            )
        )
        return True

    def during_pause(self) -> int:
        told_at = self.arrivals[0]
        return sum(
            told_at + _GRACE_S < at < told_at + _PAUSE_S for at in self.arrivals
        )


def _ask_for(bench: Bench, seconds: float) -> list[int]:
    statuses = []
    end = time.monotonic() + seconds
    while time.monotonic() < end:
        statuses.append(_ask(bench, RouteKind.IDEMPOTENT))
        time.sleep(_INTERVAL_S)
    return statuses


@pytest.mark.parametrize(
    'fields',
    [
        {'Not_Executed': '1', 'Retry_After': str(_PAUSE_S)},
        {'Retry_After': str(_PAUSE_S)},
    ],
)
def test_endpoint_that_asks_for_a_pause_gets_no_requests(
    bench: Bench, fields: dict[str, str]
) -> None:
    """Also when it is the only one left."""
    endpoint = PausingEndpoint(**fields)
    bench.serve(endpoint)
    _ask_for(bench, _PAUSE_S)
    assert endpoint.during_pause() <= _DURING_PAUSE_MAX


def test_other_endpoints_serve_during_a_pause(bench: Bench) -> None:
    endpoint = PausingEndpoint(Not_Executed='1', Retry_After=str(_PAUSE_S))
    bench.serve(endpoint, respond_with())
    assert set(_ask_for(bench, _PAUSE_S)) == {200}
    assert endpoint.during_pause() <= _DURING_PAUSE_MAX


def test_callers_are_refused_early_with_the_time_that_is_left(
    bench: Bench,
) -> None:
    """Guards against callers that are held, or come back too early."""
    bench.serve(PausingEndpoint(Not_Executed='1', Retry_After=str(_PAUSE_S)))
    _ask(bench)
    asked_at = time.monotonic()
    with pytest.raises(ApricotcartError) as caught:
        bench.forwarder.forward(bench.call())
    assert time.monotonic() - asked_at < _GRACE_S
    assert caught.value.run_state == NOT_RUN
    retry_after_s = caught.value.retry_after_s or 0
    assert _PAUSE_S - 2 * _GRACE_S < retry_after_s <= _PAUSE_S

"""Guards against sound endpoints that are given up when they fall silent.

A sound endpoint may neither read nor write for a second or so and go on.
"""

from __future__ import annotations

import socket
import threading
import time
from collections.abc import Callable, Iterator
from contextlib import suppress
from typing import Final

import pytest
from gateway.conftest import Bench
from gateway.endpoints import (
    LAST_CHUNK,
    RawEndpoint,
    ReceivedRequest,
    chunk,
    event,
    response_bytes,
    stream_head,
)
from gateway.served_gateway import ServedGateway

from apricotcart.desired.records import RouteKind
from apricotcart.errors.tree import ApricotcartError

_SILENCE_S: Final = 1.3
_EVENTS: Final = 8
_EVENT_INTERVAL_S: Final = 0.05
# Time after a silence within which an endpoint is to be chosen again.
_CHOSEN_WITHIN_S: Final = 1.0
# Longest penalty after connections that failed in one silence.
_PENALTY_S: Final = 2.5
_REQUESTS_IN_SILENCE: Final = 6


class PausableEndpoint:
    """Answers requests; while it is silent, it writes nothing."""

    def __init__(self) -> None:
        self._goes_on = threading.Event()
        self._goes_on.set()
        self.attempts: list[str] = []
        self.answered_at: list[float] = []

    def fall_silent(self) -> None:
        self._goes_on.clear()

    def go_on(self) -> None:
        self._goes_on.set()

    def __call__(self, conn: socket.socket, request: ReceivedRequest) -> bool:
        self.attempts.append(request.attempt_id)
        self._goes_on.wait()
        if b'/stream/' in request.head or b'/resumable/' in request.head:
            self._stream(conn, request)
        else:
            conn.sendall(response_bytes(request))
        self.answered_at.append(time.monotonic())
        return True

    def _stream(self, conn: socket.socket, request: ReceivedRequest) -> None:
        conn.sendall(stream_head(request))
        for number in range(_EVENTS):
            self._goes_on.wait()
            conn.sendall(chunk(event(number)))
            time.sleep(_EVENT_INTERVAL_S)
        conn.sendall(LAST_CHUNK)


class Pair:
    """A gateway before two endpoints, of which one falls silent."""

    def __init__(self, bench: Bench) -> None:
        self.bench = bench
        self.endpoint = PausableEndpoint()
        self.other = PausableEndpoint()

    def only(self) -> None:
        self.bench.serve(self.endpoint)

    def both(self) -> None:
        self.bench.serve(self.endpoint, self.other)

    def ask(self) -> int:
        try:
            call = self.bench.call(wait_s=5)
            return self.bench.forwarder.forward(call).status
        except ApricotcartError as exc:
            return exc.http_status

    def assert_not_blamed(self) -> None:
        """Check that no failure of the endpoint was recorded."""
        assert not self.bench.sender.quarantine.reports()
        assert not any(
            counts.failures
            for counts in self.bench.dispatcher.load_report().outcomes.values()
        )
        assert not any(
            endpoint.has_failed for endpoint in self.bench.placement.endpoints()
        )


@pytest.fixture
def pair(bench: Bench) -> Iterator[Pair]:
    created = Pair(bench)
    yield created
    created.endpoint.go_on()


def _in_background(action: Callable[[], object]) -> threading.Thread:
    thread = threading.Thread(target=action)
    thread.start()
    return thread


@pytest.mark.parametrize('route', ['stream', 'resumable'])
def test_running_stream_goes_on_after_a_silence(pair: Pair, route: str) -> None:
    pair.only()
    gateway = ServedGateway(pair.bench)
    received = []
    thread = _in_background(
        lambda: received.append(gateway.ask(route, wait_ms=5000))
    )
    time.sleep(3 * _EVENT_INTERVAL_S)
    pair.endpoint.fall_silent()
    time.sleep(_SILENCE_S)
    pair.endpoint.go_on()
    thread.join()
    gateway.stop()
    assert received[0].is_complete
    assert received[0].body.count(b'id: ') == _EVENTS
    assert len(pair.endpoint.attempts) == 1
    pair.assert_not_blamed()


@pytest.mark.parametrize('kind', [RouteKind.ONCE, RouteKind.IDEMPOTENT])
def test_request_in_a_silence_is_answered_after_it(
    pair: Pair, kind: RouteKind
) -> None:
    pair.only()
    pair.endpoint.fall_silent()
    threading.Timer(_SILENCE_S, pair.endpoint.go_on).start()
    call = pair.bench.call(kind, wait_s=5)
    assert pair.bench.forwarder.forward(call).status == 200
    assert len(pair.endpoint.attempts) == 1
    pair.assert_not_blamed()


def test_others_are_preferred_in_a_silence_and_not_after_it(
    pair: Pair,
) -> None:
    pair.both()
    assert {pair.ask() for _ in range(6)} == {200}
    pair.endpoint.fall_silent()
    before = len(pair.endpoint.attempts)
    # Nothing tells the first request there that the endpoint is silent.
    waiting = []
    while len(pair.endpoint.attempts) == before:
        waiting.append(_in_background(pair.ask))
        time.sleep(0.02)
    before = len(pair.endpoint.attempts)
    end = time.monotonic() + _SILENCE_S
    statuses = []
    while time.monotonic() < end:
        statuses.append(pair.ask())
        time.sleep(0.01)
    assert set(statuses) == {200}
    assert len(pair.endpoint.attempts) == before
    pair.endpoint.go_on()
    for thread in waiting:
        thread.join()
    before = len(pair.endpoint.attempts)
    end = time.monotonic() + _CHOSEN_WITHIN_S
    while time.monotonic() < end:
        threads = [_in_background(pair.ask) for _ in range(4)]
        for thread in threads:
            thread.join()
    assert len(pair.endpoint.attempts) > before
    pair.assert_not_blamed()


class DeafEndpoint(RawEndpoint):
    """Its kernel ignores new connections: the backlog is full."""

    def __init__(self, script: PausableEndpoint) -> None:
        self.script = script
        self.received = []
        self.closed_at = []
        self._listener = socket.create_server(('127.0.0.1', 0), backlog=0)
        self.address = '127.0.0.1:{}'.format(self._listener.getsockname()[1])
        self._fill: list[socket.socket] = []
        for _ in range(4):
            filler = socket.socket()
            filler.setblocking(False)
            with suppress(BlockingIOError):
                filler.connect(self._listener.getsockname())
            self._fill.append(filler)

    def go_on(self) -> None:
        for filler in self._fill:
            filler.close()
        threading.Thread(target=self._accept, daemon=True).start()


def test_connections_that_fail_in_a_silence_count_once(bench: Bench) -> None:
    """Each of them would make the penalty longer, up to 8 s."""
    script = PausableEndpoint()
    other = PausableEndpoint()
    bench.serve(script, other)
    bench.endpoints[0].close()
    deaf = DeafEndpoint(script)
    bench.endpoints[0] = deaf
    bench.drain('')
    pair = Pair(bench)
    threads = [
        _in_background(pair.ask) for _ in range(2 * _REQUESTS_IN_SILENCE)
    ]
    for thread in threads:
        thread.join()
    deaf.go_on()
    now = time.monotonic()
    penalties = [
        endpoint.penalty_until for endpoint in bench.placement.endpoints()
    ]
    assert bench.placement.endpoints()[0].has_failed
    assert max(penalties) < now + _PENALTY_S

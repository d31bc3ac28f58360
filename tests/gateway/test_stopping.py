"""Guards against requests that a shutdown accepts and then cuts off."""

from __future__ import annotations

import itertools
import socket
import threading
import time
from collections.abc import Iterator
from concurrent.futures import ThreadPoolExecutor
from typing import Final

import pytest
from gateway.conftest import Bench
from gateway.endpoints import (
    LAST_CHUNK,
    ReceivedRequest,
    chunk,
    event,
    stream_head,
)
from gateway.served_gateway import Received, ServedGateway, read_to_end

from apricotcart.gateway.listener import CallerGateway
from apricotcart.gateway.stop_state import Phase, StopState
from apricotcart.timers.clock import boot_clock_s

# Time to the kill, and times at which requests arrive, from the signal on.
_STOP_S: Final = 8.0
_EARLY_S: Final = 0.5
_LATE_S: Final = 3.4
_TTL_S: Final = 1.0
# Longest times of requests, and what is left when they arrive.
_LONG_S: Final = 15.0
_SHORT_S: Final = 1.0
_LEFT_S: Final = 3.0
# Streams that outlast the stop, and endpoints with four slots each.
_STREAMS: Final = 32
_ENDPOINTS: Final = 10
_EVENTS: Final = 400
_EVENT_INTERVAL_S: Final = 0.05
_ROUTES: Final = ('once', 'idempotent', 'stream')


def test_phases_refuse_what_may_not_end_in_time() -> None:
    """Guards against accepting a request that cannot end before the kill.

    Seen on sailom-fleet, mix --seed 259758087821: a stream accepted 3.97 s
    after SIGTERM was cut off 4 s later.
    """
    stop_state = StopState()
    stop_state.ends_at = boot_clock_s() + _LEFT_S
    assert not stop_state.refuses(_LONG_S)
    stop_state.phase = Phase.LEAVING
    assert not stop_state.refuses(_LONG_S)
    stop_state.phase = Phase.CLOSING
    assert stop_state.refuses(_LONG_S)
    assert not stop_state.refuses(_SHORT_S)
    stop_state.phase = Phase.FINISHING
    assert stop_state.refuses(_SHORT_S)


def _never_answer(conn: socket.socket, request: ReceivedRequest) -> bool:
    return bool(conn.recv(1))


class Stop:
    """A planned stop that runs beside the requests of a test."""

    def __init__(self, gateway: ServedGateway) -> None:
        self._gateway = gateway
        self._thread = threading.Thread(
            target=gateway.finish_requests, args=(_STOP_S, _TTL_S)
        )
        self.responses: dict[str, Received] = {}

    def run(self, delay_s: float, wait_ms: int) -> None:
        """Ask on each route a time after the start, and wait for the end."""
        self._thread.start()
        time.sleep(delay_s)
        callers = [
            threading.Thread(target=self._ask, args=(route, wait_ms))
            for route in _ROUTES
        ]
        for caller in callers:
            caller.start()
        self._thread.join()
        # The process has ended.
        self._gateway.stop()
        for caller in callers:
            caller.join()

    def _ask(self, route: str, wait_ms: int) -> None:
        self.responses[route] = self._gateway.ask(route, wait_ms=wait_ms)


@pytest.fixture
def stop(bench: Bench) -> Iterator[Stop]:
    """Return a stop of a gateway whose endpoints never answer."""
    bench.serve(_never_answer, _never_answer)
    yield Stop(ServedGateway(bench))


def test_late_request_that_may_outlast_the_stop_is_refused(
    bench: Bench, stop: Stop
) -> None:
    """Guards against requests that are passed on and cut at the kill."""
    stop.run(_LATE_S, wait_ms=9000)
    statuses = {response.status for response in stop.responses.values()}
    assert statuses == {503}
    assert not any(endpoint.received for endpoint in bench.endpoints)


def test_late_request_that_ends_in_time_is_accepted(
    bench: Bench, stop: Stop
) -> None:
    """Callers with an old address must not all be refused."""
    stop.run(_LATE_S, wait_ms=1000)
    statuses = {response.status for response in stop.responses.values()}
    assert statuses == {504}
    assert any(endpoint.received for endpoint in bench.endpoints)


def test_request_that_outlasts_the_stop_gets_a_response(
    bench: Bench, stop: Stop
) -> None:
    """Guards against callers whose connection closes without a word."""
    stop.run(_EARLY_S, wait_ms=9500)
    statuses = {response.status for response in stop.responses.values()}
    assert statuses == {502}
    assert all(response.is_complete for response in stop.responses.values())


def test_queued_request_that_outlasts_the_stop_is_not_run(
    bench: Bench, stop: Stop
) -> None:
    """Guards against a 502 for what no endpoint has seen."""
    bench.placement.update_instances([])
    stop.run(_LATE_S, wait_ms=3000)
    statuses = {response.status for response in stop.responses.values()}
    assert statuses == {503}


def _stream(conn: socket.socket, request: ReceivedRequest) -> bool:
    conn.sendall(stream_head(request) + chunk(event(1)) + LAST_CHUNK)
    return True


class HeldGateway(CallerGateway):
    """Holds the thread up after the response is closed.

    The chunk that ends the body is written after that.
    """

    release = threading.Event()

    def respond(self) -> None:
        super().respond()
        self.release.wait(_LONG_S)


def test_stop_waits_until_the_end_of_a_stream_is_written(bench: Bench) -> None:
    """Guards against a stream with all events and no end.

    The request counted as ended when its response was closed, before the
    chunk that ends the body was written. The process then exited beside the
    thread that had to write it.
    """
    bench.serve(_stream, _stream)
    gateway = ServedGateway(bench)
    gateway.server.gateway = HeldGateway
    stopping = threading.Thread(
        target=gateway.finish_requests, args=(_STOP_S, _TTL_S)
    )
    with socket.create_connection(gateway.address, _LONG_S) as conn:
        stopping.start()
        conn.sendall(gateway.request_bytes('stream'))
        stopping.join(_STOP_S * 0.7)
        stopped_early = not stopping.is_alive()
        HeldGateway.release.set()
        received = read_to_end(conn)
    stopping.join()
    gateway.stop()
    assert received.is_complete
    assert not stopped_early


def _stream_without_end(conn: socket.socket, request: ReceivedRequest) -> bool:
    conn.sendall(stream_head(request))
    for number in range(_EVENTS):
        conn.sendall(chunk(event(number)))
        time.sleep(_EVENT_INTERVAL_S)
    return False


@pytest.mark.parametrize('route', ['stream', 'resumable'])
def test_streams_that_outlast_the_stop_are_ended_before_the_exit(
    bench: Bench, route: str
) -> None:
    """Guards against streams that are cut by the exit of the process.

    All of them write their last bytes in the time between the end of the
    requests and the exit, and none may look complete.
    """
    bench.serve(*itertools.repeat(_stream_without_end, _ENDPOINTS))
    gateway = ServedGateway(bench)
    with ThreadPoolExecutor(_STREAMS) as executor:
        streams = [
            executor.submit(gateway.ask, route, wait_ms=9500)
            for _ in range(_STREAMS)
        ]
        time.sleep(_EARLY_S)
        reason = gateway.finish_requests(_STOP_S / 2, _TTL_S)
        still_open = gateway.server.open_connections.snapshot()
        received = [stream.result() for stream in streams]
    gateway.stop()
    assert reason == 'ended'
    assert not still_open
    assert {stream.status for stream in received} == {200}
    assert all(stream.body.endswith(b'\n\n') for stream in received)
    assert not any(stream.is_complete for stream in received)

"""Guards against one request that ends endpoint after endpoint."""

from __future__ import annotations

import contextlib
import socket
import threading
import time
from collections.abc import Iterable
from itertools import repeat
from typing import Any, Final

import pytest
from gateway.conftest import Bench
from gateway.endpoints import RawEndpoint, ReceivedRequest, response_bytes

from apricotcart.coordinator.hosts import GatewayTable
from apricotcart.coordinator.sync_messages import SyncRequest
from apricotcart.desired.records import RouteKind
from apricotcart.errors.tree import ApricotcartError
from apricotcart.timers.clock import boot_clock_s

# Endpoints that may end, and requests that may arrive after the last of them.
_ENDS_MAX: Final = 3
_LATER_ARRIVALS_MAX: Final = 3
_TRIES: Final = 14
_ENDPOINTS: Final = 30
_GUILTY: Final = '/a/guilty'
_CRASH_S: Final = 0.05
_INTERVAL_S: Final = 0.1


class Fleet:
    """Endpoints that end for good on one request, with all connections."""

    def __init__(self, bench: Bench) -> None:
        self._lock = threading.Lock()
        self._conns: dict[int, set[socket.socket]] = {}
        self.arrivals: list[float] = []
        self.endpoints = bench.serve(
            *(self._script(number) for number in range(_ENDPOINTS))
        )

    def _script(self, number: int) -> Any:
        def script(conn: socket.socket, request: ReceivedRequest) -> bool:
            with self._lock:
                self._conns.setdefault(number, set()).add(conn)
            if _GUILTY.encode() in request.head.split(b'\r\n')[0]:
                self.arrivals.append(time.monotonic())
                time.sleep(_CRASH_S)
                self._end(number)
                return False
            time.sleep(0.02)
            conn.sendall(response_bytes(request))
            return True

        return script

    def _end(self, number: int) -> None:
        self.endpoints[number].refuse()
        with self._lock:
            conns = self._conns.pop(number, set())
        for conn in conns:
            with contextlib.suppress(OSError):
                conn.shutdown(socket.SHUT_RDWR)


def _ask(bench: Bench, kind: RouteKind, target: str) -> int:
    """Return the status that the caller of one request gets."""
    call = bench.call(kind, target=target)
    call.message.headers = [
        ('Host', 'h'),
        ('Attempt-Id', call.metadata.attempt_id),
    ]
    try:
        return bench.forwarder.forward(call).status
    except ApricotcartError as exc:
        return exc.http_status


def _sync(benches: Iterable[Bench], table: GatewayTable) -> None:
    """Let each gateway report, and then apply what all have reported."""
    for number, bench in enumerate(benches):
        table.on_sync(_report(number, bench), boot_clock_s())
    for bench in benches:
        bench.sender.quarantine.merge(table.crash_suspects(boot_clock_s()))


def _report(number: int, bench: Bench) -> SyncRequest:
    return SyncRequest(
        host=f'g{number}',
        incarnation=f'g{number}',
        address='',
        zone='a',
        is_serving=True,
        version=1,
        list_mark=0,
        loads={},
        waiting={},
        usage={},
        suspects=bench.sender.quarantine.reports(),
    )


def _gateway_beside(bench: Bench, endpoints: list[RawEndpoint]) -> Bench:
    beside = Bench()
    beside.endpoints = endpoints
    beside.drain('')
    return beside


@pytest.mark.parametrize('kind', [RouteKind.IDEMPOTENT, RouteKind.ONCE])
def test_request_that_ends_endpoints_is_held_back(
    bench: Bench, kind: RouteKind
) -> None:
    """Seen on csft-sealdesk: one lookup ended 25 endpoints."""
    fleet = Fleet(bench)
    for _ in range(_TRIES):
        _ask(bench, kind, _GUILTY)
        time.sleep(_INTERVAL_S)
    assert len(fleet.arrivals) <= _ENDS_MAX + _LATER_ARRIVALS_MAX


def test_gateways_that_each_see_one_try_hold_it_back(bench: Bench) -> None:
    """Callers choose among the gateways at random."""
    fleet = Fleet(bench)
    others = [_gateway_beside(bench, fleet.endpoints) for _ in range(5)]
    gateways = [bench, *others]
    table = GatewayTable()
    for number in range(_TRIES):
        _ask(gateways[number % len(gateways)], RouteKind.ONCE, _GUILTY)
        time.sleep(2 * _INTERVAL_S)
        _sync(gateways, table)
    assert len(fleet.arrivals) <= _ENDS_MAX + _LATER_ARRIVALS_MAX


def test_refused_request_that_ends_endpoints_was_not_sent(bench: Bench) -> None:
    """Guards against a 503 for a try that has reached an endpoint."""
    fleet = Fleet(bench)
    statuses = []
    for _ in range(_TRIES):
        before = len(fleet.arrivals)
        status = _ask(bench, RouteKind.IDEMPOTENT, _GUILTY)
        statuses.append((status, len(fleet.arrivals) > before))
        time.sleep(_INTERVAL_S)
    assert statuses[0] == (502, True)
    assert set(statuses) == {(502, True), (503, False)}


def test_requests_beside_the_guilty_one_are_served(bench: Bench) -> None:
    """Guards against blame for what only shares an endpoint with it."""
    Fleet(bench)
    statuses: list[int] = []

    def ask_sound() -> None:
        for number in range(4 * _TRIES):
            target = '/a/popular' if number % 2 else f'/a/{number}'
            statuses.append(_ask(bench, RouteKind.IDEMPOTENT, target))

    beside = threading.Thread(target=ask_sound)
    beside.start()
    for _ in range(_TRIES):
        _ask(bench, RouteKind.IDEMPOTENT, _GUILTY)
        time.sleep(_INTERVAL_S)
    beside.join()
    assert set(statuses) == {200}


def _send_garbage(conn: socket.socket, request: ReceivedRequest) -> bool:
    conn.sendall(b'no response\r\n\r\n')
    return False


def _send_unstamped(conn: socket.socket, request: ReceivedRequest) -> bool:
    conn.sendall(b'HTTP/1.1 502 Bad Gateway\r\nContent-Length: 0\r\n\r\n')
    return True


def _truncate(conn: socket.socket, request: ReceivedRequest) -> bool:
    conn.sendall(response_bytes(request, b'half', length='400'))
    return False


@pytest.mark.parametrize('spoil', [_send_garbage, _send_unstamped, _truncate])
def test_spoiled_responses_are_no_crashes(bench: Bench, spoil: Any) -> None:
    """Guards against a quarantine of what endpoints survive."""
    endpoints = bench.serve(*repeat(spoil, 4))
    statuses = []
    for _ in range(_TRIES):
        statuses.append(_ask(bench, RouteKind.ONCE, '/a/sound'))
        time.sleep(_INTERVAL_S)
    assert sum(len(endpoint.received) for endpoint in endpoints) == _TRIES
    assert set(statuses) == {502}


def _reset(conn: socket.socket, request: ReceivedRequest) -> bool:
    return False


def test_endpoints_that_still_run_have_not_crashed(bench: Bench) -> None:
    """Guards against blame for connections that are reset."""
    endpoints = bench.serve(*repeat(_reset, 4))
    for _ in range(_TRIES):
        _ask(bench, RouteKind.ONCE, '/a/unlucky')
        time.sleep(_INTERVAL_S)
    assert sum(len(endpoint.received) for endpoint in endpoints) == _TRIES

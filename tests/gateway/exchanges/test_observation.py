"""Guards against connections whose outcome the host does not learn."""

from __future__ import annotations

import socket
from typing import Any

import pytest
from gateway.endpoints import RawEndpoint, ReceivedRequest

from apricotcart.gateway.api import ForwardedRequest
from apricotcart.gateway.errors import (
    ConnectionEndedError,
    SilentEndpointError,
    UnreachableEndpointError,
)
from apricotcart.gateway.exchanges.connection_pool import ConnectionPool
from apricotcart.gateway.exchanges.connections import EndpointConnection
from apricotcart.gateway.reachability.api import ReachObserver
from apricotcart.timers.clock import boot_clock_s

_RESPONSE = b'HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok'


class Observations(ReachObserver):
    """Names of the reports in order."""

    def __init__(self) -> None:
        self.names: list[str] = []
        self.endpoints: set[str] = set()

    def on_connecting(self, endpoint_id: str, now: float) -> None:
        self._add('connecting', endpoint_id)

    def on_connected(self, endpoint_id: str, now: float) -> None:
        self._add('connected', endpoint_id)

    def on_connect_failed(self, endpoint_id: str, now: float) -> None:
        self._add('failed', endpoint_id)

    def on_received(self, endpoint_id: str, now: float) -> None:
        self._add('received', endpoint_id)

    def on_silent(self, endpoint_id: str, now: float) -> None:
        self._add('silent', endpoint_id)

    def _add(self, name: str, endpoint_id: str) -> None:
        self.names.append(name)
        self.endpoints.add(endpoint_id)


def _request(conn: EndpointConnection, timeout_s: float = 2) -> None:
    message = ForwardedRequest(
        method='POST', target='/', headers=[], body=b'payload'
    )
    conn.send_request(message, [('Content-Type', 'text/plain')], timeout_s)
    conn.read_response(timeout_s).read()


def _respond(conn: socket.socket, request: ReceivedRequest) -> bool:
    conn.sendall(_RESPONSE)
    return True


def _wait(conn: socket.socket, request: ReceivedRequest) -> bool:
    conn.settimeout(1)
    conn.recv(1)
    return False


def _reset(conn: socket.socket, request: ReceivedRequest) -> bool:
    linger = b'\x01\0\0\0\0\0\0\0'
    conn.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
    conn.close()
    return False


def test_bytes_and_connections_are_reported() -> None:
    observations = Observations()
    pool = ConnectionPool(observations)
    endpoint = RawEndpoint(_respond)
    for _ in range(2):
        conn = pool.acquire(endpoint.address)
        _request(conn)
        pool.release(endpoint.address, conn, 10)
    endpoint.close()
    assert observations.names == [
        'connecting',
        'connected',
        'received',
        'received',
    ]
    assert observations.endpoints == {endpoint.address}


def test_endpoint_without_bytes_is_reported() -> None:
    observations = Observations()
    endpoint = RawEndpoint(_wait)
    conn = ConnectionPool(observations).acquire(endpoint.address)
    with pytest.raises(SilentEndpointError):
        _request(conn, 0.1)
    endpoint.close()
    conn.discard()
    assert observations.names == ['connecting', 'connected', 'silent']


def test_reset_connection_is_reported() -> None:
    observations = Observations()
    endpoint = RawEndpoint(_reset)
    conn = ConnectionPool(observations).acquire(endpoint.address)
    with pytest.raises(ConnectionEndedError):
        _request(conn)
    endpoint.close()
    conn.discard()
    assert observations.names == ['connecting', 'connected', 'silent']


def _acquire_refused(observations: Observations) -> None:
    with socket.create_server(('127.0.0.1', 0)) as listener:
        address = f'127.0.0.1:{listener.getsockname()[1]}'
    with pytest.raises(UnreachableEndpointError):
        ConnectionPool(observations).acquire(address)


def test_refused_connection_is_reported() -> None:
    observations = Observations()
    _acquire_refused(observations)
    assert observations.names == ['connecting', 'failed']


def test_connection_that_failed_while_the_host_stood_still_is_not_reported(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    observations = Observations()
    offsets: Any = iter((0, 5))
    monkeypatch.setattr(
        'apricotcart.gateway.exchanges.observation.boot_clock_s',
        lambda: boot_clock_s() + next(offsets),
    )
    _acquire_refused(observations)
    assert observations.names == ['connecting']

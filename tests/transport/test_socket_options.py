"""Guards against waits that depend on keep-alive probes of the kernel.

A TCP_USER_TIMEOUT also decides when probes give up, whatever their number, and
a library may set one. All waits have time limits of their own instead.
"""

from __future__ import annotations

import os
import socket
import time
from contextlib import suppress
from typing import Any

import pynng
import pytest
from gateway.served_gateway import start_listener

from apricotcart.codec.envelope import Sealer
from apricotcart.errors.tree import UnavailableError
from apricotcart.gateway.exchanges.connections import EndpointConnection
from apricotcart.provisioning import client as client_module
from apricotcart.provisioning.api import Request
from apricotcart.transport.redialing import RedialingClients
from apricotcart.transport.requests import NngRequestClient

_SEALER = Sealer(b'k' * 32)
_WAIT_S = 5.0


def _options(sock: socket.socket) -> tuple[int, int]:
    """Return SO_KEEPALIVE and TCP_USER_TIMEOUT."""
    return (
        sock.getsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE),
        sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT),
    )


def _connected_to(port: int) -> list[socket.socket]:
    """Return duplicates of this process's sockets connected to a port."""
    found = []
    for name in os.listdir('/proc/self/fd'):
        with suppress(OSError):
            sock = socket.socket(fileno=os.dup(int(name)))
            if sock.family == socket.AF_INET and _peer_port(sock) == port:
                found.append(sock)
            else:
                sock.close()
    return found


def _peer_port(sock: socket.socket) -> int:
    with suppress(OSError):
        return int(sock.getpeername()[1])
    return 0


def _options_of_links_to(port: int) -> set[tuple[int, int]]:
    end = time.monotonic() + _WAIT_S
    while time.monotonic() < end:
        links = _connected_to(port)
        options = {_options(link) for link in links}
        for link in links:
            link.close()
        if options:
            return options
        time.sleep(0.01)
    raise AssertionError(f'no connection to port {port}')


def test_links_between_processes_have_neither() -> None:
    with socket.create_server(('127.0.0.1', 0)) as silent:
        port = silent.getsockname()[1]
        client = NngRequestClient(f'tcp://127.0.0.1:{port}', _SEALER)
        push = pynng.Push0()
        push.dial(f'tcp://127.0.0.1:{port}', block=False)
        assert _options_of_links_to(port) == {(0, 0)}
        client.close()
        push.close()


def test_connections_to_endpoints_have_neither() -> None:
    with socket.create_server(('127.0.0.1', 0)) as silent:
        conn = EndpointConnection(f'127.0.0.1:{silent.getsockname()[1]}')
        conn.connect()
        assert _options(conn.sock) == (0, 0)
        conn.discard()


def test_connections_of_callers_have_neither() -> None:
    server = start_listener(lambda environ, start_response: [])
    with socket.create_connection(server.bind_addr) as caller:
        port = caller.getsockname()[1]
        assert _options_of_links_to(port) == {(0, 0)}
    server.stop()


def test_platform_calls_set_a_user_timeout_without_probes(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """It ends unacknowledged writes; reads have the time limit of the call."""
    seen: list[tuple[int, int]] = []
    set_timeouts = client_module._set_timeouts

    def spy(conn: Any, remaining_s: float) -> None:
        set_timeouts(conn, remaining_s)
        seen.append(_options(conn.sock))

    monkeypatch.setattr(client_module, '_set_timeouts', spy)
    with socket.create_server(('127.0.0.1', 0)) as silent:
        url = f'http://127.0.0.1:{silent.getsockname()[1]}'
        client = client_module.PlatformClient(url, lambda now, _: now + 0.5)
        started = time.monotonic()
        assert client.send(Request(ticket=1, path='/x', body={})).status == 0
        assert time.monotonic() - started < 2
    keep_alive, user_timeout_ms = seen[0]
    assert not keep_alive
    assert user_timeout_ms == pytest.approx(500, abs=1)


def test_request_to_a_silent_process_ends_at_its_own_limit() -> None:
    """The peer accepts the connection and never reads."""
    with socket.create_server(('127.0.0.1', 0)) as silent:
        clients = RedialingClients(_SEALER)
        address = f'tcp://127.0.0.1:{silent.getsockname()[1]}'
        started = time.monotonic()
        with pytest.raises(UnavailableError):
            clients.call(address, {'kind': 'x'}, 0.3)
        assert time.monotonic() - started < 2
        clients.close()

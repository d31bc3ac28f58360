"""A gateway behind its listener, and what callers read from the socket."""

from __future__ import annotations

import itertools
import re
import socket
import threading
from types import SimpleNamespace
from typing import Any

from gateway.conftest import Bench

from apricotcart.desired.records import (
    CallerLimits,
    DesiredState,
    Route,
    RouteKind,
    Service,
    Split,
)
from apricotcart.gateway.application import GatewayApplication
from apricotcart.gateway.listener import (
    CallerConnection,
    CallerGateway,
    GrowingThreadPool,
)
from apricotcart.gateway.state import StateCopy
from apricotcart.gateway.stop_state import StopState
from apricotcart.gateway.stopping import stop_calls
from apricotcart.gateway.stream_resumption import StreamResumption
from apricotcart.gateway.watcher import CallerWatcher
from apricotcart.platform.headers import PlatformHeaderCodec
from apricotcart.timers.clock import boot_clock_s
from apricotcart.web.http_server import DrainingServer
from apricotcart.web.server_group import ServerGroup

_TIMEOUT_S = 5
# Longest time that a test waits for a response.
_READ_TIMEOUT_S = 12
_LEASE_S = 600.0
_CHUNK_SIZE = re.compile(rb'[0-9A-Fa-f]+\r\n')
_attempts = itertools.count(1)


class Received:
    """A response as it arrived at the caller's socket.

    Attributes
    ----------
    status : int
        HTTP status, 0 if no status line arrived.
    body : bytes
        Body without its framing.
    is_complete : bool
        Whether the framing says that the body is complete.
    headers : dict
        Headers by lowercase name.
    """

    def __init__(self, raw: bytes, *, was_reset: bool) -> None:
        head, _, rest = raw.partition(b'\r\n\r\n')
        lines = head.decode('latin-1').split('\r\n')
        words = lines[0].split()
        self.status = int(words[1]) if len(words) > 1 else 0
        self.headers = dict(_split_field(line) for line in lines[1:])
        self.body = rest
        self.is_complete = False
        if 'transfer-encoding' in self.headers:
            self._decode_chunks(rest)
            return
        length = self.headers.get('content-length')
        if length is None:
            self.is_complete = bool(words) and not was_reset
        else:
            self.is_complete = len(rest) == int(length)

    def _decode_chunks(self, rest: bytes) -> None:
        self.body = b''
        while True:
            size_line = _CHUNK_SIZE.match(rest)
            if size_line is None:
                return
            size = int(size_line.group(), 16)
            payload = rest[size_line.end() :]
            if not size:
                self.is_complete = payload == b'\r\n'
                return
            self.body += payload[:size]
            rest = payload[size + 2 :]


def _split_field(line: str) -> tuple[str, str]:
    name, _, text = line.partition(':')
    return name.lower(), text.strip()


class ServedGateway:
    """The application of a gateway, reached over sockets.

    Its routes are ``/once/``, ``/idempotent/``, ``/stream/`` and
    ``/resumable/``.
    """

    def __init__(self, bench: Bench) -> None:
        self.bench = bench
        self.stop_state = StopState()
        self._watcher = CallerWatcher()
        self._watcher.start()
        # What the application consists of.
        self.parts: dict[str, Any] = {
            'state': _state(),
            'header_codec': PlatformHeaderCodec(),
            'dispatcher': bench.dispatcher,
            'forwarder': bench.forwarder,
            'watcher': self._watcher,
            'stop_state': self.stop_state,
            'resumption': StreamResumption(bench.origins, bench.dispatcher),
        }
        self.server = start_listener(GatewayApplication(**self.parts))

    def ask(
        self,
        route: str,
        *extra: str,
        http: str = '1.1',
        wait_ms: int = 2000,
        body: bytes = b'',
    ) -> Received:
        """Send a request and read until the connection ends."""
        raw = self.request_bytes(
            route, *extra, http=http, wait_ms=wait_ms, body=body
        )
        with socket.create_connection(self.address, _READ_TIMEOUT_S) as conn:
            conn.sendall(raw)
            return read_to_end(conn)

    def request_bytes(
        self,
        route: str,
        *extra: str,
        http: str = '1.1',
        wait_ms: int = 2000,
        body: bytes = b'',
    ) -> bytes:
        """Return a request whose connection ends after the response."""
        lines = [
            f'POST /{route}/x HTTP/{http}',
            'Host: h',
            f'Attempt-Id: t{next(_attempts)}',
            f'Deadline-Ms: {wait_ms}',
            'Connection: close',
            f'Content-Length: {len(body)}',
            *extra,
        ]
        return '\r\n'.join([*lines, '', '']).encode() + body

    @property
    def address(self) -> tuple[str, int]:
        """Address of the listener."""
        address: tuple[str, int] = self.server.bind_addr
        return address

    def finish_requests(self, stop_s: float, answer_ttl_s: float) -> str:
        """Stop as a process does that got SIGTERM, up to its exit."""
        servers = ServerGroup()
        servers.add(self.server)
        return stop_calls(
            self.stop_state,
            servers,
            boot_clock_s(),
            stop_s,
            answer_ttl_s,
        )

    def stop(self) -> None:
        """Stop the listener and the watcher."""
        self._watcher.stop()
        self.server.stop()


def start_listener(app: Any) -> Any:
    """Return a listener on loopback that serves a WSGI application."""
    server: Any = DrainingServer(('127.0.0.1', 0), app, timeout=_TIMEOUT_S)
    server.ConnectionClass = CallerConnection
    server.gateway = CallerGateway
    server.header_timeout_s = _TIMEOUT_S
    server.body_timeout_s = _TIMEOUT_S
    server.requests = GrowingThreadPool(server, min=1, max=64)
    server.error_log = lambda *args, **options: None
    server.prepare()
    threading.Thread(target=server.serve, daemon=True).start()
    return server


def read_to_end(conn: socket.socket) -> Received:
    """Return the response that arrives until the connection ends."""
    received = b''
    while True:
        try:
            chunk = conn.recv(65536)
        except ConnectionResetError:
            return Received(received, was_reset=True)
        if not chunk:
            return Received(received, was_reset=False)
        received += chunk


def _state() -> StateCopy:
    desired = DesiredState(
        version=1,
        routes=[
            _route('once', RouteKind.ONCE),
            _route('idempotent', RouteKind.IDEMPOTENT),
            _route('stream', RouteKind.STREAM),
            _route('resumable', RouteKind.STREAM, resumable=True),
        ],
        services=[Service(name='app', health_path='/healthz', max_conns=None)],
        limits=CallerLimits(
            header_bytes=16_384,
            body_bytes=65_536,
            header_timeout_s=_TIMEOUT_S,
            idle_timeout_s=_TIMEOUT_S,
        ),
        customers=None,
    )
    document_format: Any = SimpleNamespace(decode=lambda document: desired)
    copy = StateCopy(document_format, _LEASE_S)
    copy.adopt(b'', boot_clock_s())
    return copy


def _route(name: str, kind: RouteKind, *, resumable: bool = False) -> Route:
    return Route(
        name=name,
        host='h',
        prefix=f'/{name}/',
        kind=kind,
        splits=[Split(service='app', weight=1)],
        timeout_s=10,
        target_s=2,
        max_endpoints=2,
        resumable=resumable,
    )

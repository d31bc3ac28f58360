"""Guards against answers that do not survive the end of an HTTP server."""

from __future__ import annotations

import math
import socket
import ssl
import threading
import time
from collections.abc import Iterable, Iterator
from pathlib import Path
from types import SimpleNamespace
from typing import Any, Final
from unittest.mock import patch

import pytest
import trustme
from cheroot.ssl.builtin import BuiltinSSLAdapter
from gateway.started_process import read_response, read_to_end

from apricotcart.timers.clock import boot_clock_s
from apricotcart.web.answering import ConnectionGateway
from apricotcart.web.caller_reader import CallerReader
from apricotcart.web.deadlines import DeadlineConnection
from apricotcart.web.http_server import DrainingServer
from apricotcart.web.open_connections import LINGER_S, Activity, OpenConnections
from apricotcart.web.request_head import RequestHead
from apricotcart.web.server_group import ServerGroup

_WEB: Final = 'apricotcart.web'
_TIMEOUT_S: Final = 5
_DRAIN_S: Final = 1.0
_SHORT_S: Final = 0.1
# More than the socket buffers of both sides hold.
_LARGE_BYTES: Final = 32 * 1024 * 1024
_REQUEST: Final = b'GET / HTTP/1.1\r\nHost: h\r\n\r\n'
# More requests than the server reads into its buffer at once.
_PIPELINED: Final = 1000
_HEAD: Final = b'POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 9\r\n\r\n'


class DrainedServer:
    """A server on loopback that is drained beside its callers."""

    def __init__(self) -> None:
        self.body = b'ok'
        self.release = threading.Event()
        self.release.set()
        server: Any = DrainingServer(
            ('127.0.0.1', 0), self._app, timeout=_TIMEOUT_S
        )
        self.server = server
        self.server.ConnectionClass = DeadlineConnection
        self.server.gateway = ConnectionGateway
        self.server.header_timeout_s = _TIMEOUT_S
        self.server.body_timeout_s = _TIMEOUT_S
        self.server.error_log = lambda *args, **options: None
        self.server.prepare()
        threading.Thread(target=self.server.serve, daemon=True).start()
        self.address = self.server.bind_addr
        self.group = ServerGroup()
        self.group.add(self.server)
        self._draining = threading.Thread(target=self._drain)
        self.drain_s = _DRAIN_S
        self.is_answered = False
        self.duration_s = math.inf

    def connect(self) -> socket.socket:
        return socket.create_connection(self.address, _TIMEOUT_S)

    def start_drain(self) -> None:
        self._draining.start()

    def wait_drained(self) -> None:
        self._draining.join()

    def stop(self) -> None:
        self.release.set()
        self.server.stop()

    def _drain(self) -> None:
        started_at = time.monotonic()
        self.is_answered = self.group.drain(boot_clock_s() + self.drain_s)
        self.group.end_reads()
        self.group.wait_closed(boot_clock_s() + self.drain_s)
        self.duration_s = time.monotonic() - started_at

    def _app(self, environ: Any, start_response: Any) -> Iterable[bytes]:
        self.release.wait(_TIMEOUT_S)
        body = self.body
        try:
            environ['wsgi.input'].read()
        except TimeoutError:
            body = b'late'
        start_response('200 OK', [('Content-Length', str(len(body)))])
        return [body]


@pytest.fixture
def drained() -> Iterator[DrainedServer]:
    """Return a server that is not drained yet."""
    created = DrainedServer()
    yield created
    created.stop()


def _ask(conn: socket.socket) -> bytes:
    conn.sendall(_REQUEST)
    return read_response(conn)


def test_idle_server_ends_at_once(
    drained: DrainedServer, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against a stop that is held up by kept connections.

    All waits of a drain are long here, so that none can pass for a busy
    machine.
    """
    monkeypatch.setattr(f'{_WEB}.server_group._FIRST_BYTE_S', _TIMEOUT_S)
    monkeypatch.setattr(f'{_WEB}.open_connections.LINGER_S', _TIMEOUT_S)
    drained.drain_s = _TIMEOUT_S
    with drained.connect() as conn:
        assert _ask(conn).endswith(b'ok')
        drained.start_drain()
        assert conn.recv(1) == b''
        drained.wait_drained()
    assert drained.is_answered
    assert drained.duration_s < _TIMEOUT_S / 2
    with pytest.raises(ConnectionRefusedError):
        drained.connect()


def test_leaving_server_closes_connections(drained: DrainedServer) -> None:
    """Guards against callers that keep a connection of a leaving host."""
    drained.group.leave()
    with drained.connect() as conn:
        conn.sendall(_REQUEST)
        assert b'Connection: close' in read_to_end(conn)


def test_connection_kept_during_the_drain_is_closed(
    drained: DrainedServer,
) -> None:
    """Guards against a stop that waits for a connection nobody uses.

    Its answer said that the connection is kept, before the drain began.
    """
    drained.release.clear()
    with drained.connect() as conn:
        conn.sendall(_REQUEST)
        time.sleep(_SHORT_S)
        drained.server.put_conn = _put_during_drain(drained)
        drained.release.set()
        received = read_to_end(conn)
        drained.wait_drained()
    assert b'Connection: close' not in received
    assert drained.is_answered


def _put_during_drain(drained: DrainedServer) -> Any:
    put_conn = drained.server.put_conn

    def put(conn: Any) -> None:
        drained.start_drain()
        drained.server.wait_listener_closed(_TIMEOUT_S)
        put_conn(conn)

    return put


def test_answer_survives_unread_bytes(drained: DrainedServer) -> None:
    """Guards against a reset that takes the answer before with it.

    A socket that is closed with unread bytes resets the connection and
    discards what its peer has not received yet.
    """
    drained.body = b'x' * _LARGE_BYTES
    drained.group.leave()
    with drained.connect() as conn:
        conn.sendall(_REQUEST * _PIPELINED)
        time.sleep(_SHORT_S)
        drained.start_drain()
        received = b''
        while chunk := conn.recv(65536):
            received += chunk
    drained.wait_drained()
    assert received.endswith(b'x')
    assert received.count(b'x') == _LARGE_BYTES


def test_unstarted_connection_is_closed(drained: DrainedServer) -> None:
    """Guards against a stop that waits for a caller without a request."""
    with drained.connect() as conn:
        time.sleep(_SHORT_S)
        drained.start_drain()
        assert conn.recv(1) == b''
    drained.wait_drained()
    assert drained.is_answered


def test_late_first_byte_is_answered(drained: DrainedServer) -> None:
    """Guards against closing a connection whose request is under way."""
    with drained.connect() as conn:
        drained.start_drain()
        time.sleep(_SHORT_S)
        conn.sendall(_REQUEST)
        assert read_to_end(conn).endswith(b'ok')
    drained.wait_drained()


def test_unread_first_part_is_not_cut_off(drained: DrainedServer) -> None:
    """Guards against a 400 for a head whose second part is under way.

    The thread that reads the connection has not got to its first part yet.
    """
    ours, theirs = socket.socketpair()
    conn = SimpleNamespace(
        activity=Activity.READING,
        head=RequestHead(),
        socket=ours,
        rfile=CallerReader(ours, _PIPELINED),
    )
    with ours, theirs:
        theirs.sendall(b'first')
        with patch.object(OpenConnections, 'snapshot', return_value=[conn]):
            drained.server.end_unstarted()
        theirs.sendall(b' second')
        theirs.close()
        assert conn.rfile.read() == b'first second'


def test_slow_body_is_answered_at_the_end(drained: DrainedServer) -> None:
    """Guards against a slow caller that outlasts the stop or gets nothing."""
    with drained.connect() as conn:
        conn.sendall(_HEAD)
        time.sleep(_SHORT_S)
        drained.start_drain()
        assert read_to_end(conn).endswith(b'late')
    drained.wait_drained()
    assert drained.duration_s < _DRAIN_S + LINGER_S


def test_peer_that_never_closes_is_not_waited_for(
    drained: DrainedServer,
) -> None:
    """Guards against a stop that is held up by who was answered before."""
    drained.group.leave()
    with drained.connect() as conn:
        assert _ask(conn).endswith(b'ok')
        time.sleep(LINGER_S)
        drained.start_drain()
        drained.wait_drained()
    assert drained.duration_s < LINGER_S


def test_caller_that_does_not_read_is_given_up(drained: DrainedServer) -> None:
    """Guards against a slow reader that keeps a process until it is killed."""
    drained.body = b'x' * _LARGE_BYTES
    with drained.connect() as conn:
        conn.sendall(_REQUEST)
        time.sleep(_SHORT_S)
        drained.start_drain()
        drained.wait_drained()
    assert not drained.is_answered
    assert drained.duration_s < _DRAIN_S + LINGER_S


def test_tls_answer_survives_the_drain(
    drained: DrainedServer, tmp_path: Path
) -> None:
    """Guards against closing a TLS connection below its encryption."""
    authority = trustme.CA()
    issued = authority.issue_cert('localhost')
    cert = tmp_path / 'cert.pem'
    issued.private_key_and_cert_chain_pem.write_to_path(cert)
    drained.server.ssl_adapter = BuiltinSSLAdapter(str(cert), str(cert))
    context = ssl.create_default_context()
    authority.configure_trust(context)
    drained.release.clear()
    drained.group.leave()
    with (
        drained.connect() as plain,
        context.wrap_socket(plain, server_hostname='localhost') as conn,
    ):
        conn.sendall(_REQUEST * _PIPELINED)
        time.sleep(_SHORT_S)
        drained.start_drain()
        drained.release.set()
        assert read_response(conn).endswith(b'ok')
    drained.wait_drained()
    assert drained.is_answered


class _Connection:
    activity = Activity.ANSWERING


def test_wait_answered_ends_with_the_last_answer() -> None:
    connections = OpenConnections()
    first, second = _Connection(), _Connection()
    connections.add(first)
    connections.add(second)
    connections.remove(first)
    assert not connections.wait_answered(0.05)
    threading.Timer(_SHORT_S, connections.start_closing, [second]).start()
    assert connections.wait_answered(_TIMEOUT_S)
    assert connections.snapshot() == [second]

"""Threaded HTTP server shared by all stand-ins."""

from __future__ import annotations

import json
import select
import socket
from abc import ABC, abstractmethod
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer
from typing import Any
from urllib.parse import parse_qsl, urlsplit

JSON_TYPE = 'application/json'
STATUS_OK = 200
STATUS_BAD_REQUEST = 400
STATUS_NOT_FOUND = 404
STATUS_CONFLICT = 409

_METHODS = ('GET', 'POST', 'PUT', 'PATCH', 'DELETE', 'HEAD', 'OPTIONS')
_BACKLOG = 256
_HEX_BASE = 16
_LAST_CHUNK = b'0\r\n\r\n'
_NO_HEADERS: tuple[tuple[str, str], ...] = ()


class CutConnectionError(Exception):
    """Raised to close the connection without finishing the answer."""


class Call:
    """Received request, with methods to answer it."""

    __slots__ = ('_conn', 'body', 'headers', 'method', 'path', 'query')

    def __init__(self, conn: _Connection, body: bytes) -> None:
        """Parse the request line and the headers."""
        parts = urlsplit(conn.path)
        self._conn = conn
        self.method: str = conn.command
        self.path: str = parts.path
        self.query: dict[str, str] = dict(parse_qsl(parts.query))
        self.headers: list[tuple[str, str]] = list(conn.headers.items())
        self.body = body

    def header(self, name: str, default: str = '') -> str:
        """Return the first header of a name, ignoring case."""
        for key, text in self.headers:
            if key.lower() == name.lower():
                return text
        return default

    def json(self) -> dict[str, Any]:
        """Return the JSON object in the body, or {} if there is none."""
        try:
            fields = json.loads(self.body or b'{}')
        except ValueError:
            return {}
        return fields if isinstance(fields, dict) else {}

    def reply(
        self,
        status: int,
        payload: Any,
        headers: tuple[tuple[str, str], ...] = _NO_HEADERS,
    ) -> None:
        """Reply with a JSON document."""
        self.reply_bytes(
            status, JSON_TYPE, json.dumps(payload).encode(), headers
        )

    def reply_bytes(
        self,
        status: int,
        content_type: str,
        blob: bytes,
        headers: tuple[tuple[str, str], ...] = _NO_HEADERS,
    ) -> None:
        """Reply with bytes."""
        self._send_head(status, content_type, headers, str(len(blob)))
        if self.method != 'HEAD':
            self._conn.wfile.write(blob)

    def reply_truncated(
        self, content_type: str, blob: bytes, sent: int
    ) -> None:
        """Announce the full length, send part of it and disconnect.

        Raises
        ------
        CutConnectionError
            Always; the server closes the connection on it.
        """
        self._send_head(STATUS_OK, content_type, _NO_HEADERS, str(len(blob)))
        self._conn.wfile.write(blob[:sent])
        raise CutConnectionError

    def start_stream(
        self,
        content_type: str,
        headers: tuple[tuple[str, str], ...] = _NO_HEADERS,
    ) -> None:
        """Start a chunked answer."""
        self._send_head(STATUS_OK, content_type, headers, None)

    def send_chunk(self, blob: bytes) -> None:
        """Send one chunk of a started answer."""
        self._conn.wfile.write(b'%x\r\n%b\r\n' % (len(blob), blob))

    def end_stream(self) -> None:
        """Send the last chunk of a started answer."""
        self._conn.wfile.write(_LAST_CHUNK)

    def cut(self) -> None:
        """Close the connection without finishing the answer.

        Raises
        ------
        CutConnectionError
            Always; the server closes the connection on it.
        """
        raise CutConnectionError

    def is_disconnected(self) -> bool:
        """Return whether the caller has closed the connection."""
        sock = self._conn.connection
        try:
            readable, _, _ = select.select([sock], [], [], 0)
        except (OSError, ValueError):
            return True
        return bool(readable) and _is_at_end(sock)

    def _send_head(
        self,
        status: int,
        content_type: str,
        headers: tuple[tuple[str, str], ...],
        length: str | None,
    ) -> None:
        conn = self._conn
        conn.send_response(status)
        conn.send_header('Content-Type', content_type)
        for name, text in headers:
            conn.send_header(name, text)
        if length is None:
            conn.send_header('Transfer-Encoding', 'chunked')
        else:
            conn.send_header('Content-Length', length)
        conn.end_headers()


class App(ABC):
    """Application that answers the requests a server receives."""

    @abstractmethod
    def serve(self, call: Call) -> None:
        """Answer one request."""


class Server(ThreadingHTTPServer):
    """HTTP server of one stand-in application.

    Parameters
    ----------
    address : tuple of str and int
        Loopback address and port; port 0 selects a free one.
    app : App
        Application that answers the requests.
    """

    daemon_threads = True
    block_on_close = False
    request_queue_size = _BACKLOG

    def __init__(self, address: tuple[str, int], app: App) -> None:
        """Bind the server to the address."""
        super().__init__(address, _Connection)
        self.app = app

    @property
    def url(self) -> str:
        """Base URL of the server."""
        host, port = self.server_address[:2]
        return f'http://{host!s}:{port}'

    def handle_error(self, request: Any, client_address: Any) -> None:
        """Ignore errors of connections, such as those closed by callers."""


class _Connection(BaseHTTPRequestHandler):
    protocol_version = 'HTTP/1.1'
    disable_nagle_algorithm = True
    server: Server

    def dispatch(self) -> None:
        """Read the body and pass the request to the application."""
        call = Call(self, self._read_body())
        try:
            self.server.app.serve(call)
        except (CutConnectionError, OSError):
            self._disconnect()

    def log_message(self, format: str, *args: Any) -> None:
        """Write no access log; GET /received lists the requests."""

    def _disconnect(self) -> None:
        self.close_connection = True
        try:
            self.connection.shutdown(socket.SHUT_RDWR)
        except OSError:
            return

    def _read_body(self) -> bytes:
        if self.headers.get('Transfer-Encoding', '').lower() == 'chunked':
            return b''.join(iter(self._read_chunk, b''))
        return self.rfile.read(int(self.headers.get('Content-Length', 0)))

    def _read_chunk(self) -> bytes:
        size = int(self.rfile.readline().split(b';')[0], _HEX_BASE)
        blob = self.rfile.read(size)
        self.rfile.readline()
        return blob


def error_body(code: str, message: str = '') -> dict[str, dict[str, str]]:
    """Return the JSON document of an error response."""
    return {'error': {'code': code, 'message': message or code}}


def _is_at_end(sock: socket.socket) -> bool:
    try:
        return not sock.recv(1, socket.MSG_PEEK)
    except OSError:
        return True


def _add_method_handlers() -> None:
    for method in _METHODS:
        setattr(_Connection, f'do_{method}', _Connection.dispatch)


_add_method_handlers()

"""One HTTP request as the applications see it."""

from __future__ import annotations

import select
from typing import Any
from urllib.parse import parse_qs, quote, urlsplit

import orjson

from apricotcart.web.errors import (
    BodyTooLargeError,
    IncompleteBodyError,
    InvalidJsonError,
    RequestTimeoutError,
)

Environ = dict[str, Any]

CONNECTION_KEY = 'apricotcart.connection'
_READ_BYTES = 65_536
# Bytes of a refused body that are read and dropped, so that a caller that
# sends its whole body first still sees the error response.
_DISCARD_BYTES = 1_048_576
_BEARER = 'bearer '


class WebRequest:
    """A request read from a WSGI environment.

    Parameters
    ----------
    environ : dict
        The WSGI environment.
    """

    __slots__ = ('_body', 'environ', 'method', 'path')

    def __init__(self, environ: Environ) -> None:
        """Read method and path."""
        self.environ = environ
        self.method: str = environ['REQUEST_METHOD']
        self.path: str = environ.get('PATH_INFO') or '/'
        self._body: bytes | None = None

    def header(self, name: str) -> str:
        """Give a header, or an empty string."""
        key = name.upper().replace('-', '_')
        if key in {'CONTENT_TYPE', 'CONTENT_LENGTH'}:
            return str(self.environ.get(key, ''))
        return str(self.environ.get(f'HTTP_{key}', ''))

    def bearer_token(self) -> str:
        """Give the token of the Authorization header, or an empty string."""
        header = self.header('Authorization')
        if header.lower().startswith(_BEARER):
            return header[len(_BEARER) :].strip()
        return ''

    def raw_path(self) -> str:
        """Give the path as it was sent, without decoding it.

        A decoded question mark or slash would change the meaning of a path
        that is sent on.
        """
        uri = str(self.environ.get('REQUEST_URI') or quote(self.path))
        return urlsplit(uri).path

    def query(self, name: str, default: str = '') -> str:
        """Give the first value of a query parameter."""
        fields = parse_qs(str(self.environ.get('QUERY_STRING', '')))
        return fields.get(name, [default])[0]

    def query_string(self) -> str:
        """Give the query as it was sent."""
        return str(self.environ.get('QUERY_STRING', ''))

    def body(self, max_bytes: int) -> bytes:
        """Read the body once.

        Raises
        ------
        BodyTooLargeError
            If the body has more than ``max_bytes`` bytes.
        RequestTimeoutError
            If the body did not arrive before the body deadline.
        IncompleteBodyError
            If the connection ended before the whole body arrived.
        """
        if self._body is None:
            self._body = self._read_body(max_bytes)
        return self._body

    def json(self, max_bytes: int) -> dict[str, Any]:
        """Read the body as a JSON object.

        Raises
        ------
        InvalidJsonError
            If the body is no JSON object.
        """
        try:
            document = orjson.loads(self.body(max_bytes))
        except orjson.JSONDecodeError as exc:
            raise InvalidJsonError(f'the body is not JSON: {exc}') from exc
        if not isinstance(document, dict):
            raise InvalidJsonError('the body is not a JSON object')
        return document

    def is_disconnected(self) -> bool:
        """Tell whether the caller closed its connection.

        Readable data counts as alive: a pipelined request may wait. On
        TLS connections a close shows only when the response is written.
        """
        conn = self.environ.get(CONNECTION_KEY)
        if conn is None or self.environ.get('wsgi.url_scheme') == 'https':
            return False
        return _peer_closed(conn.socket)

    def _read_body(self, max_bytes: int) -> bytes:
        stream = self.environ['wsgi.input']
        declared = int(self.header('Content-Length') or 0)
        if declared > max_bytes:
            _discard(stream)
            raise _too_large(max_bytes)
        if declared == 0 and not self.header('Transfer-Encoding'):
            return b''
        chunks = []
        received = 0
        for chunk in _chunks(stream):
            received += len(chunk)
            if received > max_bytes:
                raise _too_large(max_bytes)
            chunks.append(chunk)
        if received < declared:
            raise IncompleteBodyError(
                f'{received} of {declared} bytes of the body arrived',
            )
        return b''.join(chunks)


def _too_large(max_bytes: int) -> BodyTooLargeError:
    return BodyTooLargeError(f'the body has more than {max_bytes} bytes')


def _chunks(stream: Any) -> Any:
    while True:
        try:
            chunk = stream.read(_READ_BYTES)
        except OSError as exc:
            raise RequestTimeoutError(
                'the body did not arrive in time',
            ) from exc
        if not chunk:
            return
        yield chunk


def _discard(stream: Any) -> None:
    discarded = 0
    for chunk in _chunks(stream):
        discarded += len(chunk)
        if discarded > _DISCARD_BYTES:
            return


def _peer_closed(sock: Any) -> bool:
    poller = select.poll()
    poller.register(sock, select.POLLRDHUP | select.POLLHUP | select.POLLERR)
    return bool(poller.poll(0))

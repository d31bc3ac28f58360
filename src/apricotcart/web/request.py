"""HTTP requests of the WSGI applications."""

from __future__ import annotations

import select
from typing import Any
from urllib.parse import parse_qs, quote, urlsplit

import orjson

from apricotcart.web.body_buffer import Body, RequestBody
from apricotcart.web.body_memory import BodyMemory, BodyPlace
from apricotcart.web.body_stream import BodyStream
from apricotcart.web.errors import (
    BodyTooLargeError,
    IncompleteBodyError,
    InvalidJsonError,
    RequestTimeoutError,
)

Environ = dict[str, Any]

CONNECTION_KEY = 'apricotcart.connection'
_READ_CHUNK_BYTES = 65_536
_HTTP = 'http'
_BEARER_PREFIX = 'bearer '


class WebRequest:
    """Request of a WSGI environment.

    Parameters
    ----------
    environ : dict
        The WSGI environment.
    """

    __slots__ = ('_body', 'environ', 'method', 'path')

    def __init__(self, environ: Environ) -> None:
        """Read the method and the path."""
        self.environ = environ
        self.method: str = environ['REQUEST_METHOD']
        self.path: str = environ.get('PATH_INFO') or '/'
        self._body: Body | None = None

    def header(self, name: str) -> str:
        """Return a header, or an empty string if it is missing."""
        key = name.upper().replace('-', '_')
        if key in {'CONTENT_TYPE', 'CONTENT_LENGTH'}:
            return str(self.environ.get(key, ''))
        return str(self.environ.get(f'HTTP_{key}', ''))

    def bearer_token(self) -> str:
        """Return the bearer token, or an empty string if there is none."""
        header = self.header('Authorization')
        if header.lower().startswith(_BEARER_PREFIX):
            return header[len(_BEARER_PREFIX) :].strip()
        return ''

    def raw_path(self) -> str:
        """Return the path as received, without decoding it.

        Decoding a question mark or slash would change the meaning of a
        forwarded path.
        """
        uri = str(self.environ.get('REQUEST_URI') or quote(self.path))
        return urlsplit(uri).path

    def target(self) -> str:
        """Return path and query as received, without scheme and host."""
        target = str(self.environ['REQUEST_URI'])
        if not target.startswith(_HTTP):
            return target
        parts = urlsplit(target)
        return f'{parts.path}?{parts.query}' if parts.query else parts.path

    def query(self, name: str, default: str = '') -> str:
        """Return the first value of a query parameter."""
        fields = parse_qs(str(self.environ.get('QUERY_STRING', '')))
        return fields.get(name, [default])[0]

    def query_string(self) -> str:
        """Return the query string as received."""
        return str(self.environ.get('QUERY_STRING', ''))

    def body(self, max_bytes: int) -> bytes:
        """Return the body, which is read on the first call.

        Raises
        ------
        BodyTooLargeError
            If the body has more than ``max_bytes`` bytes.
        RequestTimeoutError
            If the body did not arrive before the body deadline.
        IncompleteBodyError
            If the connection ended before the whole body arrived.
        BodyMemoryError
            If the bodies of all callers hold too much memory.
        """
        return bytes(self.body_view(max_bytes))

    def body_view(self, max_bytes: int) -> Body:
        """Return the body without a copy of it.

        Its memory is in use until the last reference to it ends.

        Raises
        ------
        ApricotcartError
            As in `body`.
        """
        if self._body is None:
            self._body = self._read_body(max_bytes)
        return self._body

    def json(self, max_bytes: int) -> dict[str, Any]:
        """Return the body as a JSON object.

        Raises
        ------
        InvalidJsonError
            If the body is not a JSON object.
        """
        try:
            document = orjson.loads(self.body(max_bytes))
        except orjson.JSONDecodeError as exc:
            raise InvalidJsonError(f'the body is not JSON: {exc}') from exc
        if not isinstance(document, dict):
            raise InvalidJsonError('the body is not a JSON object')
        return document

    def is_disconnected(self) -> bool:
        """Return whether the caller closed its connection.

        Readable data does not indicate a close, as it may be a pipelined
        request. On TLS connections a close is detected only when the response
        is written.
        """
        conn = self.environ.get(CONNECTION_KEY)
        if conn is None or self.environ.get('wsgi.url_scheme') == 'https':
            return False
        return _is_peer_closed(conn.socket)

    def _read_body(self, max_bytes: int) -> Body:
        stream = self.environ['wsgi.input']
        content_length = int(self.header('Content-Length') or 0)
        if content_length > max_bytes:
            raise _too_large_error(max_bytes)
        if content_length == 0 and not self.header('Transfer-Encoding'):
            return b''
        body = RequestBody(_place_of(stream))
        try:
            _fill(body, stream, max_bytes)
        except BaseException:
            body.discard()
            raise
        if body.size < content_length:
            body.discard()
            raise IncompleteBodyError(
                f'body truncated: got {body.size} of {content_length} bytes',
            )
        return body.finish()


def _fill(body: RequestBody, stream: Any, max_bytes: int) -> None:
    for chunk in _read_chunks(stream):
        if body.size + len(chunk) > max_bytes:
            raise _too_large_error(max_bytes)
        body.append(chunk)


def _too_large_error(max_bytes: int) -> BodyTooLargeError:
    return BodyTooLargeError(f'the body exceeds the limit of {max_bytes} bytes')


def _read_chunks(stream: Any) -> Any:
    while True:
        try:
            chunk = stream.read(_READ_CHUNK_BYTES)
        except OSError as exc:
            raise RequestTimeoutError(
                'the body did not arrive before its deadline',
            ) from exc
        if not chunk:
            return
        yield chunk


def _place_of(stream: Any) -> BodyPlace:
    """Return the place of a body, an unlimited one outside a server."""
    return (
        stream.place
        if isinstance(stream, BodyStream)
        else BodyPlace(BodyMemory())
    )


def _is_peer_closed(sock: Any) -> bool:
    poller = select.poll()
    poller.register(sock, select.POLLRDHUP | select.POLLHUP | select.POLLERR)
    return bool(poller.poll(0))

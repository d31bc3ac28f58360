"""HTTP responses of the WSGI applications."""

from __future__ import annotations

import math
from collections.abc import Iterable
from http import HTTPStatus
from typing import Any

import orjson

from apricotcart.errors.tree import ApricotcartError

JSON_TYPE = 'application/json'
BYTES_TYPE = 'application/octet-stream'
EVENT_STREAM_TYPE = 'text/event-stream'
JSON_LINES_TYPE = 'application/jsonl'

Headers = list[tuple[str, str]]


class WebResponse:
    """Response, whose body may be streamed from a generator.

    Parameters
    ----------
    status : int
        HTTP status code.
    headers : list of (str, str)
        Response headers.
    chunks : iterable of bytes
        The body.
    """

    __slots__ = ('chunks', 'headers', 'status')

    def __init__(
        self,
        status: int,
        headers: Headers,
        chunks: Iterable[bytes],
    ) -> None:
        self.status = status
        self.headers = headers
        self.chunks = chunks

    @classmethod
    def from_json(
        cls,
        document: Any,
        status: int = HTTPStatus.OK,
    ) -> WebResponse:
        """Return a response with a JSON body."""
        return cls.from_bytes(orjson.dumps(document), JSON_TYPE, status)

    @classmethod
    def from_bytes(
        cls,
        body: bytes,
        content_type: str,
        status: int = HTTPStatus.OK,
    ) -> WebResponse:
        """Return a response with a complete body."""
        headers = [
            ('Content-Type', content_type),
            ('Content-Length', str(len(body))),
        ]
        return cls(status, headers, [body])

    @classmethod
    def from_error(cls, exc: ApricotcartError) -> WebResponse:
        """Return the typed response of an error."""
        response = cls.from_json(error_document(exc), exc.http_status)
        if exc.retry_after_s is not None:
            seconds = max(1, math.ceil(exc.retry_after_s))
            response.headers.append(('Retry-After', str(seconds)))
        return response

    def content_type(self) -> str:
        """Return the content type, or the default for binary data."""
        for name, text in self.headers:
            if name.lower() == 'content-type' and text:
                return text
        return BYTES_TYPE

    def discard(self) -> None:
        """Release what an unread response holds."""
        close = getattr(self.chunks, 'close', None)
        if close is not None:
            close()

    def status_line(self) -> str:
        """Return the status code and reason phrase for WSGI."""
        return f'{self.status} {_reason_phrase(self.status)}'


def error_document(exc: ApricotcartError) -> dict[str, Any]:
    """Return the JSON form of an error."""
    error: dict[str, Any] = {
        'type': type(exc).__name__,
        'code': exc.code,
        'message': exc.message,
        'run_state': exc.run_state,
    }
    error.update(exc.context)
    return {'error': error}


def _reason_phrase(status: int) -> str:
    try:
        return HTTPStatus(status).phrase
    except ValueError:
        return 'Unknown'

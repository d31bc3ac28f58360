"""Framing of response bodies: what says where a body ends."""

from __future__ import annotations

import enum
import re
from http.client import HTTPResponse
from typing import Final

_CHUNKED: Final = 'chunked'
_LENGTH: Final = re.compile('[0-9]+')


class FramingError(ValueError):
    """The bytes are not a valid response."""


class Framing(enum.StrEnum):
    """What says where the body of a response ends."""

    LENGTH = 'length'
    CHUNKED = 'chunked'
    # The end of the connection.
    CLOSE = 'close'

    @classmethod
    def of_response(cls, response: HTTPResponse) -> Framing:
        """Return the framing of a response whose headers have been read.

        Source: RFC 9112, section 6.3.

        Raises
        ------
        FramingError
            If the framing is invalid or ambiguous. The HTTP library takes it
            as none, and then the end of the connection as that of the body.
        """
        encodings = response.headers.get_all('Transfer-Encoding', [])
        lengths = set(response.headers.get_all('Content-Length', []))
        if encodings:
            _require_chunked(response, encodings, lengths)
            return cls.CHUNKED
        if lengths:
            _require_one_length(lengths)
            return cls.LENGTH
        # The library knows the responses that never have a body.
        return cls.CLOSE if response.length is None else cls.LENGTH


def _require_chunked(
    response: HTTPResponse, encodings: list[str], lengths: set[str]
) -> None:
    encoding = ', '.join(encodings)
    if encoding.lower() != _CHUNKED or not response.chunked:
        raise FramingError(f'unsupported transfer encoding {encoding!r}')
    if lengths:
        raise FramingError(
            'the response has both a length and a transfer encoding'
        )


def _require_one_length(lengths: set[str]) -> None:
    length = ', '.join(lengths).strip()
    if _LENGTH.fullmatch(length) is None:
        raise FramingError(f'invalid Content-Length {length!r}')

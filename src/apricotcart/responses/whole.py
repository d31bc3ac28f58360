"""Reads whole responses of limited size."""

from __future__ import annotations

from typing import Final

from urllib3 import BaseHTTPResponse

_READ_BYTES: Final = 65_536


class ResponseTooLargeError(ValueError):
    """The response is larger than its receiver expects."""


def read_whole(response: BaseHTTPResponse, max_bytes: int) -> bytes:
    """Return the body of a response that was not preloaded.

    Raises
    ------
    ResponseTooLargeError
        If it has more than ``max_bytes``; the connection is closed.
    HTTPError, OSError, FramingError
        If it cannot be read.
    """
    body = bytearray()
    while chunk := response.read1(_READ_BYTES):
        body += chunk
        if len(body) > max_bytes:
            response.close()
            raise ResponseTooLargeError(
                f'the response exceeds {max_bytes} bytes'
            )
    return bytes(body)

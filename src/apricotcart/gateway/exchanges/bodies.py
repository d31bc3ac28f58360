"""Reads the bodies of responses, and limits what they hold in memory."""

from __future__ import annotations

from http.client import HTTPException, HTTPResponse, IncompleteRead
from typing import Final

from apricotcart.gateway.errors import (
    AnswerMemoryError,
    BrokenEndpointError,
    ConnectionEndedError,
    SilentEndpointError,
)
from apricotcart.responses.body_buffer import BodyBuffer
from apricotcart.responses.memory import HeldBytes, ResponseMemoryError

_READ_BYTES: Final = 65_536
# Maximum size of a late response that is skipped.
_MAX_SKIPPED_BYTES: Final = 1_048_576


def read_available(response: HTTPResponse) -> bytes:
    """Read available bytes of a body, at least one; return b'' at its end.

    Raises
    ------
    SilentEndpointError
        If no data arrives before the timeout.
    ConnectionEndedError
        If the body is truncated.
    BrokenEndpointError
        If its framing is invalid.
    """
    try:
        return response.read1(_READ_BYTES)
    except TimeoutError as exc:
        raise SilentEndpointError(
            'no more data of the response before the timeout'
        ) from exc
    except (ConnectionError, IncompleteRead) as exc:
        raise ConnectionEndedError(
            f'the response body could not be read: {exc!r}'
        ) from exc
    except (OSError, ValueError, HTTPException) as exc:
        raise BrokenEndpointError(
            f'the response body could not be read: {exc!r}'
        ) from exc


def skip_body(response: HTTPResponse) -> None:
    """Read and discard the body of a response to another request.

    Raises
    ------
    BrokenEndpointError, SilentEndpointError
        As in `read_available`, or if no response follows or it is too long.
    """
    if response.will_close:
        raise BrokenEndpointError('the response belongs to another request')
    size = 0
    while chunk := read_available(response):
        size += len(chunk)
        if size > _MAX_SKIPPED_BYTES:
            raise BrokenEndpointError(
                'the response to another request exceeds '
                f'{_MAX_SKIPPED_BYTES} bytes'
            )
    response.close()


def append_to(body: BodyBuffer, chunk: bytes) -> None:
    """Add bytes to a body.

    Raises
    ------
    AnswerMemoryError
        If all responses together take too much memory.
    """
    try:
        body.append(chunk)
    except ResponseMemoryError as exc:
        raise AnswerMemoryError(str(exc)) from exc


def hold(held: HeldBytes, size: int) -> None:
    """Set how many bytes of a response are kept in memory.

    Raises
    ------
    AnswerMemoryError
        If all responses together take too much.
    """
    try:
        held.resize(size)
    except ResponseMemoryError as exc:
        raise AnswerMemoryError(str(exc)) from exc

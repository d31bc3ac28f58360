"""Decodes the chunked transfer coding of requests."""

from __future__ import annotations

import enum
import re
from typing import Final

from apricotcart.web.errors import RequestError

# Source: RFC 9112, section 7.1. Longer sizes are beyond every limit.
_SIZE: Final = re.compile(
    rb'([0-9A-Fa-f]{1,16})[ \t]*(?:;[^\x00-\x08\x0a-\x1f\x7f]*)?\r\n'
)
# Maximum size of a line: a chunk size with its extensions, or a trailer.
_MAX_LINE_BYTES: Final = 4096
_MAX_TRAILER_BYTES: Final = 16_384
_CRLF: Final = b'\r\n'
_HEX: Final = 16
# Chunks up to this size are decoded many at a time.
_SMALL_BYTES: Final = 15
_SIZE_LINE_BYTES: Final = 3


class ChunkedError(RequestError):
    """The body is not valid in the chunked transfer coding."""

    code = 'invalid_chunks'


class _Part(enum.Enum):
    """What comes next in the body."""

    SIZE = enum.auto()
    PAYLOAD = enum.auto()
    CHUNK_END = enum.auto()
    TRAILER = enum.auto()
    NOTHING = enum.auto()


def _runs_of_small_chunks() -> dict[int, re.Pattern[bytes]]:
    """Return by first byte a pattern of several chunks of the same size."""
    return {
        ord(f'{size:x}'): re.compile(
            rb'(?:%x\r\n[\x00-\xff]{%d}\r\n){2,}' % (size, size)
        )
        for size in range(1, _SMALL_BYTES + 1)
    }


_RUNS: Final = _runs_of_small_chunks()


class ChunkedDecoder:
    """Decodes a body from the bytes that have arrived.

    Attributes
    ----------
    chunks : int
        Number of chunks that the last call has decoded one by one.
    """

    __slots__ = ('_left', '_part', '_trailer_bytes', 'chunks')

    def __init__(self) -> None:
        self.chunks = 0
        self._part = _Part.SIZE
        # Bytes that are left of the chunk.
        self._left = 0
        self._trailer_bytes = 0

    @property
    def is_complete(self) -> bool:
        """Whether the end of the body was decoded."""
        return self._part is _Part.NOTHING

    @property
    def payload_left(self) -> int:
        """Bytes that are left of the current chunk."""
        return self._left if self._part is _Part.PAYLOAD else 0

    def decode(self, received: bytes) -> tuple[bytes, int]:
        """Decode as much as possible.

        Parameters
        ----------
        received : bytes
            Bytes of the connection from the first that is not decoded.

        Returns
        -------
        bytes, int
            Part of the body, and how many bytes were decoded. Those that are
            left are the start of a line, or follow the body.

        Raises
        ------
        ChunkedError
            If the bytes are not valid.
        """
        self.chunks = 0
        pieces: list[bytes] = []
        start = 0
        while start < len(received):
            end = self._step(received, start, pieces)
            if end == start:
                break
            start = end
        return b''.join(pieces), start

    def _step(self, received: bytes, start: int, pieces: list[bytes]) -> int:
        """Decode one part; return its end, or its start if it is cut off."""
        part = self._part
        if part is _Part.PAYLOAD:
            return self._take_payload(received, start, pieces)
        if part is _Part.SIZE:
            return self._take_run(received, start, pieces)
        if part is _Part.CHUNK_END:
            return self._take_chunk_end(received, start)
        if part is _Part.TRAILER:
            return self._take_trailer(received, start)
        return start

    def _take_run(
        self, received: bytes, start: int, pieces: list[bytes]
    ) -> int:
        """Decode small chunks of the same size, or else one size."""
        pattern = _RUNS.get(received[start])
        run = pattern.match(received, start) if pattern else None
        if run is None:
            return self._take_size(received, start)
        pieces.append(_payload_of_run(run.group()))
        return run.end()

    def _take_size(self, received: bytes, start: int) -> int:
        line = _SIZE.match(received, start)
        if line is None:
            _require_unfinished_line(received, start)
            return start
        if line.end() - start > _MAX_LINE_BYTES:
            raise ChunkedError('a line of the chunked body is too long')
        self.chunks += 1
        self._left = int(line.group(1), _HEX)
        self._part = _Part.PAYLOAD if self._left else _Part.TRAILER
        return line.end()

    def _take_payload(
        self, received: bytes, start: int, pieces: list[bytes]
    ) -> int:
        end = min(start + self._left, len(received))
        pieces.append(received[start:end])
        self._left -= end - start
        if not self._left:
            self._part = _Part.CHUNK_END
        return end

    def _take_chunk_end(self, received: bytes, start: int) -> int:
        end = received[start : start + len(_CRLF)]
        if end == _CRLF:
            self._part = _Part.SIZE
            return start + len(_CRLF)
        if end == _CRLF[:1]:
            return start
        raise ChunkedError('a chunk does not end at its size')

    def _take_trailer(self, received: bytes, start: int) -> int:
        end = received.find(_CRLF, start)
        if end < 0:
            _require_unfinished_line(received, start)
            return start
        size = end - start + len(_CRLF)
        self._trailer_bytes += size
        if self._trailer_bytes > _MAX_TRAILER_BYTES:
            raise ChunkedError('the trailers of the body are too long')
        if end == start:
            self._part = _Part.NOTHING
        return start + size


def _payload_of_run(run: bytes) -> bytes:
    """Return the payload of several chunks of the same small size."""
    size = int(run[:1], _HEX)
    stride = _SIZE_LINE_BYTES + size + len(_CRLF)
    return b''.join(
        run[start : start + size]
        for start in range(_SIZE_LINE_BYTES, len(run), stride)
    )


def _require_unfinished_line(received: bytes, start: int) -> None:
    """Raise unless the rest may become a valid line."""
    rest = len(received) - start
    if b'\n' in received[start:] or rest > _MAX_LINE_BYTES:
        raise ChunkedError('a line of the chunked body is invalid')

"""Reader of the responses on one connection, which checks their framing."""

from __future__ import annotations

import re
from typing import Any, Final

from apricotcart.responses.framing import FramingError

# Maximum size of the headers before a response, interim ones included.
_MAX_HEAD_BYTES: Final = 262_144
# Source: RFC 9112, section 7.1.
_CHUNK_SIZE: Final = re.compile(rb'([0-9A-Fa-f]+)[ \t]*(?:;[^\r\n]*)?\r?\n')
_CRLF: Final = b'\r\n'


class ResponseReader:
    """The buffered reader of a connection, shared by all its responses.

    The HTTP library opens a new reader for each response, which would lose
    the bytes of the next response that the old reader has buffered.

    It also parses a chunked body leniently: a truncated or misread one could
    end as if it were complete.
    """

    __slots__ = (
        '_expects_chunk_size',
        '_head_bytes',
        '_is_chunked',
        '_is_head',
        '_reader',
        'closed',
    )

    def __init__(self, reader: Any) -> None:
        self._reader = reader
        self._head_bytes = 0
        self._is_head = True
        self._is_chunked = False
        self._expects_chunk_size = False
        self.closed = False

    def __getattr__(self, name: str) -> Any:
        return getattr(self._reader, name)

    def readline(self, limit: int = -1) -> bytes:
        """Read a line; raise if the connection ends within it.

        The HTTP library treats the end of the connection as the end of the
        headers, and would accept a truncated header block as that of a
        response without a length.

        Raises
        ------
        FramingError
            If a chunk has an invalid size.
        """
        line: bytes = self._reader.readline(limit)
        if self._is_head:
            self._count_head(len(line))
        if not line.endswith(b'\n') and len(line) != limit:
            raise ConnectionResetError(
                'the connection ended within a header line'
            )
        if self._expects_chunk_size:
            self._check_chunk_size(line)
        return line

    def read(self, size: int = -1) -> bytes:
        """Read bytes, which in a chunked body are the end of a chunk.

        The HTTP library reads the data of chunks with ``read1``.

        Raises
        ------
        FramingError
            If a chunk does not end where its size says.
        """
        received: bytes = self._reader.read(size)
        if self._is_chunked and received != _CRLF:
            raise FramingError('a chunk does not end at its size')
        return received

    def end_head(self, *, is_chunked: bool) -> None:
        """End the headers; further lines are those of a chunked body."""
        self._is_head = False
        self._is_chunked = is_chunked
        self._expects_chunk_size = is_chunked

    def makefile(self, mode: str) -> ResponseReader:
        """Return this reader where the library would open a new one."""
        return self

    def close(self) -> None:
        """Leave the reader open, since the next response needs it."""

    def _count_head(self, size: int) -> None:
        # The HTTP library limits each block of headers, but not the number
        # of interim responses.
        self._head_bytes += size
        if self._head_bytes > _MAX_HEAD_BYTES:
            raise FramingError(
                f'the headers of the response exceed {_MAX_HEAD_BYTES} bytes'
            )

    def _check_chunk_size(self, line: bytes) -> None:
        size = _CHUNK_SIZE.fullmatch(line)
        if size is None:
            raise FramingError('a chunk has an invalid size')
        # Trailers follow the last chunk.
        self._expects_chunk_size = size.group(1).strip(b'0') != b''

"""Reader of the responses on one connection, which checks their framing."""

from __future__ import annotations

import enum
import re
from typing import Any, Final, NoReturn

from apricotcart.responses.framing import FramingError
from apricotcart.responses.head_grammar import (
    is_blank,
    require_field_line,
    require_status_line,
)

# Maximum size of the headers and trailers of a response, those of interim ones
# included.
_MAX_HEAD_BYTES: Final = 65_536
# Maximum size of a line: a header, or a chunk size with its extensions.
_MAX_LINE_BYTES: Final = 16_384
# Source: RFC 9112, section 7.1.
_CHUNK_SIZE: Final = re.compile(rb'([0-9A-Fa-f]+)[ \t]*(?:;[^\r\n]*)?\r?\n')
_CRLF: Final = b'\r\n'
_HEX: Final = 16


class _Line(enum.Enum):
    """What the next line of a response is."""

    STATUS = enum.auto()
    HEADER = enum.auto()
    CHUNK_SIZE = enum.auto()
    TRAILER = enum.auto()


class ResponseReader:
    """The buffered reader of a connection, shared by all its responses.

    The HTTP library opens a new reader for each response, which would lose
    the bytes of the next response that the old reader has buffered.

    It also parses heads and chunked bodies leniently: a truncated or misread
    response could end as if it were complete.
    """

    __slots__ = (
        '_chunk_bytes_left',
        '_expected_line',
        '_head_bytes',
        '_is_chunked',
        '_reader',
        'closed',
    )

    def __init__(self, reader: Any) -> None:
        self._reader = reader
        self._head_bytes = 0
        self._chunk_bytes_left = 0
        self._is_chunked = False
        self._expected_line = _Line.STATUS
        self.closed = False

    def __getattr__(self, name: str) -> Any:
        return getattr(self._reader, name)

    def readline(self, limit: int = -1) -> bytes:
        """Read a line; raise if it is invalid or the connection ends in it.

        The HTTP library treats the end of the connection as the end of the
        headers, and would accept a truncated header block as that of a
        response without a length.

        Raises
        ------
        FramingError
            If the line is not what the grammar expects at its place.
        """
        limit = min(limit, _MAX_LINE_BYTES) if limit > 0 else _MAX_LINE_BYTES
        line: bytes = self._reader.readline(limit)
        if self._expected_line is not _Line.CHUNK_SIZE:
            self._count_head(len(line))
        if not line.endswith(b'\n'):
            _raise_unterminated(line, limit)
        self._check_line(line)
        return line

    def read(self, size: int = -1) -> bytes:
        """Read bytes; in a chunked body, check the end of each chunk.

        Raises
        ------
        FramingError
            If a chunk does not end where its size says.
        """
        received: bytes = self._reader.read(size)
        if self._is_chunked and not self._chunk_bytes_left:
            _require_chunk_end(received)
        else:
            self._count_body(len(received))
        return received

    def read1(self, size: int = -1) -> bytes:
        """Read available bytes of the body."""
        received: bytes = self._reader.read1(size)
        self._count_body(len(received))
        return received

    def readinto(self, buffer: Any) -> int:
        """Read bytes of the body into a buffer; return their number."""
        size: int = self._reader.readinto(buffer)
        self._count_body(size)
        return size

    def end_head(self, *, is_chunked: bool) -> None:
        """End the headers; further lines are those of a chunked body."""
        self._is_chunked = is_chunked
        self._expected_line = _Line.CHUNK_SIZE

    def makefile(self, mode: str) -> ResponseReader:
        """Return this reader where the library would open a new one."""
        return self

    def close(self) -> None:
        """Leave the reader open, since the next response needs it."""

    def _count_head(self, size: int) -> None:
        # The HTTP library limits each block of headers, but neither the number
        # of interim responses nor the trailers.
        self._head_bytes += size
        if self._head_bytes > _MAX_HEAD_BYTES:
            raise FramingError(
                f'the headers of the response exceed {_MAX_HEAD_BYTES} bytes'
            )

    def _count_body(self, size: int) -> None:
        self._chunk_bytes_left = max(self._chunk_bytes_left - size, 0)

    def _check_line(self, line: bytes) -> None:
        expected = self._expected_line
        if expected is _Line.STATUS:
            require_status_line(line)
            self._expected_line = _Line.HEADER
        elif expected is _Line.CHUNK_SIZE:
            self._check_chunk_size(line)
        else:
            require_field_line(line)
            if expected is _Line.HEADER and is_blank(line):
                # The next response follows unless this one is final.
                self._expected_line = _Line.STATUS

    def _check_chunk_size(self, line: bytes) -> None:
        size = _CHUNK_SIZE.fullmatch(line)
        if size is None:
            raise FramingError('a chunk has an invalid size')
        self._chunk_bytes_left = int(size.group(1), _HEX)
        if not self._chunk_bytes_left:
            self._expected_line = _Line.TRAILER


def _raise_unterminated(line: bytes, limit: int) -> NoReturn:
    """Raise the reason for which a line has no end."""
    if len(line) == limit:
        raise FramingError(f'a line of the response exceeds {limit} bytes')
    raise ConnectionResetError('the connection ended within a line')


def _require_chunk_end(received: bytes) -> None:
    if received != _CRLF:
        raise FramingError('a chunk does not end at its size')

"""Bodies of requests as they arrive on a connection."""

from __future__ import annotations

import threading
from abc import ABC, abstractmethod
from contextlib import nullcontext
from typing import Any, Final

from apricotcart.timers.clock import boot_clock_s
from apricotcart.web.body_memory import BodyPlace
from apricotcart.web.chunked import ChunkedDecoder
from apricotcart.web.errors import IncompleteBodyError

# Maximum time for which a thread waits until it checks whether its body has
# given way to others.
_CHECK_S: Final = 0.5
_READ_BYTES: Final = 65_536
# A step that decodes so many chunks, or so much framing beside the payload,
# takes turns with those of other connections.
_MANY_CHUNKS: Final = 64
_MUCH_FRAMING_BYTES: Final = 512


class BodyStream(ABC):
    """A body, which is read from a connection in parts.

    Parameters
    ----------
    reader : CallerReader
        Buffered reader of the connection.
    place : BodyPlace
        Counts what the body holds.

    Attributes
    ----------
    place : BodyPlace
        Counts what the body holds.
    """

    def __init__(self, reader: Any, place: BodyPlace) -> None:
        self._reader = reader
        self.place = place

    @property
    @abstractmethod
    def is_complete(self) -> bool:
        """Whether all of the body was read."""

    def read(self, size: int | None = None) -> bytes:
        """Return bytes that have arrived, b'' at the end of the body.

        Without a size, return all of the body.

        Raises
        ------
        TimeoutError
            If nothing arrives before the deadline of the body.
        BodyMemoryError
            If the body has given way to others.
        ChunkedError, IncompleteBodyError
            If the body is invalid.
        """
        if size is not None and size >= 0:
            return self._read_some(size)
        pieces = []
        while piece := self._read_some(_READ_BYTES):
            pieces.append(piece)
        return b''.join(pieces)

    @abstractmethod
    def _read_some(self, size: int) -> bytes:
        """Return bytes of the body, b'' at its end."""

    def _wait(self) -> None:
        """Wait until bytes arrive that are not buffered."""
        while True:
            self.place.wait(boot_clock_s())
            if self._reader.socket_reader.wait_readable(_CHECK_S):
                return

    def _read_directly(self, size: int) -> bytes:
        """Return bytes that arrive, without buffering them."""
        self._wait()
        received: bytes = self._reader.socket_reader.read(size)
        return received


class LengthBody(BodyStream):
    """A body whose length is known.

    Attributes
    ----------
    remaining : int
        Bytes that were not read yet.
    """

    def __init__(self, reader: Any, place: BodyPlace, length: int) -> None:
        super().__init__(reader, place)
        self.remaining = length

    @property
    def is_complete(self) -> bool:
        """Whether all of the body was read."""
        return not self.remaining

    def _read_some(self, size: int) -> bytes:
        wanted = min(size, self.remaining, _READ_BYTES)
        if not wanted:
            return b''
        if self._reader.has_data():
            received: bytes = self._reader.read1(wanted)
        else:
            received = self._read_directly(wanted)
        self.remaining -= len(received)
        return received


class ChunkedBody(BodyStream):
    """A body in the chunked transfer coding.

    Parameters
    ----------
    turns : threading.Lock
        Held while a costly part is decoded. Such bodies together take no more
        of the processor than one thread, and leave the rest to other requests.
    """

    def __init__(
        self, reader: Any, place: BodyPlace, turns: threading.Lock
    ) -> None:
        super().__init__(reader, place)
        self._turns = turns
        self._decoder = ChunkedDecoder()
        self._is_costly = False

    @property
    def is_complete(self) -> bool:
        """Whether all of the body was read."""
        return self._decoder.is_complete

    def _read_some(self, size: int) -> bytes:
        while size and not self._decoder.is_complete:
            piece = self._read_part(size)
            if piece:
                return piece
        return b''

    def _read_part(self, size: int) -> bytes:
        """Return a part of the body, empty if only framing has arrived."""
        reader = self._reader
        wanted = min(size, self._decoder.payload_left, _READ_BYTES)
        if wanted > reader.buffer_size and not reader.has_data():
            received = self._read_directly(wanted)
            self._require_more(received)
            return self._decoder.decode(received)[0]
        if not reader.has_data():
            self._wait()
            # Before the turn, which others wait for: a TLS read may block
            # although the socket is readable.
            self._require_more(reader.peek(1))
        with self._turns if self._is_costly else nullcontext():
            piece, used, rest = self._decode_buffered()
        if not used:
            self._wait()
            self._require_more(reader.peek(rest + 1)[rest:])
        return piece

    def _decode_buffered(self) -> tuple[bytes, int, int]:
        received = self._reader.peek(1)
        self._require_more(received)
        piece, used = self._decoder.decode(received)
        self._reader.read(used)
        framing = used - len(piece)
        self._is_costly = self._decoder.chunks >= _MANY_CHUNKS or (
            framing > _MUCH_FRAMING_BYTES and framing > len(piece)
        )
        return piece, used, len(received) - used

    def _require_more(self, received: bytes) -> None:
        if not received:
            raise IncompleteBodyError('the chunked body was cut off')

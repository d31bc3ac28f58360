"""Body of a request while it arrives and until its last attempt ends."""

from __future__ import annotations

import mmap
import weakref
from collections.abc import Callable
from typing import Final

from apricotcart.timers.clock import boot_clock_s
from apricotcart.web.body_memory import (
    UNCOUNTED_BYTES,
    BodyMemoryError,
    BodyPlace,
    refusal,
)

Body = bytes | memoryview
_FIRST_BYTES: Final = 65_536
_PRIVATE: Final = mmap.MAP_PRIVATE | mmap.MAP_ANONYMOUS


class RequestBody:
    """Collects a body, whose place ends with the last reference to its bytes.

    Large bodies are kept outside the heap, so that their memory returns to
    the system at once. Freed memory of the heap stays with its thread.

    Parameters
    ----------
    place : BodyPlace
        Counts what the body holds.
    clock : callable
        Returns the time in seconds.

    Attributes
    ----------
    size : int
        Number of bytes.
    """

    __slots__ = (
        '__weakref__',
        '_block',
        '_clock',
        '_head',
        '_place',
        'size',
    )

    def __init__(
        self, place: BodyPlace, clock: Callable[[], float] = boot_clock_s
    ) -> None:
        self._place = place
        # Without a cycle, which would keep the bytes until it is collected.
        place.drop = weakref.WeakMethod(self.drop)
        self._clock = clock
        self._head = bytearray()
        self._block: mmap.mmap | None = None
        self.size = 0

    def append(self, chunk: bytes) -> None:
        """Add bytes to the end.

        Raises
        ------
        BodyMemoryError
            If all bodies together hold too much.
        """
        size = self.size + len(chunk)
        try:
            self._place.resize(size, self._clock())
        except BodyMemoryError:
            self.discard()
            raise
        self.size = size
        if self._block is None and size <= UNCOUNTED_BYTES:
            self._head += chunk
        else:
            self._append_to_block(chunk)

    def finish(self) -> Body:
        """Return the complete body.

        Raises
        ------
        BodyMemoryError
            If it has given way to others.
        """
        self._place.complete()
        if self._place.is_refused:
            self.discard()
            raise refusal()
        if self._block is None:
            return bytes(self._head)
        return memoryview(self._block)[: self.size].toreadonly()

    def discard(self) -> None:
        """Drop what has arrived, and give the place back."""
        self.drop()
        self._place.release()

    def drop(self) -> None:
        """Drop what has arrived."""
        self._block = None
        self._head = bytearray()

    def _append_to_block(self, chunk: bytes) -> None:
        block = self._block
        if block is None:
            block = mmap.mmap(-1, max(_FIRST_BYTES, self.size), flags=_PRIVATE)
            weakref.finalize(block, self._place.release)
            block.write(self._head)
            self._head = bytearray()
            self._block = block
        if self.size > len(block):
            # Pages that were never written take no memory.
            block.resize(max(self.size, 2 * len(block)))
        block.write(chunk)

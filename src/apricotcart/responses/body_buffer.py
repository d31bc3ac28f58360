"""Body of a response that is received as a whole."""

from __future__ import annotations

import mmap
from collections.abc import Iterator
from typing import Final

from apricotcart.responses.memory import UNCOUNTED_BYTES, HeldBytes

_BLOCK_BYTES: Final = 262_144
_READ_BYTES: Final = 65_536


class BodyBuffer:
    """Keeps a body until it is delivered.

    Large bodies are kept in blocks of their own, outside the heap, so that
    their memory returns to the system at once. Freed memory of the heap stays
    with the thread that used it; with hundreds of threads that is a multiple
    of what all responses hold.

    Parameters
    ----------
    held : HeldBytes
        Limits what the body may hold.

    Attributes
    ----------
    held : HeldBytes
        Counts what the body holds.
    size : int
        Number of bytes.
    """

    __slots__ = ('_blocks', '_head', '_room', 'held', 'size')

    def __init__(self, held: HeldBytes) -> None:
        self.held = held
        self._head = bytearray()
        self._blocks: list[mmap.mmap] = []
        # Free bytes of the last block.
        self._room = 0
        self.size = 0

    def __iter__(self) -> Iterator[bytes]:
        """Yield the body in pieces."""
        if self._head:
            yield bytes(self._head)
        left = self.size - len(self._head)
        for block in self._blocks:
            end = min(left, _BLOCK_BYTES)
            for start in range(0, end, _READ_BYTES):
                yield block[start : min(start + _READ_BYTES, end)]
            left -= end

    def append(self, chunk: bytes) -> None:
        """Add bytes to the end.

        Raises
        ------
        ResponseMemoryError
            If all responses together hold too much.
        """
        self.held.resize(self.size + len(chunk))
        self.size += len(chunk)
        if not self._blocks and self.size <= UNCOUNTED_BYTES:
            self._head += chunk
        else:
            self._append_to_blocks(memoryview(chunk))

    def discard(self) -> None:
        """Drop all bytes.

        Errors keep the frames that they pass, and what these refer to, until
        the next garbage collection.
        """
        self._head = bytearray()
        self._blocks.clear()
        self._room = 0
        self.size = 0
        self.held.resize(0)

    def _append_to_blocks(self, chunk: memoryview) -> None:
        left = chunk
        while left:
            if not self._room:
                self._blocks.append(mmap.mmap(-1, _BLOCK_BYTES))
                self._room = _BLOCK_BYTES
            part = left[: self._room]
            self._blocks[-1].write(part)
            self._room -= len(part)
            left = left[len(part) :]

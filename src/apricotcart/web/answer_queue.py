"""What is left to send of a whole answer."""

from __future__ import annotations

from collections import deque
from collections.abc import Iterator
from typing import Final

# Small pieces of an answer are sent together up to this size.
_JOINED_BYTES: Final = 16_384


class AnswerQueue:
    """Pieces in the order in which they are sent."""

    __slots__ = ('_next', '_pieces')

    def __init__(self) -> None:
        self._pieces: deque[Iterator[bytes]] = deque()
        self._next = memoryview(b'')

    def __bool__(self) -> bool:
        """Return whether anything may be left."""
        return bool(self._next or self._pieces)

    def add(self, pieces: Iterator[bytes]) -> None:
        """Add pieces to the end."""
        self._pieces.append(pieces)

    def peek(self) -> memoryview:
        """Return the bytes to send next, none at the end."""
        if not self._next:
            self._next = memoryview(b''.join(self._take()))
        return self._next

    def drop(self, size: int) -> None:
        """Remove bytes that are sent."""
        self._next = self._next[size:]

    def clear(self) -> None:
        """Remove all that is left."""
        self._pieces.clear()
        self._next = memoryview(b'')

    def _take(self) -> list[bytes]:
        taken: list[bytes] = []
        size = 0
        while self._pieces and size < _JOINED_BYTES:
            piece = next(self._pieces[0], None)
            if piece is None:
                self._pieces.popleft()
            else:
                taken.append(piece)
                size += len(piece)
        return taken

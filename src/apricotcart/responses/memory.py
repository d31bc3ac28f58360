"""Limit on the memory that responses hold together."""

from __future__ import annotations

import threading
import weakref
from typing import Final

# Bytes that any response may hold. Together with the number of requests in
# progress it bounds what is not counted.
UNCOUNTED_BYTES: Final = 65_536
# Maximum number of counted bytes of all responses of a process, whose memory is
# a few hundred MB.
_LIMIT_BYTES: Final = 33_554_432


class ResponseMemoryError(ValueError):
    """The responses of endpoints hold too much memory together."""


class HeldBytes:
    """Bytes that one response holds, until no reference to it is left."""

    __slots__ = ('__weakref__', '_counted', '_memory')

    def __init__(self, memory: ResponseMemory) -> None:
        self._memory = memory
        self._counted = _Count()
        weakref.finalize(self, memory.release, self._counted)

    def resize(self, size: int) -> None:
        """Set the number of bytes that the response holds.

        Raises
        ------
        ResponseMemoryError
            If it may not grow, since all responses hold too much together.
        """
        counted = max(0, size - UNCOUNTED_BYTES)
        if counted != self._counted.size:
            self._memory.resize(self._counted, counted)


class ResponseMemory:
    """Memory of the responses that a process receives.

    Sound responses are small and are always received. Those that grow beyond
    are rejected while others hold the limit, so that endpoints which send
    without end do not fill the memory.

    Parameters
    ----------
    limit_bytes : int
        Maximum number of counted bytes.
    """

    __slots__ = ('_limit_bytes', '_lock', '_total')

    def __init__(self, limit_bytes: int = _LIMIT_BYTES) -> None:
        self._limit_bytes = limit_bytes
        self._lock = threading.RLock()
        self._total = 0

    def hold(self) -> HeldBytes:
        """Return a response that holds nothing yet."""
        return HeldBytes(self)

    def resize(self, count: _Count, size: int) -> None:
        """Change the counted bytes of one response.

        Raises
        ------
        ResponseMemoryError
            If they grow beyond the limit.
        """
        with self._lock:
            total = self._total + size - count.size
            if size > count.size and total > self._limit_bytes:
                raise ResponseMemoryError(
                    'the responses of endpoints hold more than '
                    f'{self._limit_bytes} bytes'
                )
            self._total = total
            count.size = size

    def release(self, count: _Count) -> None:
        """Release all bytes of a response."""
        self.resize(count, 0)


class _Count:
    """Counted bytes of one response; outlives it for its release."""

    __slots__ = ('size',)

    def __init__(self) -> None:
        self.size = 0

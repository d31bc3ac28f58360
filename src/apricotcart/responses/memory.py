"""Limit on the memory that responses hold together."""

from __future__ import annotations

import threading
import weakref
from abc import ABC, abstractmethod
from collections.abc import Callable, Iterable
from typing import Any, Final

from apricotcart.observability.decisions import ANSWER_GAVE_WAY, log_decision
from apricotcart.timers.clock import boot_clock_s

# Bytes that any response may hold. Together with the number of requests in
# progress it bounds what is not counted.
UNCOUNTED_BYTES: Final = 16_384
_DEFAULT_LIMIT_BYTES: Final = 33_554_432
# A caller that has not read for this time may lose its answer to others.
_DEFAULT_GRACE_S: Final = 2.0


class ResponseMemoryError(ValueError):
    """The responses of endpoints hold too much memory together."""


class SlowReader(ABC):
    """A caller that does not read its answer as fast as it could be sent."""

    __slots__ = ()

    @abstractmethod
    def end(self) -> None:
        """End the answer as incomplete; any thread may call this."""


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
            If it may not grow, since all responses hold too much together, or
            if it has given way to others.
        """
        counted = max(0, size - UNCOUNTED_BYTES)
        if counted != self._counted.size:
            self._memory.resize(self._counted, counted)

    def start_waiting(
        self, reader: SlowReader, extra: int, door: Any = None
    ) -> None:
        """Note that the caller does not read; the response may give way.

        Parameters
        ----------
        reader : SlowReader
            The caller.
        extra : int
            Bytes that are held while it does not read, on top of those counted.
        door : object
            Whose threads are occupied meanwhile; None if none is.
        """
        self._memory.start_waiting(self._counted, reader, extra, door)

    def stop_waiting(self) -> None:
        """Note that the caller has read."""
        self._memory.stop_waiting(self._counted)


class ResponseMemory:
    """Memory of the responses that a process receives and sends.

    Sound responses are small and are always received. Those that grow beyond
    are rejected while others hold the limit, so that endpoints which send
    without end do not fill the memory. Before a rejection, the responses whose
    callers do not read them give way: that which has held most for longest
    first.

    Parameters
    ----------
    limit_bytes : int
        Maximum number of counted bytes.
    grace_s : float
        Time in seconds for which a caller may not read before its response
        gives way; all times at which it did not read count together.
    clock : callable
        Returns the time in seconds.
    """

    __slots__ = (
        '_clock',
        '_grace_s',
        '_limit_bytes',
        '_lock',
        '_total',
        '_waiting',
    )

    def __init__(
        self,
        limit_bytes: int = _DEFAULT_LIMIT_BYTES,
        grace_s: float = _DEFAULT_GRACE_S,
        clock: Callable[[], float] = boot_clock_s,
    ) -> None:
        self._limit_bytes = limit_bytes
        self._grace_s = grace_s
        self._clock = clock
        # Reentrant, since a response may be released while another is counted.
        self._lock = threading.RLock()
        self._total = 0
        self._waiting: set[_Count] = set()

    @property
    def total(self) -> int:
        """Counted bytes of all responses."""
        return self._total

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
            added = size - count.size
            fits = added <= 0 or self._make_room(added)
            if not fits or (count.has_ended and size):
                raise ResponseMemoryError(
                    'the responses of endpoints hold more than '
                    f'{self._limit_bytes} bytes'
                )
            self._total += added
            count.size = size

    def release(self, count: _Count) -> None:
        """Release all bytes of a response."""
        with self._lock:
            self._waiting.discard(count)
            self._total -= count.size + count.extra
            count.size = 0
            count.extra = 0

    def start_waiting(
        self, count: _Count, reader: SlowReader, extra: int, door: Any
    ) -> None:
        """Note that a response waits for its caller to read."""
        with self._lock:
            self._make_room(extra)
            self._total += extra
            count.extra = extra
            count.reader = reader
            count.door = door
            count.since = self._clock()
            self._waiting.add(count)

    def stop_waiting(self, count: _Count) -> None:
        """Note that a caller has read."""
        with self._lock:
            if count not in self._waiting:
                return
            self._waiting.discard(count)
            self._total -= count.extra
            count.extra = 0
            count.waited_s += self._clock() - count.since

    def end_longest(self, door: Any) -> bool:
        """End the response that has kept a thread waiting for longest.

        Parameters
        ----------
        door : object
            Whose threads are needed.

        Returns
        -------
        bool
            Whether there was one.
        """
        with self._lock:
            late = self._late()
            held = [count for count in late if count.door is door]
            return self._end_first(held, _waited_s)

    def _make_room(self, added: int) -> bool:
        """Let responses give way; return whether there is room."""
        while self._total + added > self._limit_bytes:
            if not self._end_first(self._late(), _cost):
                return False
        return True

    def _late(self) -> list[_Count]:
        now = self._clock()
        return [
            count
            for count in self._waiting
            if count.total_waited_s(now) > self._grace_s
        ]

    def _end_first(
        self, late: Iterable[_Count], rank: Callable[[_Count, float], float]
    ) -> bool:
        now = self._clock()
        victim = max(late, key=lambda count: rank(count, now), default=None)
        if victim is None or victim.reader is None:
            return False
        log_decision(
            ANSWER_GAVE_WAY,
            bytes_out=victim.size + victim.extra,
            held_bytes=self._total,
            duration_s=victim.total_waited_s(now),
        )
        victim.has_ended = True
        self.release(victim)
        victim.reader.end()
        return True


class _Count:
    """Counted bytes of one response; outlives it for its release."""

    __slots__ = (
        'door',
        'extra',
        'has_ended',
        'reader',
        'since',
        'size',
        'waited_s',
    )

    def __init__(self) -> None:
        self.size = 0
        # Held only while the caller does not read.
        self.extra = 0
        self.has_ended = False
        self.reader: SlowReader | None = None
        self.door: Any = None
        # Start of the wait, and the duration of those before, in seconds.
        self.since: float = 0
        self.waited_s: float = 0

    def total_waited_s(self, now: float) -> float:
        """Return how long the caller has not read, in seconds."""
        return self.waited_s + now - self.since


def _cost(count: _Count, now: float) -> float:
    return (count.size + count.extra) * count.total_waited_s(now)


def _waited_s(count: _Count, now: float) -> float:
    return count.total_waited_s(now)

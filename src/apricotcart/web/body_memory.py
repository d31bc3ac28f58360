"""Limit on what the bodies of callers hold together in a process."""

from __future__ import annotations

import threading
import weakref
from collections.abc import Callable
from typing import Any, Final

from apricotcart.errors.tree import NotRunError
from apricotcart.observability.decisions import (
    BODY_GAVE_WAY,
    BODY_REFUSED,
    log_decision,
)
from apricotcart.timers.clock import boot_clock_s

# Bytes that any body may hold. Together with the number of threads it bounds
# what is not counted.
UNCOUNTED_BYTES: Final = 16_384
# Delay before a caller may send its body again.
_RETRY_AFTER_S: Final = 1.0
_DEFAULT_LIMIT_BYTES: Final = 33_554_432
# A body that arrives within this time gives way to no other one.
_DEFAULT_GRACE_S: Final = 2.0
_DEFAULT_MAX_WAITING: Final = 400


class BodyMemoryError(NotRunError):
    """The bodies of callers hold too much memory together."""

    code = 'body_memory'


class BodyPlace:
    """What one body holds, until it is released.

    Attributes
    ----------
    counted : int
        Bytes that count against the limit.
    door : object
        Whose thread reads the body.
    drop : weakref.WeakMethod or None
        Drops the bytes of the body when it gives way.
    since : float
        When the first part of the body was awaited, in seconds.
    is_refused : bool
        Whether the body has given way or was refused.
    """

    __slots__ = ('_memory', 'counted', 'door', 'drop', 'is_refused', 'since')

    def __init__(self, memory: BodyMemory, door: Any = None) -> None:
        self._memory = memory
        self.door = door
        self.counted = 0
        self.drop: weakref.WeakMethod[Callable[[], None]] | None = None
        self.since: float = 0
        self.is_refused = False

    def wait(self, now: float) -> None:
        """Note that the thread of the request waits for more of the body.

        Raises
        ------
        BodyMemoryError
            If the body has given way to others.
        """
        if self.is_refused:
            raise refusal()
        if not self.since:
            self._memory.add_waiting(self, now)

    def resize(self, size: int, now: float) -> None:
        """Set how many bytes the body holds.

        Raises
        ------
        BodyMemoryError
            If the body has given way, or may not grow.
        """
        counted = max(0, size - UNCOUNTED_BYTES)
        if counted > self.counted or self.is_refused:
            self._memory.grow(self, counted, now)

    def complete(self) -> None:
        """Note that all of the body has arrived; it gives way no more."""
        self._memory.complete(self)

    def release(self) -> None:
        """Give back all that the body holds."""
        self._memory.release(self)


class BodyMemory:
    """Memory of the bodies that a process has received or receives.

    A body that is not counted is always received. Others are refused while
    the limit is reached, unless another one that is still incomplete has taken
    long: that which has held most for longest gives way. A body that holds
    memory alone may always grow.

    Parameters
    ----------
    limit_bytes : int
        Maximum number of counted bytes.
    grace_s : float
        Time in seconds within which an incomplete body gives way to none.
    max_waiting : int
        Number of incomplete bodies beyond which the oldest gives way.
    clock : callable
        Returns the time in seconds.
    """

    __slots__ = (
        '_clock',
        '_grace_s',
        '_limit_bytes',
        '_lock',
        '_max_waiting',
        '_total',
        '_waiting',
    )

    def __init__(
        self,
        limit_bytes: int = _DEFAULT_LIMIT_BYTES,
        grace_s: float = _DEFAULT_GRACE_S,
        max_waiting: int = _DEFAULT_MAX_WAITING,
        clock: Callable[[], float] = boot_clock_s,
    ) -> None:
        self._clock = clock
        self._limit_bytes = limit_bytes
        self._grace_s = grace_s
        self._max_waiting = max_waiting
        self._lock = threading.RLock()
        self._total = 0
        self._waiting: set[BodyPlace] = set()

    @property
    def total(self) -> int:
        """Counted bytes of all bodies."""
        return self._total

    def add_waiting(self, place: BodyPlace, now: float) -> None:
        """Add a body that is incomplete."""
        with self._lock:
            place.since = now
            self._waiting.add(place)
            if len(self._waiting) > self._max_waiting:
                oldest = min(self._waiting, key=lambda other: other.since)
                if self._is_late(oldest, now):
                    self._let_give_way(oldest, now)

    def end_oldest(self, door: Any) -> bool:
        """Let the oldest body give way that keeps a thread waiting.

        Parameters
        ----------
        door : object
            Whose threads are needed.

        Returns
        -------
        bool
            Whether there was one.
        """
        now = self._clock()
        with self._lock:
            late = [
                place
                for place in self._waiting
                if place.door is door and self._is_late(place, now)
            ]
            oldest = min(late, key=lambda place: place.since, default=None)
            if oldest is not None:
                self._let_give_way(oldest, now)
        return oldest is not None

    def grow(self, place: BodyPlace, counted: int, now: float) -> None:
        """Count more bytes of a body, and let others give way for it.

        Raises
        ------
        BodyMemoryError
            If the body itself has to give way.
        """
        with self._lock:
            while not place.is_refused and self._exceeds(place, counted):
                self._make_room(place, counted, now)
            if place.is_refused:
                raise refusal()
            self._total += counted - place.counted
            place.counted = counted

    def complete(self, place: BodyPlace) -> None:
        """Note that a body is complete."""
        with self._lock:
            self._waiting.discard(place)

    def release(self, place: BodyPlace) -> None:
        """Release all bytes of a body."""
        with self._lock:
            self._waiting.discard(place)
            self._total -= place.counted
            place.counted = 0

    def _exceeds(self, place: BodyPlace, counted: int) -> bool:
        others = self._total - place.counted
        return bool(others) and others + counted > self._limit_bytes

    def _make_room(self, place: BodyPlace, counted: int, now: float) -> None:
        late = [
            other
            for other in self._waiting
            if other.counted and self._is_late(other, now)
        ]
        victim = max(
            late,
            key=lambda other: other.counted * (now - other.since),
            default=None,
        )
        if victim is None or victim is place:
            place.is_refused = True
            log_decision(
                BODY_REFUSED,
                bytes_in=counted,
                held_bytes=self._total,
                duration_s=now - place.since if place.since else 0,
            )
            self.release(place)
        else:
            self._let_give_way(victim, now)

    def _is_late(self, place: BodyPlace, now: float) -> bool:
        return now - place.since > self._grace_s

    def _let_give_way(self, place: BodyPlace, now: float) -> None:
        place.is_refused = True
        log_decision(
            BODY_GAVE_WAY,
            bytes_in=place.counted,
            held_bytes=self._total,
            duration_s=now - place.since,
        )
        self.release(place)
        # The thread of the body may notice it much later.
        drop = place.drop and place.drop()
        if drop:
            drop()


def refusal() -> BodyMemoryError:
    """Return the error of a body that has no place."""
    return BodyMemoryError(
        'the bodies of callers hold too much memory',
        retry_after_s=_RETRY_AFTER_S,
    )

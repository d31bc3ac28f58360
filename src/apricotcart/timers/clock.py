"""Clocks that also advance while the machine is suspended."""

from __future__ import annotations

import time


def steady_s() -> float:
    """Return the time of the boot clock in seconds.

    The monotonic clock stops while the machine is suspended, so a lease
    measured with it would be held past its expiry.
    """
    return time.clock_gettime(time.CLOCK_BOOTTIME)


class TrueClock:
    """Unix time that is unaffected by steps of the host's wall clock.

    Attributes
    ----------
    offset_s : float
        Difference between Unix time and the boot clock in seconds.
    """

    __slots__ = ('offset_s',)

    def __init__(self, offset_s: float) -> None:
        self.offset_s = offset_s

    @classmethod
    def from_host(cls) -> TrueClock:
        """Create a clock that is set to the current wall-clock time."""
        return cls(time.time() - steady_s())

    def now_s(self) -> float:
        """Return Unix time in seconds."""
        return steady_s() + self.offset_s

    def adopt(self, unix_s: float) -> None:
        """Set the clock to the time of a more reliable host."""
        self.offset_s = unix_s - steady_s()

"""Clocks that also advance while the machine is suspended."""

from __future__ import annotations

import time


def boot_clock_s() -> float:
    """Return the time of the boot clock in seconds.

    The monotonic clock stops while the machine is suspended, so a lease
    measured with it would be held past its expiry.
    """
    return time.clock_gettime(time.CLOCK_BOOTTIME)


class SteadyUnixClock:
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
    def from_host(cls) -> SteadyUnixClock:
        """Create a clock that is set to the current wall-clock time."""
        return cls(time.time() - boot_clock_s())

    def now_s(self) -> float:
        """Return Unix time in seconds."""
        return boot_clock_s() + self.offset_s

    def synchronize(self, unix_s: float) -> None:
        """Set the clock to the time of a more reliable host."""
        self.offset_s = unix_s - boot_clock_s()

"""A document that readers see some time after it was written."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

if TYPE_CHECKING:
    from collections.abc import Callable


class LaggingDocument:
    """Shows the version that was in force some time ago.

    Parameters
    ----------
    first : object
        The version before the first write.
    lag_s : float
        Time from a write until readers see it, in seconds.
    clock : Callable
        Gives the time, in seconds.
    """

    __slots__ = ('_clock', '_lag_s', '_versions')

    def __init__(
        self,
        first: Any,
        lag_s: float,
        clock: Callable[[], float],
    ) -> None:
        """Start with one version that is visible at once."""
        self._lag_s = lag_s
        self._clock = clock
        self._versions = [(clock() - lag_s, first)]

    def write(self, version: Any) -> None:
        """Add a version."""
        self._versions.append((self._clock(), version))

    def read(self) -> Any:
        """Give the newest version that is old enough."""
        latest = self._clock() - self._lag_s
        visible = [entry for entry in self._versions if entry[0] <= latest]
        return visible[-1][1]

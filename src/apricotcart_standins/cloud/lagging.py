"""Document whose writes become visible to readers after a delay."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

if TYPE_CHECKING:
    from collections.abc import Callable


class LaggingDocument:
    """Versioned document that is read with a fixed lag.

    Parameters
    ----------
    initial : object
        Version before the first write; visible at once.
    lag_s : float
        Time until a written version becomes visible, in seconds.
    clock : Callable
        Returns the current time, in seconds.
    """

    __slots__ = ('_clock', '_lag_s', '_versions')

    def __init__(
        self,
        initial: Any,
        lag_s: float,
        clock: Callable[[], float],
    ) -> None:
        self._lag_s = lag_s
        self._clock = clock
        self._versions = [(clock() - lag_s, initial)]

    def write(self, version: Any) -> None:
        """Append a version."""
        self._versions.append((self._clock(), version))

    def read(self) -> Any:
        """Return the newest version that is at least `lag_s` old."""
        visible_until = self._clock() - self._lag_s
        visible = [
            entry for entry in self._versions if entry[0] <= visible_until
        ]
        return visible[-1][1]

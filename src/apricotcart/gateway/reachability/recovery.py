"""When a host that was cut off may rely on its connections again."""

from __future__ import annotations

from typing import Final

# Connections must have succeeded without a failure for this long, so that a
# cut that comes and goes does not change the belief with each probe.
_STEADY_S: Final = 1.0
# Different endpoints at which connections must have succeeded.
_STEADY_ENDPOINTS: Final = 3


class Recovery:
    """Successes of new connections since the last failure."""

    __slots__ = ('_first_at', '_last_at', '_reached')

    def __init__(self) -> None:
        self._first_at: float = 0
        self._last_at: float = 0
        self._reached: set[str] = set()

    def on_connected(self, address: str, now: float) -> None:
        """Record a success."""
        if not self._reached:
            self._first_at = now
        self._last_at = now
        self._reached.add(address)

    def on_failed(self, started_at: float) -> None:
        """Forget the successes, unless the connection began before them."""
        if started_at >= self._first_at:
            self.restart()

    def restart(self) -> None:
        """Forget the successes."""
        self._reached.clear()

    def is_complete(self, listed: int) -> bool:
        """Return whether enough of the listed endpoints were reached."""
        required = max(1, min(_STEADY_ENDPOINTS, listed))
        is_steady = self._last_at - self._first_at >= _STEADY_S
        return is_steady and len(self._reached) >= required

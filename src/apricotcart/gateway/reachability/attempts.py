"""The last outcome of new connections to each endpoint."""

from __future__ import annotations

from typing import Final

# An endpoint that was not tried for this long does not count.
_ATTEMPT_TTL_S: Final = 4.0


class Attempts:
    """When each endpoint was last tried, and since when it fails."""

    __slots__ = ('_failing_since', '_tried_at')

    def __init__(self) -> None:
        self._tried_at: dict[str, float] = {}
        self._failing_since: dict[str, float] = {}

    def on_connected(self, address: str, now: float) -> None:
        """Record a new connection."""
        self._tried_at[address] = now
        self._failing_since.pop(address, None)

    def on_failed(self, address: str, started_at: float, now: float) -> None:
        """Record a failed connection that began at a time.

        It does not refute a later one that has succeeded meanwhile.
        """
        is_failing = address in self._failing_since
        if not is_failing and started_at < self._tried_at.get(address, 0):
            return
        self._tried_at[address] = now
        self._failing_since.setdefault(address, started_at)

    def tried_at(self, address: str) -> float:
        """Return when an endpoint was last tried, 0 if that is long ago."""
        return self._tried_at.get(address, 0)

    def retain(self, listed: frozenset[str], now: float) -> None:
        """Forget unlisted endpoints and old attempts."""
        oldest = now - _ATTEMPT_TTL_S
        self._tried_at = {
            address: tried_at
            for address, tried_at in self._tried_at.items()
            if address in listed and tried_at >= oldest
        }
        self._failing_since = {
            address: since
            for address, since in self._failing_since.items()
            if address in self._tried_at
        }

    def clear(self) -> None:
        """Forget all attempts."""
        self._tried_at.clear()
        self._failing_since.clear()

    @property
    def tried(self) -> int:
        """Number of endpoints that were tried."""
        return len(self._tried_at)

    @property
    def failing(self) -> frozenset[str]:
        """Endpoints at which the last attempt failed."""
        return frozenset(self._failing_since)

    @property
    def failing_since(self) -> float | None:
        """When the first of the failing endpoints began to fail."""
        return min(self._failing_since.values(), default=None)

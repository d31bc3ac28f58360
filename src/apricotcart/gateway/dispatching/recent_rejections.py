"""Requests of this host that an endpoint has rejected lately."""

from __future__ import annotations

from typing import Final

# Time for which a rejection counts. It covers any second at the endpoint that
# contains the rejection, and the way back of the response.
_HOLD_S: Final = 1.5
# Time after a rejection without requests that may be rejected, and its upper
# bound. It doubles with a rejection that follows within twice the time.
_PAUSE_S: Final = 1.5
_PAUSE_MAX_S: Final = 12.0


class RecentRejections:
    """When an endpoint rejected requests, and how long to risk no other.

    Attributes
    ----------
    loaded_until : float
        Time until which the endpoint may be full, in seconds.
    """

    __slots__ = ('_held_until', '_pause_s', '_rejected_at', 'loaded_until')

    def __init__(self) -> None:
        self.loaded_until: float = 0
        self._held_until: list[float] = []
        self._pause_s: float = 0
        self._rejected_at: float = 0

    def add(self, now: float) -> None:
        """Count a rejection at a time in seconds."""
        self._held_until.append(now + _HOLD_S)
        is_repeated = now < self._rejected_at + 2 * self._pause_s
        pause_s = 2 * self._pause_s if is_repeated else _PAUSE_S
        self._pause_s = min(pause_s, _PAUSE_MAX_S)
        self._rejected_at = now

    def count(self, now: float) -> int:
        """Return the number of rejections that still count."""
        if self._held_until:
            self._held_until = [
                until for until in self._held_until if until > now
            ]
        return len(self._held_until)

    def is_paused(self, now: float) -> bool:
        """Return whether no request is to be sent that may be rejected."""
        return now < self._rejected_at + self._pause_s

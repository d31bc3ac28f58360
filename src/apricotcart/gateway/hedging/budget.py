"""Limits second attempts to a share of the requests."""

from __future__ import annotations

from typing import Final

# Second attempts that may be saved up while none are needed. With more, a
# disturbance after a calm hour would meet many of them at once.
_MAX_SAVED: Final = 3.0


class HedgeBudget:
    """Second attempts that are still allowed.

    Parameters
    ----------
    share : float
        Second attempts for each request, between 0 and 1.
    """

    __slots__ = ('_saved', 'share')

    def __init__(self, share: float) -> None:
        self.share = share
        self._saved: float = 0

    @property
    def has_room(self) -> bool:
        """Whether a second attempt is allowed now."""
        return self._saved >= 1

    def on_request(self) -> None:
        """Count a request that a second attempt could be made of."""
        self._saved = min(self._saved + self.share, _MAX_SAVED)

    def take(self) -> None:
        """Count a second attempt."""
        self._saved -= 1

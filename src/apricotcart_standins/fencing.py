"""Check of fencing tokens by the receiver of a request."""

from __future__ import annotations


class FencingCheck:
    """Tracks the highest fencing token seen.

    Parameters
    ----------
    enforced : bool
        Whether requests with a lower token are refused.
    """

    __slots__ = ('_enforced', 'highest')

    def __init__(self, *, enforced: bool) -> None:
        """Initialize with no token seen."""
        self._enforced = enforced
        self.highest = 0

    def observe_and_refuse(self, fencing: int) -> bool:
        """Update the highest token; return whether this one is refused."""
        is_stale = fencing < self.highest
        self.highest = max(self.highest, fencing)
        return is_stale and self._enforced

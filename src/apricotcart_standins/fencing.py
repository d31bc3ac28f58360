"""Check of fencing numbers by a receiver."""

from __future__ import annotations


class FencingCheck:
    """Remembers the highest fencing number seen.

    Parameters
    ----------
    enforced : bool
        Whether lower numbers are refused; if not, they are only compared.
    """

    __slots__ = ('_enforced', 'highest')

    def __init__(self, *, enforced: bool) -> None:
        """Start with no number seen."""
        self._enforced = enforced
        self.highest = 0

    def is_refused(self, fencing: int) -> bool:
        """Take a number; tells whether it is too old to be obeyed."""
        is_stale = fencing < self.highest
        self.highest = max(self.highest, fencing)
        return is_stale and self._enforced

"""Decides whether this host may call the platform as the leader."""

from __future__ import annotations

from typing import Final

# Safety margin between the latest end of a call and the end of the lease.
_LEASE_MARGIN_S: Final = 0.1
FIRST_TOKEN: Final = 1


class DutyAuthority:
    """Fencing token of this host for one term of leadership.

    A new holder of the token waits before its first call, so that no call of
    the previous holder is still in flight and the holder never changes twice
    within one lease of the platform.

    Parameters
    ----------
    takeover_delay_s : float
        Time in seconds that a new holder waits.

    Attributes
    ----------
    token : int
        Token held, 0 without one.
    """

    __slots__ = ('_takeover_delay_s', '_ready_at', '_term', 'token')

    def __init__(self, takeover_delay_s: float) -> None:
        self._takeover_delay_s = takeover_delay_s
        self._term = -1
        self._ready_at: float = 0
        self.token = 0

    def needs_token(self, now: float, lease_until: float, term: int) -> bool:
        """Return whether this host leads without a token for its term."""
        if now >= lease_until:
            self.token = 0
            return False
        return not self.token or term != self._term

    def accept_token(self, now: float, term: int, token: int) -> None:
        """Store a token that was committed in a term."""
        self._term = term
        self.token = token
        # The first token of a cluster has no previous holder to wait for.
        delay_s = self._takeover_delay_s if token > FIRST_TOKEN else 0
        self._ready_at = now + delay_s

    def revoke_token(self) -> None:
        """Discard the token because the platform has seen a higher one."""
        self.token = 0

    def may_send(
        self, now: float, lease_until: float, max_call_s: float
    ) -> bool:
        """Return whether a call of up to ``max_call_s`` may start now."""
        if not self.token or now < self._ready_at:
            return False
        return now + max_call_s + _LEASE_MARGIN_S < lease_until

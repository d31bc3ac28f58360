"""Decides how much of its share of a limit a host may use.

Hosts learn of a change of the shares at different times, and some of them do
not learn of it at all for a while. Shares that do not fit together must not add
up to more than the limit allows.
"""

from __future__ import annotations

from typing import Final

from apricotcart.gateway.dispatching.rate_share import RateShare

# Time after which the hosts in touch have learned of a change: several
# intervals of their syncs.
_SETTLING_S: Final = 1.0
# Age above which a share may be outdated. It is below the time after which a
# host that no longer syncs is left out of the shares of the others.
_MAX_AGE_S: Final = 2.5
# A host with an outdated share uses one slot in this many. If all hosts have
# one, that is still enough to use endpoints; beside hosts with a new share, it
# adds a quarter of the limit at most.
STALE_DIVISOR: Final = 4


class SettledShare:
    """The last share that all hosts in touch have had the time to learn.

    Attributes
    ----------
    share : RateShare or None
        This share; None until this host has had one for long enough.
    """

    __slots__ = ('_changed_at', '_latest', '_updated_at', 'share')

    def __init__(self) -> None:
        self.share: RateShare | None = None
        self._latest: RateShare | None = None
        self._changed_at: float = 0
        self._updated_at: float = 0

    def update(self, share: RateShare, now: float) -> None:
        """Apply the share of a sync that was sent at a time, in seconds."""
        latest = self._latest
        self._updated_at = now
        if latest is None or not latest.has_same_division(share):
            self._changed_at = now
        self._latest = share
        if now >= self._changed_at + _SETTLING_S:
            self.share = share

    def divisor(self, now: float) -> int:
        """Return of how many of its slots this host may use one."""
        share = self.share
        latest = self._latest
        if (
            share is None
            or latest is None
            or now > self._updated_at + _MAX_AGE_S
        ):
            return STALE_DIVISOR
        return 1 if share.has_same_division(latest) else STALE_DIVISOR

"""What the leader says about the endpoints that other gateways reach."""

from __future__ import annotations

from collections.abc import Iterable
from typing import Final

# A reply of the leader describes the other gateways for this long. Syncs are
# 0.3 s apart, and one may be lost.
_VIEW_TTL_S: Final = 1.0
# That no gateway reached an endpoint counts longer, so that an outage of all
# endpoints is not taken for a cut while the next leader is elected.
_OUTAGE_TTL_S: Final = 5.0
# The others must have reached endpoints for this long: when endpoints return
# after an outage, one gateway is the first to reach them.
_STEADY_S: Final = 0.7


class OthersView:
    """What the leader last said about the other gateways.

    Parameters
    ----------
    others_reach : bool or None
        Whether another gateway reached an endpoint; None if unknown.
    reached : iterable of str
        Endpoints that other gateways have just reached.
    asked_at : float
        When the sync was sent, in seconds.
    reached_s : float
        Time since another gateway reached an endpoint, in seconds.
    """

    __slots__ = ('asked_at', 'others_reach', 'reached', 'reached_at')

    def __init__(
        self,
        others_reach: bool | None,
        reached: Iterable[str],
        asked_at: float,
        reached_s: float = 0,
    ) -> None:
        self.others_reach = others_reach
        self.reached = frozenset(reached)
        self.asked_at = asked_at
        # The leader replied after that, so this is the earliest time.
        self.reached_at = asked_at - reached_s


class OtherGateways:
    """The last view and how long the others have reached endpoints.

    Attributes
    ----------
    last_view : OthersView
        The last view, of any age.
    reach_since : float or None
        Since when other gateways reach endpoints; None while none does.
    """

    __slots__ = ('last_view', 'reach_since')

    def __init__(self) -> None:
        self.last_view = OthersView(None, (), 0)
        self.reach_since: float | None = None

    def apply(self, view: OthersView) -> None:
        """Replace the view."""
        self.last_view = view
        if not view.others_reach:
            self.reach_since = None
        elif self.reach_since is None:
            self.reach_since = view.asked_at

    def is_known(self, now: float) -> bool:
        """Return whether a recent view says if other gateways reach any."""
        view = self.last_view
        is_fresh = view.asked_at >= now - _VIEW_TTL_S
        return is_fresh and view.others_reach is not None

    def reach_steadily(self, now: float) -> bool:
        """Return whether others have reached endpoints for a while."""
        since = self.reach_since
        return since is not None and since <= now - _STEADY_S

    def have_reached_since(self, since: float) -> bool:
        """Return whether others have reached endpoints since a time."""
        view = self.last_view
        return bool(view.others_reach) and view.reached_at >= since

    def reached(self, now: float) -> frozenset[str]:
        """Return endpoints that others have just reached, if known."""
        return self.last_view.reached if self.is_known(now) else frozenset()

    def are_cut_off_too(self, now: float) -> bool:
        """Return whether no other gateway reaches an endpoint either."""
        view = self.last_view
        is_valid = view.asked_at >= now - _OUTAGE_TTL_S
        return is_valid and view.others_reach is False

    def may_reach(self, address: str, now: float) -> bool:
        """Return whether others may reach an endpoint."""
        reached = self.reached(now)
        return not reached or address in reached

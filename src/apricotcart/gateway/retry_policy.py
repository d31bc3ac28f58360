"""Decides whether a request may be sent to another endpoint.

Answers the load of failing endpoints: repeats stay within a budget that all
hosts share, so that they cannot multiply the load of what is in trouble.
"""

from __future__ import annotations

from typing import Final

from apricotcart.desired.records import Route
from apricotcart.retries.budget import RetryBudget

# Share of the common budget that this system uses; windows of the budget
# slide, and hosts learn late how many of them there are.
_BUDGET_SHARE: Final = 0.6
# Sends of one request, refusals of endpoints included.
MAX_SENDS: Final = 4
# A repeat needs this share of the time to the target, or its answer comes
# too late to be of use.
_LEFT_MIN_S: Final = 0.05


class RepeatPolicy:
    """Budget of repeats by service.

    Parameters
    ----------
    ratio : float
        Repeats allowed for each request of a service, on all hosts.
    extra : float
        Repeats allowed besides in a window, on all hosts together.
    """

    __slots__ = ('_budgets', '_extra', '_hosts', '_ratio')

    def __init__(self, ratio: float, extra: float) -> None:
        """Start with a single host."""
        self._ratio = ratio * _BUDGET_SHARE
        self._extra = extra * _BUDGET_SHARE
        self._hosts = 1
        self._budgets: dict[str, RetryBudget] = {}

    def share_among(self, hosts: int) -> None:
        """Take the number of hosts that share the budget."""
        self._hosts = max(1, hosts)
        for budget in self._budgets.values():
            budget.reserve = self._extra / self._hosts

    def on_request(self, service: str, now: float) -> None:
        """Count the first send of a request."""
        self._budget(service).on_request(now)

    def may_repeat(
        self,
        route: Route,
        *,
        has_run: bool,
        sends: int,
        left_s: float,
        now: float,
    ) -> bool:
        """Decide about one more send, and count it if it is allowed.

        Parameters
        ----------
        route : Route
            Route of the request.
        has_run : bool
            Whether an endpoint may have run it.
        sends : int
            Sends so far.
        left_s : float
            Time to the deadline in seconds.
        now : float
            Time in seconds.
        """
        if sends >= MAX_SENDS or left_s < _LEFT_MIN_S:
            return False
        if has_run and not route.is_repeatable:
            return False
        if has_run and sends >= route.max_endpoints:
            return False
        return self._budget(route.splits[0].service).take(now)

    def _budget(self, service: str) -> RetryBudget:
        budget = self._budgets.get(service)
        if budget is None:
            budget = RetryBudget(self._ratio, self._extra / self._hosts)
            self._budgets[service] = budget
        return budget

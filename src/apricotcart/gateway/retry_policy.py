"""Decides whether a request may be retried at another endpoint.

Retries stay within a budget that all hosts share, so that they cannot multiply
the load on endpoints that are failing.
"""

from __future__ import annotations

from typing import Final

from apricotcart.desired.records import Route
from apricotcart.retries.budget import RetryBudget

# Ratio of the configured budget that is used. The margin is needed since the
# windows of the budget slide and hosts learn of a change of their number late.
_BUDGET_RATIO: Final = 0.6
# Maximum sends of one request, including those that endpoints refused.
MAX_SENDS: Final = 4
# Minimum time to the deadline for a retry; with less, its response would be too
# late.
_REMAINING_MIN_S: Final = 0.05


class RetryPolicy:
    """Retry budget of each service.

    Parameters
    ----------
    ratio : float
        Retries allowed per request of a service.
    extra : float
        Additional retries allowed per window, on all hosts together.
    """

    __slots__ = ('_budgets', '_extra', '_hosts', '_ratio')

    def __init__(self, ratio: float, extra: float) -> None:
        self._ratio = ratio * _BUDGET_RATIO
        self._extra = extra * _BUDGET_RATIO
        self._hosts = 1
        self._budgets: dict[str, RetryBudget] = {}

    def set_host_count(self, hosts: int) -> None:
        """Set the number of hosts that share the budget."""
        self._hosts = max(1, hosts)
        for budget in self._budgets.values():
            budget.min_retries = self._extra / self._hosts

    def on_request(self, service: str, now: float) -> None:
        """Count a new request."""
        self._budget(service).on_request(now)

    def may_retry(
        self,
        route: Route,
        *,
        may_have_run: bool,
        send_count: int,
        remaining_s: float,
        now: float,
    ) -> bool:
        """Return whether a retry is allowed, and count it if so.

        Parameters
        ----------
        route : Route
            Route of the request.
        may_have_run : bool
            Whether an endpoint may have run the request.
        send_count : int
            Sends so far.
        remaining_s : float
            Time to the deadline in seconds.
        now : float
            Time in seconds.
        """
        if send_count >= MAX_SENDS or remaining_s < _REMAINING_MIN_S:
            return False
        if may_have_run and not route.is_retryable:
            return False
        if may_have_run and send_count >= route.max_endpoints:
            return False
        return self._budget(route.splits[0].service).try_acquire(now)

    def _budget(self, service: str) -> RetryBudget:
        budget = self._budgets.get(service)
        if budget is None:
            budget = RetryBudget(self._ratio, self._extra / self._hosts)
            self._budgets[service] = budget
        return budget

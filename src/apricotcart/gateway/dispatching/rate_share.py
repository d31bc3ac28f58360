"""Divides the limits that endpoints name among the hosts.

An endpoint names the requests a second that it takes from all hosts together.
Each period has a whole number of requests, and the hosts divide them by their
rank: what is left after equal shares goes to hosts that a hash selects, so that
a limit of one request a second among many hosts is one request of one host. All
hosts compute the same division, without messages for each request.
"""

from __future__ import annotations

import math
from typing import Final

from apricotcart.gateway.dispatching.hashing import hash_to_unit

# Period for which requests are divided. A request that its host does not use
# within the period is lost.
PERIOD_S: Final = 1.0
# Lowest rate that is divided. Without any request, no host would hear that the
# limit has ended.
MIN_RATE_PER_S: Final = 0.2
# Limits above this rate are as good as none.
_MAX_RATE_PER_S: Final = 1e6


class RateShare:
    """This host's place among the hosts that divide a limit.

    Parameters
    ----------
    rank : int
        Number of hosts before this one in an order that all agree on.
    hosts : int
        Number of hosts.
    unix_offset_s : float
        Difference between Unix time and the clock of the host in seconds, by
        which hosts agree on the current period.
    """

    __slots__ = ('hosts', 'rank', 'unix_offset_s')

    def __init__(
        self, rank: int = 0, hosts: int = 1, unix_offset_s: float = 0
    ) -> None:
        self.rank = rank
        self.hosts = max(1, hosts)
        self.unix_offset_s = unix_offset_s

    def has_same_division(self, other: RateShare) -> bool:
        """Return whether rank and number of hosts are the same."""
        return (self.rank, self.hosts) == (other.rank, other.hosts)

    def period(self, now: float) -> int:
        """Return the number of the period at a time of the host's clock."""
        return math.floor((now + self.unix_offset_s) / PERIOD_S)

    def granted(self, endpoint_id: str, limit_per_s: float, period: int) -> int:
        """Return the requests that this host may send in a period.

        Parameters
        ----------
        endpoint_id : str
            Id of the endpoint.
        limit_per_s : float
            Requests a second that it takes from all hosts together.
        period : int
            Number of the period.
        """
        requests = _requests_in(endpoint_id, limit_per_s, period)
        return self._divide(requests, hash_to_unit(endpoint_id, str(period)))

    def places(self, endpoint_id: str, places: int) -> int:
        """Return how many of an endpoint's places this host may use.

        They do not move between hosts: a request may run for any time.
        """
        return self._divide(places, hash_to_unit(endpoint_id))

    def rate_per_s(self, limit_per_s: float) -> float:
        """Return the mean rate of this host at a limit."""
        return max(limit_per_s, MIN_RATE_PER_S) / self.hosts

    def _divide(self, total: int, selector: float) -> int:
        """Return this host's part of a total, by a selector from 0 to 1."""
        even_share, left = divmod(total, self.hosts)
        shift = int(selector * self.hosts)
        return even_share + ((self.rank + shift) % self.hosts < left)


def _requests_in(endpoint_id: str, limit_per_s: float, period: int) -> int:
    """Return the requests of all hosts together in a period.

    Over many periods they add up to the limit. The phase differs between
    endpoints, so that their periods with a request do too.
    """
    rate_per_s = min(max(limit_per_s, MIN_RATE_PER_S), _MAX_RATE_PER_S)
    per_period = rate_per_s * PERIOD_S
    phase = hash_to_unit(endpoint_id)
    before = math.floor(per_period * period + phase)
    return math.floor(per_period * (period + 1) + phase) - before

"""An entry host's answers to which host to use."""

from __future__ import annotations

import math
import random
from typing import Final

from apricotcart.membership.errors import HostsUnknownError
from apricotcart.membership.records import HostAnswer, HostEntry, HostList
from apricotcart.membership.rotation import Rotation

#: How long an answer holds from the start of the sync that proved the list.
#: A leaving host that waits this long after its report was taken is in no
#: answer that is still kept.
TTL_S: Final = 5.0
#: Allowance for the answer's way to the caller.
LEAVE_MARGIN_S: Final = 0.5
#: An answer that holds for less is not given.
MIN_TTL_S: Final = 0.25
DEFAULT_COUNT: Final = 3
MAX_COUNT: Final = 8

_Weights = dict[str, float]


def leave_at(acknowledged_at: float, ttl_s: float = TTL_S) -> float:
    """Give the time from which no caller uses a leaving host's address.

    Parameters
    ----------
    acknowledged_at : float
        Monotonic time, in s, of the reply to the first sync that reported
        the state ``leaving``.
    ttl_s : float
        Time to live of the answers, equal on all entry hosts.
    """
    return acknowledged_at + ttl_s + LEAVE_MARGIN_S


class HostDirectory:
    """The list of hosts and the rotation over it.

    Parameters
    ----------
    zone : str
        Zone of this entry host, for callers that name none.
    rng : random.Random
        Varies where the rotation starts.
    ttl_s : float
        Time to live of the answers, equal on all entry hosts.
    """

    __slots__ = (
        '_hosts',
        '_own_credit',
        '_positions',
        '_rng',
        '_synced_from',
        '_ttl_s',
        '_zone',
        '_zones',
        'held',
    )

    def __init__(
        self,
        *,
        zone: str,
        rng: random.Random,
        ttl_s: float = TTL_S,
    ) -> None:
        """Start without a list."""
        self._ttl_s = ttl_s
        self._zone = zone
        self._hosts: dict[str, HostEntry] = {}
        #: Weights of the hosts of each zone.
        self._zones: dict[str, _Weights] = {}
        self._synced_from = -math.inf
        self._own_credit: dict[str, float] = {}
        # Hosts and zones take turns at each position of its own. With one
        # rotation for all positions, each host would keep to one of them.
        self._positions: list[tuple[Rotation, Rotation]] = []
        self._rng = rng
        self.held: str | None = None

    def apply(self, listed: HostList, started_at: float) -> None:
        """Take the list of a sync reply.

        A reply of an earlier sync than the latest is ignored, since it may
        name a host that is leaving by now.

        Parameters
        ----------
        listed : HostList
            The list.
        started_at : float
            Monotonic time, in s, before the sync was sent.
        """
        if listed.digest is None or started_at <= self._synced_from:
            return
        if listed.entries is not None:
            self._replace(listed)
        if listed.digest == self.held:
            self._synced_from = started_at

    def answer(
        self,
        now: float,
        zone: str | None = None,
        count: int = DEFAULT_COUNT,
    ) -> HostAnswer:
        """Name hosts in different zones, the caller's own zone first.

        Hosts of one zone take turns by weight. A zone whose hosts are all
        new leads only as many answers as their weight allows.

        Parameters
        ----------
        now : float
            Monotonic time in s.
        zone : str or None
            Zone of the caller; None for that of this host.
        count : int
            Number of addresses wanted.

        Raises
        ------
        HostsUnknownError
            If there is no host or the list is too old.
        """
        ttl_s = self._synced_from + self._ttl_s - now
        if ttl_s < MIN_TTL_S or not self._hosts:
            raise HostsUnknownError('no entry host is known')
        chosen: list[HostEntry] = []
        own = self._zones.get(zone or self._zone)
        if own and self._own_zone_leads(zone or self._zone, own):
            _, hosts = self._rotations(0)
            chosen.append(self._hosts[hosts.choose(own)])
        while len(chosen) < min(count, MAX_COUNT, len(self._hosts)):
            chosen.append(self._next(chosen))
        return HostAnswer(
            addresses=[entry.address for entry in chosen],
            ttl_s=ttl_s,
        )

    def _replace(self, listed: HostList) -> None:
        self._hosts = {entry.host: entry for entry in listed.entries or ()}
        self.held = listed.digest
        self._zones = {}
        for host, entry in self._hosts.items():
            self._zones.setdefault(entry.zone, {})[host] = entry.weight
        for position_zones, position_hosts in self._positions:
            position_zones.keep(self._zones)
            position_hosts.keep(self._hosts)

    def _own_zone_leads(self, zone: str, own: _Weights) -> bool:
        weight = min(1, sum(own.values()))
        credit = self._own_credit.get(zone, 0) + weight
        leads = credit >= 1
        self._own_credit[zone] = credit - 1 if leads else credit
        return leads

    def _next(self, chosen: list[HostEntry]) -> HostEntry:
        free = self._free(chosen)
        zones, hosts = self._rotations(len(chosen))
        zone = zones.choose(
            {name: sum(weights.values()) for name, weights in free.items()},
        )
        return self._hosts[hosts.choose(free[zone])]

    def _free(self, chosen: list[HostEntry]) -> dict[str, _Weights]:
        used_zones = {entry.zone for entry in chosen}
        free = {
            zone: weights
            for zone, weights in self._zones.items()
            if zone not in used_zones
        }
        if free:
            return free
        # With fewer zones than addresses, further hosts of a zone follow.
        used = {entry.host for entry in chosen}
        for zone, weights in self._zones.items():
            left = {
                host: weight
                for host, weight in weights.items()
                if host not in used
            }
            if left:
                free[zone] = left
        return free

    def _rotations(self, position: int) -> tuple[Rotation, Rotation]:
        while len(self._positions) <= position:
            pair = (Rotation(self._rng), Rotation(self._rng))
            self._positions.append(pair)
        return self._positions[position]

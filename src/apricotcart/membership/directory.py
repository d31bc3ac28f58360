"""Host discovery on an entry host."""

from __future__ import annotations

import math
import random
from typing import Final

from apricotcart.membership.errors import HostsUnknownError
from apricotcart.membership.records import HostAnswer, HostEntry, HostList
from apricotcart.membership.rotation import Rotation

#: Time for which an answer is valid from the start of the sync that confirmed
#: the list. After a leaving host's report was acknowledged, it waits this long
#: and is then in no cached answer.
TTL_S: Final = 5.0
#: Allowance for the transmission of an answer to the caller.
LEAVE_MARGIN_S: Final = 0.5
#: No answer is returned that would be valid for less time.
MIN_TTL_S: Final = 0.25
#: Addresses in an answer, by default and at most.
DEFAULT_COUNT: Final = 3
MAX_COUNT: Final = 8

_Weights = dict[str, float]


def answers_expired_at(acknowledged_at: float, ttl_s: float = TTL_S) -> float:
    """Return the time from which no caller uses a leaving host's address.

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
    """The list of entry hosts, from which answers are drawn in rotation.

    Parameters
    ----------
    zone : str
        Zone of this entry host, for callers that name none.
    rng : random.Random
        Randomizes the start of the rotation.
    ttl_s : float
        Time to live of the answers, equal on all entry hosts.

    Attributes
    ----------
    held_digest : str or None
        Digest of the list held; None before the first list.
    """

    __slots__ = (
        '_hosts',
        '_own_zone_credits',
        '_position_rotations',
        '_rng',
        '_sync_started_at',
        '_ttl_s',
        '_zone',
        '_weights_by_zone',
        'held_digest',
    )

    def __init__(
        self,
        *,
        zone: str,
        rng: random.Random,
        ttl_s: float = TTL_S,
    ) -> None:
        self._ttl_s = ttl_s
        self._zone = zone
        self._hosts: dict[str, HostEntry] = {}
        #: Weights of hosts by zone.
        self._weights_by_zone: dict[str, _Weights] = {}
        self._sync_started_at = -math.inf
        self._own_zone_credits: dict[str, float] = {}
        # Each position of an answer has its own rotation of zones and hosts.
        # With a single rotation, each host would always appear at the same
        # position.
        self._position_rotations: list[tuple[Rotation, Rotation]] = []
        self._rng = rng
        self.held_digest: str | None = None

    def apply(self, host_list: HostList, started_at: float) -> None:
        """Apply the list of a sync reply.

        The reply to a sync that started before the latest one is ignored,
        since it may contain a host that is leaving by now.

        Parameters
        ----------
        host_list : HostList
            The list.
        started_at : float
            Monotonic time, in s, before the sync was sent.
        """
        if host_list.digest is None or started_at <= self._sync_started_at:
            return
        if host_list.entries is not None:
            self._replace(host_list)
        if host_list.digest == self.held_digest:
            self._sync_started_at = started_at

    def answer(
        self,
        now: float,
        zone: str | None = None,
        count: int = DEFAULT_COUNT,
    ) -> HostAnswer:
        """Return hosts in different zones, the caller's own zone first.

        The hosts of a zone rotate by weight. A zone whose hosts are all new
        comes first only in the fraction of answers that their total weight
        allows.

        Parameters
        ----------
        now : float
            Monotonic time in s.
        zone : str or None
            Zone of the caller; None for the zone of this host.
        count : int
            Number of addresses wanted.

        Raises
        ------
        HostsUnknownError
            If there is no host or the list is too old.
        """
        ttl_s = self._sync_started_at + self._ttl_s - now
        if ttl_s < MIN_TTL_S or not self._hosts:
            raise HostsUnknownError(
                'no entry host is known or the host list has expired'
            )
        chosen: list[HostEntry] = []
        own_weights = self._weights_by_zone.get(zone or self._zone)
        if own_weights and self._is_own_zone_first(
            zone or self._zone, own_weights
        ):
            _, host_rotation = self._rotations(0)
            chosen.append(self._hosts[host_rotation.choose(own_weights)])
        while len(chosen) < min(count, MAX_COUNT, len(self._hosts)):
            chosen.append(self._choose_next(chosen))
        return HostAnswer(
            addresses=[entry.address for entry in chosen],
            ttl_s=ttl_s,
        )

    def _replace(self, host_list: HostList) -> None:
        self._hosts = {entry.host: entry for entry in host_list.entries or ()}
        self.held_digest = host_list.digest
        self._weights_by_zone = {}
        for host, entry in self._hosts.items():
            self._weights_by_zone.setdefault(entry.zone, {})[host] = (
                entry.weight
            )
        for zone_rotation, host_rotation in self._position_rotations:
            zone_rotation.retain(self._weights_by_zone)
            host_rotation.retain(self._hosts)

    def _is_own_zone_first(self, zone: str, own_weights: _Weights) -> bool:
        weight = min(1, sum(own_weights.values()))
        credit = self._own_zone_credits.get(zone, 0) + weight
        is_first = credit >= 1
        self._own_zone_credits[zone] = credit - 1 if is_first else credit
        return is_first

    def _choose_next(self, chosen: list[HostEntry]) -> HostEntry:
        unused = self._unused_hosts(chosen)
        zone_rotation, host_rotation = self._rotations(len(chosen))
        zone = zone_rotation.choose(
            {name: sum(weights.values()) for name, weights in unused.items()},
        )
        return self._hosts[host_rotation.choose(unused[zone])]

    def _unused_hosts(self, chosen: list[HostEntry]) -> dict[str, _Weights]:
        used_zones = {entry.zone for entry in chosen}
        unused = {
            zone: weights
            for zone, weights in self._weights_by_zone.items()
            if zone not in used_zones
        }
        if unused:
            return unused
        # With fewer zones than addresses, zones are used more than once.
        used = {entry.host for entry in chosen}
        for zone, weights in self._weights_by_zone.items():
            remaining = {
                host: weight
                for host, weight in weights.items()
                if host not in used
            }
            if remaining:
                unused[zone] = remaining
        return unused

    def _rotations(self, position: int) -> tuple[Rotation, Rotation]:
        while len(self._position_rotations) <= position:
            pair = (Rotation(self._rng), Rotation(self._rng))
            self._position_rotations.append(pair)
        return self._position_rotations[position]

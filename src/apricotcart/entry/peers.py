"""The entry hosts that callers may use."""

from __future__ import annotations

import random
from typing import Any

MAX_ADDRESSES = 3


class PeerTable:
    """Answers which entry hosts a caller should use.

    Parameters
    ----------
    zone : str
        Availability zone of this host; its hosts come first.
    ttl_s : float
        How long callers may keep an answer, in seconds.
    rng : random.Random
        Spreads callers over the hosts of a zone.
    """

    __slots__ = ('_hosts', '_rng', '_ttl_s', '_zone')

    def __init__(self, zone: str, ttl_s: float, rng: random.Random) -> None:
        """Start without hosts."""
        self._zone = zone
        self._ttl_s = ttl_s
        self._rng = rng
        self._hosts: list[dict[str, Any]] = []

    def update(self, hosts: list[dict[str, Any]]) -> None:
        """Take the list of serving hosts of a sync reply."""
        self._hosts = hosts

    def document(self) -> dict[str, Any]:
        """Give addresses in different zones, the own zone first."""
        hosts = list(self._hosts)
        self._rng.shuffle(hosts)
        hosts.sort(key=lambda host: host['zone'] != self._zone)
        chosen: list[dict[str, Any]] = []
        zones: set[str] = set()
        for host in hosts:
            if host['zone'] not in zones and len(chosen) < MAX_ADDRESSES:
                zones.add(host['zone'])
                chosen.append(
                    {'address': host['address'], 'zone': host['zone']},
                )
        return {'hosts': chosen, 'ttl_s': self._ttl_s}

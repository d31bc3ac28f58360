"""Hosts that use each endpoint, when there are many endpoints."""

from __future__ import annotations

import hashlib
import heapq
from collections.abc import Iterable

# A host connects to about this many endpoints of a pool. It is the number
# up to which each host uses all of them.
SUBSET_SIZE = 64
_SCORE_BYTES = 8

_Scored = tuple[bytes, str]


class Subsets:
    """The hosts of each endpoint by rendezvous hashing.

    Each endpoint takes the hosts with the highest scores, so that none is
    left without a host, and a change of one host moves only its own part.
    """

    __slots__ = ('_hosts', '_count', '_chosen')

    def __init__(self) -> None:
        """Start without hosts."""
        self._hosts: frozenset[str] = frozenset()
        self._count = 0
        self._chosen: dict[str, list[_Scored]] = {}

    def update(self, hosts: Iterable[str], endpoints: Iterable[str]) -> None:
        """Apply the live hosts and the endpoints of one pool."""
        current = frozenset(hosts)
        names = set(endpoints)
        count = subset_count(len(current), len(names))
        if count != self._count:
            self._chosen = {}
        joined = current - self._hosts
        left = self._hosts - current
        self._hosts = current
        self._count = count
        self._chosen = {
            name: self._choose(name, joined, left) for name in names
        }

    def hosts_of(self, endpoint: str) -> list[str]:
        """Give the hosts that may use the endpoint."""
        return [host for _, host in self._chosen.get(endpoint, ())]

    def _choose(
        self, name: str, joined: Iterable[str], left: frozenset[str]
    ) -> list[_Scored]:
        known = self._chosen.get(name, [])
        if not left.isdisjoint(self.hosts_of(name)):
            known = []
        if not known:
            joined = self._hosts
        scored = [(score(host, name), host) for host in joined]
        return heapq.nlargest(self._count, known + scored)


def subset_count(hosts: int, endpoints: int) -> int:
    """Give the number of hosts that use each endpoint."""
    if endpoints <= SUBSET_SIZE:
        return hosts
    wanted = -(-SUBSET_SIZE * hosts // endpoints)
    return min(hosts, max(2, wanted))


def score(host: str, endpoint: str) -> bytes:
    """Give the rendezvous score of a host for an endpoint."""
    key = f'{host}/{endpoint}'.encode()
    return hashlib.blake2b(key, digest_size=_SCORE_BYTES).digest()

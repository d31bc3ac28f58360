"""Assigns each endpoint a subset of the hosts in large pools."""

from __future__ import annotations

import hashlib
import heapq
from collections.abc import Iterable

# Approximate number of endpoints of a pool that each host uses. In pools up to
# this size, each host uses all endpoints.
SUBSET_SIZE = 64
_SCORE_BYTES = 8

_ScoredHost = tuple[bytes, str]


class Subsets:
    """Hosts of each endpoint, selected by rendezvous hashing.

    Each endpoint gets the hosts with the highest scores, so that no endpoint
    is without a host and a change of one host only affects its endpoints.
    """

    __slots__ = ('_hosts', '_count', '_hosts_by_endpoint')

    def __init__(self) -> None:
        self._hosts: frozenset[str] = frozenset()
        self._count = 0
        self._hosts_by_endpoint: dict[str, list[_ScoredHost]] = {}

    def update(self, hosts: Iterable[str], endpoints: Iterable[str]) -> None:
        """Set the live hosts and the endpoints of one pool."""
        current = frozenset(hosts)
        names = set(endpoints)
        count = subset_count(len(current), len(names))
        if count != self._count:
            self._hosts_by_endpoint = {}
        joined = current - self._hosts
        departed = self._hosts - current
        self._hosts = current
        self._count = count
        self._hosts_by_endpoint = {
            name: self._choose_hosts(name, joined, departed) for name in names
        }

    def hosts_of(self, endpoint: str) -> list[str]:
        """Return the hosts that may use the endpoint."""
        return [host for _, host in self._hosts_by_endpoint.get(endpoint, ())]

    def _choose_hosts(
        self, name: str, joined: Iterable[str], departed: frozenset[str]
    ) -> list[_ScoredHost]:
        known = self._hosts_by_endpoint.get(name, [])
        if not departed.isdisjoint(self.hosts_of(name)):
            known = []
        if not known:
            joined = self._hosts
        scored = [(score(host, name), host) for host in joined]
        return heapq.nlargest(self._count, known + scored)


def subset_count(hosts: int, endpoints: int) -> int:
    """Return the number of hosts that use each endpoint."""
    if endpoints <= SUBSET_SIZE:
        return hosts
    wanted = -(-SUBSET_SIZE * hosts // endpoints)
    return min(hosts, max(2, wanted))


def score(host: str, endpoint: str) -> bytes:
    """Return the rendezvous score of a host for an endpoint."""
    key = f'{host}/{endpoint}'.encode()
    return hashlib.blake2b(key, digest_size=_SCORE_BYTES).digest()

"""Chooses the gateway that a request is passed on to."""

from __future__ import annotations

import random
import threading
from collections import Counter
from collections.abc import Collection
from typing import Final

from apricotcart.membership.peers import PeerGateway, PeerSource

# How long a gateway is avoided that could not take a request over. The leader
# learns within a sync of 0.3 s that it is leaving or cut off, and this host
# with its next one.
AVOID_S: Final = 1.0


class PeerChoice:
    """Chooses among the gateways that the leader has named.

    Parameters
    ----------
    source : PeerSource
        Lists the gateways.
    zone : str
        Zone of this host, preferred among gateways of the same load.
    """

    __slots__ = ('_avoided', '_lock', '_rng', '_running', '_source', '_zone')

    def __init__(self, source: PeerSource, zone: str) -> None:
        self._source = source
        self._zone = zone
        self._rng = random.Random()
        self._lock = threading.Lock()
        self._running: Counter[str] = Counter()
        self._avoided: dict[str, float] = {}

    def acquire(self, tried: Collection[str], now: float) -> PeerGateway | None:
        """Return the less loaded of two random gateways, and count a request.

        Parameters
        ----------
        tried : collection of str
            Names of hosts that the request was passed on to before.
        now : float
            Time in seconds.
        """
        peers = [
            peer for peer in self._source.peers() if peer.host not in tried
        ]
        with self._lock:
            usable = [
                peer for peer in peers if self._avoided.get(peer.host, 0) <= now
            ]
            # One that is avoided may be back; one try is cheaper than a
            # refusal.
            if not usable and not tried:
                usable = peers
            if not usable:
                return None
            pair = self._rng.sample(usable, min(2, len(usable)))
            peer = min(pair, key=self._load)
            self._running[peer.host] += 1
        return peer

    def release(self, host: str) -> None:
        """Count a request that has ended."""
        with self._lock:
            self._running[host] -= 1
            if self._running[host] <= 0:
                self._running.pop(host)

    def avoid(self, host: str, now: float) -> None:
        """Choose another gateway for a while, if there is one."""
        with self._lock:
            self._avoided = {
                name: until
                for name, until in self._avoided.items()
                if until > now
            }
            self._avoided[host] = now + AVOID_S

    def addresses(self) -> set[str]:
        """Return the addresses of all gateways that are listed."""
        return {peer.address for peer in self._source.peers()}

    def running(self) -> int:
        """Return the number of requests that are passed on at the moment."""
        with self._lock:
            return self._running.total()

    def _load(self, peer: PeerGateway) -> tuple[int, bool]:
        requests = peer.requests + self._running[peer.host]
        return requests, peer.zone != self._zone

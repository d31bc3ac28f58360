"""Chooses hosts that give this gateway blocks of the desired state."""

from __future__ import annotations

import random
import threading
from collections.abc import Collection, Iterable
from typing import Final

# Time for which a host that did not answer is asked last.
_FAILED_S: Final = 2.0
# Time for which a host that sends blocks to others, or that lacks those that
# were asked for, is not asked again; a random share of it is added.
_BUSY_S: Final = 0.1


class StateSources:
    """Orders control hosts and gateways by when they may be asked again.

    The order among those that may be asked is random, so that gateways that
    need the same blocks ask different hosts.

    Parameters
    ----------
    rng : random.Random
        Selects a host.
    """

    __slots__ = ('_asked', '_lock', '_peers', '_rng', '_until')

    def __init__(self, rng: random.Random) -> None:
        self._rng = rng
        self._lock = threading.Lock()
        self._peers: tuple[str, ...] = ()
        self._asked: set[str] = set()
        self._until: dict[str, float] = {}

    def replace_peers(self, addresses: Iterable[str]) -> None:
        """Set the gateways that have the newest version."""
        self._peers = tuple(addresses)

    def choose(self, control_hosts: Collection[str], now: float) -> str | None:
        """Return a host that no other thread asks, None to wait.

        Parameters
        ----------
        control_hosts : collection of str
            IP addresses of the control hosts.
        now : float
            Time in seconds.
        """
        with self._lock:
            known = {*control_hosts, *self._peers}
            free = sorted(ip for ip in known if self._is_free(ip, now))
            if not free:
                return None
            ip = self._rng.choice(free)
            self._asked.add(ip)
            return ip

    def on_blocks(self, ip: str) -> None:
        """Record that a host has sent blocks."""
        with self._lock:
            self._asked.discard(ip)

    def on_busy(self, ip: str, now: float) -> None:
        """Record that a host has sent none."""
        self._postpone(ip, now + _BUSY_S * (1 + self._rng.random()))

    def on_failure(self, ip: str, now: float) -> None:
        """Record that a host did not answer."""
        self._postpone(ip, now + _FAILED_S)

    def _is_free(self, ip: str, now: float) -> bool:
        return ip not in self._asked and now >= self._until.get(ip, 0)

    def _postpone(self, ip: str, until: float) -> None:
        with self._lock:
            self._asked.discard(ip)
            self._until[ip] = until

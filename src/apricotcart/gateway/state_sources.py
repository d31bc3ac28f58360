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
    need the same blocks ask different hosts. Those that have just shown that
    they have the state are asked first.

    Parameters
    ----------
    rng : random.Random
        Selects a host.
    """

    __slots__ = (
        '_asked',
        '_lock',
        '_peers',
        '_peers_from',
        '_preferred',
        '_rng',
        '_until',
    )

    def __init__(self, rng: random.Random) -> None:
        self._rng = rng
        self._lock = threading.Lock()
        self._peers: tuple[str, ...] = ()
        self._peers_from: float = 0
        self._preferred: frozenset[str] = frozenset()
        self._asked: set[str] = set()
        self._until: dict[str, float] = {}

    def replace_peers(self, addresses: Iterable[str]) -> None:
        """Set the gateways that may have blocks of the newest version."""
        self._peers = tuple(addresses)
        self._preferred = frozenset()

    def prefer(self, addresses: Iterable[str]) -> None:
        """Set the control hosts to ask first, until peers are set."""
        self._preferred = frozenset(addresses)

    def choose(self, control_hosts: Collection[str], now: float) -> str | None:
        """Return a host that no other thread asks, None to wait.

        Parameters
        ----------
        control_hosts : collection of str
            Addresses of the control hosts.
        now : float
            Time in seconds.
        """
        with self._lock:
            known = set(control_hosts)
            if now >= self._peers_from:
                known.update(self._peers)
            free = known - self._unavailable(now)
            if not free:
                return None
            address = self._rng.choice(sorted(free & self._preferred or free))
            self._asked.add(address)
            return address

    def on_blocks(self, address: str) -> None:
        """Record that a host has sent blocks."""
        with self._lock:
            self._asked.discard(address)

    def on_busy(self, address: str, now: float) -> None:
        """Record that a host has sent none."""
        pause_s = self._rng.uniform(_BUSY_S, 2 * _BUSY_S)
        self._postpone(address, now + pause_s)

    def on_failure(self, address: str, now: float) -> None:
        """Record that a host did not answer.

        After a gateway, no other one is asked either: this host may reach
        none of them, and each would take the time of a message.
        """
        if address in self._peers:
            self._peers_from = now + _FAILED_S
        self._postpone(address, now + _FAILED_S)

    def _unavailable(self, now: float) -> set[str]:
        postponed = {
            address for address, until in self._until.items() if now < until
        }
        return self._asked | postponed

    def _postpone(self, address: str, until: float) -> None:
        with self._lock:
            self._asked.discard(address)
            self._until[address] = until

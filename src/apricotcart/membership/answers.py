"""Host discovery on a control host: which entry hosts callers may use."""

from __future__ import annotations

import random
import threading
from collections.abc import Iterable
from typing import Final

from apricotcart.codec.record import Record

# Time for which callers may cache an answer. Some cache it three times as long,
# and a planned stop must take longer than that.
ANSWER_TTL_S: Final = 1.0

# Hosts of a zone among which its callers spread evenly. They need hosts of
# other zones only while their own zone fails.
_MANY_HOSTS: Final = 8
# Ratio of the addresses in such an answer that are kept for other zones.
_OTHER_ZONES_RATIO: Final = 0.25


class ServingHost(Record):
    """A host that accepts requests.

    Attributes
    ----------
    address : str
        Address as ``IP:PORT``.
    zone : str
        Availability zone.
    """

    __slots__ = ('address', 'zone')

    def __init__(self, *, address: str, zone: str) -> None:
        self.address = address
        self.zone = zone


class ServingHostAnswer(Record):
    """Addresses of hosts and the time in seconds to cache them."""

    __slots__ = ('addresses', 'ttl_s')

    def __init__(self, *, addresses: list[str], ttl_s: float) -> None:
        self.addresses = addresses
        self.ttl_s = ttl_s


class ServingHostDirectory:
    """The serving hosts, as last received from the leader.

    Parameters
    ----------
    ttl_max_s : float
        Upper bound on the time to live of answers, in seconds.
    """

    __slots__ = ('_hosts', '_lock', '_rng', '_ttl_s')

    def __init__(self, ttl_max_s: float) -> None:
        self._lock = threading.Lock()
        self._rng = random.Random()
        self._hosts: tuple[ServingHost, ...] = ()
        self._ttl_s = min(ANSWER_TTL_S, ttl_max_s)

    def replace(self, hosts: Iterable[ServingHost]) -> None:
        """Replace the list of serving hosts."""
        with self._lock:
            self._hosts = tuple(hosts)

    def answer(self, zone: str, limit: int) -> ServingHostAnswer:
        """Return addresses for a caller, those of its zone first.

        Callers choose among the addresses at random. Unless the zone has
        many hosts, all others are included too, so that requests spread
        evenly. The hosts that are left out differ with each answer.

        Parameters
        ----------
        zone : str
            Availability zone of the caller.
        limit : int
            Maximum number of addresses.
        """
        with self._lock:
            hosts = self._hosts
        near = [host.address for host in hosts if host.zone == zone]
        far = [host.address for host in hosts if host.zone != zone]
        reserved = min(len(far), int(limit * _OTHER_ZONES_RATIO))
        near = self._sample(near, limit - reserved)
        far_limit = reserved if len(near) >= _MANY_HOSTS else limit - len(near)
        addresses = near + self._sample(far, far_limit)
        return ServingHostAnswer(addresses=addresses, ttl_s=self._ttl_s)

    def _sample(self, addresses: list[str], limit: int) -> list[str]:
        if len(addresses) <= limit:
            return addresses
        return self._rng.sample(addresses, limit)

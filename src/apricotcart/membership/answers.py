"""Host discovery on a control host: which entry hosts callers may use."""

from __future__ import annotations

import threading
from collections.abc import Iterable
from typing import Final

from apricotcart.codec.record import Record

# Time for which callers may cache an answer. Some cache it three times as long,
# and a planned stop must take longer than that.
ANSWER_TTL_S: Final = 1.0


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

    __slots__ = ('_hosts', '_lock', '_ttl_s')

    def __init__(self, ttl_max_s: float) -> None:
        self._lock = threading.Lock()
        self._hosts: tuple[ServingHost, ...] = ()
        self._ttl_s = min(ANSWER_TTL_S, ttl_max_s)

    def replace(self, hosts: Iterable[ServingHost]) -> None:
        """Replace the list of serving hosts."""
        with self._lock:
            self._hosts = tuple(hosts)

    def answer(self, zone: str, limit: int) -> ServingHostAnswer:
        """Return addresses for a caller, those of its zone first.

        Callers choose among the addresses at random. The answer therefore
        includes hosts of other zones, so that requests spread evenly over
        all hosts.
        """
        with self._lock:
            hosts = self._hosts
        ordered = sorted(hosts, key=lambda host: host.zone != zone)
        addresses = [host.address for host in ordered[:limit]]
        return ServingHostAnswer(addresses=addresses, ttl_s=self._ttl_s)

"""Gateways that can serve the requests of one that reaches no endpoint."""

from __future__ import annotations

import threading
from abc import ABC, abstractmethod
from collections.abc import Iterable, Sequence

from apricotcart.codec.record import Record


class PeerGateway(Record):
    """A gateway that reaches endpoints, as last reported by the leader.

    Attributes
    ----------
    host : str
        Name of the host.
    zone : str
        Availability zone.
    address : str
        Address for requests that other gateways pass on, as ``IP:PORT``.
    requests : int
        Requests in progress there when it last reported.
    """

    __slots__ = ('address', 'host', 'requests', 'zone')

    def __init__(
        self, *, host: str, zone: str, address: str, requests: int = 0
    ) -> None:
        self.host = host
        self.zone = zone
        self.address = address
        self.requests = requests


class PeerSource(ABC):
    """Lists the gateways that requests may be passed on to."""

    @abstractmethod
    def peers(self) -> Sequence[PeerGateway]:
        """Return the gateways, without this one; empty if none is known."""


class PeerDirectory(PeerSource):
    """The gateways that the last sync reply with peers has named."""

    __slots__ = ('_lock', '_peers')

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._peers: tuple[PeerGateway, ...] = ()

    def replace(self, peers: Iterable[PeerGateway]) -> None:
        """Replace the gateways."""
        with self._lock:
            self._peers = tuple(peers)

    def peers(self) -> Sequence[PeerGateway]:
        """Return the gateways, without this one; empty if none is known."""
        with self._lock:
            return self._peers

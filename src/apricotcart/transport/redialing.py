"""Request clients that replace unresponsive connections."""

from __future__ import annotations

import threading
from typing import Any

from apricotcart.codec.envelope import Sealer
from apricotcart.errors.tree import UnavailableError
from apricotcart.transport.requests import NngRequestClient

WireMessage = dict[str, Any]


class RedialingClients:
    """One client per address, which is replaced after an unanswered request.

    A connection can stop responding without being closed; only a new
    connection then reaches the peer.

    Parameters
    ----------
    sealer : Sealer
        Seals requests and verifies answers.
    """

    __slots__ = ('_clients', '_lock', '_sealer')

    def __init__(self, sealer: Sealer) -> None:
        """Create no connections yet."""
        self._sealer = sealer
        self._lock = threading.Lock()
        self._clients: dict[str, NngRequestClient] = {}

    def call(
        self,
        address: str,
        message: WireMessage,
        timeout_s: float,
    ) -> WireMessage:
        """Send a request to an address and wait for its answer.

        Raises
        ------
        UnavailableError
            If no answer arrived in time.
        """
        client = self._get_client(address)
        try:
            return client.call(message, timeout_s)
        except UnavailableError:
            self._close_client(address, client)
            raise

    def close(self) -> None:
        """Close all connections."""
        with self._lock:
            clients = list(self._clients.values())
            self._clients.clear()
        for client in clients:
            client.close()

    def _get_client(self, address: str) -> NngRequestClient:
        with self._lock:
            client = self._clients.get(address)
            if client is None:
                client = NngRequestClient(address, self._sealer)
                self._clients[address] = client
            return client

    def _close_client(self, address: str, client: NngRequestClient) -> None:
        with self._lock:
            if self._clients.get(address) is client:
                self._clients.pop(address)
        client.close()

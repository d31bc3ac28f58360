"""Request clients that replace unresponsive connections."""

from __future__ import annotations

import threading
from typing import Any

from apricotcart.codec.envelope import Sealer
from apricotcart.errors.tree import UnavailableError
from apricotcart.transport.requests import NngRequestClient

WireMessage = dict[str, Any]


class _SharedClient:
    """A client that several calls use at the same time.

    Attributes
    ----------
    client : NngRequestClient
        The client.
    calls : int
        Number of calls that use it.
    is_replaced : bool
        Whether new calls use another client; this one is closed with its
        last call.
    """

    __slots__ = ('calls', 'client', 'is_replaced')

    def __init__(self, client: NngRequestClient) -> None:
        self.client = client
        self.calls = 0
        self.is_replaced = False


class RedialingClients:
    """One client per address, which is replaced after an unanswered request.

    A connection can stop responding without being closed; only a new
    connection then reaches the peer. Other calls that still wait on the old
    one have their full time.

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
        self._clients: dict[str, _SharedClient] = {}

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
        shared = self._acquire(address)
        try:
            return shared.client.call(message, timeout_s)
        except UnavailableError:
            self._replace(address, shared)
            raise
        finally:
            self._release(shared)

    def close(self) -> None:
        """Close all connections."""
        with self._lock:
            clients = list(self._clients.values())
            self._clients.clear()
        for shared in clients:
            shared.client.close()

    def close_unused(self) -> None:
        """Close the connections without calls, others after their last one.

        Later calls open new ones.
        """
        with self._lock:
            addresses = list(self._clients)
        for address in addresses:
            shared = self._acquire(address)
            self._replace(address, shared)
            self._release(shared)

    def _acquire(self, address: str) -> _SharedClient:
        with self._lock:
            shared = self._clients.get(address)
            if shared is None:
                shared = _SharedClient(NngRequestClient(address, self._sealer))
                self._clients[address] = shared
            shared.calls += 1
            return shared

    def _replace(self, address: str, shared: _SharedClient) -> None:
        with self._lock:
            shared.is_replaced = True
            if self._clients.get(address) is shared:
                self._clients.pop(address)

    def _release(self, shared: _SharedClient) -> None:
        with self._lock:
            shared.calls -= 1
            is_unused = shared.is_replaced and not shared.calls
        if is_unused:
            shared.client.close()

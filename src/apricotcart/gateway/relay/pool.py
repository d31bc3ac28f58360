"""Connections to other gateways."""

from __future__ import annotations

from typing import Final

from apricotcart.gateway.exchanges.connection_pool import ConnectionPool
from apricotcart.gateway.exchanges.connections import EndpointConnection

# Hosts are milliseconds apart. After a lost packet, another gateway is tried
# sooner than TCP would retransmit, which takes 1 s.
_CONNECT_TIMEOUT_S: Final = 0.4


class PeerPool(ConnectionPool):
    """Idle connections to other gateways by address."""

    __slots__ = ()

    def acquire(self, address: str) -> EndpointConnection:
        """Return an idle or new connection to the gateway at ``IP:PORT``.

        Raises
        ------
        UnreachableEndpointError
            If the connection cannot be established.
        """
        conn = self._take_idle(address)
        if conn is None:
            conn = EndpointConnection(address)
            conn.timeout = _CONNECT_TIMEOUT_S
            conn.connect()
        return conn

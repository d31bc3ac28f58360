"""TLS connections whose handshake is left to the thread of the request."""

from __future__ import annotations

from typing import Any

from cheroot.ssl.builtin import BuiltinSSLAdapter


class LateHandshakeAdapter(BuiltinSSLAdapter):
    """Wraps sockets without waiting for their peers.

    The thread that accepts connections would wait for a peer that stays
    silent, and nobody else would be accepted meanwhile.
    """

    def wrap(self, sock: Any) -> tuple[Any, dict[str, Any]]:
        """Return the socket and no environment, which the handshake gives."""
        wrapped = self.context.wrap_socket(
            sock, server_side=True, do_handshake_on_connect=False
        )
        return wrapped, {}

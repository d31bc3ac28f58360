"""One-way messages between control hosts over pynng."""

from __future__ import annotations

import logging
import threading
from typing import TYPE_CHECKING

import pynng

from apricotcart.codec.envelope import Sealer
from apricotcart.errors.tree import CodecError
from apricotcart.transport.api import (
    MAX_MESSAGE_BYTES,
    PeerLinks,
    WireMessage,
)

if TYPE_CHECKING:
    from apricotcart.transport.tls import TlsFiles

_LOG = logging.getLogger(__name__)
# Messages to a peer that does not read are dropped beyond this number, so that
# it does not delay messages to others.
_MAX_QUEUED_MESSAGES = 256
_RECONNECT_MIN_MS = 20
_RECONNECT_MAX_MS = 200
_MS_PER_S = 1000


class NngPeerLinks(PeerLinks):
    """Push and pull sockets between control hosts.

    Parameters
    ----------
    listen : str
        Address on which this host receives messages.
    sealer : Sealer
        Seals and verifies messages.
    tls : TlsFiles or None
        Certificate files if the addresses are TLS addresses.
    """

    __slots__ = ('_links', '_lock', '_pull_socket', '_sealer', '_tls')

    def __init__(
        self,
        listen: str,
        sealer: Sealer,
        tls: TlsFiles | None = None,
    ) -> None:
        """Listen for messages."""
        self._sealer = sealer
        self._tls = tls
        self._lock = threading.Lock()
        self._links: dict[str, pynng.Push0] = {}
        self._pull_socket = pynng.Pull0(
            tls_config=tls.server_config() if tls else None,
        )
        self._pull_socket.recv_max_size = MAX_MESSAGE_BYTES
        self._pull_socket.listen(listen)

    def send(self, address: str, message: WireMessage) -> None:
        """Queue a message for a peer; drop it if the peer's queue is full."""
        sealed = self._sealer.seal(message)
        try:
            self._get_link(address).send(sealed, block=False)
        except pynng.NNGException as exc:
            _LOG.debug('message to %s dropped: %s', address, exc)

    def receive(self, timeout_s: float) -> WireMessage | None:
        """Return the next message.

        Return None if the timeout expires, if the message is invalid, or
        if the links are closed.
        """
        try:
            sealed = self._receive_sealed(max(1, int(timeout_s * _MS_PER_S)))
        except (pynng.Timeout, pynng.Closed):
            return None
        return self._open_message(sealed)

    def close(self) -> None:
        """Close all sockets."""
        self._pull_socket.close()
        with self._lock:
            for link in self._links.values():
                link.close()

    def _receive_sealed(self, timeout_ms: int) -> bytes:
        self._pull_socket.recv_timeout = timeout_ms
        sealed: bytes = self._pull_socket.recv()
        return sealed

    def _open_message(self, sealed: bytes) -> WireMessage | None:
        try:
            message: WireMessage = self._sealer.open(sealed)
        except CodecError as exc:
            _LOG.warning('dropped an invalid peer message: %s', exc)
            return None
        return message

    def _get_link(self, address: str) -> pynng.Push0:
        with self._lock:
            link = self._links.get(address)
            if link is None:
                link = self._dial_link(address)
                self._links[address] = link
            return link

    def _dial_link(self, address: str) -> pynng.Push0:
        tls = self._tls
        link = pynng.Push0(tls_config=tls.client_config() if tls else None)
        link.send_buffer_size = _MAX_QUEUED_MESSAGES
        link.reconnect_time_min = _RECONNECT_MIN_MS
        link.reconnect_time_max = _RECONNECT_MAX_MS
        link.dial(address, block=False)
        return link

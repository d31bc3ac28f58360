"""Links between coordinators that replace unresponsive connections."""

from __future__ import annotations

from contextlib import suppress
from typing import Any, Final

from apricotcart.codec.envelope import Sealer
from apricotcart.consensus.identity import host_name
from apricotcart.coordinator.addresses import Ports
from apricotcart.timers.clock import boot_clock_s
from apricotcart.transport.api import WireMessage
from apricotcart.transport.peers import NngPeerLinks

# The next send replaces a connection whose peer has sent nothing for this long,
# since it may be broken without an error.
_RECONNECT_AFTER_S: Final = 1.0


class RedialingPeerLinks(NngPeerLinks):
    """Peer links with addresses derived from the IP addresses of hosts.

    Parameters
    ----------
    ip : str
        IP address of this host.
    ports : Ports
        Builds the addresses of the peers.
    sealer : Sealer
        Authenticates messages.
    """

    __slots__ = ('_dialled_at', '_received_at', '_ports')

    def __init__(self, ip: str, ports: Ports, sealer: Sealer) -> None:
        super().__init__(ports.peer_address(ip), sealer)
        self._ports = ports
        self._received_at: dict[str, float] = {}
        self._dialled_at: dict[str, float] = {}

    def send(self, address: str, message: WireMessage) -> None:
        """Queue a message for a peer, or drop it if its queue is full."""
        now = boot_clock_s()
        received_at = self._received_at.get(address, 0)
        dialled_at = self._dialled_at.setdefault(address, now)
        if now > max(received_at, dialled_at) + _RECONNECT_AFTER_S:
            self._dialled_at[address] = now
            self._disconnect(address)
        super().send(address, message)

    def receive(self, timeout_s: float) -> WireMessage | None:
        """Return the next message, or None if none arrives in time."""
        message = super().receive(timeout_s)
        if message is not None:
            self._record_sender(message)
        return message

    def _record_sender(self, message: WireMessage) -> None:
        sender: Any = message.get('from_id') or message.get('node_id')
        name = host_name(str(sender or ''))
        if name:
            self._received_at[self._ports.peer_address(name)] = boot_clock_s()

    def _disconnect(self, address: str) -> None:
        with self._lock:
            link = self._links.pop(address, None)
        if link is not None:
            with suppress(OSError):
                link.close()

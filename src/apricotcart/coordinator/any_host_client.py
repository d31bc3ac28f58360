"""Client of the control hosts for requests that need no leader."""

from __future__ import annotations

import logging
import threading
from collections.abc import Iterable
from typing import Final

from apricotcart.consensus.identity import host_name
from apricotcart.coordinator.addresses import Ports
from apricotcart.errors.tree import ApricotcartError
from apricotcart.gateway.dispatching.hashing import hash_to_unit
from apricotcart.timers.clock import boot_clock_s
from apricotcart.transport.redialing import RedialingClients, WireMessage

_LOG = logging.getLogger(__name__)
_CALL_TIMEOUT_S: Final = 0.3
# Time for which a control host that did not answer is asked last.
_PENALTY_S: Final = 2.0


class AnyHostClient:
    """Calls control hosts in an order that is the same for all gateways.

    Rendezvous hashing orders the hosts for each key.

    Parameters
    ----------
    ports : Ports
        Builds the addresses of the control hosts.
    clients : RedialingClients
        Connections to the control hosts.
    """

    __slots__ = ('_clients', '_failed_at', '_lock', '_members', '_ports')

    def __init__(self, ports: Ports, clients: RedialingClients) -> None:
        self._ports = ports
        self._clients = clients
        self._lock = threading.Lock()
        self._members: tuple[str, ...] = ()
        self._failed_at: dict[str, float] = {}

    @property
    def hosts(self) -> tuple[str, ...]:
        """IP addresses of the known control hosts."""
        return self._members

    @property
    def host_count(self) -> int:
        """Number of known control hosts."""
        return len(self._members)

    def replace_members(self, node_ids: Iterable[str]) -> None:
        """Set the control hosts, by their identities; ignore an empty list."""
        members = tuple(dict.fromkeys(host_name(name) for name in node_ids))
        if members:
            with self._lock:
                self._members = members

    def ordered_hosts(self, key: str) -> list[str]:
        """Return all hosts, first those that are responsible for a key."""
        now = boot_clock_s()
        with self._lock:
            return sorted(
                self._members,
                key=lambda ip: (
                    now < self._failed_at.get(ip, -_PENALTY_S) + _PENALTY_S,
                    hash_to_unit(key, ip),
                ),
            )

    def call(self, ip: str, message: WireMessage) -> WireMessage | None:
        """Return the reply of a host, None if it cannot answer."""
        try:
            reply = self._clients.call(
                self._ports.request_address(ip), message, _CALL_TIMEOUT_S
            )
        except ApricotcartError as exc:
            _LOG.info('no answer from the control host %s: %s', ip, exc.message)
            with self._lock:
                self._failed_at[ip] = boot_clock_s()
            return None
        return reply if reply.get('ok') else None

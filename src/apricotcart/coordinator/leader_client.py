"""Client that finds the leading control host and sends requests to it."""

from __future__ import annotations

import random
import threading
from collections.abc import Iterable
from typing import Any

from apricotcart.control.identity import host_name
from apricotcart.coordinator.addresses import Ports
from apricotcart.errors.tree import (
    ApricotcartError,
    CodecError,
    NotLeaderError,
    UnavailableError,
)
from apricotcart.observability.decisions import (
    CONTROL_CALL_FAILED,
    LEADER_FOUND,
    LEADER_LOST,
    log_decision,
)
from apricotcart.timers.clock import boot_clock_s
from apricotcart.transport.redialing import RedialingClients, WireMessage


class LeaderClient:
    """Sends requests to the last known leader, or to a random control host.

    Parameters
    ----------
    ports : Ports
        Builds the addresses of the control hosts.
    clients : RedialingClients
        Connections to the control hosts.
    seeds : iterable of str
        IP addresses of the control hosts that are known at the start.
    """

    __slots__ = ('_clients', '_known_ips', '_leader', '_lock', '_ports', '_rng')

    def __init__(
        self,
        ports: Ports,
        clients: RedialingClients,
        seeds: Iterable[str],
    ) -> None:
        self._ports = ports
        self._clients = clients
        self._lock = threading.Lock()
        self._known_ips = list(seeds)
        self._leader = ''
        self._rng = random.Random()

    @property
    def leader(self) -> str:
        """IP address of the last known leader, or an empty string."""
        return self._leader

    def prefer(self, ip: str) -> None:
        """Send the next request to this host, unless ``ip`` is empty."""
        if ip:
            self._leader = ip

    def add_hosts(self, ips: Iterable[str]) -> None:
        """Add control hosts by IP address."""
        with self._lock:
            for ip in ips:
                if ip and ip not in self._known_ips:
                    self._known_ips.append(ip)

    def add_members(self, node_ids: Iterable[str]) -> None:
        """Add the control hosts of the given member identities."""
        self.add_hosts(host_name(node_id) for node_id in node_ids)

    def call(self, message: WireMessage, timeout_s: float) -> WireMessage:
        """Send a request to the leader.

        Parameters
        ----------
        message : dict
            Request in wire form.
        timeout_s : float
            Time limit for the reply of the host, in seconds.

        Raises
        ------
        UnavailableError
            If the host does not lead or did not answer; the next call tries
            another one.
        """
        ip = self._leader or self._random_host()
        started_at = boot_clock_s()
        try:
            reply = self._call_host(ip, message, timeout_s)
        except ApricotcartError as exc:
            log_decision(
                CONTROL_CALL_FAILED,
                kind=message.get('kind'),
                asked=ip,
                reason=exc.code,
                detail=exc.message,
                duration_s=boot_clock_s() - started_at,
            )
            raise
        self._set_leader(ip)
        return reply

    def _call_host(
        self, ip: str, message: WireMessage, timeout_s: float
    ) -> WireMessage:
        try:
            reply = self._clients.call(
                self._ports.request_address(ip),
                message,
                timeout_s,
            )
        except (UnavailableError, CodecError):
            self._clear_leader(ip)
            raise
        if reply.get('ok'):
            return reply
        self._on_refused(ip, reply)
        raise _error_of(reply)

    def _on_refused(self, ip: str, reply: WireMessage) -> None:
        if reply.get('code') != 'not_leader':
            return
        hint: Any = (reply.get('context') or {}).get('leader')
        hinted_ip = host_name(str(hint or ''))
        self._leader = '' if hinted_ip == ip else hinted_ip
        self.add_hosts((hinted_ip,))

    def _set_leader(self, ip: str) -> None:
        if self._leader != ip:
            self._leader = ip
            log_decision(LEADER_FOUND, leader=ip)

    def _clear_leader(self, ip: str) -> None:
        if self._leader == ip:
            self._leader = ''
            log_decision(LEADER_LOST, leader=ip, reason='no_answer')

    def _random_host(self) -> str:
        with self._lock:
            return self._rng.choice(self._known_ips)


def _error_of(reply: WireMessage) -> ApricotcartError:
    message = str(reply.get('message') or 'refused')
    context = dict(reply.get('context') or {})
    if reply.get('code') == NotLeaderError.code:
        return NotLeaderError(message, **context)
    return UnavailableError(message, **context)

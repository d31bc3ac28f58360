"""Client that finds the leading control host and sends requests to it."""

from __future__ import annotations

import threading
from collections.abc import Collection, Iterable
from time import sleep
from typing import Final, Self

from apricotcart.coordinator.addresses import Ports, ip_of
from apricotcart.coordinator.leader_search import LeaderSearch
from apricotcart.coordinator.messages import KIND, TERM
from apricotcart.errors.tree import (
    ApricotcartError,
    ClusterError,
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

# Timeout of one host, for calls that another host may answer. A leader confirms
# itself with a quorum within two round trips and a disk sync.
HOST_TIMEOUT_S: Final = 0.4
# Shortest time that is left for another host: a round trip between zones, and a
# confirmation.
_MIN_HOST_TIMEOUT_S: Final = 0.05
# Pause between two searches of one call, while no host leads.
_SEARCH_PAUSE_S: Final = 0.1
# Multiple of the timeout for a host that did not answer the last call and may
# be slow.
_SLOW_HOST_FACTOR: Final = 2


class LeaderClient:
    """Sends requests to the leader, which it finds by asking control hosts.

    Parameters
    ----------
    ports : Ports
        Builds the addresses of the control hosts.
    clients : RedialingClients
        Connections to the control hosts.
    search : LeaderSearch
        Chooses the host to ask.
    """

    __slots__ = ('_clients', '_lock', '_ports', '_search')

    def __init__(
        self,
        ports: Ports,
        clients: RedialingClients,
        search: LeaderSearch,
    ) -> None:
        self._ports = ports
        self._clients = clients
        self._search = search
        self._lock = threading.Lock()

    @classmethod
    def from_seeds(
        cls, ports: Ports, clients: RedialingClients, seeds: Iterable[str]
    ) -> Self:
        """Create the client from addresses of the form ``IP:PORT``."""
        search = LeaderSearch(ip_of(seed) for seed in seeds)
        return cls(ports, clients, search)

    def follow_hint(self, exc: NotLeaderError) -> None:
        """Ask the host first that a refusal of this host names."""
        with self._lock:
            self._search.follow_hint(exc)

    def replace_members(self, node_ids: Iterable[str]) -> None:
        """Set the members of the cluster, by their identities."""
        with self._lock:
            self._search.replace_members(node_ids)

    def call_until_answered(
        self, message: WireMessage, timeout_s: float, host_timeout_s: float
    ) -> WireMessage:
        """Search for the leader again until it answers or time runs out.

        Parameters and errors are those of `call`.
        """
        deadline = boot_clock_s() + timeout_s
        while True:
            try:
                return self.call(
                    message, deadline - boot_clock_s(), host_timeout_s
                )
            except (ClusterError, CodecError):
                if _is_too_late(deadline - _SEARCH_PAUSE_S):
                    raise
            sleep(_SEARCH_PAUSE_S)

    def call(
        self, message: WireMessage, timeout_s: float, host_timeout_s: float
    ) -> WireMessage:
        """Send a request to the control hosts until the leader answers it.

        The request must be idempotent, since a host that did not answer may
        have processed it.

        Parameters
        ----------
        message : dict
            Request in wire form.
        timeout_s : float
            Time limit of the whole call, in seconds.
        host_timeout_s : float
            Timeout of one host in seconds, after which another one is asked.

        Raises
        ------
        ClusterError
            If no host answered as the leader.
        CodecError
            If the answer of the last host was invalid.
        """
        deadline = boot_clock_s() + timeout_s
        asked: set[str] = set()
        failure: ApricotcartError = UnavailableError(
            'no control host was asked in time'
        )
        while True:
            ip = self._next_host(asked, deadline)
            if ip is None:
                raise failure
            asked.add(ip)
            try:
                return self._call_host(
                    ip, message, self._timeout_s(ip, host_timeout_s, deadline)
                )
            except (ClusterError, CodecError) as exc:
                failure = exc

    def _next_host(self, asked: Collection[str], deadline: float) -> str | None:
        if _is_too_late(deadline):
            return None
        with self._lock:
            return self._search.choose(asked, boot_clock_s())

    def _call_host(
        self, ip: str, message: WireMessage, timeout_s: float
    ) -> WireMessage:
        started_at = boot_clock_s()
        try:
            reply = self._clients.call(
                self._ports.request_address(ip),
                message,
                timeout_s,
            )
            _require_success(reply)
        except (ClusterError, CodecError) as exc:
            self._record_failure(ip, exc)
            log_decision(
                CONTROL_CALL_FAILED,
                kind=message.get(KIND),
                asked=ip,
                reason=exc.code,
                detail=exc.message,
                duration_s=boot_clock_s() - started_at,
            )
            raise
        self._record_success(ip, int(reply.get(TERM) or 0))
        return reply

    def _timeout_s(
        self, ip: str, host_timeout_s: float, deadline: float
    ) -> float:
        with self._lock:
            if self._search.has_failed(ip):
                host_timeout_s *= _SLOW_HOST_FACTOR
        return min(host_timeout_s, deadline - boot_clock_s())

    def _record_success(self, ip: str, term: int) -> None:
        with self._lock:
            is_new = self._search.leader != ip
            self._search.on_answer(ip, term)
        if is_new:
            log_decision(LEADER_FOUND, leader=ip)

    def _record_failure(self, ip: str, exc: ApricotcartError) -> None:
        with self._lock:
            was_leader = self._search.leader == ip
            if isinstance(exc, NotLeaderError):
                self._search.on_refusal(ip, exc)
            else:
                self._search.on_failure(ip, boot_clock_s())
        if was_leader:
            log_decision(LEADER_LOST, leader=ip, reason=exc.code)


def _is_too_late(deadline: float) -> bool:
    """Return whether too little time is left to ask a host.

    A host that could not have answered in time must not count as failed.
    """
    return boot_clock_s() >= deadline - _MIN_HOST_TIMEOUT_S


def _require_success(reply: WireMessage) -> None:
    if not reply.get('ok'):
        raise _error_of(reply)


def _error_of(reply: WireMessage) -> ApricotcartError:
    message = str(reply.get('message') or 'refused')
    context = dict(reply.get('context') or {})
    if reply.get('code') == NotLeaderError.code:
        return NotLeaderError(message, **context)
    return UnavailableError(message, **context)

"""Records of streams on the control hosts, in memory only."""

from __future__ import annotations

import logging
import threading
from abc import ABC, abstractmethod
from collections import Counter, defaultdict
from collections.abc import Iterable, Iterator, Mapping
from typing import Any, Final

from apricotcart.control.identity import host_name
from apricotcart.coordinator.addresses import Ports
from apricotcart.coordinator.messages import FIND_ORIGIN, KIND, RECORD_ORIGINS
from apricotcart.errors.tree import ApricotcartError
from apricotcart.gateway.dispatching.hashing import hash_to_unit
from apricotcart.resumption.origins import StreamOrigin
from apricotcart.timers.clock import boot_clock_s
from apricotcart.transport.redialing import RedialingClients, WireMessage

_LOG = logging.getLogger(__name__)
# Control hosts that store each record. All but one may be lost.
_REPLICAS: Final = 3
# Copies with which a record counts as stored.
_MIN_COPIES: Final = 2
_CALL_TIMEOUT_S: Final = 0.3
# Time for which a control host that did not answer is asked last.
_PENALTY_S: Final = 2.0

Origins = Mapping[str, StreamOrigin]


class RecordStore(ABC):
    """Stores the origins of streams outside this host."""

    @abstractmethod
    def replace_members(self, node_ids: Iterable[str]) -> None:
        """Set the control hosts, by their identities."""

    @abstractmethod
    def store(self, origins: Origins) -> set[str]:
        """Store origins and return the attempts that are stored."""

    @abstractmethod
    def find(self, attempt_id: str) -> StreamOrigin | None:
        """Return the origin of a stream, None if no host knows it."""


class ControlHostStore(RecordStore):
    """Stores each record on the same few control hosts for all gateways.

    Rendezvous hashing selects them. No leader is needed: a record does not
    change once it is made, and a missing one means that the stream is not
    resumed.

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

    def replace_members(self, node_ids: Iterable[str]) -> None:
        """Set the control hosts; an empty list is ignored."""
        members = tuple(dict.fromkeys(host_name(name) for name in node_ids))
        if members:
            with self._lock:
                self._members = members

    def store(self, origins: Origins) -> set[str]:
        """Store origins and return the attempts that are stored."""
        copies: Counter[str] = Counter()
        for ip, batch in self._batches(origins).items():
            message = {KIND: RECORD_ORIGINS, 'origins': batch}
            if self._call(ip, message) is not None:
                copies.update(batch.keys())
        needed = min(_MIN_COPIES, len(self._members))
        return {name for name, count in copies.items() if count >= needed}

    def find(self, attempt_id: str) -> StreamOrigin | None:
        """Return the origin of a stream, None if no host knows it.

        The hosts that should have it are asked first, then all others, since
        the members may have changed.
        """
        message = {KIND: FIND_ORIGIN, 'attempt_id': attempt_id}
        for reply in self._replies(attempt_id, message):
            origin = reply.get('origin')
            if origin is not None:
                return StreamOrigin.from_wire(origin)
        return None

    def _batches(self, origins: Origins) -> dict[str, dict[str, Any]]:
        batches: dict[str, dict[str, Any]] = defaultdict(dict)
        for attempt_id, origin in origins.items():
            for ip in self._order(attempt_id)[:_REPLICAS]:
                batches[ip][attempt_id] = origin.to_wire()
        return batches

    def _replies(
        self, attempt_id: str, message: WireMessage
    ) -> Iterator[WireMessage]:
        for ip in self._order(attempt_id):
            reply = self._call(ip, dict(message))
            if reply is not None:
                yield reply

    def _order(self, attempt_id: str) -> list[str]:
        """Return all members, those first that store the record."""
        now = boot_clock_s()
        with self._lock:
            return sorted(
                self._members,
                key=lambda ip: (
                    now < self._failed_at.get(ip, -_PENALTY_S) + _PENALTY_S,
                    hash_to_unit(attempt_id, ip),
                ),
            )

    def _call(self, ip: str, message: WireMessage) -> WireMessage | None:
        try:
            reply = self._clients.call(
                self._ports.request_address(ip), message, _CALL_TIMEOUT_S
            )
        except ApricotcartError as exc:
            _LOG.info('%s: no record of streams: %s', ip, exc.message)
            with self._lock:
                self._failed_at[ip] = boot_clock_s()
            return None
        return reply if reply.get('ok') else None

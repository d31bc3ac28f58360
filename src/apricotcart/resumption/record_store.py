"""Records of streams on the control hosts, in memory only."""

from __future__ import annotations

from abc import ABC, abstractmethod
from collections import Counter, defaultdict
from collections.abc import Iterable, Iterator, Mapping
from typing import Any, Final

from apricotcart.coordinator.any_host_client import AnyHostClient
from apricotcart.coordinator.messages import FIND_ORIGIN, KIND, RECORD_ORIGINS
from apricotcart.resumption.origins import StreamOrigin
from apricotcart.transport.redialing import WireMessage

# Control hosts that store each record. All but one may be lost.
_REPLICAS: Final = 3
# Copies with which a record counts as stored.
_MIN_COPIES: Final = 2

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
    hosts : AnyHostClient
        Client of the control hosts.
    """

    __slots__ = ('_hosts',)

    def __init__(self, hosts: AnyHostClient) -> None:
        self._hosts = hosts

    def replace_members(self, node_ids: Iterable[str]) -> None:
        """Set the control hosts; an empty list is ignored."""
        self._hosts.replace_members(node_ids)

    def store(self, origins: Origins) -> set[str]:
        """Store origins and return the attempts that are stored."""
        copies: Counter[str] = Counter()
        for ip, batch in self._batches(origins).items():
            message = {KIND: RECORD_ORIGINS, 'origins': batch}
            if self._hosts.call(ip, message) is not None:
                copies.update(batch.keys())
        needed = min(_MIN_COPIES, self._hosts.host_count)
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
            for ip in self._hosts.ordered_hosts(attempt_id)[:_REPLICAS]:
                batches[ip][attempt_id] = origin.to_wire()
        return batches

    def _replies(
        self, attempt_id: str, message: WireMessage
    ) -> Iterator[WireMessage]:
        for ip in self._hosts.ordered_hosts(attempt_id):
            reply = self._hosts.call(ip, dict(message))
            if reply is not None:
                yield reply

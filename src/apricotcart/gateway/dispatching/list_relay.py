"""Obtains the list of endpoints from any control host."""

from __future__ import annotations

from abc import ABC, abstractmethod
from collections.abc import Mapping, Sequence
from typing import Any, Final

from apricotcart.coordinator.any_host_client import AnyHostClient
from apricotcart.coordinator.messages import KIND, LIST
from apricotcart.endpoints.instances import Instance

# Hosts that are asked one after another for one list.
_MAX_HOSTS: Final = 3
# Key of the order of the hosts. All gateways ask the same one first, which
# fetches one list for all of them.
_KEY: Final = 'endpoints'


class RelayedList:
    """A list of endpoints that a control host has fetched.

    Attributes
    ----------
    mark : int
        Mark of the list.
    instances : sequence of Instance or None
        The list, None if it has the mark that was asked with.
    age_s : float
        Time since it was fetched, in seconds.
    """

    __slots__ = ('age_s', 'instances', 'mark')

    def __init__(
        self, mark: int, instances: Sequence[Instance] | None, age_s: float
    ) -> None:
        self.mark = mark
        self.instances = instances
        self.age_s = age_s


class ListRelay(ABC):
    """Source of the list while the leader does not provide it."""

    @abstractmethod
    def request(self, known_mark: int) -> RelayedList | None:
        """Return a recent list, None if there is no source."""


class ControlHostRelay(ListRelay):
    """Asks control hosts, of which none needs to lead.

    Parameters
    ----------
    hosts : AnyHostClient
        Client of the control hosts.
    """

    __slots__ = ('_hosts',)

    def __init__(self, hosts: AnyHostClient) -> None:
        self._hosts = hosts

    def request(self, known_mark: int) -> RelayedList | None:
        """Return a recent list, None if the first few hosts have none."""
        for ip in self._hosts.ordered_hosts(_KEY)[:_MAX_HOSTS]:
            reply = self._hosts.call(ip, {KIND: LIST, 'list_mark': known_mark})
            if reply is not None:
                return RelayedList(
                    reply['list_mark'],
                    parse_instances(reply['instances']),
                    reply['age_s'],
                )
        return None


def parse_instances(
    entries: Sequence[Mapping[str, Any]] | None,
) -> list[Instance] | None:
    """Return the list of a reply; None if it has not changed."""
    if entries is None:
        return None
    return [Instance.from_wire(entry) for entry in entries]

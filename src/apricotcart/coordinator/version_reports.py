"""Learns between syncs which desired state gateways obey."""

from __future__ import annotations

from collections.abc import Callable, Mapping

from apricotcart.control.api import ReplicatedState
from apricotcart.coordinator.messages import HAS_VERSION
from apricotcart.coordinator.state_copies import StateCopies
from apricotcart.errors.tree import NotLeaderError
from apricotcart.timers.clock import boot_clock_s
from apricotcart.transport.api import WireMessage


class VersionReports:
    """Records the versions that gateways report.

    After a change, all gateways do so at the same time, which costs less than
    a sync of each.

    Parameters
    ----------
    replicated : ReplicatedState
        Replicated log on this host.
    copies : StateCopies
        Receives the versions.
    """

    __slots__ = ('_copies', '_replicated')

    def __init__(
        self, replicated: ReplicatedState, copies: StateCopies
    ) -> None:
        self._replicated = replicated
        self._copies = copies

    def handlers(self) -> Mapping[str, Callable[[WireMessage], WireMessage]]:
        """Return the functions that answer requests, by their kind."""
        return {HAS_VERSION: self._record}

    def _record(self, message: WireMessage) -> WireMessage:
        if self._replicated.lease_until() <= boot_clock_s():
            raise NotLeaderError('this host is not the leader')
        self._copies.update(message['incarnation'], message['version'])
        return {'ok': True}

"""Status and usage reports for operators."""

from __future__ import annotations

from typing import Any

from apricotcart.control.entry_hosts import EntryHosts
from apricotcart.control.loop import ConsensusLoop
from apricotcart.state.machine import ClusterState
from apricotcart.timers.clock import boot_clock_s

_MAX_REPORTS = 1000


class Reports:
    """Builds status and usage reports.

    Parameters
    ----------
    loop : ConsensusLoop
        Provides role, term and members.
    state : ClusterState
        Cluster state; read under the lock of the loop.
    hosts : EntryHosts
        Entry hosts that have synchronised with the leader.
    """

    __slots__ = ('_hosts', '_loop', '_state')

    def __init__(
        self,
        loop: ConsensusLoop,
        state: ClusterState,
        hosts: EntryHosts,
    ) -> None:
        self._loop = loop
        self._state = state
        self._hosts = hosts

    def status(self) -> dict[str, Any]:
        """Return the status of this host and of the replicated log."""
        status = self._loop.status()
        with self._loop.lock:
            status['revision'] = self._state.revision
            status['orders'] = len(self._state.tables.orders.store)
        status['entry_hosts'] = self._hosts.reports(boot_clock_s())
        return status

    def usage(self) -> dict[str, Any]:
        """Return the figures of closed usage windows not reported yet."""
        with self._loop.lock:
            usage = self._state.tables.usage
            due = usage.unreported(_MAX_REPORTS)
            closed = usage.windows.closed_through
        return {
            'closed_through': closed,
            'unreported': [report.to_wire() for report in due],
        }

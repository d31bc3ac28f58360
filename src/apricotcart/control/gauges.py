"""Gauges of a control host, updated when the metrics page is read."""

from __future__ import annotations

from collections import Counter

from apricotcart.consensus.api import Role
from apricotcart.control.entry_hosts import EntryHosts
from apricotcart.control.loop import ConsensusLoop
from apricotcart.observability.catalogue import (
    COMMIT_INDEX,
    ENTRY_HOSTS,
    IS_LEADER,
    TERM,
)
from apricotcart.observability.metrics import Metrics
from apricotcart.timers.clock import boot_clock_s

_STATES = ('serving', 'leaving')


class ControlGauges:
    """Gauges of the replicated log and of the entry hosts.

    Parameters
    ----------
    metrics : Metrics
        Registry of the gauges.
    loop : ConsensusLoop
        Provides role, term and commit index.
    hosts : EntryHosts
        Entry hosts that have synchronised with the leader.
    """

    __slots__ = ('_hosts', '_loop', '_metrics')

    def __init__(
        self,
        metrics: Metrics,
        loop: ConsensusLoop,
        hosts: EntryHosts,
    ) -> None:
        self._metrics = metrics
        self._loop = loop
        self._hosts = hosts

    def update(self) -> None:
        """Set all gauges to the current state."""
        status = self._loop.status()
        metrics = self._metrics
        metrics.set_gauge(IS_LEADER, int(status['role'] == Role.LEADER))
        metrics.set_gauge(TERM, status['term'])
        metrics.set_gauge(COMMIT_INDEX, status['commit_index'])
        reports = self._hosts.reports(boot_clock_s())
        counts = Counter(report['state'] for report in reports)
        for state in _STATES:
            metrics.set_gauge(ENTRY_HOSTS, counts[state], {'state': state})

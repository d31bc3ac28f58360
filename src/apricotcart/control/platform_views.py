"""Views of the committed state for the decision modules."""

from __future__ import annotations

import time

from apricotcart.control.entry_hosts import EntryHosts
from apricotcart.control.loop import ConsensusLoop
from apricotcart.provisioning.api import (
    EndpointResource,
    FleetView,
    LeaseSource,
    UsageFigures,
    UsageView,
)
from apricotcart.state.machine import ClusterState
from apricotcart.timers.clock import boot_clock_s

_MAX_REPORTS = 64
_NS_PER_MS = 1_000_000


class LoopLease(LeaseSource):
    """Leader lease of the consensus node of this host."""

    __slots__ = ('_loop',)

    def __init__(self, loop: ConsensusLoop) -> None:
        self._loop = loop

    def lease_expires_at(self) -> float:
        """Return the end of the lease on the boot clock; 0.0 without one."""
        return self._loop.lease_until()

    def term(self) -> int:
        """Return the current term of the node."""
        return self._loop.term()


class CommittedUsage(UsageView):
    """Usage windows in the state that this host has applied."""

    __slots__ = ('_loop', '_state')

    def __init__(self, loop: ConsensusLoop, state: ClusterState) -> None:
        self._loop = loop
        self._state = state

    def open_windows(self) -> list[int]:
        """Return the windows that have ended and are not closed."""
        now_ms = time.time_ns() // _NS_PER_MS
        with self._loop.lock:
            windows = self._state.tables.usage.windows
            return windows.closable(now_ms)

    def unreported(self) -> list[UsageFigures]:
        """Return figures of closed windows not yet marked as reported."""
        with self._loop.lock:
            due = self._state.tables.usage.unreported(_MAX_REPORTS)
        return [UsageFigures(**report.to_wire()) for report in due]


class CommittedFleet(FleetView):
    """Endpoint resources and the demand that entry hosts report."""

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

    def endpoints(self) -> list[EndpointResource]:
        """Return all ``endpoint`` resources."""
        with self._loop.lock:
            resources = self._state.list('endpoint')
        return [
            EndpointResource(
                name=resource.name,
                version=resource.version,
                spec=dict(resource.spec),
                status=dict(resource.status or {}),
            )
            for resource in resources
        ]

    def slots_needed(self, pool: str) -> float:
        """Return the requests in flight and queued for a pool on all hosts."""
        demands = self._hosts.demands(boot_clock_s())
        return sum(
            entry.queued + entry.in_flight
            for demand in demands.values()
            for entry in demand.tiers
            if entry.pool == pool
        )

    def in_flight(self, endpoint: str) -> int:
        """Return the requests in flight on an endpoint from all hosts."""
        demands = self._hosts.demands(boot_clock_s())
        return sum(
            demand.running.get(endpoint, 0) for demand in demands.values()
        )

"""Construction of the tasks of the leader."""

from __future__ import annotations

import random
import time
from typing import Any

from apricotcart.consensus.config import LEASE_S
from apricotcart.control.entry_hosts import EntryHosts
from apricotcart.control.loop import ConsensusLoop
from apricotcart.control.platform_views import CommittedUsage, LoopLease
from apricotcart.provisioning.api import FleetView, LeaderTask
from apricotcart.provisioning.authority import Authority, AuthorityTiming
from apricotcart.provisioning.backoff import KeyedBackoff
from apricotcart.provisioning.capacity import CapacityController
from apricotcart.provisioning.fleet import FleetController
from apricotcart.provisioning.hosts import DRAINING, HostHints
from apricotcart.provisioning.inventory import Inventory
from apricotcart.provisioning.leader import LeaderDuties
from apricotcart.provisioning.loading import LoadingRule, ModelLoader
from apricotcart.provisioning.orders import OrderBook
from apricotcart.provisioning.outbox import Outbox
from apricotcart.provisioning.placement import Placement, SpotRule
from apricotcart.provisioning.reporter import (
    INITIAL_BACKOFF_S,
    MAX_BACKOFF_S,
    ReporterTiming,
    UsageReporter,
)
from apricotcart.provisioning.sizing import SizingRule
from apricotcart.settings.control import ControlConfig
from apricotcart.state.limits import WINDOW_MS
from apricotcart.state.machine import ClusterState
from apricotcart.timers.clock import boot_clock_s

_MS_PER_S = 1000
# Each hint makes the host table rebuild the list of hosts for callers, which
# takes about 1 ms for 340 hosts.
HINT_INTERVAL_S = 1.0


class HintFeed:
    """Reports hosts that the platform lists as draining to the host table.

    The table uses this only as a hint: it shortens the time after which a
    host that no longer synchronises counts as lost.

    Parameters
    ----------
    hints : HostHints
        Host list of the platform.
    hosts : EntryHosts
        Entry hosts that have synchronised with this leader.
    """

    __slots__ = ('_hints', '_hosts', '_next_at')

    def __init__(self, hints: HostHints, hosts: EntryHosts) -> None:
        self._next_at: float = 0
        self._hints = hints
        self._hosts = hosts

    def tick(self, now: float) -> None:
        """Report the hosts that are listed as draining, once per interval."""
        if now < self._next_at:
            return
        self._next_at = now + HINT_INTERVAL_S
        for report in self._hosts.reports(now):
            host = report['host']
            if self._hints.hint(now, host) == DRAINING:
                self._hosts.on_hint(now, host)


class Duties:
    """Tasks of the leader for one set of pools."""

    __slots__ = ('_hint_feed', 'leader', 'reporter')

    def __init__(
        self,
        leader: LeaderDuties,
        reporter: UsageReporter,
        hint_feed: HintFeed,
    ) -> None:
        self.leader = leader
        self.reporter = reporter
        self._hint_feed = hint_feed

    def tick(self) -> None:
        """Tick all tasks with the current time."""
        now = boot_clock_s()
        self.reporter.wall_time_s = time.time()
        self.leader.tick(now)
        self._hint_feed.tick(now)


class DutyPlan:
    """Builds the tasks of the leader for the declared pools.

    Parameters
    ----------
    cfg : ControlConfig
        Settings, with the name of this host.
    loop : ConsensusLoop
        Provides the lease and the lock of the state.
    state : ClusterState
        Pools, endpoints and usage.
    fleet_view : FleetView
        Endpoints and demand.
    hosts : EntryHosts
        Receives the hosts that the platform lists as draining.
    """

    __slots__ = ('_cfg', '_fleet_view', '_hosts', '_loop', '_rng', '_state')

    def __init__(
        self,
        cfg: ControlConfig,
        loop: ConsensusLoop,
        state: ClusterState,
        fleet_view: FleetView,
        hosts: EntryHosts,
    ) -> None:
        self._hosts = hosts
        self._cfg = cfg
        self._loop = loop
        self._state = state
        self._fleet_view = fleet_view
        self._rng = random.Random()

    def pools(self) -> dict[str, dict[str, Any]]:
        """Return the specs of the pools with endpoints of the platform."""
        with self._loop.lock:
            pools = self._state.list('pool')
        return {
            pool.name: dict(pool.spec)
            for pool in pools
            if pool.spec['max_endpoints']
        }

    def build(self, pools: dict[str, dict[str, Any]]) -> Duties:
        """Build all tasks for the given pool specs."""
        outbox = Outbox()
        authority = Authority(
            self._cfg.host.name,
            LoopLease(self._loop),
            outbox,
            AuthorityTiming(
                lease_s=LEASE_S,
                in_flight_s=self._cfg.timing.send_timeout_s,
            ),
        )
        reporter = UsageReporter(
            authority,
            outbox,
            CommittedUsage(self._loop, self._state),
            self._backoff(),
            ReporterTiming(window_s=WINDOW_MS / _MS_PER_S),
        )
        loading = ModelLoader(
            LoadingRule(),
            self._fleet_view,
            authority,
            outbox,
            self._backoff(),
        )
        hints = HostHints(outbox)
        # The inventory comes first because the other tasks decide based on
        # its reads. The reporter comes before the capacity tasks so that
        # usage reports do not queue behind endpoint orders.
        tasks: list[LeaderTask] = [reporter, loading, hints]
        if pools:
            inventory, *capacity = self._capacity_tasks(
                pools, authority, outbox
            )
            tasks = [inventory, reporter, *capacity, loading, hints]
        return Duties(
            LeaderDuties(authority, outbox, tasks),
            reporter,
            HintFeed(hints, self._hosts),
        )

    def _capacity_tasks(
        self,
        pools: dict[str, dict[str, Any]],
        authority: Authority,
        outbox: Outbox,
    ) -> list[LeaderTask]:
        inventory = Inventory(outbox)
        fleet = FleetController(
            {name: _template(spec) for name, spec in pools.items()},
            self._fleet_view,
            inventory,
            authority,
            outbox,
            self._backoff(),
        )
        capacity = CapacityController(
            {name: _sizing_rule(spec) for name, spec in pools.items()},
            self._fleet_view,
            inventory,
            Placement(SpotRule(), self._backoff()),
            OrderBook(authority, outbox, self._backoff()),
            fleet,
            outbox,
        )
        return [inventory, capacity, fleet]

    def _backoff(self) -> KeyedBackoff:
        return KeyedBackoff(INITIAL_BACKOFF_S, MAX_BACKOFF_S, self._rng)


def _template(spec: dict[str, Any]) -> dict[str, Any]:
    return {
        'slots': spec['endpoint_slots'],
        'checks_fencing': spec['endpoint_checks_fencing'],
        'models': spec['endpoint_models'],
    }


def _sizing_rule(spec: dict[str, Any]) -> SizingRule:
    return SizingRule(
        slots=spec['endpoint_slots'],
        min_endpoints=spec['min_endpoints'],
        max_endpoints=spec['max_endpoints'],
    )

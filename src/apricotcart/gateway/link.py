"""Exchanges state with the leading control host."""

from __future__ import annotations

import logging
import uuid
from collections.abc import Mapping, Sequence
from typing import Any, Final

from apricotcart.coordinator.leader_client import LeaderClient
from apricotcart.coordinator.messages import (
    KIND,
    SYNC,
    SyncReply,
    SyncRequest,
)
from apricotcart.desired.routing import RoutingTable
from apricotcart.endpoints.instances import Instance
from apricotcart.errors.tree import ApricotcartError
from apricotcart.gateway.active_requests import Phase, RunningCalls
from apricotcart.gateway.connections import ConnectionPool
from apricotcart.gateway.dispatcher import Dispatcher
from apricotcart.gateway.endpoint_state import SharedLoad
from apricotcart.gateway.retry_policy import RepeatPolicy
from apricotcart.gateway.state import StateCopy
from apricotcart.gateway.usage import UsageCounter
from apricotcart.provisioning.fleet_api import FleetPlatform
from apricotcart.settings.fleet import FleetConfig
from apricotcart.timers.clock import TrueClock, steady_s

_LOG = logging.getLogger(__name__)
# Pause between two syncs: a change reaches every host well within a second.
_SYNC_INTERVAL_S: Final = 0.3
# The same while no desired state is known, and requests wait for it.
_FIRST_INTERVAL_S: Final = 0.08
# Longest wait for the answer of the leader.
_SYNC_TIMEOUT_S: Final = 0.8
# The same while no desired state is known: another host may answer sooner.
_FIRST_TIMEOUT_S: Final = 0.25
# A list of endpoints older than this is fetched by this host itself: one sync
# without an answer is enough, since the next may wait as long.
_LIST_MAX_AGE_S: Final = 1.0
# Pause between two fetches by this host itself.
_FETCH_INTERVAL_S: Final = 0.7
# Difference to the leader's time that is not a step of a clock.
_TIME_SLACK_S: Final = 0.1


class ControlLink:
    """Sends what this host knows, and takes over what the leader knows.

    Parameters
    ----------
    cfg : FleetConfig
        Name, zone and address of this host.
    leader : LeaderClient
        Reaches the leading control host.
    platform : FleetPlatform
        Lists the endpoints while no leader does.
    state : StateCopy
        Takes the desired state.
    dispatcher : Dispatcher
        Takes endpoints and their load.
    pool : ConnectionPool
        Closes connections to endpoints that are gone.
    policy : RepeatPolicy
        Takes the number of hosts.
    usage : UsageCounter
        Gives the usage to report.
    clock : TrueClock
        Follows the leader's time.
    running : RunningCalls
        Tells whether this host serves.
    """

    __slots__ = (
        '_cfg',
        '_clock',
        '_dispatcher',
        '_fetched_at',
        '_incarnation',
        '_leader',
        '_list_at',
        '_list_mark',
        '_platform',
        '_policy',
        '_pool',
        '_running',
        '_state',
        '_usage',
    )

    def __init__(
        self,
        *,
        cfg: FleetConfig,
        leader: LeaderClient,
        platform: FleetPlatform,
        state: StateCopy,
        dispatcher: Dispatcher,
        pool: ConnectionPool,
        policy: RepeatPolicy,
        usage: UsageCounter,
        clock: TrueClock,
        running: RunningCalls,
    ) -> None:
        """Start without knowledge."""
        self._cfg = cfg
        self._leader = leader
        self._platform = platform
        self._state = state
        self._dispatcher = dispatcher
        self._pool = pool
        self._policy = policy
        self._usage = usage
        self._clock = clock
        self._running = running
        self._incarnation = uuid.uuid4().hex
        self._list_mark = 0
        # Without a list, the first one is fetched at once.
        self._list_at: float = 0
        self._fetched_at: float = 0

    def sync(self) -> None:
        """Exchange state once; a failure is logged and tried again."""
        asked_at = steady_s()
        message = {KIND: SYNC, **self._request().to_wire()}
        try:
            fields = self._leader.call(message, self._timeout_s())
            self._take(SyncReply.from_wire(fields['sync']), asked_at)
        except ApricotcartError as exc:
            _LOG.info('sync failed: %s', exc.message)
        self._fetch_if_stale()

    def is_serving(self) -> bool:
        """Tell whether callers may be sent to this host."""
        return self._state.is_known and self._running.phase is Phase.SERVING

    def pause_s(self) -> float:
        """Give the time to the next sync in seconds."""
        if self._state.is_known:
            return _SYNC_INTERVAL_S
        return _FIRST_INTERVAL_S

    def _timeout_s(self) -> float:
        if self._state.is_known:
            return _SYNC_TIMEOUT_S
        return _FIRST_TIMEOUT_S

    def _request(self) -> SyncRequest:
        return SyncRequest(
            host=self._cfg.host.name,
            incarnation=self._incarnation,
            place=str(self._cfg.listen.callers),
            zone=self._cfg.host.zone,
            is_serving=self.is_serving(),
            version=self._state.version,
            list_mark=self._list_mark,
            loads=_wire_loads(self._dispatcher.own_loads()),
            waiting=_wire_loads(self._dispatcher.waiting_tokens()),
            usage=self._usage.counts(),
        )

    def _take(self, reply: SyncReply, asked_at: float) -> None:
        if reply.document is not None:
            self._configure(self._state.adopt(reply.document))
        self._state.confirm(asked_at)
        if reply.instances is not None:
            self._list(
                [Instance.from_wire(each) for each in reply.instances],
            )
        if reply.list_mark:
            self._list_mark = reply.list_mark
            self._list_at = asked_at
        loads = {
            name: SharedLoad(*figures) for name, figures in reply.loads.items()
        }
        self._dispatcher.hear(loads, reply.hosts)
        self._policy.share_among(reply.hosts)
        self._leader.learn_members(reply.members)
        if abs(self._clock.now_s() - reply.unix_s) > _TIME_SLACK_S:
            self._clock.adopt(reply.unix_s)

    def _configure(self, table: RoutingTable | None) -> None:
        if table is None:
            return
        engines = {
            service.name: service.engine
            for service in table.state.services
            if service.engine is not None
        }
        self._dispatcher.update(
            lambda placement: placement.configure(engines),
        )

    def _list(self, instances: Sequence[Instance]) -> None:
        self._dispatcher.update(
            lambda placement: placement.list_instances(instances, steady_s()),
        )
        self._pool.forget({each.address for each in instances})

    def _fetch_if_stale(self) -> None:
        now = steady_s()
        if now < self._list_at + _LIST_MAX_AGE_S:
            return
        if now < self._fetched_at + _FETCH_INTERVAL_S:
            return
        self._fetched_at = now
        try:
            self._list(self._platform.instances())
        except ApricotcartError as exc:
            _LOG.warning('the list of endpoints is not to be had: %s', exc)
            return
        # The leader's list counts again once it answers.
        self._list_mark = 0


def _wire_loads(loads: Mapping[str, SharedLoad]) -> dict[str, Any]:
    return {
        name: [load.requests, load.tokens, load.unread_tokens]
        for name, load in loads.items()
    }

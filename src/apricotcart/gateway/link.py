"""Synchronizes the gateway with the leading control host."""

from __future__ import annotations

import logging
import threading
import uuid
from collections.abc import Mapping, Sequence
from typing import Any, Final

from apricotcart.coordinator.exchange_messages import SharedFigures
from apricotcart.coordinator.leader_client import (
    HOST_TIMEOUT_S,
    LeaderClient,
)
from apricotcart.coordinator.messages import (
    HAS_VERSION,
    KIND,
    SHARES_FIGURES,
    SYNC,
    TAKES_VERSIONS,
)
from apricotcart.coordinator.sync_messages import (
    ANY_VERSION,
    SyncReply,
    SyncRequest,
    read_reply,
)
from apricotcart.endpoints.recent_outcomes import OutcomeCounts
from apricotcart.errors.tree import ApricotcartError
from apricotcart.gateway.crash_quarantine import CrashQuarantine
from apricotcart.gateway.dispatching.dispatcher import Dispatcher
from apricotcart.gateway.dispatching.endpoint_state import LoadSummary
from apricotcart.gateway.dispatching.endpoint_updates import EndpointUpdater
from apricotcart.gateway.dispatching.list_relay import parse_instances
from apricotcart.gateway.dispatching.rate_share import RateShare
from apricotcart.gateway.reachability.sync import SyncedReach
from apricotcart.gateway.retry_policy import RetryPolicy
from apricotcart.gateway.shared_figures import FigureExchange
from apricotcart.gateway.state import StateCopy
from apricotcart.gateway.state_adoption import StateAdoption
from apricotcart.gateway.stop_state import Phase, StopState
from apricotcart.gateway.usage import UsageCounter
from apricotcart.resumption.serving_versions import versions_from_wire
from apricotcart.resumption.stream_origins import StreamOrigins
from apricotcart.settings.fleet import FleetConfig
from apricotcart.timers.clock import SteadyUnixClock, boot_clock_s

_LOG = logging.getLogger(__name__)
# Sync interval; a change reaches every host well within a second.
_SYNC_INTERVAL_S: Final = 0.3
# Sync interval while no desired state is known and requests wait for it.
_FIRST_INTERVAL_S: Final = 0.08
# Timeout of a sync, in which several hosts may be asked.
_SYNC_TIMEOUT_S: Final = 1.2
# Timeout while no desired state is known; another host may respond sooner.
_FIRST_TIMEOUT_S: Final = 0.25
# Smaller differences to the leader's time are not clock steps.
_CLOCK_TOLERANCE_S: Final = 0.1


class ControlLink:
    """Reports this host's load and usage, and applies the leader's state.

    Parameters
    ----------
    cfg : FleetConfig
        Name, zone and address of this host.
    leader : LeaderClient
        Client of the leading control host.
    state : StateCopy
        Stores the desired state.
    dispatcher : Dispatcher
        Stores the load of the endpoints.
    endpoints : EndpointUpdater
        Stores the list of endpoints.
    retry_policy : RetryPolicy
        Divides the retry budget by the number of hosts.
    usage : UsageCounter
        Counts the usage to report.
    clock : SteadyUnixClock
        Clock that is set to the leader's time.
    stop_state : StopState
        Holds the shutdown phase of this host.
    quarantine : CrashQuarantine
        Shares its evidence with the other hosts.
    origins : StreamOrigins
        Learns which software versions serve, and the control hosts.
    reachability : SyncedReach
        Shares with the other hosts whether endpoints are reached.
    figures : FigureExchange
        Figures that this host shares with the others.
    """

    __slots__ = (
        '_adoption',
        '_cfg',
        '_clock',
        '_dispatcher',
        '_endpoints',
        '_failures',
        '_figures',
        '_is_due',
        '_incarnation',
        '_leader',
        '_leader_takes_versions',
        '_lock',
        '_origins',
        '_quarantine',
        '_reachability',
        '_retry_policy',
        '_stop_state',
        '_state',
        '_usage',
    )

    def __init__(
        self,
        *,
        cfg: FleetConfig,
        leader: LeaderClient,
        state: StateCopy,
        dispatcher: Dispatcher,
        endpoints: EndpointUpdater,
        retry_policy: RetryPolicy,
        usage: UsageCounter,
        clock: SteadyUnixClock,
        stop_state: StopState,
        quarantine: CrashQuarantine,
        origins: StreamOrigins,
        reachability: SyncedReach,
        figures: FigureExchange,
    ) -> None:
        self._figures = figures
        self._reachability = reachability
        self._cfg = cfg
        self._leader = leader
        self._state = state
        self._dispatcher = dispatcher
        self._endpoints = endpoints
        self._retry_policy = retry_policy
        self._usage = usage
        self._quarantine = quarantine
        self._origins = origins
        self._clock = clock
        self._stop_state = stop_state
        self._incarnation = uuid.uuid4().hex
        self._adoption = StateAdoption(state, dispatcher, cfg.bounds)
        self._lock = threading.Lock()
        # Syncs in a row that have failed.
        self._failures = 0
        # Whether the next sync follows at once.
        self._is_due = False
        self._leader_takes_versions = False

    def sync(self) -> None:
        """Synchronize once; a failure is logged and the next sync retries."""
        with self._lock:
            try:
                self._sync_with_leader()
            except ApricotcartError as exc:
                self._failures += 1
                self._is_due = False
                self._figures.on_failure()
                _LOG.info('sync with the leader failed: %s', exc.message)
            else:
                self._failures = 0

    def tell_version(self) -> None:
        """Tell the leader that a newer desired state is in force."""
        with self._lock:
            self._tell_version()
            is_due = self._is_due
        if is_due:
            self.sync()

    def is_serving(self) -> bool:
        """Return whether the directory may direct callers to this host."""
        return self._state.is_usable and self._stop_state.phase is Phase.SERVING

    def interval_s(self) -> float:
        """Return the time to the next sync in seconds."""
        if self._is_due:
            return 0
        if self._state.newest_version >= 0:
            return _SYNC_INTERVAL_S
        return _FIRST_INTERVAL_S

    def _sync_with_leader(self) -> None:
        self._is_due = False
        requested_at = boot_clock_s()
        version = self._state.version
        # A leader that does not know that this host fetches the state in
        # blocks would reply with the whole document.
        is_first = self._figures.is_understood is None
        message = {KIND: SYNC, **self._request(is_first=is_first).to_wire()}
        fields = self._leader.call(message, self._timeout_s(), HOST_TIMEOUT_S)
        reply = read_reply(fields)
        self._reachability.apply(reply.reachability, requested_at)
        # Before the state, which lets waiting requests be sent.
        self._figures.on_leader(is_understood=bool(fields.get(SHARES_FIGURES)))
        self._apply(reply, requested_at)
        if not is_first:
            self._apply_version(reply, requested_at)
            self._figures.apply(reply.exchange, requested_at)
        self._leader_takes_versions = bool(fields.get(TAKES_VERSIONS))
        self._is_due = is_first
        if not is_first and self._state.version != version:
            self._tell_version()

    def _tell_version(self) -> None:
        """Tell the leader, which waits for it, what this host obeys."""
        if not self._leader_takes_versions:
            self._is_due = True
            return
        message = {
            KIND: HAS_VERSION,
            'incarnation': self._incarnation,
            'version': self._state.version,
        }
        try:
            self._leader.call(message, HOST_TIMEOUT_S, HOST_TIMEOUT_S)
        except ApricotcartError as exc:
            # The next sync tells it too.
            _LOG.info('the leader was not told the version: %s', exc.message)

    def _timeout_s(self) -> float:
        if self._state.newest_version >= 0:
            return _SYNC_TIMEOUT_S
        # A host that is slow to answer gets more time with each attempt.
        return min(_SYNC_TIMEOUT_S, _FIRST_TIMEOUT_S * (1 + self._failures))

    def _request(self, *, is_first: bool) -> SyncRequest:
        report = self._dispatcher.load_report()
        return SyncRequest(
            host=self._cfg.host.name,
            incarnation=self._incarnation,
            address=str(self._cfg.listen.callers),
            zone=self._cfg.host.zone,
            is_serving=self.is_serving(),
            version=ANY_VERSION if is_first else self._state.version,
            list_mark=self._endpoints.mark,
            loads=_wire_loads(report.loads),
            outcomes=_wire_outcomes(report.outcomes),
            waiting=_wire_loads(report.waiting),
            usage=self._usage.counts(),
            suspects=self._quarantine.reports(),
            reachability=self._reachability.report(boot_clock_s()),
            exchange=self._figures.request(boot_clock_s()),
        )

    def _apply(self, reply: SyncReply, requested_at: float) -> None:
        self._apply_software(reply, requested_at)
        self._endpoints.apply_reply(
            parse_instances(reply.instances),
            reply.list_mark,
            requested_at,
            reply.list_age_s,
        )
        loads = {
            name: LoadSummary(*totals) for name, totals in reply.loads.items()
        }
        self._dispatcher.update_remote_loads(loads, reply.hosts)
        failing = {
            name: OutcomeCounts(*figures)
            for name, figures in reply.failing.items()
        }
        self._dispatcher.update_placement(
            lambda placement: placement.table.update_remote_outcomes(failing),
        )
        if abs(self._clock.now_s() - reply.unix_s) > _CLOCK_TOLERANCE_S:
            self._clock.synchronize(reply.unix_s)
        self._update_rate_share(reply, requested_at)
        self._retry_policy.set_host_count(reply.hosts)
        self._endpoints.set_host_count(reply.hosts)
        self._quarantine.merge(reply.suspects)
        self._leader.replace_members(reply.members)

    def _apply_version(self, reply: SyncReply, requested_at: float) -> None:
        """Apply the document of a reply, or learn that there is a newer one.

        Called last, since the state lets waiting requests begin.
        """
        if reply.document is not None:
            self._adoption.adopt(reply.document, requested_at)
        shared = SharedFigures.from_wire(reply.exchange or {})
        # A leader that names no version has sent what is newer.
        self._state.observe(
            max(shared.state_version, self._state.version), requested_at
        )

    def _apply_software(self, reply: SyncReply, requested_at: float) -> None:
        self._origins.update(
            reply.software_versions, reply.members, requested_at
        )
        versions = versions_from_wire(reply.software_versions)
        self._dispatcher.update_placement(
            lambda placement: placement.update_versions(versions),
        )

    def _update_rate_share(self, reply: SyncReply, requested_at: float) -> None:
        share = RateShare(reply.rank, reply.ranked_hosts, self._clock.offset_s)
        self._dispatcher.update_placement(
            lambda placement: placement.limits.update_share(
                share, requested_at
            ),
        )


def _wire_loads(loads: Mapping[str, LoadSummary]) -> dict[str, Any]:
    return {
        name: [load.requests, load.tokens, load.prefill_tokens]
        for name, load in loads.items()
    }


def _wire_outcomes(
    outcomes: Mapping[str, OutcomeCounts],
) -> dict[str, Sequence[int]]:
    return {name: counts.to_wire() for name, counts in outcomes.items()}

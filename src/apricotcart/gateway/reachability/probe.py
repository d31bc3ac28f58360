"""Connects to endpoints to learn whether this host reaches any."""

from __future__ import annotations

import socket
import threading
from collections.abc import Callable, Iterable
from contextlib import closing
from typing import Final

from apricotcart.gateway.reachability.api import Reach
from apricotcart.gateway.reachability.monitor import ReachChange, ReachMonitor
from apricotcart.gateway.reachability.probe_plan import ProbePlan
from apricotcart.observability.decisions import (
    ENDPOINTS_CUT_OFF,
    ENDPOINTS_REGAINED,
    Event,
    log_decision,
)
from apricotcart.timers.clock import boot_clock_s

# Interval at which probes that are due are started.
PROBE_CHECK_S: Final = 0.05
# A connection is established within a round trip, unless a packet is lost.
_CONNECT_TIMEOUT_S: Final = 0.5


class ReachProbe:
    """Connects to endpoints while there is a reason, and closes at once.

    Each connection has a thread of its own, so that one that is not answered
    delays nothing. There are at most four at a time, since two are started
    every 0.3 s and each ends within 0.5 s.

    Parameters
    ----------
    monitor : ReachMonitor
        Receives the results.
    plan : ProbePlan
        Chooses the endpoints.
    listed : callable
        Returns the addresses of the endpoints that accept requests.
    on_regained : callable
        Called when this host reaches endpoints after it was cut off.
    """

    __slots__ = (
        '_listed',
        '_monitor',
        '_on_regained',
        '_plan',
        '_was_cut_off',
    )

    def __init__(
        self,
        monitor: ReachMonitor,
        plan: ProbePlan,
        listed: Callable[[], Iterable[str]],
        on_regained: Callable[[], object],
    ) -> None:
        self._monitor = monitor
        self._plan = plan
        self._listed = listed
        self._on_regained = on_regained
        self._was_cut_off = False

    def run_due(self) -> None:
        """Start the probes that are due and report changes of the belief."""
        self._monitor.replace_listed(self._listed())
        now = boot_clock_s()
        for address in self._plan.due(now):
            threading.Thread(
                target=self._connect, args=(address, now), daemon=True
            ).start()
        for change in self._monitor.take_changes(boot_clock_s()):
            self._apply(change)

    def _connect(self, address: str, started_at: float) -> None:
        host, _, port = address.rpartition(':')
        try:
            conn = socket.create_connection(
                (host, int(port)), timeout=_CONNECT_TIMEOUT_S
            )
        except (OSError, ValueError):
            self._monitor.on_attempt_failed(address, started_at, boot_clock_s())
            return
        with closing(conn):
            self._monitor.on_connected(address, boot_clock_s())

    def _apply(self, change: ReachChange) -> None:
        if change.after is Reach.CUT_OFF:
            self._was_cut_off = True
            _log_change(ENDPOINTS_CUT_OFF, change)
        elif change.before is Reach.CUT_OFF:
            _log_change(ENDPOINTS_REGAINED, change)
        if change.after is Reach.REACHED and self._was_cut_off:
            self._was_cut_off = False
            self._on_regained()


def _log_change(event: Event, change: ReachChange) -> None:
    log_decision(
        event,
        failed_endpoints=change.failed,
        since_success_s=change.since_success_s,
        others_reach=change.others_reach,
        view_age_s=change.view_age_s,
    )

"""Which endpoints to probe, and when."""

from __future__ import annotations

import random
from collections.abc import Sequence
from typing import Final

from apricotcart.gateway.reachability.api import Reach
from apricotcart.gateway.reachability.evidence import Evidence
from apricotcart.gateway.reachability.monitor import ReachMonitor

# While endpoints have been reached this recently and nothing failed, there is
# no probe.
_QUIET_S: Final = 0.5
# Interval of the probes of a host without traffic, which shall connect about
# once a second at most, since connections are priced. A cut that begins just
# after a probe must be known within 2.5 s.
_IDLE_INTERVAL_S: Final = 0.9
# Interval and number of probes while something failed.
_DOUBT_INTERVAL_S: Final = 0.3
_DOUBT_PROBES: Final = 2


class ProbePlan:
    """Chooses endpoints to probe by the evidence of a monitor.

    Parameters
    ----------
    monitor : ReachMonitor
        Evidence and belief of this host.
    rng : random.Random
        Chooses among endpoints, so that the hosts probe different ones.
    """

    __slots__ = ('_monitor', '_probed_at', '_rng', '_round_at')

    def __init__(self, monitor: ReachMonitor, rng: random.Random) -> None:
        self._monitor = monitor
        self._rng = rng
        self._probed_at: float = 0
        self._round_at: float = 0

    def due(self, now: float) -> Sequence[str]:
        """Return the addresses of the endpoints to probe now."""
        is_reached = self._monitor.reach(now) is Reach.REACHED
        chosen = self._monitor.examine(
            now,
            lambda evidence, others: self._choose(
                self._count(evidence, now, is_reached=is_reached),
                evidence,
                others.reached(now),
            ),
        )
        for address in chosen:
            self._probed_at = now
            self._monitor.on_connecting(address, now)
        return chosen

    def _count(
        self, evidence: Evidence, now: float, *, is_reached: bool
    ) -> int:
        if not is_reached or evidence.needs_probes(now):
            if now < self._round_at + _DOUBT_INTERVAL_S:
                return 0
            self._round_at = now
            return _DOUBT_PROBES
        is_quiet = now < evidence.last_success_at + _QUIET_S
        is_early = now < self._probed_at + _IDLE_INTERVAL_S
        return 0 if is_quiet or is_early else 1

    def _choose(
        self, count: int, evidence: Evidence, reached: frozenset[str]
    ) -> list[str]:
        if not count:
            return []
        addresses = sorted(evidence.listed)
        self._rng.shuffle(addresses)
        # Endpoints that other gateways have just reached tell most. Those that
        # are being tried or have failed already tell least, and of the others
        # those that were tried last.
        addresses.sort(
            key=lambda address: (
                address in evidence.pending,
                address in evidence.failed,
                address not in reached,
                evidence.attempts.tried_at(address),
            )
        )
        return addresses[:count]

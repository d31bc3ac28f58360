"""Confirms the desired state with a quorum while no leader does."""

from __future__ import annotations

import random
import threading
from collections.abc import Collection
from contextlib import ExitStack
from typing import Final

from apricotcart.coordinator.any_host_client import AnyHostClient
from apricotcart.coordinator.applied_states import (
    AppliedState,
    acknowledged_version,
)
from apricotcart.coordinator.messages import APPLIED_STATE, KIND
from apricotcart.gateway.state import StateCopy
from apricotcart.gateway.state_fetch import StateFetch
from apricotcart.observability.decisions import (
    STATE_CONFIRMED,
    log_decision,
)
from apricotcart.timers.clock import boot_clock_s

# Age of the copy at which hosts are asked: two syncs have failed.
_LATE_S: Final = 0.6
# Time between two looks at that age.
_LOOK_INTERVAL_S: Final = 0.1
# Bounds of the pause after hosts were asked in vain.
_PAUSE_MIN_S: Final = 0.3
_PAUSE_MAX_S: Final = 0.5
# Longest wait for a quorum of answers.
_QUORUM_TIMEOUT_S: Final = 0.5


class _Round:
    """Answers of the control hosts to one question.

    Parameters
    ----------
    pending : int
        Number of hosts that are asked.
    """

    __slots__ = ('_answered', '_pending', '_states')

    def __init__(self, pending: int) -> None:
        self._pending = pending
        self._answered = threading.Condition()
        self._states: list[AppliedState] = []

    def add(self, applied: AppliedState | None) -> None:
        """Add the answer of a host, None if it gave none."""
        with self._answered:
            self._pending -= 1
            if applied is not None:
                self._states.append(applied)
            self._answered.notify_all()

    def await_quorum(self) -> Collection[AppliedState]:
        """Return the answers once they are those of a quorum, or all."""
        with self._answered:
            self._answered.wait_for(self._is_done, _QUORUM_TIMEOUT_S)
            return tuple(self._states)

    def _is_done(self) -> bool:
        if not self._pending:
            return True
        return acknowledged_version(self._states) is not None


class QuorumCheck:
    """Asks all control hosts for what they have applied.

    A change that was acknowledged is then obeyed although its leader is lost,
    and a copy that is the newest one is used on.

    Parameters
    ----------
    hosts : AnyHostClient
        Knows the control hosts, and calls them.
    state : StateCopy
        The copy of this host.
    fetch : StateFetch
        Obtains a newer state.
    """

    __slots__ = ('_busy', '_fetch', '_hosts', '_lock', '_rng', '_state')

    def __init__(
        self, hosts: AnyHostClient, state: StateCopy, fetch: StateFetch
    ) -> None:
        self._hosts = hosts
        self._state = state
        self._fetch = fetch
        self._rng = random.Random()
        self._lock = threading.Lock()
        # Hosts that have not answered the last question yet.
        self._busy: set[str] = set()

    def interval_s(self) -> float:
        """Return the time to the next run in seconds."""
        if self._is_late():
            return self._rng.uniform(_PAUSE_MIN_S, _PAUSE_MAX_S)
        return _LOOK_INTERVAL_S

    def run(self) -> None:
        """Ask the control hosts if the copy was not confirmed recently."""
        if not self._is_late():
            return
        asked_at = boot_clock_s()
        states = self._ask()
        version = acknowledged_version(states)
        if version is None:
            return
        log_decision(
            STATE_CONFIRMED,
            version=version,
            count=len(states),
            state_age_s=self._state.age_s(),
            duration_s=boot_clock_s() - asked_at,
        )
        self._fetch.learn(version, asked_at, states)

    def _is_late(self) -> bool:
        return self._state.is_known and self._state.age_s() > _LATE_S

    def _ask(self) -> Collection[AppliedState]:
        with self._lock:
            ips = [ip for ip in self._hosts.hosts if ip not in self._busy]
            self._busy.update(ips)
        asked = _Round(len(ips))
        for ip in ips:
            threading.Thread(
                target=self._ask_host, args=(ip, asked), daemon=True
            ).start()
        return asked.await_quorum()

    def _ask_host(self, ip: str, asked: _Round) -> None:
        with ExitStack() as stack:
            stack.callback(self._release, ip)
            reply = self._hosts.call(
                ip, {KIND: APPLIED_STATE, 'version': self._state.version}
            )
        asked.add(AppliedState.from_wire(reply) if reply else None)

    def _release(self, ip: str) -> None:
        with self._lock:
            self._busy.discard(ip)

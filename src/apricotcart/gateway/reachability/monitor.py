"""Decides whether this host is cut off from the endpoints."""

from __future__ import annotations

import threading
from collections.abc import Callable, Iterable, Sequence
from typing import Final, TypeVar

from apricotcart.gateway.reachability.api import (
    Reach,
    ReachObserver,
    ReachView,
)
from apricotcart.gateway.reachability.evidence import Evidence
from apricotcart.gateway.reachability.others import OtherGateways, OthersView
from apricotcart.gateway.reachability.recovery import Recovery

_Read = TypeVar('_Read')

# Time from the first failed connection to the belief, if connections have also
# failed at endpoints that other gateways have just reached. It exceeds the age
# of what the leader says about them, so that a crash of these endpoints shows.
_CONFIRMED_S: Final = 1.0
_CONFIRMED_ENDPOINTS: Final = 2
# Others must have reached an endpoint this long after the first connection
# failed here: at the crash of all endpoints, bytes may still be on their way.
_OVERLAP_S: Final = 0.1
# Time and different endpoints that are required without such endpoints.
_ALONE_S: Final = 1.3
_ALONE_ENDPOINTS: Final = 6
# Ratio of the endpoints tried that must have failed for a cut that spares a
# few, and those of them that other gateways have just reached.
_NEARLY_ALL: Final = 0.8
_NEARLY_CONFIRMED_ENDPOINTS: Final = 3
# How recently a host must have reached endpoints to report that it does; hosts
# without traffic probe once a second.
_REACHED_AGE_S: Final = 1.1
# How recently it must have reached the endpoints that it names.
_NAMED_AGE_S: Final = 0.5
_MAX_NAMED: Final = 4


class ReachChange:
    """A change of the belief, and what decided it.

    Attributes
    ----------
    before, after : Reach
        The beliefs.
    failed : int
        Number of endpoints at which connections had failed.
    since_success_s : float
        Time since an endpoint was last reached, in seconds.
    others_reach : bool or None
        What the leader last said about the other gateways.
    view_age_s : float or None
        Age of that in seconds; None if it has said nothing.
    """

    __slots__ = (
        'after',
        'before',
        'failed',
        'others_reach',
        'since_success_s',
        'view_age_s',
    )

    def __init__(
        self,
        before: Reach,
        after: Reach,
        *,
        failed: int,
        since_success_s: float,
        others_reach: bool | None,
        view_age_s: float | None,
    ) -> None:
        self.before = before
        self.after = after
        self.failed = failed
        self.since_success_s = since_success_s
        self.others_reach = others_reach
        self.view_age_s = view_age_s


class ReachMonitor(ReachObserver, ReachView):
    """Joins the evidence of this host with what the other gateways reach.

    Endpoints are identified by their addresses. All times are in seconds of
    the boot clock.
    """

    __slots__ = (
        '_changes',
        '_evidence',
        '_lock',
        '_others',
        '_reach',
        '_recovery',
    )

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._evidence = Evidence()
        self._others = OtherGateways()
        self._recovery = Recovery()
        self._reach = Reach.REACHED
        self._changes: list[ReachChange] = []

    def reach(self, now: float) -> Reach:
        """Return the current belief."""
        with self._lock:
            self._update(now)
            return self._reach

    def on_connecting(self, endpoint_id: str, now: float) -> None:
        """Record that a new connection is being established."""
        with self._lock:
            self._update(now)
            self._evidence.on_connecting(endpoint_id, now)

    def on_connected(self, endpoint_id: str, now: float) -> None:
        """Record that a new connection was established."""
        with self._lock:
            self._update(now)
            self._evidence.on_connected(endpoint_id, now)
            if self._reach is Reach.CUT_OFF:
                self._recovery.on_connected(endpoint_id, now)
            self._update(now)

    def on_connect_failed(self, endpoint_id: str, now: float) -> None:
        """Record that a new connection failed or timed out."""
        self.on_attempt_failed(endpoint_id, now, now)

    def on_attempt_failed(
        self, endpoint_id: str, started_at: float, now: float
    ) -> None:
        """Record that a new connection that began at a time has failed."""
        with self._lock:
            self._update(now)
            self._evidence.on_failed(endpoint_id, started_at, now)
            if self._others.may_reach(endpoint_id, now):
                self._recovery.on_failed(started_at)
            self._update(now)

    def on_received(self, endpoint_id: str, now: float) -> None:
        """Record that an endpoint has sent bytes on any connection.

        This is called for each event of each stream, and so decides nothing.
        """
        with self._lock:
            self._evidence.on_received(endpoint_id, now)

    def on_silent(self, endpoint_id: str, now: float) -> None:
        """Record that an open connection ended or timed out without bytes."""
        with self._lock:
            self._update(now)
            self._evidence.on_silent(now)

    def on_view(self, view: OthersView) -> None:
        """Apply what the leader says about the other gateways."""
        with self._lock:
            self._others.apply(view)

    def replace_listed(self, addresses: Iterable[str]) -> None:
        """Set the addresses of the listed endpoints."""
        with self._lock:
            self._evidence.replace_listed(addresses)

    def take_changes(self, now: float) -> Sequence[ReachChange]:
        """Return the changes of the belief since the last call."""
        with self._lock:
            self._update(now)
            changes = self._changes
            self._changes = []
        return changes

    def reached(self, now: float) -> tuple[float | None, Sequence[str]]:
        """Return the time since an endpoint was reached, and a few of them.

        The time is None if that is too long ago or in doubt.
        """
        with self._lock:
            self._update(now)
            evidence = self._evidence
            elapsed_s = now - evidence.last_success_at
            is_reached = self._reach is Reach.REACHED
            is_doubted = not is_reached or evidence.is_doubtful(now)
            if is_doubted or elapsed_s > _REACHED_AGE_S:
                return None, ()
            recent = evidence.reached_since(now - _NAMED_AGE_S)
        return elapsed_s, recent[:_MAX_NAMED]

    def examine(
        self, now: float, read: Callable[[Evidence, OtherGateways], _Read]
    ) -> _Read:
        """Return what a function reads from the evidence."""
        with self._lock:
            self._update(now)
            return read(self._evidence, self._others)

    def _update(self, now: float) -> None:
        if self._evidence.advance(now):
            self._recovery.restart()
        reach = self._decide(now)
        if reach is not self._reach:
            self._change(reach, now)

    def _decide(self, now: float) -> Reach:
        if self._reach is Reach.CUT_OFF:
            if self._recovery.is_complete(len(self._evidence.listed)):
                return Reach.REACHED
            is_outage = self._others.are_cut_off_too(now)
            return Reach.SUSPECT if is_outage else Reach.CUT_OFF
        if _is_nearly_cut_off(self._evidence, self._others, now):
            return Reach.CUT_OFF
        if not self._evidence.is_suspect:
            return Reach.REACHED
        is_cut_off = _is_cut_off(self._evidence, self._others, now)
        return Reach.CUT_OFF if is_cut_off else Reach.SUSPECT

    def _change(self, reach: Reach, now: float) -> None:
        view = self._others.last_view
        is_known = view.others_reach is not None
        self._changes.append(
            ReachChange(
                self._reach,
                reach,
                failed=len(self._evidence.failed),
                since_success_s=now - self._evidence.last_success_at,
                others_reach=view.others_reach,
                view_age_s=now - view.asked_at if is_known else None,
            )
        )
        if self._reach is Reach.CUT_OFF:
            # What failed during the cut says nothing about the endpoints.
            self._evidence.attempts.clear()
        self._reach = reach
        self._recovery.restart()


def _is_cut_off(evidence: Evidence, others: OtherGateways, now: float) -> bool:
    """Return whether a suspect host is cut off while others are not."""
    if others.are_cut_off_too(now):
        return False
    doubted_since = evidence.doubted_since or now
    is_known = others.is_known(now)
    if is_known and not _do_others_reach(others, doubted_since, now):
        return False
    doubted_s = now - doubted_since
    reached = others.reached(now) & evidence.listed
    if reached and doubted_s >= _CONFIRMED_S:
        required = min(_CONFIRMED_ENDPOINTS, len(reached))
        if len(reached & evidence.failed) >= required:
            return True
    required = min(_ALONE_ENDPOINTS, len(evidence.listed))
    return doubted_s >= _ALONE_S and len(evidence.failed) >= required


def _is_nearly_cut_off(
    evidence: Evidence, others: OtherGateways, now: float
) -> bool:
    """Return whether a cut spares only a few endpoints.

    The connections to these few do not refute it, since other gateways have
    just reached those that this host does not reach.
    """
    attempts = evidence.attempts
    failing = attempts.failing
    confirmed = failing & others.reached(now)
    if len(confirmed) < _NEARLY_CONFIRMED_ENDPOINTS:
        return False
    if len(failing) < _NEARLY_ALL * attempts.tried:
        return False
    # While others return from an outage, what failed in it does not count.
    since = max(attempts.failing_since or now, others.reach_since or now)
    return now - since >= _ALONE_S and _do_others_reach(others, since, now)


def _do_others_reach(others: OtherGateways, since: float, now: float) -> bool:
    """Return whether others have reached endpoints after a first failure."""
    has_reached = others.have_reached_since(since + _OVERLAP_S)
    return has_reached and others.reach_steadily(now)

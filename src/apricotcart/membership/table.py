"""The leader's table of entry hosts."""

from __future__ import annotations

import hashlib
import math
from typing import Final

from apricotcart.codec.packing import pack
from apricotcart.membership.records import (
    LEAVING,
    SERVING,
    HostEntry,
    HostList,
    HostReport,
)

#: A host that has not synchronized for this long gets no callers. Four sync
#: intervals.
LOST_AFTER_S: Final = 2.0
#: The same for a host that the platform lists as draining.
HINTED_LOST_AFTER_S: Final = 1.0
#: Time for which a hint from the platform's lagging list is used.
HINT_TTL_S: Final = 30.0
#: A lost host is removed after this time, together with its incarnation.
HOST_RETENTION_S: Final = 3600.0
#: Time in which all hosts synchronize with a new leader. Three sync intervals.
DISCOVERY_S: Final = 1.5
#: A longer pause of the leader's own process does not count towards the
#: time-outs of hosts.
MAX_STALL_S: Final = 1.0
#: Time in which the weight of a new or returned host increases to 1.
WEIGHT_RAMP_S: Final = 30.0
#: Weights increase in steps, since each change is sent to all hosts.
WEIGHT_RAMP_STEPS: Final = 4
_DIGEST_BYTES: Final = 8


class TrackedHost:
    """State of one entry host.

    Attributes
    ----------
    report : HostReport
        Last report of the host.
    last_seen : float
        Monotonic time, in s, of its last sync.
    full_weight_at : float
        Monotonic time, in s, at which its weight reaches 1.
    hinted_at : float or None
        Monotonic time, in s, of the last hint that it drains.
    """

    __slots__ = ('full_weight_at', 'hinted_at', 'last_seen', 'report')

    def __init__(
        self,
        report: HostReport,
        now: float,
        full_weight_at: float,
    ) -> None:
        self.report = report
        self.last_seen = now
        self.full_weight_at = full_weight_at
        self.hinted_at: float | None = None

    def is_lost(self, now: float) -> bool:
        """Return whether the host has not synchronized for too long.

        A hint only shortens the time-out. It never removes a host that still
        synchronizes.
        """
        return now >= self._lost_at(now)

    def weight(self, now: float) -> float:
        """Return the weight for callers, from one step up to 1."""
        remaining_fraction = max(0, self.full_weight_at - now) / WEIGHT_RAMP_S
        step = int((1 - remaining_fraction) * WEIGHT_RAMP_STEPS) + 1
        return min(step, WEIGHT_RAMP_STEPS) / WEIGHT_RAMP_STEPS

    def next_change(self, now: float) -> float:
        """Return the earliest time at which weight or loss may change."""
        lost_at = self._lost_at(now)
        if now >= lost_at:
            return math.inf
        ramp_start = self.full_weight_at - WEIGHT_RAMP_S
        for step in range(1, WEIGHT_RAMP_STEPS):
            step_at = ramp_start + WEIGHT_RAMP_S * step / WEIGHT_RAMP_STEPS
            if now < step_at < lost_at:
                return step_at
        return lost_at

    def _lost_at(self, now: float) -> float:
        limit_s = LOST_AFTER_S
        if self.hinted_at is not None and now < self.hinted_at + HINT_TTL_S:
            limit_s = HINTED_LOST_AFTER_S
        return self.last_seen + limit_s


class HostTable:
    """Entry hosts, tracked by their syncs.

    Call `reset` when this host becomes leader, and `tick` in each iteration
    of the leader's loop before the syncs that arrived in it. An interval of
    more than `MAX_STALL_S` between iterations counts as a pause of this
    process.
    """

    __slots__ = (
        '_cached_until',
        '_complete_from',
        '_cached_list',
        '_hosts',
        '_ticked_at',
    )

    def __init__(self, now: float) -> None:
        self.reset(now)

    def reset(self, now: float) -> None:
        """Discard all hosts, which last synchronized with another leader."""
        self._hosts: dict[str, TrackedHost] = {}
        self._complete_from = now + DISCOVERY_S
        self._ticked_at = now
        self._cached_list = HostList(digest=None, entries=None)
        self._cached_until = -math.inf

    def tick(self, now: float) -> None:
        """Remove old hosts, and compensate for a pause of this process."""
        pause_s = now - self._ticked_at
        self._ticked_at = now
        if pause_s > MAX_STALL_S:
            self._complete_from = max(self._complete_from, now + DISCOVERY_S)
            for paused in self._hosts.values():
                paused.last_seen += pause_s
        self._hosts = {
            host: tracked
            for host, tracked in self._hosts.items()
            if now < tracked.last_seen + HOST_RETENTION_S
        }

    def on_sync(self, now: float, report: HostReport) -> bool:
        """Record a report; return False if a later process replaced it."""
        tracked = self._hosts.get(report.host)
        if tracked is None or report.incarnation > tracked.report.incarnation:
            self._hosts[report.host] = TrackedHost(
                report, now, self._full_weight_time(now)
            )
            self._cached_until = -math.inf
            return True
        if report.incarnation < tracked.report.incarnation:
            return False
        self._update(now, tracked, report)
        return True

    def on_hint(self, now: float, host: str) -> None:
        """Record that the platform lists a host as draining."""
        tracked = self._hosts.get(host)
        if tracked:
            tracked.hinted_at = now
            self._cached_until = -math.inf

    def tracked_hosts(self) -> dict[str, TrackedHost]:
        """Return all hosts by name, for the operators' status."""
        return dict(self._hosts)

    def live_hosts(self, now: float) -> list[HostReport]:
        """Return the hosts that are not lost, including leaving ones."""
        return [
            tracked.report
            for tracked in self._hosts.values()
            if not tracked.is_lost(now)
        ]

    def list_for(self, now: float, held_digest: str | None) -> HostList:
        """Return the list of hosts for callers.

        Parameters
        ----------
        now : float
            Monotonic time in s.
        held_digest : str or None
            Digest of the list that the entry host holds.
        """
        if now < self._complete_from:
            return HostList(digest=None, entries=None)
        # Building the list takes about 1 ms for 340 hosts, which is too long
        # to do for each sync.
        if now >= self._cached_until:
            entries = self._entries(now)
            self._cached_list = HostList(
                digest=_digest(entries), entries=entries
            )
            self._cached_until = min(
                (tracked.next_change(now) for tracked in self._hosts.values()),
                default=math.inf,
            )
        if self._cached_list.digest == held_digest:
            return HostList(digest=held_digest, entries=None)
        return self._cached_list

    def _update(
        self, now: float, tracked: TrackedHost, report: HostReport
    ) -> None:
        if tracked.is_lost(now):
            tracked.full_weight_at = self._full_weight_time(now)
            self._cached_until = -math.inf
        tracked.last_seen = max(tracked.last_seen, now)
        # A delayed sync must not bring back a host that is leaving.
        if tracked.report.state != LEAVING and tracked.report != report:
            tracked.report = report
            self._cached_until = -math.inf

    def _entries(self, now: float) -> list[HostEntry]:
        serving = [
            tracked
            for _, tracked in sorted(self._hosts.items())
            if tracked.report.state == SERVING and not tracked.is_lost(now)
        ]
        return [
            HostEntry(
                host=tracked.report.host,
                address=tracked.report.address,
                zone=tracked.report.zone,
                weight=tracked.weight(now),
            )
            for tracked in serving
        ]

    def _full_weight_time(self, now: float) -> float:
        # All hosts are new to a new leader, so they get full weight at once.
        return now if now < self._complete_from else now + WEIGHT_RAMP_S


def _digest(entries: list[HostEntry]) -> str:
    packed = pack([entry.to_wire() for entry in entries])
    return hashlib.blake2b(packed, digest_size=_DIGEST_BYTES).hexdigest()

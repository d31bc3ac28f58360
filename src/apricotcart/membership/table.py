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

#: A host without a sync for this long gets no callers; four syncs.
LOST_AFTER_S: Final = 2.0
#: The same for a host that the platform lists as draining or gone.
HINTED_LOST_AFTER_S: Final = 1.0
#: How long a hint of the lagging list counts.
HINT_KEPT_S: Final = 30.0
#: A lost host is forgotten after this time, and with it its incarnation.
FORGOTTEN_AFTER_S: Final = 3600.0
#: Time in which a new leader hears of the hosts; three syncs.
LEARN_S: Final = 1.5
#: A pause of the leader's own process above this is not held against hosts.
STALL_S: Final = 1.0
#: Time in which the weight of a new or returned host grows to 1.
RAMP_S: Final = 30.0
#: Weights change in steps, since each change is sent to all hosts.
RAMP_STEPS: Final = 4
_DIGEST_BYTES: Final = 8


class HostRow:
    """What the leader knows of one host."""

    __slots__ = ('full_at', 'hinted_at', 'last_seen', 'report')

    def __init__(
        self,
        report: HostReport,
        now: float,
        full_at: float,
    ) -> None:
        """Keep the first report."""
        self.report = report
        self.last_seen = now
        self.full_at = full_at
        self.hinted_at: float | None = None

    def is_lost(self, now: float) -> bool:
        """Say whether the host is silent for too long.

        A hint can only shorten the time of a host that is already silent.
        """
        return now >= self._lost_at(now)

    def weight(self, now: float) -> float:
        """Give the share of callers, from one step up to 1."""
        missing = max(0, self.full_at - now) / RAMP_S
        step = int((1 - missing) * RAMP_STEPS) + 1
        return min(step, RAMP_STEPS) / RAMP_STEPS

    def next_change(self, now: float) -> float:
        """Give the earliest time at which loss or weight may change."""
        lost_at = self._lost_at(now)
        if now >= lost_at:
            return math.inf
        ramp_from = self.full_at - RAMP_S
        for step in range(1, RAMP_STEPS):
            step_at = ramp_from + RAMP_S * step / RAMP_STEPS
            if now < step_at < lost_at:
                return step_at
        return lost_at

    def _lost_at(self, now: float) -> float:
        limit_s = LOST_AFTER_S
        if self.hinted_at is not None and now < self.hinted_at + HINT_KEPT_S:
            limit_s = HINTED_LOST_AFTER_S
        return self.last_seen + limit_s


class HostTable:
    """Entry hosts by their syncs.

    Call `reset` when this host becomes leader, and `tick` on each turn of
    the leader's loop before the syncs that arrived in it. Turns must be less
    than `STALL_S` apart, or each counts as a pause of this process.
    """

    __slots__ = (
        '_valid_until',
        '_known_from',
        '_listed',
        '_rows',
        '_ticked_at',
    )

    def __init__(self, now: float) -> None:
        """Start as a new leader."""
        self.reset(now)

    def reset(self, now: float) -> None:
        """Forget all hosts, since others have heard them lately."""
        self._rows: dict[str, HostRow] = {}
        self._known_from = now + LEARN_S
        self._ticked_at = now
        self._listed = HostList(digest=None, entries=None)
        self._valid_until = -math.inf

    def tick(self, now: float) -> None:
        """Forget hosts, and allow for a pause of this process."""
        pause_s = now - self._ticked_at
        self._ticked_at = now
        if pause_s > STALL_S:
            self._known_from = max(self._known_from, now + LEARN_S)
            for paused in self._rows.values():
                paused.last_seen += pause_s
        self._rows = {
            host: row
            for host, row in self._rows.items()
            if now < row.last_seen + FORGOTTEN_AFTER_S
        }

    def on_sync(self, now: float, report: HostReport) -> bool:
        """Take a host's report; False if a later process has replaced it."""
        row = self._rows.get(report.host)
        if row is None or report.incarnation > row.report.incarnation:
            self._rows[report.host] = HostRow(report, now, self._full_at(now))
            self._valid_until = -math.inf
            return True
        if report.incarnation < row.report.incarnation:
            return False
        self._renew(now, row, report)
        return True

    def on_hint(self, now: float, host: str) -> None:
        """Take note that the platform lists a host as draining or gone."""
        row = self._rows.get(host)
        if row:
            row.hinted_at = now
            self._valid_until = -math.inf

    def rows(self) -> dict[str, HostRow]:
        """Give all rows by host, for the operators' status."""
        return dict(self._rows)

    def live_hosts(self, now: float) -> list[HostReport]:
        """Give the hosts that are not lost, leaving ones included."""
        return [
            row.report for row in self._rows.values() if not row.is_lost(now)
        ]

    def list_for(self, now: float, held: str | None) -> HostList:
        """Give the list of hosts for callers.

        Parameters
        ----------
        now : float
            Monotonic time in s.
        held : str or None
            Digest of the list that the entry host holds.
        """
        if now < self._known_from:
            return HostList(digest=None, entries=None)
        # A build takes about 1 ms for 340 hosts, too long for each sync.
        if now >= self._valid_until:
            entries = self._entries(now)
            self._listed = HostList(digest=_digest(entries), entries=entries)
            self._valid_until = min(
                (row.next_change(now) for row in self._rows.values()),
                default=math.inf,
            )
        if self._listed.digest == held:
            return HostList(digest=held, entries=None)
        return self._listed

    def _renew(self, now: float, row: HostRow, report: HostReport) -> None:
        if row.is_lost(now):
            row.full_at = self._full_at(now)
            self._valid_until = -math.inf
        row.last_seen = max(row.last_seen, now)
        # A delayed sync must not bring back a host that is leaving.
        if row.report.state != LEAVING and row.report != report:
            row.report = report
            self._valid_until = -math.inf

    def _entries(self, now: float) -> list[HostEntry]:
        serving = [
            row
            for _, row in sorted(self._rows.items())
            if row.report.state == SERVING and not row.is_lost(now)
        ]
        return [
            HostEntry(
                host=row.report.host,
                address=row.report.address,
                zone=row.report.zone,
                weight=row.weight(now),
            )
            for row in serving
        ]

    def _full_at(self, now: float) -> float:
        # To a new leader every host is new; none is held back for that.
        return now if now < self._known_from else now + RAMP_S


def _digest(entries: list[HostEntry]) -> str:
    packed = pack([entry.to_wire() for entry in entries])
    return hashlib.blake2b(packed, digest_size=_DIGEST_BYTES).hexdigest()

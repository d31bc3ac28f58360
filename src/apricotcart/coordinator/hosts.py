"""Table of the gateways that the leader hears from."""

from __future__ import annotations

import threading
from collections import defaultdict
from collections.abc import Iterable, Mapping
from typing import Final

from apricotcart.coordinator.messages import SyncRequest
from apricotcart.membership.answers import ServingHost

# A gateway that was silent for this long is not named to callers; three
# syncs may be lost before.
_SILENT_S: Final = 1.3
# The load of a gateway that was silent for this long no longer counts.
_FORGET_LOAD_S: Final = 3.0
# Pause between two looks for such gateways.
_SWEEP_INTERVAL_S: Final = 0.2
# Rows are kept for the usage that they have reported.
_FORGET_S: Final = 60.0


class GatewayRow:
    """One start of a gateway and its last sync.

    Attributes
    ----------
    is_counted : bool
        Whether its load is part of the totals.
    """

    __slots__ = ('is_counted', 'last', 'seen_at')

    def __init__(self, last: SyncRequest, seen_at: float) -> None:
        """Keep the sync and its time in seconds."""
        self.last = last
        self.seen_at = seen_at
        self.is_counted = False


class GatewayTable:
    """Gateways by incarnation, and the load of all of them by endpoint.

    The totals follow each sync, so that an answer to a sync costs as many
    steps as there are endpoints, however many gateways there are.
    """

    __slots__ = ('_lock', '_rows', '_swept_at', '_totals')

    def __init__(self) -> None:
        """Start without gateways."""
        self._lock = threading.Lock()
        self._rows: dict[str, GatewayRow] = {}
        self._totals: dict[str, list[int]] = {}
        self._swept_at: float = 0

    def note(self, sync: SyncRequest, now: float) -> None:
        """Take a sync."""
        row = GatewayRow(sync, now)
        with self._lock:
            self._uncount(self._rows.get(sync.incarnation))
            self._rows[sync.incarnation] = row
            self._count(row)

    def serving(self, now: float) -> list[ServingHost]:
        """Give the hosts that callers may be sent to."""
        return [
            ServingHost(place=row.last.place, zone=row.last.zone)
            for row in self._recent(now, _SILENT_S)
            if row.last.is_serving
        ]

    def loads_beside(
        self,
        incarnation: str,
        now: float,
    ) -> dict[str, list[int]]:
        """Give the load on each endpoint from all but one gateway."""
        with self._lock:
            self._sweep(now)
            totals = {name: list(load) for name, load in self._totals.items()}
            own = self._rows.get(incarnation)
            if own is not None and own.is_counted:
                _take_off(totals, own.last.loads)
        return totals

    def waiting(self, now: float) -> dict[str, list[int]]:
        """Give what waits on all gateways by service."""
        totals: dict[str, list[int]] = defaultdict(lambda: [0, 0, 0])
        for row in self._recent(now, _FORGET_LOAD_S):
            for name, figures in row.last.waiting.items():
                _add(totals[name], figures)
        return dict(totals)

    def usage_of(self, window: int) -> dict[str, int]:
        """Give the requests of each customer in a window."""
        totals: dict[str, int] = defaultdict(int)
        with self._lock:
            rows = list(self._rows.values())
        for row in rows:
            counts = row.last.usage.get(window, {})
            for customer, count in counts.items():
                totals[customer] += count
        return dict(totals)

    def _count(self, row: GatewayRow) -> None:
        row.is_counted = True
        for name, figures in row.last.loads.items():
            _add(self._totals.setdefault(name, [0, 0, 0]), figures)

    def _uncount(self, row: GatewayRow | None) -> None:
        if row is not None and row.is_counted:
            row.is_counted = False
            _take_off(self._totals, row.last.loads)

    def _sweep(self, now: float) -> None:
        """Take off the load of gateways that are silent."""
        if now < self._swept_at + _SWEEP_INTERVAL_S:
            return
        self._swept_at = now
        for name, row in list(self._rows.items()):
            if row.seen_at < now - _FORGET_LOAD_S:
                self._uncount(row)
            if row.seen_at < now - _FORGET_S:
                self._rows.pop(name)

    def _recent(self, now: float, age_s: float) -> Iterable[GatewayRow]:
        with self._lock:
            rows = list(self._rows.values())
        return [row for row in rows if row.seen_at >= now - age_s]


def _add(total: list[int], figures: Iterable[int]) -> None:
    for position, figure in enumerate(figures):
        total[position] += figure


def _take_off(
    totals: dict[str, list[int]],
    loads: Mapping[str, Iterable[int]],
) -> None:
    for name, figures in loads.items():
        total = totals.setdefault(name, [0, 0, 0])
        for position, figure in enumerate(figures):
            total[position] -= figure
        if not any(total):
            totals.pop(name)

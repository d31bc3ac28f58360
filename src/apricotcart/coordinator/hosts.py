"""Table of the gateways that synchronise with the leader."""

from __future__ import annotations

import random
import threading
from collections import defaultdict
from collections.abc import Iterable
from typing import Any, Final

from apricotcart.coordinator.endpoint_totals import EndpointTotals
from apricotcart.coordinator.gateway_reach import GatewayReach, GatewayRecord
from apricotcart.coordinator.sync_messages import SyncRequest
from apricotcart.endpoints.crash_reports import CrashReport, MergedReports
from apricotcart.membership.answers import ServingHost

# A gateway without a sync for this long is no longer listed for callers. With a
# sync every 0.3 s, up to three in a row may be lost before that.
_SERVING_TIMEOUT_S: Final = 1.3
# The load of a gateway without a sync for this long no longer counts.
_LOAD_TTL_S: Final = 3.0
# Time between two checks for such gateways.
_EXPIRY_INTERVAL_S: Final = 0.2
# Interval at which the evidence about crashes is merged and the gateways are
# ranked; all syncs in between get the same result.
_MERGE_INTERVAL_S: Final = 0.1
# Requests, KV tokens and queued prefill tokens.
_LOAD_FIGURES: Final = 3
# Requests that succeeded, and those that failed.
_OUTCOME_FIGURES: Final = 2
_FAILURES: Final = 1
# Records are kept longer than the load, for the usage that they contain.
_RECORD_TTL_S: Final = 60.0


class GatewayCounts:
    """Numbers of gateways.

    Attributes
    ----------
    ranked : int
        Those that have a rank.
    serving : int
        Those that callers may be sent to.
    """

    __slots__ = ('ranked', 'serving')

    def __init__(self, *, ranked: int, serving: int) -> None:
        self.ranked = ranked
        self.serving = serving


class GatewayTable:
    """Gateways by incarnation, and the sums of what they report."""

    __slots__ = (
        '_counts',
        '_last_expiry_at',
        '_loads',
        '_lock',
        '_outcomes',
        '_records',
        '_ranks',
        '_ranked_at',
        '_reach',
        '_suspects',
        '_suspects_merged_at',
    )

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._records: dict[str, GatewayRecord] = {}
        self._loads = EndpointTotals(_LOAD_FIGURES)
        self._outcomes = EndpointTotals(_OUTCOME_FIGURES)
        self._last_expiry_at: float = 0
        self._suspects: list[dict[str, Any]] = []
        self._suspects_merged_at: float = 0
        self._ranks: dict[str, int] = {}
        self._ranked_at: float = 0
        self._counts = GatewayCounts(ranked=1, serving=0)
        self._reach = GatewayReach(random.Random())

    def on_sync(self, sync: SyncRequest, now: float) -> None:
        """Update the record and the totals from a sync."""
        with self._lock:
            previous = self._records.get(sync.incarnation)
            record = GatewayRecord(sync, now, previous)
            self._remove_figures(previous)
            self._records[sync.incarnation] = record
            self._add_figures(record)

    def serving(self, now: float) -> list[ServingHost]:
        """Return the hosts that callers may be sent to.

        Those that are or were just cut off from the endpoints are left out,
        unless all are.
        """
        serving = [
            record
            for record in self._recent(now, _SERVING_TIMEOUT_S)
            if record.last_sync.is_serving
        ]
        listed = [record for record in serving if record.cut_off_at is None]
        return [
            ServingHost(
                address=record.last_sync.address, zone=record.last_sync.zone
            )
            for record in listed or serving
        ]

    def reach_reply(self, incarnation: str, now: float) -> dict[str, Any]:
        """Return what a gateway learns of the others, in wire form."""
        if self._reach.is_due(now):
            self._reach.sum_up(self._recent(now, _SERVING_TIMEOUT_S), now)
        with self._lock:
            record = self._records.get(incarnation)
        return self._reach.reply(record, now) if record else {}

    def loads_excluding(
        self,
        incarnation: str,
        now: float,
    ) -> dict[str, list[int]]:
        """Return the load on each endpoint from all gateways but one."""
        with self._lock:
            self._expire(now)
            own = self._records.get(incarnation)
            return self._loads.excluding(own.counted_loads if own else {})

    def failing_excluding(
        self, incarnation: str, now: float
    ) -> dict[str, list[int]]:
        """Return the recent outcomes at each endpoint that failed requests.

        Those of one gateway are left out.
        """
        with self._lock:
            self._expire(now)
            own = self._records.get(incarnation)
            return self._outcomes.positive(
                _FAILURES, own.counted_outcomes if own else {}
            )

    def queued_loads(self, now: float) -> dict[str, list[int]]:
        """Return the load queued on all gateways by service.

        Requests that wait at a gateway without a path to the endpoints do not
        need more of them, unless no gateway has one.
        """
        totals = EndpointTotals(_LOAD_FIGURES)
        records = list(self._recent(now, _LOAD_TTL_S))
        sound = [record for record in records if not record.reach.is_suspect]
        for record in sound or records:
            totals.add(record.last_sync.waiting)
        return totals.excluding({})

    def usage_in(self, window: int) -> dict[str, int]:
        """Return the number of requests of each customer in a window."""
        totals: dict[str, int] = defaultdict(int)
        with self._lock:
            records = list(self._records.values())
        for record in records:
            counts = record.last_sync.usage.get(window, {})
            for customer, count in counts.items():
                totals[customer] += count
        return dict(totals)

    def crash_suspects(self, now: float) -> list[dict[str, Any]]:
        """Return what all gateways know about crashes, in wire form.

        The reports of gateways that have stopped count too.
        """
        if now >= self._suspects_merged_at + _MERGE_INTERVAL_S:
            self._suspects_merged_at = now
            with self._lock:
                records = list(self._records.values())
            self._suspects = _merge_suspects(records, now)
        return self._suspects

    def rank(self, incarnation: str, now: float) -> int:
        """Return the number of gateways before one in the order of names.

        Gateways that are starting or stopping are ranked too, since they may
        still send requests.
        """
        self._update_ranks(now)
        return self._ranks.get(incarnation, 0)

    def counts(self, now: float) -> GatewayCounts:
        """Return how many gateways there are."""
        self._update_ranks(now)
        return self._counts

    def _update_ranks(self, now: float) -> None:
        if now < self._ranked_at + _MERGE_INTERVAL_S:
            return
        self._ranked_at = now
        syncs = sorted(
            (record.last_sync for record in self._recent(now, _LOAD_TTL_S)),
            key=lambda sync: (sync.host, sync.incarnation),
        )
        self._ranks = {
            sync.incarnation: rank for rank, sync in enumerate(syncs)
        }
        self._counts = GatewayCounts(
            ranked=max(1, len(self._ranks)),
            serving=sum(1 for _ in self.serving(now)),
        )

    def _add_figures(self, record: GatewayRecord) -> None:
        record.is_counted = True
        self._loads.add(record.last_sync.loads)
        self._outcomes.add(record.outcomes)

    def _remove_figures(self, record: GatewayRecord | None) -> None:
        if record is not None and record.is_counted:
            record.is_counted = False
            self._loads.subtract(record.last_sync.loads)
            self._outcomes.subtract(record.outcomes)

    def _expire(self, now: float) -> None:
        """Expire the load and the records of gateways without recent syncs."""
        if now < self._last_expiry_at + _EXPIRY_INTERVAL_S:
            return
        self._last_expiry_at = now
        for name, record in list(self._records.items()):
            if record.received_at < now - _LOAD_TTL_S:
                self._remove_figures(record)
            if record.received_at < now - _RECORD_TTL_S:
                self._records.pop(name)

    def _recent(self, now: float, age_s: float) -> Iterable[GatewayRecord]:
        with self._lock:
            records = list(self._records.values())
        return [
            record for record in records if record.received_at >= now - age_s
        ]


def _merge_suspects(
    records: Iterable[GatewayRecord], now: float
) -> list[dict[str, Any]]:
    merged = MergedReports()
    for record in records:
        delay_s = now - record.received_at
        for report in record.last_sync.suspects:
            merged.add(CrashReport.from_wire(report), delay_s)
    return [suspect.to_wire() for suspect in merged.strongest()]

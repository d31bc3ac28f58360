"""Entry hosts and their demand, as reported in their syncs."""

from __future__ import annotations

import threading
from collections.abc import Mapping
from typing import Any

from apricotcart.membership.records import HostList, HostReport
from apricotcart.membership.table import DISCOVERY_S, HostTable
from apricotcart.scheduling.decisions import Demand
from apricotcart.scheduling.slot_assignment import SlotDivision

Suspects = list[Mapping[str, Any]]


class EntryHosts:
    """Entry hosts with their demand and suspects; not replicated.

    A new leader starts empty and builds this state from the next syncs.
    """

    __slots__ = (
        '_demands',
        '_division',
        '_leads_since',
        '_lock',
        '_suspects',
        '_table',
        '_term',
    )

    def __init__(self, now: float) -> None:
        self._lock = threading.Lock()
        self._term = -1
        self._table = HostTable(now)
        self._leads_since = now
        self._demands: dict[str, Demand] = {}
        self._suspects: dict[str, Suspects] = {}
        self._division: SlotDivision = {}

    def on_sync(self, now: float, term: int, message: dict[str, Any]) -> bool:
        """Store a sync; return False if a later process replaced the sender."""
        report = HostReport(
            host=message['host'],
            incarnation=message['incarnation'],
            address=message['address'],
            zone=message['zone'],
            state=message['state'],
        )
        # Decode first, so that a malformed sync changes nothing.
        demand = Demand.from_wire(message['demand'])
        suspects = message['suspects']
        with self._lock:
            # A sync that was confirmed in an earlier term may arrive late. It
            # must not clear what was received in the current term.
            if term > self._term:
                self._term = term
                self._table.reset(now)
                self._clear(now)
            self._table.tick(now)
            if not self._table.on_sync(now, report):
                return False
            self._demands[report.host] = demand
            self._suspects[report.host] = suspects
            return True

    def list_for(self, now: float, known_digest: str | None) -> HostList:
        """Return the list of hosts for callers.

        Parameters
        ----------
        now : float
            Monotonic time in s.
        known_digest : str or None
            Digest of the list that the entry host has.
        """
        with self._lock:
            return self._table.list_for(now, known_digest)

    def slot_limits_for(self, now: float, host: str) -> dict[str, int] | None:
        """Return a host's slots by endpoint, or None while they are unknown.

        They are unknown until all hosts had time to synchronise with a new
        leader. An earlier division would give the slots of the missing hosts
        to those that have already synchronised.
        """
        with self._lock:
            if now < self._leads_since + DISCOVERY_S:
                return None
            return self._division.get(host)

    def replace_slot_division(
        self, division: SlotDivision, read_at: float
    ) -> None:
        """Replace the slots by host and endpoint.

        Parameters
        ----------
        division : dict
            Slots by endpoint, by host.
        read_at : float
            Monotonic time in s at which the demand was read. A division of
            demand that was read before all hosts had time to synchronise with
            this leader, or in an earlier term, is dropped.
        """
        with self._lock:
            if read_at >= self._leads_since + DISCOVERY_S:
                self._division = division

    def suspects_for(self, host: str) -> list[Mapping[str, Any]]:
        """Return reports of other hosts on requests that crash endpoints."""
        with self._lock:
            return [
                report
                for other, reports in self._suspects.items()
                if other != host
                for report in reports
            ]

    def on_hint(self, now: float, host: str) -> None:
        """Record that the platform lists a host as draining."""
        with self._lock:
            self._table.on_hint(now, host)

    def reports(self, now: float) -> list[dict[str, Any]]:
        """Return the live hosts for the status of operators."""
        with self._lock:
            return [report.to_wire() for report in self._table.live_hosts(now)]

    def demands(self, now: float) -> dict[str, Demand]:
        """Return the demand of each live host."""
        with self._lock:
            return self._live_demands(now)

    def _clear(self, now: float) -> None:
        self._leads_since = now
        self._demands = {}
        self._division = {}
        self._suspects = {}

    def _live_demands(self, now: float) -> dict[str, Demand]:
        return {
            report.host: self._demands[report.host]
            for report in self._table.live_hosts(now)
            if report.host in self._demands
        }

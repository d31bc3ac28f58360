"""Requests that may crash endpoints, by fingerprint."""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Iterable, Mapping
from typing import Any

from apricotcart.codec.record import Record

# A request is refused after it ran on this many endpoints that crashed.
CRASHES_TO_QUARANTINE = 2
SUSPICION_S = 60.0
QUARANTINE_S = 900.0
MAX_SUSPECTS = 2048


class SuspectReport(Record):
    """A fingerprint and the endpoints that crashed under it, for sync."""

    __slots__ = ('fingerprint', 'endpoints', 'age_s')

    def __init__(
        self, *, fingerprint: str, endpoints: Iterable[str], age_s: float
    ) -> None:
        """Keep the fields."""
        self.fingerprint = fingerprint
        self.endpoints = sorted(endpoints)
        self.age_s = age_s


class _Suspect:
    __slots__ = ('endpoints', 'crashed_at')

    def __init__(self) -> None:
        self.endpoints: set[str] = set()
        self.crashed_at: float = 0


_Table = OrderedDict[str, _Suspect]


class SuspectTable:
    """Suspects that this host saw, and those that other hosts reported.

    Only the host that saw a crash reports it, so that a request that later
    finishes is cleared everywhere. A quarantined request stays in the table
    of every host, since the host that saw the crashes may go away.
    """

    __slots__ = ('_own', '_quarantined', '_remote')

    def __init__(self) -> None:
        """Start empty."""
        self._own: _Table = OrderedDict()
        self._quarantined: _Table = OrderedDict()
        self._remote: dict[str, _Suspect] = {}

    def __len__(self) -> int:
        """Count the fingerprints that this host reports."""
        return len(self._own) + len(self._quarantined)

    def on_crash(self, now: float, fingerprint: str, endpoint: str) -> None:
        """Note that the request ran on an endpoint when it crashed."""
        self._add(now, fingerprint, (endpoint,))
        remote = self._remote.get(fingerprint)
        if remote is not None:
            self._add(now, fingerprint, remote.endpoints)

    def on_finished(self, fingerprint: str) -> None:
        """Clear a suspect that finished without a crash."""
        if self.is_suspect(fingerprint):
            self._own.pop(fingerprint, None)

    def is_suspect(self, fingerprint: str) -> bool:
        """Tell whether the request ran on one crashed endpoint."""
        return 0 < len(self._endpoints(fingerprint)) < CRASHES_TO_QUARANTINE

    def is_quarantined(self, now: float, fingerprint: str) -> bool:
        """Tell whether the request must not run again."""
        self._trim(now)
        return len(self._endpoints(fingerprint)) >= CRASHES_TO_QUARANTINE

    def reports(self, now: float) -> list[SuspectReport]:
        """Give this host's suspects for the sync message."""
        self._trim(now)
        return [
            SuspectReport(
                fingerprint=fingerprint,
                endpoints=suspect.endpoints,
                age_s=now - suspect.crashed_at,
            )
            for table in (self._own, self._quarantined)
            for fingerprint, suspect in table.items()
        ]

    def merge(self, now: float, reports: Iterable[SuspectReport]) -> None:
        """Replace what other hosts reported by the last sync reply."""
        self._remote = {}
        for report in reports:
            suspect = self._remote.setdefault(report.fingerprint, _Suspect())
            suspect.endpoints.update(report.endpoints)
            crashed_at = now - report.age_s
            suspect.crashed_at = max(suspect.crashed_at, crashed_at)
        for fingerprint, merged in self._remote.items():
            if self._is_news(now, fingerprint, merged):
                self._add(merged.crashed_at, fingerprint, merged.endpoints)

    def merge_wire(
        self, now: float, reports: Iterable[Mapping[str, Any]]
    ) -> None:
        """Take in suspects in their wire form."""
        self.merge(now, [SuspectReport.from_wire(entry) for entry in reports])

    def _is_news(self, now: float, fingerprint: str, merged: _Suspect) -> bool:
        # The age grows with the delay of each message. Without this bound
        # hosts would renew each other's entries for ever.
        if now - merged.crashed_at > QUARANTINE_S / 2:
            return False
        if fingerprint in self._quarantined:
            return False
        return len(merged.endpoints) >= CRASHES_TO_QUARANTINE

    def _add(
        self, now: float, fingerprint: str, endpoints: Iterable[str]
    ) -> None:
        suspect = self._own.pop(fingerprint, None)
        if suspect is None:
            suspect = self._quarantined.pop(fingerprint, _Suspect())
        suspect.endpoints.update(endpoints)
        suspect.crashed_at = max(suspect.crashed_at, now)
        if len(suspect.endpoints) >= CRASHES_TO_QUARANTINE:
            self._quarantined[fingerprint] = suspect
        else:
            self._own[fingerprint] = suspect
        self._trim(now)

    def _endpoints(self, fingerprint: str) -> set[str]:
        endpoints: set[str] = set()
        for table in (self._own, self._quarantined, self._remote):
            suspect = table.get(fingerprint)
            if suspect is not None:
                endpoints |= suspect.endpoints
        return endpoints

    def _trim(self, now: float) -> None:
        _drop_old(self._own, now - SUSPICION_S)
        _drop_old(self._quarantined, now - QUARANTINE_S)


def _drop_old(table: _Table, since: float) -> None:
    while table:
        fingerprint, oldest = next(iter(table.items()))
        if oldest.crashed_at >= since and len(table) <= MAX_SUSPECTS:
            return
        table.pop(fingerprint)

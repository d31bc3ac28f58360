"""Requests suspected of crashing endpoints, by fingerprint."""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Iterable, Mapping
from typing import Any

from apricotcart.codec.record import Record

# Number of endpoints that crashed while a request ran on them, after which the
# request is refused.
CRASHES_TO_QUARANTINE = 2
SUSPICION_S = 60.0
QUARANTINE_S = 900.0
MAX_SUSPECTS = 2048


class SuspectReport(Record):
    """A suspect in the sync message, with the endpoints that crashed."""

    __slots__ = ('fingerprint', 'endpoints', 'age_s')

    def __init__(
        self, *, fingerprint: str, endpoints: Iterable[str], age_s: float
    ) -> None:
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
    """Suspects detected by this host, and those reported by other hosts.

    A crash is reported only by the host that detected it, so that a request
    that later finishes is cleared on all hosts. A quarantined request is kept
    by every host, since the host that detected the crashes may stop.
    """

    __slots__ = ('_own', '_quarantined', '_remote')

    def __init__(self) -> None:
        self._own: _Table = OrderedDict()
        self._quarantined: _Table = OrderedDict()
        self._remote: dict[str, _Suspect] = {}

    def __len__(self) -> int:
        """Return the number of fingerprints that this host reports."""
        return len(self._own) + len(self._quarantined)

    def on_crash(self, now: float, fingerprint: str, endpoint: str) -> None:
        """Record that the request was running on an endpoint that crashed."""
        self._add(now, fingerprint, (endpoint,))
        remote = self._remote.get(fingerprint)
        if remote is not None:
            self._add(now, fingerprint, remote.endpoints)

    def on_finished(self, fingerprint: str) -> None:
        """Clear a suspect that finished without a crash."""
        if self.is_suspect(fingerprint):
            self._own.pop(fingerprint, None)

    def is_suspect(self, fingerprint: str) -> bool:
        """Return whether the request ran on exactly one crashed endpoint."""
        return 0 < len(self._endpoints(fingerprint)) < CRASHES_TO_QUARANTINE

    def is_quarantined(self, now: float, fingerprint: str) -> bool:
        """Return whether the request must not run again."""
        self._evict_expired(now)
        return len(self._endpoints(fingerprint)) >= CRASHES_TO_QUARANTINE

    def reports(self, now: float) -> list[SuspectReport]:
        """Return this host's suspects for the sync message."""
        self._evict_expired(now)
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
        """Replace the suspects of other hosts by those in a sync reply."""
        self._remote = {}
        for report in reports:
            suspect = self._remote.setdefault(report.fingerprint, _Suspect())
            suspect.endpoints.update(report.endpoints)
            crashed_at = now - report.age_s
            suspect.crashed_at = max(suspect.crashed_at, crashed_at)
        for fingerprint, merged in self._remote.items():
            if self._is_new_quarantine(now, fingerprint, merged):
                self._add(merged.crashed_at, fingerprint, merged.endpoints)

    def merge_wire(
        self, now: float, reports: Iterable[Mapping[str, Any]]
    ) -> None:
        """Merge suspects in their wire format."""
        self.merge(now, [SuspectReport.from_wire(entry) for entry in reports])

    def _is_new_quarantine(
        self, now: float, fingerprint: str, merged: _Suspect
    ) -> bool:
        # The reported age excludes message delays. Without this bound, hosts
        # would keep renewing each other's entries.
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
        self._evict_expired(now)

    def _endpoints(self, fingerprint: str) -> set[str]:
        endpoints: set[str] = set()
        for table in (self._own, self._quarantined, self._remote):
            suspect = table.get(fingerprint)
            if suspect is not None:
                endpoints |= suspect.endpoints
        return endpoints

    def _evict_expired(self, now: float) -> None:
        _evict_older(self._own, now - SUSPICION_S)
        _evict_older(self._quarantined, now - QUARANTINE_S)


def _evict_older(table: _Table, oldest_kept_at: float) -> None:
    while table:
        fingerprint, oldest = next(iter(table.items()))
        if oldest.crashed_at >= oldest_kept_at and len(table) <= MAX_SUSPECTS:
            return
        table.pop(fingerprint)

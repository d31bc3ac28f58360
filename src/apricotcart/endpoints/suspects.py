"""Requests that may crash endpoints, by fingerprint."""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Iterable, Mapping

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


class SuspectTable:
    """Suspects of this host and, through sync, of all hosts."""

    __slots__ = ('_suspects',)

    def __init__(self) -> None:
        """Start empty."""
        self._suspects: OrderedDict[str, _Suspect] = OrderedDict()

    def __len__(self) -> int:
        """Count the fingerprints."""
        return len(self._suspects)

    def on_crash(self, now: float, fingerprint: str, endpoint: str) -> None:
        """Note that the request ran on an endpoint when it crashed."""
        suspect = self._suspects.setdefault(fingerprint, _Suspect())
        suspect.endpoints.add(endpoint)
        suspect.crashed_at = max(suspect.crashed_at, now)
        self._suspects.move_to_end(fingerprint)
        self._trim(now)

    def on_finished(self, fingerprint: str) -> None:
        """Clear a suspect that finished without a crash."""
        if self.is_suspect(fingerprint):
            self._suspects.pop(fingerprint)

    def is_suspect(self, fingerprint: str) -> bool:
        """Tell whether the request ran on one crashed endpoint."""
        suspect = self._suspects.get(fingerprint)
        if suspect is None:
            return False
        return len(suspect.endpoints) < CRASHES_TO_QUARANTINE

    def is_quarantined(self, now: float, fingerprint: str) -> bool:
        """Tell whether the request must not run again."""
        suspect = self._suspects.get(fingerprint)
        if suspect is None or now - suspect.crashed_at > QUARANTINE_S:
            return False
        return len(suspect.endpoints) >= CRASHES_TO_QUARANTINE

    def reports(self, now: float) -> list[SuspectReport]:
        """Give all suspects for the sync message."""
        self._trim(now)
        return [
            SuspectReport(
                fingerprint=fingerprint,
                endpoints=suspect.endpoints,
                age_s=now - suspect.crashed_at,
            )
            for fingerprint, suspect in self._suspects.items()
        ]

    def merge(self, now: float, reports: Iterable[SuspectReport]) -> None:
        """Take in suspects that other hosts reported."""
        for report in reports:
            for endpoint in report.endpoints:
                self.on_crash(now - report.age_s, report.fingerprint, endpoint)

    def merge_wire(
        self, now: float, reports: Iterable[Mapping[str, object]]
    ) -> None:
        """Take in suspects in their wire form."""
        self.merge(now, [SuspectReport.from_wire(entry) for entry in reports])

    def _trim(self, now: float) -> None:
        while self._suspects:
            fingerprint, oldest = next(iter(self._suspects.items()))
            lifetime = SUSPICION_S
            if len(oldest.endpoints) >= CRASHES_TO_QUARANTINE:
                lifetime = QUARANTINE_S
            expired = now - oldest.crashed_at > lifetime
            if not expired and len(self._suspects) <= MAX_SUSPECTS:
                return
            self._suspects.pop(fingerprint)

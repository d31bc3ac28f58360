"""What may crash endpoints, by the evidence of this host and of others."""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Iterable, Sequence
from typing import Final

from apricotcart.endpoints.crash_reports import (
    MAX_SUSPECTS,
    CrashReport,
    add_crash,
)
from apricotcart.endpoints.crashes import (
    Crash,
    Crashes,
    Suspect,
    SuspectKind,
)
from apricotcart.endpoints.culprits import find_culprits

# Time for which a single crash counts.
SUSPICION_TTL_S: Final = 60.0
# Time for which crashes of several endpoints count.
REPEATED_TTL_S: Final = 300.0
# Time for which they count once the suspect is quarantined; the quarantine
# ends with it.
QUARANTINE_TTL_S: Final = 600.0
# Bound on the successes that are remembered.
MAX_CLEARED: Final = 8192

_Table = dict[Suspect, Crashes]


class CrashSuspects:
    """Crashes and successes by suspect, of this host and of others."""

    __slots__ = (
        '_crashes',
        '_depths',
        '_quarantined',
        '_remote',
        '_reported',
        '_succeeded_at',
    )

    def __init__(self) -> None:
        self._crashes: _Table = {}
        self._remote: _Table = {}
        self._depths: dict[Suspect, int] = {}
        # What other hosts suspect, including what is refuted here.
        self._reported: tuple[Suspect, ...] = ()
        self._succeeded_at: OrderedDict[Suspect, float] = OrderedDict()
        self._quarantined: frozenset[Suspect] = frozenset()

    @property
    def quarantined(self) -> frozenset[Suspect]:
        """Suspects that no request may have."""
        return self._quarantined

    def endpoints_of(self, suspect: Suspect) -> list[str]:
        """Return the endpoints whose crashes count against a suspect."""
        return sorted(self._evidence().get(suspect, ()))

    def has_evidence(self, suspects: Iterable[Suspect]) -> bool:
        """Return whether a crash counts against any of the suspects."""
        return any(
            suspect in self._crashes or suspect in self._remote
            for suspect in suspects
        )

    def on_crash(
        self, crash: Crash, endpoint: str, suspects: Sequence[Suspect]
    ) -> None:
        """Record that an endpoint crashed as a request began to run there.

        Parameters
        ----------
        crash : Crash
            When the request was sent, and when the endpoint crashed.
        endpoint : str
            Id of this run of the endpoint.
        suspects : sequence of Suspect
            Parts of the prompt in order, and the request.
        """
        for depth, suspect in enumerate(suspects):
            if suspect.kind is SuspectKind.PART:
                self._depths[suspect] = depth
            add_crash(self._crashes.setdefault(suspect, {}), endpoint, crash)
        self._update(crash.at)

    def on_success(self, now: float, suspects: Iterable[Suspect]) -> None:
        """Record that an endpoint survived a request."""
        was_suspect = False
        for suspect in suspects:
            was_suspect |= suspect in self._crashes or suspect in self._remote
            self._record_success(suspect, now)
        if was_suspect:
            self._update(now)

    def reports(self, now: float) -> list[CrashReport]:
        """Return what this host knows, for its next sync."""
        suspects = dict.fromkeys((*self._crashes, *self._reported))
        reports = (self._report(now, suspect) for suspect in suspects)
        return [
            report
            for report in reports
            if report.crashes or report.success_age_s is not None
        ]

    def merge(self, now: float, reports: Iterable[CrashReport]) -> None:
        """Replace what the other hosts know by the reports of a sync reply."""
        self._remote = {}
        for report in reports:
            suspect = report.suspect
            if report.success_age_s is not None:
                self._record_success(suspect, now - report.success_age_s)
            self._depths[suspect] = report.depth
            self._remote[suspect] = report.crashes_at(now)
        self._reported = tuple(self._remote)
        self._update(now)

    def _report(self, now: float, suspect: Suspect) -> CrashReport:
        succeeded_at = self._succeeded_at.get(suspect)
        return CrashReport.from_crashes(
            suspect=suspect,
            depth=self._depths.get(suspect, 0),
            crashes=self._crashes.get(suspect, {}),
            success_age_s=None if succeeded_at is None else now - succeeded_at,
            now=now,
        )

    def _record_success(self, suspect: Suspect, at: float) -> None:
        at = max(at, self._succeeded_at.pop(suspect, at))
        self._succeeded_at[suspect] = at
        while len(self._succeeded_at) > MAX_CLEARED:
            self._succeeded_at.popitem(last=False)

    def _update(self, now: float) -> None:
        """Drop refuted and old evidence and find the culprits."""
        before = self._evidence()
        for table in (self._crashes, self._remote):
            for suspect in list(table):
                ttl_s = self._ttl_s(suspect, before[suspect])
                self._drop_refuted(table, suspect, now - ttl_s)
        self._evict_weakest()
        evidence = self._evidence()
        for suspect in self._depths.keys() - evidence.keys():
            self._depths.pop(suspect)
        self._quarantined = find_culprits(evidence, self._depths)
        self._adopt(now)

    def _ttl_s(self, suspect: Suspect, crashes: Crashes) -> float:
        if suspect in self._quarantined:
            return QUARANTINE_TTL_S
        return REPEATED_TTL_S if len(crashes) > 1 else SUSPICION_TTL_S

    def _evict_weakest(self) -> None:
        """Keep the suspects with most crashes, among equals the newest."""
        excess = len(self._crashes) - MAX_SUSPECTS
        if excess > 0:
            weakest_first = sorted(
                self._crashes, key=lambda suspect: len(self._crashes[suspect])
            )
            for suspect in weakest_first[:excess]:
                self._crashes.pop(suspect)

    def _drop_refuted(
        self, table: _Table, suspect: Suspect, expired_until: float
    ) -> None:
        refuted_until = max(self._succeeded_at.get(suspect, 0), expired_until)
        crashes = {
            endpoint: crash
            for endpoint, crash in table[suspect].items()
            if crash.at > refuted_until
        }
        if crashes:
            table[suspect] = crashes
        else:
            table.pop(suspect)

    def _evidence(self) -> _Table:
        evidence = {
            suspect: dict(crashes) for suspect, crashes in self._remote.items()
        }
        for suspect, crashes in self._crashes.items():
            joined = evidence.setdefault(suspect, {})
            for endpoint, crash in crashes.items():
                add_crash(joined, endpoint, crash)
        return evidence

    def _adopt(self, now: float) -> None:
        """Keep the evidence of quarantined suspects if other hosts stop.

        The age excludes delays of messages, so that hosts would renew each
        other's evidence for ever if they adopted it up to its end.
        """
        for suspect in self._quarantined:
            own = self._crashes.setdefault(suspect, {})
            for endpoint, crash in self._remote.get(suspect, {}).items():
                if crash.at > now - QUARANTINE_TTL_S / 2:
                    add_crash(own, endpoint, crash)
            if not own:
                self._crashes.pop(suspect)

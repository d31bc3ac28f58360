"""Reports in which hosts share their evidence about crashes."""

from __future__ import annotations

from collections.abc import Mapping
from typing import Final, Self

from apricotcart.codec.record import Record
from apricotcart.endpoints.crashes import Crash, Crashes, Suspect, SuspectKind

# Bound on the suspects in a report.
MAX_SUSPECTS: Final = 64
# Endpoints that are kept for each suspect.
_MAX_ENDPOINTS: Final = 8


class CrashReport(Record):
    """What a host, or all hosts together, know about one suspect.

    Attributes
    ----------
    kind : str
        Kind of the suspect.
    name : str
        Id of the part, or fingerprint of the request.
    depth : int
        Number of parts before a part in the prompt; 0 for a request.
    crashes : dict of str to float
        Age of each crash in seconds, by endpoint.
    runs_s : dict of str to float
        Time from the sending of the request to the crash in seconds, by
        endpoint.
    success_age_s : float or None
        Age of the last success in seconds; None without one.
    """

    __slots__ = ('crashes', 'depth', 'kind', 'name', 'runs_s', 'success_age_s')

    def __init__(
        self,
        *,
        kind: str,
        name: str,
        depth: int,
        crashes: Mapping[str, float],
        runs_s: Mapping[str, float],
        success_age_s: float | None,
    ) -> None:
        self.kind = kind
        self.name = name
        self.depth = depth
        self.crashes = dict(crashes)
        self.runs_s = dict(runs_s)
        self.success_age_s = success_age_s

    @classmethod
    def from_crashes(
        cls,
        *,
        suspect: Suspect,
        depth: int,
        crashes: Mapping[str, Crash],
        success_age_s: float | None,
        now: float,
    ) -> Self:
        """Build the report of crashes, with ages as of ``now``."""
        return cls(
            kind=str(suspect.kind),
            name=suspect.name,
            depth=depth,
            crashes={name: now - crash.at for name, crash in crashes.items()},
            runs_s={name: crash.run_s for name, crash in crashes.items()},
            success_age_s=success_age_s,
        )

    @property
    def suspect(self) -> Suspect:
        """The suspect of the report."""
        return Suspect(SuspectKind(self.kind), self.name)

    def crashes_at(self, now: float) -> Crashes:
        """Return the crashes, with the ages as of ``now``."""
        crashes: Crashes = {}
        for endpoint, age_s in self.crashes.items():
            at = now - age_s
            sent_at = at - self.runs_s.get(endpoint, 0)
            crashes[endpoint] = Crash(sent_at=sent_at, at=at)
        return crashes


class MergedReports:
    """What all hosts together know about each suspect."""

    __slots__ = ('_crashes', '_depths', '_success_ages_s')

    def __init__(self) -> None:
        self._crashes: dict[Suspect, Crashes] = {}
        self._depths: dict[Suspect, int] = {}
        self._success_ages_s: dict[Suspect, float] = {}

    def add(self, report: CrashReport, delay_s: float) -> None:
        """Add the report of a host that was received ``delay_s`` ago."""
        suspect = report.suspect
        known_depth = self._depths.get(suspect, 0)
        self._depths[suspect] = max(report.depth, known_depth)
        crashes = self._crashes.setdefault(suspect, {})
        for endpoint, crash in report.crashes_at(-delay_s).items():
            add_crash(crashes, endpoint, crash)
        if report.success_age_s is not None:
            age_s = report.success_age_s + delay_s
            known_age_s = self._success_ages_s.get(suspect, age_s)
            self._success_ages_s[suspect] = min(age_s, known_age_s)

    def strongest(self) -> list[CrashReport]:
        """Return the suspects with the most crashes, up to the limit."""
        suspects = sorted(
            (suspect for suspect, crashes in self._crashes.items() if crashes),
            key=lambda suspect: len(self._crashes[suspect]),
            reverse=True,
        )
        return [self._report(suspect) for suspect in suspects[:MAX_SUSPECTS]]

    def _report(self, suspect: Suspect) -> CrashReport:
        return CrashReport.from_crashes(
            suspect=suspect,
            depth=self._depths[suspect],
            crashes=self._crashes[suspect],
            success_age_s=self._success_ages_s.get(suspect),
            now=0,
        )


def add_crash(crashes: Crashes, endpoint: str, crash: Crash) -> None:
    """Add a crash; several hosts may report the same one."""
    known = crashes.get(endpoint)
    if known is None:
        if len(crashes) < _MAX_ENDPOINTS:
            crashes[endpoint] = crash
    elif crash.at < known.at:
        crashes[endpoint] = crash

"""Finds the part of a prompt that crashes endpoints, over all hosts.

An engine runs many requests at a time, so that a crash casts suspicion on the
parts of all requests that had just begun or were about to begin. Sound parts
are cleared when a request with them is answered; what remains after crashes of
several endpoints is quarantined.
"""

from __future__ import annotations

import math
from collections import OrderedDict
from collections.abc import Iterable, Mapping
from typing import Final, Self

from apricotcart.codec.record import Record

# Endpoints that must have crashed before a part is quarantined.
CRASHES_TO_QUARANTINE: Final = 3
# Time within which hosts see the ends of endpoints that one fault of the
# machines ends. It includes the delays of messages between hosts.
FAULT_SPREAD_S: Final = 0.1
# Time for which a crash counts against a part that is not quarantined.
SUSPICION_TTL_S: Final = 60.0
# Time for which it counts against one that is; the quarantine ends with it.
QUARANTINE_TTL_S: Final = 600.0
# Bounds on the parts that a host reports, and on those it has seen succeed.
MAX_SUSPECTS: Final = 64
MAX_CLEARED: Final = 4096
# Endpoints that are kept for each part.
_MAX_ENDPOINTS: Final = 8


class Crash:
    """A request that an endpoint was running when it crashed.

    Attributes
    ----------
    sent_at : float
        When the request was sent, in seconds.
    at : float
        When the endpoint crashed, in seconds.
    """

    __slots__ = ('at', 'sent_at')

    def __init__(self, *, sent_at: float, at: float) -> None:
        self.sent_at = sent_at
        self.at = at

    @property
    def run_s(self) -> float:
        """Time from the sending to the crash in seconds."""
        return self.at - self.sent_at


# Crashes by endpoint.
Crashes = dict[str, Crash]


class PromptSuspectReport(Record):
    """What a host, or all hosts together, know about one part.

    Attributes
    ----------
    part_id : str
        Id of the part.
    depth : int
        Number of parts before it in the prompt.
    crashes : dict of str to float
        Age of each crash in seconds, by endpoint.
    runs_s : dict of str to float
        Time from the sending of the request to the crash in seconds, by
        endpoint.
    success_age_s : float or None
        Age of the last success with the part in seconds; None without one.
    """

    __slots__ = ('crashes', 'depth', 'part_id', 'runs_s', 'success_age_s')

    def __init__(
        self,
        *,
        part_id: str,
        depth: int,
        crashes: Mapping[str, float],
        runs_s: Mapping[str, float],
        success_age_s: float | None,
    ) -> None:
        self.part_id = part_id
        self.depth = depth
        self.crashes = dict(crashes)
        self.runs_s = dict(runs_s)
        self.success_age_s = success_age_s

    @classmethod
    def from_crashes(
        cls,
        *,
        part_id: str,
        depth: int,
        crashes: Mapping[str, Crash],
        success_age_s: float | None,
        now: float,
    ) -> Self:
        """Build the report of crashes, with ages as of ``now``."""
        return cls(
            part_id=part_id,
            depth=depth,
            crashes={name: now - crash.at for name, crash in crashes.items()},
            runs_s={name: crash.run_s for name, crash in crashes.items()},
            success_age_s=success_age_s,
        )

    def crashes_at(self, now: float) -> Crashes:
        """Return the crashes, with the ages as of ``now``."""
        crashes: Crashes = {}
        for endpoint, age_s in self.crashes.items():
            at = now - age_s
            sent_at = at - self.runs_s.get(endpoint, 0)
            crashes[endpoint] = Crash(sent_at=sent_at, at=at)
        return crashes


class PromptSuspects:
    """Crashes and successes by prompt part, of this host and of others."""

    __slots__ = (
        '_crashes',
        '_depths',
        '_quarantined',
        '_remote',
        '_reported',
        '_succeeded_at',
    )

    def __init__(self) -> None:
        self._crashes: dict[str, Crashes] = {}
        self._remote: dict[str, Crashes] = {}
        self._depths: dict[str, int] = {}
        # Parts that other hosts suspect, those refuted here included.
        self._reported: tuple[str, ...] = ()
        self._succeeded_at: OrderedDict[str, float] = OrderedDict()
        self._quarantined: frozenset[str] = frozenset()

    @property
    def quarantined(self) -> frozenset[str]:
        """Parts that no request may have."""
        return self._quarantined

    def endpoints_of(self, part_id: str) -> list[str]:
        """Return the endpoints whose crashes count against a part."""
        return sorted(self._evidence().get(part_id, ()))

    def on_crash(
        self, crash: Crash, endpoint: str, part_ids: Iterable[str]
    ) -> None:
        """Record that an endpoint crashed as a request began to run there.

        Parameters
        ----------
        crash : Crash
            When the request was sent, and when the endpoint crashed.
        endpoint : str
            Id of the endpoint.
        part_ids : iterable of str
            Parts of the prompt in order.
        """
        for depth, part_id in enumerate(part_ids):
            self._depths[part_id] = depth
            _add_crash(self._crashes, part_id, endpoint, crash)
        self._update(crash.at)

    def on_success(self, now: float, part_ids: Iterable[str]) -> None:
        """Record that an endpoint survived a request with these parts."""
        was_suspect = False
        for part_id in part_ids:
            was_suspect |= part_id in self._crashes or part_id in self._remote
            self._record_success(part_id, now)
        if was_suspect:
            self._update(now)

    def reports(self, now: float) -> list[PromptSuspectReport]:
        """Return what this host knows, for its next sync."""
        part_ids = dict.fromkeys((*self._crashes, *self._reported))
        reports = (self._report(now, part_id) for part_id in part_ids)
        return [
            report
            for report in reports
            if report.crashes or report.success_age_s is not None
        ]

    def merge(self, now: float, reports: Iterable[PromptSuspectReport]) -> None:
        """Replace what the other hosts know by the reports of a sync reply."""
        self._remote = {}
        for report in reports:
            if report.success_age_s is not None:
                self._record_success(report.part_id, now - report.success_age_s)
            self._depths[report.part_id] = report.depth
            self._remote[report.part_id] = report.crashes_at(now)
        self._reported = tuple(self._remote)
        self._update(now)

    def _report(self, now: float, part_id: str) -> PromptSuspectReport:
        succeeded_at = self._succeeded_at.get(part_id)
        return PromptSuspectReport.from_crashes(
            part_id=part_id,
            depth=self._depths.get(part_id, 0),
            crashes=self._crashes.get(part_id, {}),
            success_age_s=None if succeeded_at is None else now - succeeded_at,
            now=now,
        )

    def _record_success(self, part_id: str, at: float) -> None:
        at = max(at, self._succeeded_at.pop(part_id, at))
        self._succeeded_at[part_id] = at
        while len(self._succeeded_at) > MAX_CLEARED:
            self._succeeded_at.popitem(last=False)

    def _update(self, now: float) -> None:
        """Drop refuted and old evidence and find the quarantined parts."""
        for table in (self._crashes, self._remote):
            for part_id in list(table):
                self._drop_refuted(table, part_id, now)
        self._evict_weakest()
        evidence = self._evidence()
        for part_id in self._depths.keys() - evidence.keys():
            self._depths.pop(part_id)
        self._quarantined = find_culprits(evidence, self._depths)
        self._adopt(now)

    def _evict_weakest(self) -> None:
        """Keep the parts with the most crashes, among equals the newest."""
        excess = len(self._crashes) - MAX_SUSPECTS
        if excess > 0:
            weakest_first = sorted(
                self._crashes, key=lambda name: len(self._crashes[name])
            )
            for part_id in weakest_first[:excess]:
                self._crashes.pop(part_id)

    def _drop_refuted(
        self, table: dict[str, Crashes], part_id: str, now: float
    ) -> None:
        is_quarantined = part_id in self._quarantined
        ttl_s = QUARANTINE_TTL_S if is_quarantined else SUSPICION_TTL_S
        refuted_until = max(self._succeeded_at.get(part_id, 0), now - ttl_s)
        crashes = {
            endpoint: crash
            for endpoint, crash in table[part_id].items()
            if crash.at > refuted_until
        }
        if crashes:
            table[part_id] = crashes
        else:
            table.pop(part_id)

    def _evidence(self) -> dict[str, Crashes]:
        evidence = {
            part_id: dict(crashes) for part_id, crashes in self._remote.items()
        }
        for part_id, crashes in self._crashes.items():
            for endpoint, crash in crashes.items():
                _add_crash(evidence, part_id, endpoint, crash)
        return evidence

    def _adopt(self, now: float) -> None:
        """Keep the evidence of quarantined parts if other hosts stop.

        The age excludes delays of messages, so that hosts would renew each
        other's evidence for ever if they adopted it up to its end.
        """
        for part_id in self._quarantined:
            for endpoint, crash in self._remote.get(part_id, {}).items():
                if crash.at > now - QUARANTINE_TTL_S / 2:
                    _add_crash(self._crashes, part_id, endpoint, crash)


def find_culprits(
    evidence: Mapping[str, Crashes], depths: Mapping[str, int]
) -> frozenset[str]:
    """Return the parts that crashes of enough endpoints point to.

    A part mostly comes with the parts before it. The deepest part with enough
    crashes is blamed, since that refuses the fewest sound requests; a crash
    that it explains does not count for other parts.

    Parameters
    ----------
    evidence : mapping of str to Crashes
        Crashes by part that no success refutes.
    depths : mapping of str to int
        Number of parts before each part.
    """
    culprits: set[str] = set()
    explained: set[str] = set()
    for part_id in _deepest_first(evidence, depths):
        crashes = evidence[part_id]
        unexplained = set(crashes) - explained
        counted = [crashes[endpoint] for endpoint in unexplained]
        if count_independent(counted) >= CRASHES_TO_QUARANTINE:
            culprits.add(part_id)
            explained.update(crashes)
    return frozenset(culprits)


class MergedReports:
    """What all hosts together know about each part."""

    __slots__ = ('_crashes', '_depths', '_success_ages_s')

    def __init__(self) -> None:
        self._crashes: dict[str, Crashes] = {}
        self._depths: dict[str, int] = {}
        self._success_ages_s: dict[str, float] = {}

    def add(self, report: PromptSuspectReport, delay_s: float) -> None:
        """Add the report of a host that was received ``delay_s`` ago."""
        part_id = report.part_id
        known_depth = self._depths.get(part_id, 0)
        self._depths[part_id] = max(report.depth, known_depth)
        for endpoint, crash in report.crashes_at(-delay_s).items():
            _add_crash(self._crashes, part_id, endpoint, crash)
        if report.success_age_s is not None:
            _keep_min(
                self._success_ages_s, part_id, report.success_age_s + delay_s
            )

    def strongest(self) -> list[PromptSuspectReport]:
        """Return the parts with the most crashes, up to the limit."""
        part_ids = sorted(
            self._crashes,
            key=lambda part_id: len(self._crashes[part_id]),
            reverse=True,
        )
        return [self._report(part_id) for part_id in part_ids[:MAX_SUSPECTS]]

    def _report(self, part_id: str) -> PromptSuspectReport:
        return PromptSuspectReport.from_crashes(
            part_id=part_id,
            depth=self._depths[part_id],
            crashes=self._crashes[part_id],
            success_age_s=self._success_ages_s.get(part_id),
            now=0,
        )


def _deepest_first(
    evidence: Mapping[str, Crashes], depths: Mapping[str, int]
) -> list[str]:
    return sorted(
        evidence,
        key=lambda part_id: (depths.get(part_id, 0), len(evidence[part_id])),
        reverse=True,
    )


def _keep_min(table: dict[str, float], key: str, number: float) -> None:
    table[key] = min(number, table.get(key, number))


def _add_crash(
    table: dict[str, Crashes], part_id: str, endpoint: str, crash: Crash
) -> None:
    """Add a crash; several hosts may report the same one."""
    crashes = table.setdefault(part_id, {})
    known = crashes.get(endpoint)
    if known is None:
        if len(crashes) < _MAX_ENDPOINTS:
            crashes[endpoint] = crash
    elif crash.at < known.at:
        crashes[endpoint] = crash


def count_independent(crashes: Iterable[Crash]) -> int:
    """Return the number of crashes that have no common cause but the request.

    A fault of the machines ends several endpoints at a time. A crash does not
    belong to the same fault as the one before if it is later than that, or if
    its request was only sent afterwards.
    """
    count = 0
    counted_at = -math.inf
    for crash in sorted(crashes, key=lambda crash: crash.at):
        if max(crash.sent_at, crash.at - FAULT_SPREAD_S) >= counted_at:
            counted_at = crash.at
            count += 1
    return count

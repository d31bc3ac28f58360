"""Promises that are checked from what callers and endpoints saw."""

from __future__ import annotations

import enum
import math
from collections import Counter
from collections.abc import Collection, Iterator, Sequence
from typing import Final

from soak.endpoints import COMPLETE_STREAM
from soak.records import DEADLINE_S, Attempt, Outcome, Records, RouteName

# A connection may end this long after a request was sent as if it had not
# been read.
UNREAD_SLACK_S: Final = 0.2
_FAILURE_STATUSES: Final = frozenset((500, 502))
# Statuses which promise that a request has not run.
_NOT_RUN_STATUSES: Final = frozenset((408, 421, 429, 503))


class Rule(enum.StrEnum):
    """Promises to callers, named after how they are broken."""

    ONCE = 'not idempotent, but ran more than once'
    NOT_RUN = 'refused, but passed on to an endpoint'
    NO_RUN = 'status 200, but no endpoint received it'
    EVENTS = 'looks complete, but events are missing or repeated'
    CUT = 'the response began, but is not whole'
    LOST = 'passed on to an endpoint, but no response'
    FAILED = 'failed although no endpoint did'
    UNREAD = 'sent long before the connection ended, but no response'


ALL_RULES: Final = frozenset(Rule)
# Promises that no fault excuses.
ALWAYS: Final = frozenset((Rule.ONCE, Rule.NOT_RUN, Rule.NO_RUN, Rule.EVENTS))


class PlannedStop:
    """A stop by SIGTERM, in seconds of the monotonic clock."""

    __slots__ = ('ended_at', 'exit_code', 'ip', 'signalled_at')

    def __init__(self, ip: str, signalled_at: float) -> None:
        self.ip = ip
        self.signalled_at = signalled_at
        self.ended_at: float = 0
        self.exit_code: int | None = None

    def __str__(self) -> str:
        """Return the duration and the exit code."""
        duration_s = self.ended_at - self.signalled_at
        return f'{self.ip}: {duration_s:.2f} s, exit code {self.exit_code}'


class Disturbance:
    """A time in which an unplanned fault excuses responses.

    Attributes
    ----------
    gateway : str or None
        Address of the gateway that fails; None if all may notice it.
    """

    __slots__ = ('end', 'gateway', 'start')

    def __init__(self, gateway: str | None, start: float) -> None:
        self.gateway = gateway
        self.start = start
        self.end = math.inf

    def excuses(self, attempt: Attempt) -> bool:
        """Return whether an attempt may have met the fault."""
        if self.gateway is not None and self.gateway != attempt.gateway:
            return False
        return self.start <= attempt.ended_at and attempt.sent_at <= self.end


class Absence(Disturbance):
    """A time in which no process of a gateway runs.

    A request that is sent then reached at most the proxy, which closes the
    connection as fast as the machine lets it.
    """

    __slots__ = ()

    def excuses(self, attempt: Attempt) -> bool:
        """Return whether an attempt was sent in this time."""
        is_same = self.gateway == attempt.gateway
        return is_same and self.start <= attempt.sent_at <= self.end


class Violation:
    """An attempt that breaks a promise."""

    __slots__ = ('attempt', 'rule', 'runs')

    def __init__(self, rule: Rule, attempt: Attempt, runs: int) -> None:
        self.rule = rule
        self.attempt = attempt
        self.runs = runs

    def describe(self, stops: Sequence[PlannedStop]) -> str:
        """Return a line with times relative to the last SIGTERM, if any."""
        attempt = self.attempt
        zero = max(
            (
                stop.signalled_at
                for stop in stops
                if stop.ip == attempt.gateway
                and stop.signalled_at <= attempt.ended_at
            ),
            default=attempt.sent_at,
        )
        origin = 'SIGTERM' if zero < attempt.sent_at else 'it was sent'
        return (
            f'{self.rule}: {attempt.attempt_id} {attempt.route} at '
            f'{attempt.gateway}: sent {attempt.sent_at - zero:.3f} s and ended '
            f'{attempt.ended_at - zero:.3f} s after {origin}: '
            f'{attempt.outcome} {attempt.reason}, status {attempt.status}, '
            f'{len(attempt.body)} bytes, runs: {self.runs}'
        )


def find_violations(
    records: Records,
    stops: Sequence[PlannedStop],
    rules: Collection[Rule] = ALL_RULES,
) -> list[Violation]:
    """Return all attempts that break one of some promises."""
    return [
        Violation(rule, attempt, len(records.runs[attempt.attempt_id]))
        for attempt in records.attempts
        for rule in _broken_rules(attempt, records, stops)
        if rule in rules
    ]


def _broken_rules(
    attempt: Attempt, records: Records, stops: Sequence[PlannedStop]
) -> Iterator[Rule]:
    runs = len(records.runs[attempt.attempt_id])
    # The stream route is not resumable.
    if attempt.route is not RouteName.IDEMPOTENT and runs > 1:
        yield Rule.ONCE
    # A gateway ends a response at its deadline.
    in_time = attempt.ended_at - attempt.sent_at < DEADLINE_S
    if attempt.outcome is Outcome.CUT and in_time:
        yield Rule.CUT
    if attempt.outcome is Outcome.NO_RESPONSE:
        yield from _rules_without_response(attempt, runs, stops)
    if attempt.outcome is Outcome.WHOLE:
        yield from _rules_of_whole_response(attempt, runs)


def _rules_without_response(
    attempt: Attempt, runs: int, stops: Sequence[PlannedStop]
) -> Iterator[Rule]:
    if runs:
        yield Rule.LOST
    elif _waited_s(attempt, stops) > UNREAD_SLACK_S:
        yield Rule.UNREAD


def _rules_of_whole_response(attempt: Attempt, runs: int) -> Iterator[Rule]:
    if runs and attempt.status in _NOT_RUN_STATUSES:
        yield Rule.NOT_RUN
    if attempt.status in _FAILURE_STATUSES:
        yield Rule.FAILED
    if attempt.is_served and not runs:
        yield Rule.NO_RUN
    is_stream = attempt.route is RouteName.STREAM
    if attempt.is_served and is_stream and attempt.body != COMPLETE_STREAM:
        yield Rule.EVENTS


def _waited_s(attempt: Attempt, stops: Sequence[PlannedStop]) -> float:
    """Return how long a request waited until its connection ended.

    The end of the process counts if the caller noticed the end later.
    """
    ended_at = attempt.ended_at
    for stop in stops:
        is_same = stop.ip == attempt.gateway
        if is_same and stop.signalled_at < attempt.sent_at < stop.ended_at:
            ended_at = min(ended_at, stop.ended_at)
    return ended_at - attempt.sent_at


def is_excused(
    violation: Violation, disturbances: Sequence[Disturbance]
) -> bool:
    """Return whether an unplanned fault may be the cause."""
    return violation.rule not in ALWAYS and any(
        disturbance.excuses(violation.attempt) for disturbance in disturbances
    )


def summarize(records: Records) -> str:
    """Return how many attempts had each outcome and status."""
    counts = Counter(
        f'{attempt.outcome} {attempt.status or ""}'.strip()
        for attempt in records.attempts
    )
    return ', '.join(
        f'{text}: {count}' for text, count in sorted(counts.items())
    )

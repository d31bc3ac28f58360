"""Tests of the checks on made-up records."""

from __future__ import annotations

import pytest

from soak.checks import (
    Absence,
    Disturbance,
    PlannedStop,
    Rule,
    find_violations,
    is_excused,
)
from soak.endpoints import COMPLETE_STREAM, event
from soak.records import DEADLINE_S, Attempt, Outcome, Records, RouteName, Run

_GATEWAY = '127.0.0.1'


@pytest.fixture
def records() -> Records:
    """Provide empty records."""
    return Records()


def _add(
    records: Records,
    outcome: Outcome,
    route: RouteName = RouteName.ONCE,
    *,
    status: int = 0,
    body: bytes = b'',
    runs: int = 0,
    waited_s: float = 0,
) -> Attempt:
    attempt = Attempt('t1', route, _GATEWAY)
    attempt.sent_at = attempt.started_at
    attempt.status = status
    attempt.parts.append(body)
    attempt.end(outcome)
    attempt.ended_at = attempt.sent_at + waited_s
    records.attempts.append(attempt)
    for _ in range(runs):
        records.add_run(Run('t1', 'endpoint', _GATEWAY))
    return attempt


def _rules(records: Records) -> list[Rule]:
    return [violation.rule for violation in find_violations(records, [])]


def test_whole_responses_and_refusals_are_allowed(records: Records) -> None:
    """Guards against checks that fail on what is promised."""
    _add(
        records,
        Outcome.WHOLE,
        RouteName.STREAM,
        status=200,
        body=COMPLETE_STREAM,
        runs=1,
    )
    _add(Records(), Outcome.WHOLE, status=503)
    _add(records, Outcome.NOT_CONNECTED)
    assert not _rules(records)


@pytest.mark.parametrize('route', [RouteName.ONCE, RouteName.STREAM])
def test_second_run_of_request_is_found(
    records: Records, route: RouteName
) -> None:
    """Guards against a check of repeated runs that finds nothing."""
    _add(records, Outcome.WHOLE, route, status=504, runs=2)
    assert _rules(records) == [Rule.ONCE]


def test_refused_request_that_ran_is_found(records: Records) -> None:
    """Guards against a check of refusals that finds nothing."""
    _add(records, Outcome.WHOLE, status=503, runs=1)
    assert _rules(records) == [Rule.NOT_RUN]


@pytest.mark.parametrize(
    'body', [COMPLETE_STREAM + event(8), COMPLETE_STREAM[:-1], b'']
)
def test_wrong_events_are_found(records: Records, body: bytes) -> None:
    """Guards against a check of streams that finds nothing."""
    _add(
        records,
        Outcome.WHOLE,
        RouteName.STREAM,
        status=200,
        body=body,
        runs=1,
    )
    assert _rules(records) == [Rule.EVENTS]


def test_failure_without_cause_is_found(records: Records) -> None:
    """Guards against requests that the gateway itself cancels."""
    _add(records, Outcome.WHOLE, status=502, runs=1)
    assert _rules(records) == [Rule.FAILED]


def test_lost_responses_are_found(records: Records) -> None:
    """Guards against a check of ends that excuses too much."""
    _add(records, Outcome.NO_RESPONSE, waited_s=0.1)
    _add(records, Outcome.NO_RESPONSE, waited_s=0.3)
    assert _rules(records) == [Rule.UNREAD]
    _add(records, Outcome.CUT, status=200)
    assert _rules(records) == [Rule.UNREAD, Rule.CUT]


def test_slack_ends_with_the_process(records: Records) -> None:
    """Guards against a caller whose delay counts as that of the gateway."""
    attempt = _add(records, Outcome.NO_RESPONSE, waited_s=0.5)
    stop = PlannedStop(_GATEWAY, attempt.sent_at - 1)
    stop.ended_at = attempt.sent_at + 0.1
    assert not find_violations(records, [stop])


def test_absence_excuses_only_what_is_sent_meanwhile(records: Records) -> None:
    """Guards against a restart that excuses requests before the end."""
    attempt = _add(records, Outcome.NO_RESPONSE, waited_s=0.3)
    unread = find_violations(records, [])[0]
    assert is_excused(unread, [Absence(_GATEWAY, attempt.sent_at)])
    assert not is_excused(unread, [Absence(_GATEWAY, attempt.sent_at + 0.1)])


def test_disturbance_excuses_only_cut_responses(records: Records) -> None:
    """Guards against unplanned faults that excuse a second run."""
    attempt = _add(records, Outcome.CUT, status=200, runs=2)
    disturbance = Disturbance(_GATEWAY, attempt.sent_at)
    excused = {
        violation.rule
        for violation in find_violations(records, [])
        if is_excused(violation, [disturbance])
    }
    assert excused == {Rule.CUT}
    elsewhere = Disturbance('127.0.0.2', attempt.sent_at)
    assert not any(
        is_excused(violation, [elsewhere])
        for violation in find_violations(records, [])
    )


def test_response_that_ends_at_its_deadline_is_not_cut(
    records: Records,
) -> None:
    """Guards against a deadline that excuses what was cut before it."""
    attempt = _add(records, Outcome.CUT, status=200, waited_s=DEADLINE_S)
    assert Rule.CUT not in _rules(records)
    attempt.ended_at -= 0.1
    assert Rule.CUT in _rules(records)

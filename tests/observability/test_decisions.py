"""Guards against decisions that are not logged or flood the log."""

from __future__ import annotations

import logging
from typing import Any

import pytest

from apricotcart.observability.catalogue import DECISIONS
from apricotcart.observability.decisions import (
    CALLER_LEFT,
    EVENTS,
    REQUEST_REFUSED,
    DecisionCounter,
    Event,
    LineRateLimiter,
    disallowed_fields,
    log_decision,
)
from apricotcart.observability.metrics import Metrics

_NOW_S = 7.5


def test_events_have_only_fields_that_the_log_filter_allows() -> None:
    assert not disallowed_fields()
    assert len({event.name for event in EVENTS}) == len(EVENTS)


def test_log_decision_writes_its_fields(
    caplog: pytest.LogCaptureFixture,
) -> None:
    with caplog.at_level(logging.INFO):
        log_decision(
            REQUEST_REFUSED,
            request_id='x1',
            reason='busy',
            duration_s=0.123456,
            retry_after_s=None,
        )
    record: Any = caplog.records[-1]
    assert (record.event, record.request_id) == ('request_refused', 'x1')
    assert record.duration_s == pytest.approx(0.1235)
    assert not hasattr(record, 'retry_after_s')


def test_rate_limiter_drops_lines_and_reports_their_number() -> None:
    limiter = LineRateLimiter()
    admitted = [limiter.admit_line('e', _NOW_S) for _ in range(1000)]
    assert admitted.count(None) == 700
    assert limiter.admit_line('other', _NOW_S) == 0
    assert limiter.admit_line('e', _NOW_S + 1) == 700
    assert limiter.admit_line('e', _NOW_S + 1) == 0


def test_counter_counts_decisions_without_logging() -> None:
    metrics = Metrics()
    counter = DecisionCounter()
    counter.count(REQUEST_REFUSED, {})
    counter.attach_metrics(metrics)
    for _ in range(3):
        counter.count(REQUEST_REFUSED, {'reason': 'busy', 'duration_s': 0.2})
    page = metrics.render()[0].decode()
    line = next(
        sample
        for sample in page.splitlines()
        if sample.startswith(DECISIONS.name) and 'busy' in sample
    )
    assert line.endswith(' 3')
    assert 'apricotcart_decision_seconds' in page


@pytest.mark.parametrize('event', EVENTS, ids=lambda event: event.name)
def test_every_field_can_be_logged(
    event: Event, caplog: pytest.LogCaptureFixture
) -> None:
    """Guards against names that the logging library reserves."""
    with caplog.at_level(logging.INFO):
        log_decision(event, **dict.fromkeys(event.fields, 'x'))
    assert caplog.records


def test_texts_of_clients_are_cut(caplog: pytest.LogCaptureFixture) -> None:
    """Guards against log lines that are as large as a client likes."""
    with caplog.at_level(logging.INFO):
        log_decision(CALLER_LEFT, request_id='a' * 60_000, duration_s=0.5)
    logged = caplog.records[-1].__dict__['request_id']
    assert len(logged) < 2000
    assert '60000 characters' in logged

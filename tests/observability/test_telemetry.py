"""Tests of tracer and metrics together."""

from __future__ import annotations

import logging
from collections.abc import Iterator
from queue import Queue
from types import SimpleNamespace
from typing import Any

import pytest

from apricotcart.observability.logs import DroppingQueueHandler
from apricotcart.observability.metrics import Metrics
from apricotcart.observability.telemetry import Telemetry


@pytest.fixture
def full_log() -> Iterator[None]:
    """Have the process's log drop two records."""
    intake = DroppingQueueHandler(Queue(1))
    root = logging.getLogger()
    root.addHandler(intake)
    for _ in range(3):
        intake.handle(logging.makeLogRecord({'msg': 'a'}))
    yield
    root.removeHandler(intake)


@pytest.mark.usefixtures('full_log')
def test_telemetry_shows_dropped() -> None:
    """Guards against logs and spans that are lost without a trace."""
    metrics = Metrics()
    tracer: Any = SimpleNamespace(dropped=5)
    Telemetry(tracer, metrics)
    lines = metrics.page()[0].decode().splitlines()
    assert 'apricotcart_dropped_spans_total 5' in lines
    assert 'apricotcart_dropped_log_records_total 2' in lines

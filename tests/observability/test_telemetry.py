"""Tests of the telemetry of one process."""

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
    """Make the log of the process drop two records."""
    queue_handler = DroppingQueueHandler(Queue(1))
    root = logging.getLogger()
    root.addHandler(queue_handler)
    for _ in range(3):
        queue_handler.handle(logging.makeLogRecord({'msg': 'a'}))
    yield
    root.removeHandler(queue_handler)


@pytest.mark.usefixtures('full_log')
def test_telemetry_counts_dropped_spans_and_records() -> None:
    """Guards against dropped log records and spans that are not counted."""
    metrics = Metrics()
    tracer: Any = SimpleNamespace(dropped=5)
    Telemetry(tracer, metrics)
    lines = metrics.render()[0].decode().splitlines()
    assert 'apricotcart_dropped_spans_total 5' in lines
    assert 'apricotcart_dropped_log_records_total 2' in lines

"""Tests of the gauges of a control host."""

from __future__ import annotations

from types import SimpleNamespace
from typing import Any

import pytest

from apricotcart.control.gauges import ControlGauges
from apricotcart.observability.metrics import Metrics


@pytest.mark.parametrize(
    ('role', 'is_leader'), [('leader', 1), ('follower', 0)]
)
def test_gauges_follow_state(role: str, is_leader: int) -> None:
    """Guards against a metrics page with the state of an earlier read."""
    serving = {'state': 'serving'}
    status: Any = {'role': 'candidate', 'term': 1, 'commit_index': 2}
    reports = [serving, serving]
    loop: Any = SimpleNamespace(status=lambda: status)
    hosts: Any = SimpleNamespace(reports=lambda now: reports)
    metrics = Metrics()
    metrics.add_scrape_hook(ControlGauges(metrics, loop, hosts).update)
    metrics.render()
    status.update(role=role, term=4, commit_index=9)
    reports.append({'state': 'leaving'})
    reports.remove(serving)
    lines = metrics.render()[0].decode().splitlines()
    assert f'apricotcart_is_leader {is_leader}' in lines
    assert 'apricotcart_term 4' in lines
    assert 'apricotcart_commit_index 9' in lines
    assert 'apricotcart_entry_hosts{state="serving"} 1' in lines
    assert 'apricotcart_entry_hosts{state="leaving"} 1' in lines

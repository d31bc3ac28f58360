"""Tests of status and usage reports."""

from __future__ import annotations

from typing import Any

from control.fakes import FakeLoop

from apricotcart.control.entry_hosts import EntryHosts
from apricotcart.control.reports import Reports
from apricotcart.state.limits import WINDOW_MS

WINDOW = 1


def test_usage_until_reported(loop: FakeLoop) -> None:
    """Guards against usage figures that are shown twice or never."""
    fake: Any = loop
    reports = Reports(fake, loop.state, EntryHosts(0))
    assert not reports.usage()['unreported']
    figures = {'tokens_in': 3, 'tokens_out': 4, 'calls': 1}
    window_figures = {'customer': 'acme', 'window': WINDOW, **figures}
    usage = {
        'host': 'h1',
        'incarnation': 1,
        'seq': 1,
        'figures': [window_figures],
    }
    for _ in range(2):
        assert loop.propose({'kind': 'usage_add', **usage}, 1)['ok']
    assert not reports.usage()['unreported']
    loop.at_ms = 10 * WINDOW_MS
    assert loop.propose({'kind': 'usage_close', 'window': WINDOW}, 1)['ok']
    shown = reports.usage()
    assert shown['closed_through'] == WINDOW
    assert shown['unreported'] == [window_figures]
    done = {'kind': 'usage_reported', 'window': WINDOW, 'customer': 'acme'}
    assert loop.propose(done, 1)['ok']
    assert not reports.usage()['unreported']

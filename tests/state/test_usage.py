"""Tests of usage: batches count once and closed figures are final."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

import pytest
from state.conftest import Send

from apricotcart.codec.packing import pack, unpack
from apricotcart.state.limits import USAGE_RETENTION_MS, WINDOW_MS, Limits
from apricotcart.state.machine import ClusterState

NOW = 100 * WINDOW_MS
Add = Callable[..., dict[str, Any]]


@pytest.fixture
def add(send: Send) -> Add:
    """Return a function that sends a batch with one figure."""

    def send_batch(seq: int, calls: int = 1, **fields: Any) -> dict[str, Any]:
        figure = {
            'customer': fields.pop('customer', 'acme'),
            'window': fields.pop('window', 100),
            'tokens_in': 10 * calls,
            'tokens_out': 20 * calls,
            'calls': calls,
        }
        batch = {
            'host': 'h1',
            'incarnation': 1,
            'at_ms': NOW,
            'figures': [figure],
            **fields,
        }
        return send('usage_add', seq=seq, **batch)

    return send_batch


def test_add_duplicate_batch(add: Add, state: ClusterState) -> None:
    """Guards against counting a resent or reordered batch twice."""
    for seq in (1, 3, 2, 3, 1, 2, 4, 3):
        assert add(seq)['ok']
    assert add(1, incarnation=2)['ok']
    assert add(1, host='h2')['ok']
    assert _calls(state, 100) == [6]


def test_add_gap(add: Add, state: ClusterState) -> None:
    """Guards against unbounded memory for batches that arrive out of order."""
    assert add(1)['ok']
    assert add(66)['code'] == 'sequence_gap'
    assert add(65)['ok']
    assert _calls(state, 100) == [2]


def test_add_forgotten_source(add: Add, state: ClusterState) -> None:
    """Guards against counting a batch twice after its source expired."""
    add(70)
    later = NOW + USAGE_RETENTION_MS
    assert add(1, host='h2', at_ms=later, window=1500)['ok']
    assert len(state.tables.usage.sources) == 1
    assert add(70)['code'] == 'usage_too_old'
    assert add(71, window=1500)['ok']
    assert add(71, window=1500)['duplicate']


def test_close_freezes_figures(
    add: Add,
    send: Send,
    state: ClusterState,
) -> None:
    """Guards against two different reports of the same figures."""
    add(1, calls=2)
    assert send('usage_close', window=100)['code'] == 'window_open'
    later = NOW + WINDOW_MS
    assert send('usage_close', window=100, at_ms=later)['ok']
    assert add(1, calls=2)['duplicate']
    frozen = state.unreported_usage(9)
    assert add(2, calls=5)['ok']
    assert add(1, host='h2')['ok']
    assert send('usage_close', window=100)['ok']
    assert state.unreported_usage(9) == frozen


def test_late_figures(add: Add, send: Send, state: ClusterState) -> None:
    """Guards against losing late figures or changing closed ones."""
    add(1, calls=2)
    send('usage_close', window=100, at_ms=NOW + WINDOW_MS)
    add(2, calls=5)
    assert [row.calls for row in state.unreported_usage(9)] == [2]
    send('usage_close', window=101, at_ms=NOW + 2 * WINDOW_MS)
    assert _calls(state, 100) == [2, 5]
    assert [row.window for row in state.unreported_usage(9)] == [100, 101]


def test_reported_once(add: Add, send: Send, state: ClusterState) -> None:
    """Guards against a second report after the first one is committed."""
    add(1)
    add(2, customer='mill')
    mark = {'window': 100, 'customer': 'acme'}
    assert send('usage_reported', **mark)['code'] == 'window_open'
    send('usage_close', window=100, at_ms=NOW + WINDOW_MS)
    # Still due, since the reply of the platform or of usage_reported may be
    # lost.
    first = state.unreported_usage(9)
    assert state.unreported_usage(9) == first
    assert send('usage_reported', **mark)['ok']
    assert send('usage_reported', **mark)['ok']
    assert [row.customer for row in state.unreported_usage(9)] == ['mill']


def test_closable_windows(add: Add, send: Send, state: ClusterState) -> None:
    """Guards against closing a window before its last batches arrive."""
    add(1)
    add(2, window=10_000)
    end = NOW + WINDOW_MS
    assert not state.closable_windows(end + 4999)
    assert state.closable_windows(end + 5000) == [100]
    send('usage_close', window=100, at_ms=end)
    # A host with a clock far ahead opens at most the next window.
    assert state.closable_windows(end + WINDOW_MS + 5000) == [101]


def test_add_invalid(add: Add, state: ClusterState) -> None:
    """Guards against counting part of an invalid batch."""
    reply = add(1, calls=-1)
    paths = [fault['path'] for fault in reply['faults']]
    assert paths == [
        'figures[0].tokens_in',
        'figures[0].tokens_out',
        'figures[0].calls',
    ]
    assert add(1)['duplicate'] is False


def test_reports_backlog() -> None:
    """Guards against unbounded rows while the platform accepts no reports."""
    state = ClusterState(Limits(max_usage_rows=3))
    calls = 0
    for window in range(100, 120):
        at_ms = window * WINDOW_MS
        _apply(state, 'usage_close', at_ms, window=window - 1)
        figure = {
            'customer': 'acme',
            'window': window,
            'tokens_in': 1,
            'tokens_out': 1,
            'calls': 1,
        }
        batch = {'host': 'h1', 'incarnation': 1, 'seq': window - 99}
        assert _apply(state, 'usage_add', at_ms, figures=[figure], **batch)
        calls += 1
        assert len(state.tables.usage.windows) <= 4
    rows = state.tables.usage.windows.to_wire()['rows']
    assert sum(row[-1] for row in rows) == calls


def _apply(state: ClusterState, kind: str, at_ms: int, **fields: Any) -> bool:
    command = pack({'kind': kind, 'at_ms': at_ms, **fields})
    return bool(unpack(state.apply(1, command))['ok'])


def _calls(state: ClusterState, window: int) -> list[int]:
    """Return the calls of all rows from a window on, open or closed."""
    rows = state.tables.usage.windows.to_wire()['rows']
    return [row[-1] for row in rows if row[0] >= window]

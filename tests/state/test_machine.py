"""Tests of the state machine as a whole."""

from __future__ import annotations

from typing import Any

import pytest
from state.conftest import Send

from apricotcart.codec.packing import pack, unpack
from apricotcart.errors.tree import CodecError, NotFoundError
from apricotcart.state.machine import ClusterState
from apricotcart.state.replies import error_of


def test_fencing_grows(send: Send, state: ClusterState) -> None:
    """Guards against two holders with equal tokens."""
    tokens = [send('fencing_take', holder='c1')['fencing'] for _ in range(2)]
    copy = ClusterState()
    copy.restore(state.snapshot())
    command = pack({'kind': 'fencing_take', 'at_ms': 1, 'holder': 'c2'})
    tokens.append(unpack(copy.apply(9, command))['fencing'])
    assert tokens == [1, 2, 3]
    assert send('fencing_take', holder='')['code'] == 'invalid'


def test_restore_broken_snapshot(
    site: dict[str, Any],
    state: ClusterState,
) -> None:
    """Guards against a state that is half restored."""
    before = state.snapshot()
    wire = unpack(before)
    wire['orders'].pop('closed')
    for blob in (b'', b'\x01', pack({'format': 99}), pack(wire)):
        with pytest.raises(CodecError):
            state.restore(blob)
        assert state.snapshot() == before


def test_empty_entry(site: dict[str, Any], state: ClusterState) -> None:
    """Guards against an error for the entries that consensus commits."""
    revision = state.revision
    assert unpack(state.apply(7, b'')) == {'ok': True}
    assert state.revision == revision


def test_error_of_reply(send: Send) -> None:
    """Guards against an error type that is lost between processes."""
    exc = error_of(send('delete', resource_kind='pool', name='none'))
    assert isinstance(exc, NotFoundError)
    assert 'none' in exc.message
    assert error_of(send('fencing_take', holder='c1')) is None

"""Tests of the whole state machine."""

from __future__ import annotations

from typing import Any

import pytest
from hypothesis import given
from hypothesis import strategies as st
from state.conftest import Send

from apricotcart.codec.packing import pack, unpack
from apricotcart.errors.tree import CodecError, NotFoundError
from apricotcart.state.machine import ClusterState
from apricotcart.state.replies import error_from_reply


def test_fencing_grows(send: Send, state: ClusterState) -> None:
    """Guards against issuing the same fencing token twice."""
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
    """Guards against a partially restored state."""
    before = state.snapshot()
    wire = unpack(before)
    wire['orders'].pop('closed')
    for blob in (b'', b'\x01', pack({'format': 99}), pack(wire)):
        with pytest.raises(CodecError):
            state.restore(blob)
        assert state.snapshot() == before


KINDS = (
    'apply',
    'delete',
    'set_status',
    'order_begin',
    'order_finish',
    'usage_add',
    'usage_close',
    'usage_reported',
    'fencing_take',
)
NAMES = st.sampled_from(
    (
        'at_ms changes kind name expected_version spec status customer body '
        'resource_kind idempotency_key attempt_id host incarnation seq op_id '
        'result figures window holder pool models weight'
    ).split(),
)
LEAVES = st.one_of(
    st.none(),
    st.booleans(),
    st.integers(-(1 << 63), (1 << 64) - 1),
    st.floats(),
    st.sampled_from(('', 'a', 'customer', 'pool', 'done', 'x' * 300)),
    st.binary(max_size=3),
)
TREES = st.recursive(
    LEAVES,
    lambda inner: st.one_of(
        st.lists(inner, max_size=3),
        st.dictionaries(
            st.one_of(NAMES, st.sampled_from((0, 1))), inner, max_size=4
        ),
    ),
    max_leaves=8,
)


@given(
    st.lists(
        st.tuples(
            st.sampled_from(KINDS),
            st.dictionaries(NAMES, TREES, max_size=8),
        ),
        max_size=5,
    ),
)
def test_apply_never_raises(commands: list[Any]) -> None:
    """Guards against an exception, which would stop every control host."""
    state = ClusterState()
    for kind, fields in commands:
        command = {'at_ms': 1, **fields, 'kind': kind}
        assert 'ok' in unpack(state.apply(1, pack(command)))
    copy = ClusterState()
    copy.restore(state.snapshot())
    assert copy.snapshot() == state.snapshot()


@pytest.mark.parametrize(
    'command',
    [
        b'\x81\x90\x01',
        pack({1: 1, 'kind': 'apply', 'at_ms': 1, 'op_id': 'a'}),
        bytes.fromhex('91' * 2000),
    ],
)
def test_apply_unusual_msgpack(command: bytes, state: ClusterState) -> None:
    """Guards against msgpack that can be decoded but not handled."""
    assert unpack(state.apply(1, command))['code'] == 'bad_message'


def test_empty_entry(site: dict[str, Any], state: ClusterState) -> None:
    """Guards against an error for the empty entries of the consensus layer."""
    revision = state.revision
    assert unpack(state.apply(7, b'')) == {'ok': True}
    assert state.revision == revision


def test_error_of_reply(send: Send) -> None:
    """Guards against losing the type of an error in its reply."""
    exc = error_from_reply(send('delete', resource_kind='pool', name='none'))
    assert isinstance(exc, NotFoundError)
    assert 'none' in exc.message
    assert error_from_reply(send('fencing_take', holder='c1')) is None

"""Tests of resources: validation, references, versions and resends."""

from __future__ import annotations

from typing import Any

import pytest
from state.conftest import SAMPLE_RESOURCES, Send

from apricotcart.state.machine import ClusterState

VALID = {(kind, name): spec for kind, name, spec in SAMPLE_RESOURCES}
INVALID_FIELDS = (
    ('customer', 'acme', 'weight', 0),
    ('customer', 'acme', 'weight', float('nan')),
    ('customer', 'acme', 'weight', True),
    ('key', 'k1', 'customer', 'nobody'),
    ('key', 'k1', 'sha256', 'A' * 64),
    ('key', 'k1', 'withdrawn', 1),
    ('class', 'gold', 'tier', 6),
    ('class', 'gold', 'tier', 1.5),
    ('class', 'gold', 'first_token_s', 0),
    ('class', 'gold', 'between_tokens_s', float('inf')),
    ('class', 'gold', 'total_s', '60'),
    ('class', 'gold', 'max_wait_s', -1),
    ('class', 'gold', 'min_share', 0.51),
    ('model', 'small', 'context_tokens', 0),
    ('pool', 'gpu', 'kind', 'gpu'),
    ('pool', 'gpu', 'kind', 'service'),
    ('pool', 'gpu', 'max_queue', 0),
    ('endpoint', 'e1', 'pool', 'none'),
    ('endpoint', 'e1', 'url', 'http://example.org:80'),
    ('endpoint', 'e1', 'url', 'http://127.0.0.1:9001/v1'),
    ('endpoint', 'e1', 'url', 'http://127.0.0.1:99999'),
    ('endpoint', 'e1', 'zone', ''),
    ('endpoint', 'e1', 'slots', 0),
    ('endpoint', 'e1', 'cheap', None),
    ('endpoint', 'e1', 'checks_fencing', 'yes'),
    ('endpoint', 'e1', 'leaving', 0),
    ('endpoint', 'e1', 'models', ['none']),
    ('endpoint', 'e1', 'models', ['small', 'small']),
    ('route', 'draft', 'kind', 'other'),
    ('route', 'draft', 'class', 'none'),
    ('route', 'draft', 'pool', 'press'),
    ('route', 'draft', 'model', None),
    ('route', 'booking', 'model', 'small'),
    ('route', 'draft', 'public', 1),
    ('route', 'booking', 'public', True),
    ('route', 'draft', 'idempotent', None),
    ('route', 'draft', 'customers', ['nobody']),
    ('route', 'draft', 'extra', 1),
)


@pytest.mark.parametrize(('kind', 'name', 'field', 'invalid'), INVALID_FIELDS)
def test_apply_invalid_field(
    kind: str,
    name: str,
    field: str,
    invalid: Any,
    site: dict[str, Any],
    put: Send,
    state: ClusterState,
) -> None:
    """Guards against accepting an invalid field or reporting another one."""
    before = state.snapshot()
    reply = put((kind, name, {**VALID[kind, name], field: invalid}))
    assert reply['code'] == 'invalid'
    paths = [fault['path'] for fault in reply['faults']]
    assert paths == [f'changes[0].spec.{field}']
    assert state.get(kind, name) == _restored(before).get(kind, name)


def test_apply_all_faults(put: Send, state: ClusterState) -> None:
    """Guards against reporting only some of several faults."""
    reply = put(
        ('customer', 'a/b', {'weight': 0}),
        ('customer', 'ok', {'weight': 1}),
        ('planet', 'x', {}),
        ('model', 'm', None),
        ('class', 'c', {'tier': -1}),
    )
    paths = {fault['path'] for fault in reply['faults']}
    assert paths == {
        'changes[0].name',
        'changes[0].spec.weight',
        'changes[2].kind',
        'changes[3].spec',
        'changes[4].spec.tier',
        'changes[4].spec.first_token_s',
        'changes[4].spec.between_tokens_s',
        'changes[4].spec.total_s',
        'changes[4].spec.max_wait_s',
    }
    assert not state.list('customer')


def test_apply_references_beside_invalid_fields(put: Send) -> None:
    """Guards against not checking references beside invalid fields."""
    spec = {'customer': 'nobody', 'sha256': 'short', 'withdrawn': False}
    reply = put(('key', 'k9', spec), ('pool', 'p9', {}))
    paths = {fault['path'] for fault in reply['faults']}
    assert {
        'changes[0].spec.sha256',
        'changes[0].spec.customer',
        'changes[1].spec.kind',
    } <= paths


def test_apply_equal_versions(put: Send) -> None:
    """Guards against a lost update when two operators change a resource."""
    first = put(('customer', 'acme', {'weight': 1}, 0))
    version = first['versions'][0]['version']
    winner = put(('customer', 'acme', {'weight': 2}, version), op_id='one')
    loser = put(('customer', 'acme', {'weight': 3}, version), op_id='two')
    assert winner['ok']
    assert loser['code'] == 'version_conflict'
    assert put(('customer', 'acme', {'weight': 4}, 0))['code'] == loser['code']


def test_apply_atomic(put: Send, state: ClusterState) -> None:
    """Guards against applying part of a batch that has a conflict."""
    reply = put(
        ('customer', 'acme', {'weight': 1}, 0),
        ('customer', 'other', {'weight': 1}, 7),
    )
    assert reply['faults'][0]['path'] == 'changes[1].expected_version'
    assert not state.list('customer')
    assert state.revision == 0


def test_apply_resend(put: Send, state: ClusterState) -> None:
    """Guards against applying a command twice when it is sent again."""
    change = ('customer', 'acme', {'weight': 1}, 0)
    first = put(change, op_id='one', at_ms=1)
    again = put(change, op_id='one', at_ms=2)
    fresh = put(change, op_id='two')
    assert first['ok']
    assert again == first
    assert fresh['code'] == 'version_conflict'
    other = put(('customer', 'acme', {'weight': 2}), op_id='one')
    assert other['code'] == 'op_id_reused'
    assert state.revision == 1


def test_apply_recreated_version(put: Send, send: Send) -> None:
    """Guards against reusing the version of a deleted resource."""
    change = ('customer', 'acme', {'weight': 1}, 0)
    version = put(change)['versions'][0]['version']
    send('delete', resource_kind='customer', name='acme')
    assert put(change)['versions'][0]['version'] > version


def test_apply_shared_secret(site: dict[str, Any], put: Send) -> None:
    """Guards against one secret that identifies two customers."""
    spec = VALID['key', 'k1']
    assert put(('key', 'k2', spec))['code'] == 'invalid'
    other = {**spec, 'sha256': 'b' * 64}
    assert put(('key', 'k2', other), ('key', 'k3', other))['code'] == 'invalid'
    assert put(('key', 'k2', other))['ok']
    assert put(('key', 'k1', other), ('key', 'k2', spec))['ok']
    assert put(('key', 'k3', other))['code'] == 'invalid'


def test_apply_min_shares_above_one(site: dict[str, Any], put: Send) -> None:
    """Guards against minimum shares of more than 1 in total."""
    half = {**VALID['class', 'gold'], 'min_share': 0.5}
    assert put(('class', 'gold', half), ('class', 'silver', half))['ok']
    third = {**half, 'min_share': 0.1}
    reply = put(('class', 'bronze', third))
    assert reply['faults'][0]['path'] == 'changes[0].spec.min_share'
    assert put(('class', 'gold', third), ('class', 'bronze', third))['ok']


def test_apply_unchanged(site: dict[str, Any], put: Send) -> None:
    """Guards against a new version for an unchanged spec."""
    again = put(*SAMPLE_RESOURCES)
    assert again['revision'] == site['revision']
    assert again['versions'] == site['versions']


@pytest.mark.parametrize(
    ('kind', 'name', 'referrer'),
    [
        ('customer', 'acme', 'key/k1'),
        ('class', 'gold', 'route/booking'),
        ('model', 'small', 'endpoint/e1'),
        ('pool', 'gpu', 'endpoint/e1'),
    ],
)
def test_delete_referenced(
    kind: str,
    name: str,
    referrer: str,
    site: dict[str, Any],
    send: Send,
) -> None:
    """Guards against deleting a resource that others refer to."""
    reply = send('delete', resource_kind=kind, name=name)
    assert reply['code'] == 'referenced'
    assert reply['faults'][0]['path'] == referrer


def test_set_status_keeps_version(
    site: dict[str, Any],
    send: Send,
    state: ClusterState,
) -> None:
    """Guards against a status update that changes the version."""
    before = state.get('endpoint', 'e1')
    command = {'resource_kind': 'endpoint', 'name': 'e1'}
    reply = send('set_status', status={'reason': 'no capacity'}, **command)
    after = state.get('endpoint', 'e1')
    assert before and after
    assert after.version == before.version
    assert after.revision == reply['revision']
    assert after.revision > before.revision
    large = send('set_status', status={'reason': 'x' * 5000}, **command)
    assert large['code'] == 'invalid'


@pytest.mark.parametrize(
    'command',
    [b'\xc1', b'\x01', b'\x80', b'\x81\xa4kind\xa5apply'],
)
def test_apply_malformed(command: bytes, state: ClusterState) -> None:
    """Guards against an exception, which would stop every control host."""
    assert b'code' in state.apply(1, command)
    assert state.revision == 0


def _restored(blob: bytes) -> ClusterState:
    state = ClusterState()
    state.restore(blob)
    return state

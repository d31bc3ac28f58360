"""Tests of the configuration copy and the updates from the leader."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

import pytest
from state.conftest import SAMPLE_RESOURCES

from apricotcart.codec.packing import pack, unpack
from apricotcart.distribution.configcopy import FRESH_FOR_S, ConfigCopy
from apricotcart.distribution.errors import (
    ConfigStaleError,
    KeyWithdrawnError,
    RouteUnknownError,
    RunningConfigStaleError,
    RunningKeyWithdrawnError,
    UnauthorizedError,
)
from apricotcart.distribution.responder import SyncResponder
from apricotcart.distribution.updates import ConfigUpdate
from apricotcart.state.machine import ClusterState

COPY_MODULE = 'apricotcart.distribution.configcopy'
SECRET = 'a' * 64
ApplyResource = Callable[[str, str, dict[str, Any]], None]


@pytest.fixture
def state() -> ClusterState:
    """Return a state with one resource of each kind."""
    state = ClusterState()
    changes = [
        {'kind': kind, 'name': name, 'spec': spec}
        for kind, name, spec in SAMPLE_RESOURCES
    ]
    _send(state, kind='apply', changes=changes)
    return state


@pytest.fixture
def apply_resource(state: ClusterState) -> ApplyResource:
    """Return a function that applies one resource."""

    def apply_change(kind: str, name: str, spec: dict[str, Any]) -> None:
        change = {'kind': kind, 'name': name, 'spec': spec}
        _send(state, kind='apply', changes=[change])

    return apply_change


@pytest.fixture
def copy(state: ClusterState) -> ConfigCopy:
    """Return a copy that was synchronized at time 0."""
    config_copy = ConfigCopy()
    config_copy.apply(SyncResponder(state).build_update(None), 0)
    return config_copy


def admit(
    copy: ConfigCopy,
    route: str,
    *,
    now: float = 0,
    kind: str = 'chat',
    sha256: str | None = SECRET,
) -> Any:
    """Admit a request."""
    return copy.admit(now, sha256=sha256, route_kind=kind, route_name=route)


def test_admit_looks_up_route(copy: ConfigCopy) -> None:
    """Guards against admission with resources of another route."""
    admission = admit(copy, 'draft')
    assert admission.customer == 'acme'
    assert admission.route.spec['model'] == 'small'
    assert admission.service_class.name == 'gold'
    assert admission.pool.name == 'gpu'
    endpoints = copy.view.endpoints_of('gpu')
    assert [endpoint.name for endpoint in endpoints] == ['e1']
    assert not copy.view.endpoints_of('press')


def test_admit_refusals(
    copy: ConfigCopy, state: ClusterState, apply_resource: ApplyResource
) -> None:
    """Guards against admitting a request that its key does not permit."""
    with pytest.raises(UnauthorizedError):
        admit(copy, 'draft', sha256=None)
    with pytest.raises(UnauthorizedError):
        admit(copy, 'draft', sha256='b' * 64)
    with pytest.raises(RouteUnknownError):
        admit(copy, 'booking')
    with pytest.raises(RouteUnknownError):
        admit(copy, 'nothing')
    apply_resource('customer', 'mill', {'weight': 1})
    apply_resource('key', 'k2', {'customer': 'mill', 'sha256': 'c' * 64})
    copy.apply(SyncResponder(state).build_update(copy.held_revision), 0)
    assert admit(copy, 'booking', kind='service', sha256='c' * 64)
    with pytest.raises(RouteUnknownError):
        admit(copy, 'draft', sha256='c' * 64)
    routes = copy.view.routes_for('mill')
    assert [route.name for route in routes] == ['booking']


@pytest.mark.parametrize('naive', [False, True])
def test_admit_other_customer(
    copy: ConfigCopy,
    state: ClusterState,
    apply_resource: ApplyResource,
    naive: bool,
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against a route that admits a customer it does not name.

    The naive variant only checks whether the key is valid.
    """
    apply_resource('customer', 'mill', {'weight': 1})
    apply_resource('key', 'k2', {'customer': 'mill', 'sha256': 'c' * 64})
    copy.apply(SyncResponder(state).build_update(copy.held_revision), 0)
    if naive:
        monkeypatch.setattr(f'{COPY_MODULE}.may_use', lambda *_: True)
        assert admit(copy, 'draft', sha256='c' * 64).customer == 'mill'
    else:
        with pytest.raises(RouteUnknownError):
            admit(copy, 'draft', sha256='c' * 64)


def test_admit_public_route(
    copy: ConfigCopy,
    state: ClusterState,
    apply_resource: ApplyResource,
) -> None:
    """Guards against admitting a revoked key on a public route."""
    spec = {'kind': 'service', 'class': 'gold', 'pool': 'press'}
    apply_resource(
        'route', 'stock', {**spec, 'public': True, 'idempotent': True}
    )
    key = {'customer': 'acme', 'sha256': SECRET, 'withdrawn': True}
    apply_resource('key', 'k1', key)
    copy.apply(SyncResponder(state).build_update(copy.held_revision), 0)
    assert admit(copy, 'stock', kind='service', sha256=None).customer is None
    with pytest.raises(KeyWithdrawnError):
        admit(copy, 'stock', kind='service')


def test_revoked_key_after_missed_syncs(
    copy: ConfigCopy,
    state: ClusterState,
    apply_resource: ApplyResource,
) -> None:
    """Guards against a revoked key on a host that misses syncs."""
    apply_resource(
        'key', 'k1', {'customer': 'acme', 'sha256': SECRET, 'withdrawn': True}
    )
    assert admit(copy, 'draft', now=FRESH_FOR_S - 0.1)
    copy.check_running(FRESH_FOR_S - 0.1, SECRET, 'acme')
    with pytest.raises(ConfigStaleError):
        admit(copy, 'draft', now=FRESH_FOR_S)
    with pytest.raises(RunningConfigStaleError):
        copy.check_running(FRESH_FOR_S, SECRET, 'acme')
    copy.apply(SyncResponder(state).build_update(copy.held_revision), 5)
    with pytest.raises(KeyWithdrawnError):
        admit(copy, 'draft', now=5)
    with pytest.raises(RunningKeyWithdrawnError):
        copy.check_running(5, SECRET, 'acme')


def test_check_running_reassigned_key(
    copy: ConfigCopy,
    state: ClusterState,
    apply_resource: ApplyResource,
) -> None:
    """Guards against a stream that continues for a key's former customer."""
    apply_resource('customer', 'mill', {'weight': 1})
    apply_resource('key', 'k1', {'customer': 'mill', 'sha256': SECRET})
    copy.apply(SyncResponder(state).build_update(copy.held_revision), 0)
    with pytest.raises(RunningKeyWithdrawnError):
        copy.check_running(0, SECRET, 'acme')
    copy.check_running(0, SECRET, 'mill')


def test_apply_gap(
    copy: ConfigCopy, state: ClusterState, apply_resource: ApplyResource
) -> None:
    """Guards against changes applied to an earlier revision than their base."""
    apply_resource('customer', 'acme', {'weight': 2})
    held = state.revision
    apply_resource('customer', 'acme', {'weight': 3})
    delta = SyncResponder(state).build_update(held)
    assert copy.apply(delta, 3) == 'gap'
    assert copy.held_revision is None
    assert not copy.is_fresh(FRESH_FOR_S)
    assert (
        copy.apply(SyncResponder(state).build_update(copy.held_revision), 3)
        == 'applied'
    )
    assert copy.held_revision == state.revision


def test_responder_replies(
    state: ClusterState, apply_resource: ApplyResource
) -> None:
    """Guards against an update that lacks or repeats changes."""
    responder = SyncResponder(state)
    held = state.revision
    idle = responder.build_update(held)
    assert (idle.base, idle.revision) == (held, held)
    assert not idle.resources
    apply_resource('customer', 'mill', {'weight': 1})
    apply_resource('customer', 'mill', {'weight': 2})
    apply_resource('customer', 'farm', {'weight': 1})
    _send(state, kind='delete', resource_kind='customer', name='farm')
    status = {'name': 'e1', 'status': {'load': 'x' * 500}}
    _send(state, kind='set_status', resource_kind='endpoint', **status)
    blob = responder.packed_update(held)
    delta = ConfigUpdate.from_bytes(blob)
    assert [resource.spec for resource in delta.resources] == [{'weight': 2}]
    assert delta.deleted == [('customer', 'farm')]
    assert delta.revision == state.revision
    assert b'load' not in responder.packed_update(None)
    assert responder.build_update(state.revision + 1).base is None


def _send(state: ClusterState, **command: Any) -> None:
    assert unpack(state.apply(1, pack({'at_ms': 1, **command})))['ok']

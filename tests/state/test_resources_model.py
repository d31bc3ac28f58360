"""Model test of resources."""

from __future__ import annotations

from typing import Any

import pytest
from hypothesis import strategies as st
from hypothesis.stateful import invariant, rule
from state.model_testing import (
    ReplicatedStateTest,
    check_model,
    check_model_fails,
)

from apricotcart.state.batch import Batch
from apricotcart.state.batch_rules import BatchRules
from apricotcart.state.history import EventHistory
from apricotcart.state.limits import Limits
from apricotcart.state.operations import OperationTable
from apricotcart.state.resources import ResourceTable

NAMES = st.sampled_from(('x', 'y'))
SECRETS = st.sampled_from(('a' * 64, 'b' * 64, 'a' * 64, 'bad'))
EXPECTED = st.sampled_from(('any', 'none', 'current', 'outdated'))
CUSTOMERS = st.tuples(
    st.just('customer'),
    NAMES,
    st.fixed_dictionaries({'weight': st.integers(0, 2)}),
    EXPECTED,
)
KEYS = st.tuples(
    st.just('key'),
    NAMES,
    st.fixed_dictionaries(
        {'customer': NAMES, 'sha256': SECRETS, 'withdrawn': st.booleans()},
    ),
    EXPECTED,
)
_POOL = {
    'max_queue': 1,
    'max_endpoints': 0,
    'min_endpoints': 0,
    'endpoint_slots': 8,
    'endpoint_checks_fencing': False,
    'endpoint_models': [],
}
POOLS = st.tuples(
    st.just('pool'),
    NAMES,
    st.fixed_dictionaries(
        {'kind': st.sampled_from(('engine', 'service')), 'max_queue': NAMES},
    ).map(lambda spec: {**spec, **_POOL}),
    EXPECTED,
)
CHANGES = st.one_of(CUSTOMERS, KEYS, POOLS)
Identity = tuple[str, str]
Spec = dict[str, Any]
Command = dict[str, Any]


class ResourceModel(ReplicatedStateTest):
    """Model of the resources: a dictionary of versions and specs."""

    limits = Limits(max_events=4, max_operations=50)

    def __init__(self) -> None:
        super().__init__()
        self.model: dict[Identity, tuple[int, Spec]] = {}
        self.watched: dict[Identity, dict[str, Any]] = {}
        self.watched_revision = 0
        self.sent: list[tuple[Command, Command]] = []
        self.put([('customer', 'x', {'weight': 1}, 'any')])

    @rule(changes=st.lists(CHANGES, min_size=1, max_size=2))
    def put(self, changes: list[Any]) -> None:
        """Apply a batch and check the code of the reply."""
        batch = [
            {
                'kind': kind,
                'name': name,
                'spec': spec,
                'expected_version': self.expected_version(
                    (kind, name), expected
                ),
            }
            for kind, name, spec, expected in changes
        ]
        reply = self.send_with_id(kind='apply', changes=batch)
        code = self.expected_code(batch)
        assert reply.get('code', 'ok') == code
        if code == 'ok':
            self.update_model(batch)
            for version in reply['versions']:
                identity = (version['kind'], version['name'])
                assert self.model[identity][0] == version['version']

    @rule(kind=st.sampled_from(('customer', 'key', 'pool')), name=NAMES)
    def delete(self, kind: str, name: str) -> None:
        """Delete a resource and check the code of the reply."""
        reply = self.send_with_id(kind='delete', resource_kind=kind, name=name)
        code = 'ok'
        if (kind, name) not in self.model:
            code = 'not_found'
        if self.is_referenced(kind, name):
            code = 'referenced'
        assert reply.get('code', 'ok') == code
        if reply['ok']:
            self.model.pop((kind, name))

    @rule(position=st.integers(0, 9))
    def resend(self, position: int) -> None:
        """Resend a command whose reply was lost."""
        if self.sent:
            command, reply = self.sent[-1 - position % len(self.sent)]
            assert self.send(**command) == reply

    @rule()
    def watch(self) -> None:
        """Follow the events as a watcher does."""
        events = self.state.events_since(self.watched_revision)
        if events is None:
            _, resources = self.state.all_resources()
            self.watched = {
                resource.identity: dict(resource.spec) for resource in resources
            }
        for event in events or ():
            if event.op == 'delete':
                self.watched.pop(event.resource.identity)
            else:
                self.watched[event.resource.identity] = dict(
                    event.resource.spec
                )
        self.watched_revision = self.state.revision
        assert self.watched == {
            identity: spec for identity, (_, spec) in self.model.items()
        }

    @invariant()
    def resources_match_model(self) -> None:
        """Check that all resources equal those of the model."""
        _, resources = self.state.all_resources()
        assert self.model == {
            resource.identity: (resource.version, resource.spec)
            for resource in resources
        }

    def send_with_id(self, **command: Any) -> dict[str, Any]:
        """Send a command with a new operation id and record it."""
        command['op_id'] = f'op{len(self.sent)}'
        reply = self.send(**command)
        self.sent.append((command, reply))
        return reply

    def expected_version(self, identity: Identity, choice: str) -> int | None:
        """Return the expected version for a choice."""
        current = self.model.get(identity, (0, {}))[0]
        versions = {'none': 0, 'current': current, 'outdated': current + 1}
        return versions.get(choice)

    def expected_code(self, changes: list[dict[str, Any]]) -> str:
        """Return the expected code for a batch, from the specs after it."""
        after = {identity: spec for identity, (_, spec) in self.model.items()}
        identities = [(change['kind'], change['name']) for change in changes]
        after.update(
            zip(
                identities, (change['spec'] for change in changes), strict=True
            ),
        )
        secrets = [
            spec['sha256'] for (kind, _), spec in after.items() if kind == 'key'
        ]
        faults = (
            len(set(identities)) < len(identities),
            len(set(secrets)) < len(secrets),
            any(self.is_invalid(change, after) for change in changes),
        )
        if any(faults):
            return 'invalid'
        for change in changes:
            version = self.model.get((change['kind'], change['name']), (0, {}))[
                0
            ]
            if change['expected_version'] not in {None, version}:
                return 'version_conflict'
        return 'ok'

    def is_invalid(
        self,
        change: dict[str, Any],
        after: dict[Identity, dict[str, Any]],
    ) -> bool:
        """Return whether a change is invalid."""
        spec = change['spec']
        if change['kind'] == 'customer':
            return bool(spec['weight'] == 0)
        if change['kind'] == 'key':
            customer = ('customer', spec['customer'])
            return customer not in after or spec['sha256'] == 'bad'
        _, old = self.model.get(('pool', change['name']), (0, spec))
        return bool(old['kind'] != spec['kind'])

    def update_model(self, changes: list[dict[str, Any]]) -> None:
        """Replace specs; only changed ones get the new version."""
        for change in changes:
            identity = (change['kind'], change['name'])
            if self.model.get(identity, (0, None))[1] != change['spec']:
                version = self.state.revision
                self.model[identity] = (version, change['spec'])

    def is_referenced(self, kind: str, name: str) -> bool:
        """Return whether any key refers to a customer."""
        return kind == 'customer' and any(
            spec['customer'] == name
            for (other, _), (_, spec) in self.model.items()
            if other == 'key'
        )


def test_resources_model() -> None:
    """Guards against replies, versions or events that differ from the model."""
    check_model(ResourceModel)


def _return_empty(*args: Any) -> Any:
    return ()


@pytest.mark.parametrize(
    ('target', 'name', 'faulty'),
    [
        (Batch, '_check_versions', _return_empty),
        (BatchRules, '_key_faults', _return_empty),
        (BatchRules, '_pool_faults', _return_empty),
        (ResourceTable, '_check_unreferenced', _return_empty),
        (OperationTable, 'stored_reply', lambda *args: None),
        (OperationTable, 'load', _return_empty),
        (EventHistory, 'load', _return_empty),
        (EventHistory, 'since', lambda history, revision: []),
    ],
)
def test_resources_model_fails(target: object, name: str, faulty: Any) -> None:
    """Guards against a model that passes with a disabled mechanism."""
    check_model_fails(ResourceModel, target, name, faulty)

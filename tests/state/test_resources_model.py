"""Resources against a naive model."""

from __future__ import annotations

from typing import Any

import pytest
from hypothesis import strategies as st
from hypothesis.stateful import invariant, rule
from state.driven import Driven, run_faulty, run_machine

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


class ResourceModel(Driven):
    """A dictionary of specs and versions beside the resources."""

    limits = Limits(max_events=4, max_operations=50)

    def __init__(self) -> None:
        super().__init__()
        self.model: dict[Identity, tuple[int, Spec]] = {}
        self.mirror: dict[Identity, dict[str, Any]] = {}
        self.seen = 0
        self.sent: list[tuple[Command, Command]] = []
        self.put([('customer', 'x', {'weight': 1}, 'any')])

    @rule(changes=st.lists(CHANGES, min_size=1, max_size=2))
    def put(self, changes: list[Any]) -> None:
        """Put a batch and compare the verdict."""
        listed = [
            {
                'kind': kind,
                'name': name,
                'spec': spec,
                'expected_version': self.expected((kind, name), expected),
            }
            for kind, name, spec, expected in changes
        ]
        reply = self.keep_sent(kind='apply', changes=listed)
        verdict = self.verdict(listed)
        assert reply.get('code', 'ok') == verdict
        if verdict == 'ok':
            self.put_in_model(listed)
            for version in reply['versions']:
                identity = (version['kind'], version['name'])
                assert self.model[identity][0] == version['version']

    @rule(kind=st.sampled_from(('customer', 'key', 'pool')), name=NAMES)
    def delete(self, kind: str, name: str) -> None:
        """Delete a resource and compare the verdict."""
        reply = self.keep_sent(kind='delete', resource_kind=kind, name=name)
        verdict = 'ok'
        if (kind, name) not in self.model:
            verdict = 'not_found'
        if self.is_referenced(kind, name):
            verdict = 'referenced'
        assert reply.get('code', 'ok') == verdict
        if reply['ok']:
            self.model.pop((kind, name))

    @rule(position=st.integers(0, 9))
    def resend(self, position: int) -> None:
        """Send a command again whose reply was lost."""
        if self.sent:
            command, reply = self.sent[-1 - position % len(self.sent)]
            assert self.send(**command) == reply

    @rule()
    def watch(self) -> None:
        """Follow the changes as an operator does."""
        events = self.state.events_since(self.seen)
        if events is None:
            _, resources = self.state.all_resources()
            self.mirror = {each.identity: dict(each.spec) for each in resources}
        for event in events or ():
            if event.op == 'delete':
                self.mirror.pop(event.resource.identity)
            else:
                self.mirror[event.resource.identity] = dict(event.resource.spec)
        self.seen = self.state.revision
        assert self.mirror == {
            identity: spec for identity, (_, spec) in self.model.items()
        }

    @invariant()
    def same_resources(self) -> None:
        """Compare all resources."""
        _, resources = self.state.all_resources()
        assert self.model == {
            each.identity: (each.version, each.spec) for each in resources
        }

    def keep_sent(self, **command: Any) -> dict[str, Any]:
        """Send with a new operation id."""
        command['op_id'] = f'op{len(self.sent)}'
        reply = self.send(**command)
        self.sent.append((command, reply))
        return reply

    def expected(self, identity: Identity, choice: str) -> int | None:
        """Give the version for a choice."""
        current = self.model.get(identity, (0, {}))[0]
        versions = {'none': 0, 'current': current, 'outdated': current + 1}
        return versions.get(choice)

    def verdict(self, changes: list[dict[str, Any]]) -> str:
        """Judge a batch by the specs after it."""
        after = {identity: spec for identity, (_, spec) in self.model.items()}
        identities = [(each['kind'], each['name']) for each in changes]
        after.update(
            zip(identities, (each['spec'] for each in changes), strict=True),
        )
        secrets = [
            spec['sha256'] for (kind, _), spec in after.items() if kind == 'key'
        ]
        faults = (
            len(set(identities)) < len(identities),
            len(set(secrets)) < len(secrets),
            any(self.is_invalid(each, after) for each in changes),
        )
        if any(faults):
            return 'invalid'
        for each in changes:
            version = self.model.get((each['kind'], each['name']), (0, {}))[0]
            if each['expected_version'] not in {None, version}:
                return 'version_conflict'
        return 'ok'

    def is_invalid(
        self,
        change: dict[str, Any],
        after: dict[Identity, dict[str, Any]],
    ) -> bool:
        """Judge one change."""
        spec = change['spec']
        if change['kind'] == 'customer':
            return bool(spec['weight'] == 0)
        if change['kind'] == 'key':
            customer = ('customer', spec['customer'])
            return customer not in after or spec['sha256'] == 'bad'
        _, old = self.model.get(('pool', change['name']), (0, spec))
        return bool(old['kind'] != spec['kind'])

    def put_in_model(self, changes: list[dict[str, Any]]) -> None:
        """Replace specs; only those that differ get the new version."""
        for each in changes:
            identity = (each['kind'], each['name'])
            if self.model.get(identity, (0, None))[1] != each['spec']:
                version = self.state.revision
                self.model[identity] = (version, each['spec'])

    def is_referenced(self, kind: str, name: str) -> bool:
        """Search all keys for a customer."""
        return kind == 'customer' and any(
            spec['customer'] == name
            for (other, _), (_, spec) in self.model.items()
            if other == 'key'
        )


def test_resources_model() -> None:
    """Guards against any difference from the naive model."""
    run_machine(ResourceModel)


def _nothing(*args: Any) -> Any:
    return ()


@pytest.mark.parametrize(
    ('target', 'name', 'faulty'),
    [
        (Batch, '_check_versions', _nothing),
        (BatchRules, '_key_faults', _nothing),
        (BatchRules, '_pool_faults', _nothing),
        (ResourceTable, '_check_unreferenced', _nothing),
        (OperationTable, 'reply_to', lambda *args: None),
        (OperationTable, 'load', _nothing),
        (EventHistory, 'load', _nothing),
        (EventHistory, 'since', lambda history, revision: []),
    ],
)
def test_resources_model_fails(target: object, name: str, faulty: Any) -> None:
    """Guards against a model that passes with a mechanism off."""
    run_faulty(ResourceModel, target, name, faulty)

"""Model-based test of the API keys that entry hosts accept."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

import pytest
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule
from state.model_testing import check_model, check_model_fails

from apricotcart.codec.packing import pack, unpack
from apricotcart.distribution.configcopy import (
    APPLIED,
    FRESH_FOR_S,
    ConfigCopy,
)
from apricotcart.distribution.errors import (
    ConfigStaleError,
    KeyWithdrawnError,
    UnauthorizedError,
)
from apricotcart.distribution.responder import SyncResponder
from apricotcart.distribution.updates import ConfigUpdate
from apricotcart.distribution.view import ConfigView
from apricotcart.state.limits import Limits
from apricotcart.state.machine import ClusterState

SECRETS = ('a' * 64, 'b' * 64)
CUSTOMERS = ('acme', 'mill')
LIMITS = Limits(max_events=3)
KeyTable = dict[str, str | None]
MESSAGE_INDEXES = st.integers(0, 3)


class KeyModel(RuleBasedStateMachine):
    """One leader, one copy, and a network that loses and reorders messages.

    ``tables`` has the expected key table by revision, and ``committed`` the
    table with the time of each change.
    """

    def __init__(self) -> None:
        super().__init__()
        self.now = 100.0
        self.state = ClusterState(LIMITS)
        self.responder = SyncResponder(self.state)
        self.copy = ConfigCopy()
        self.tables: dict[int, KeyTable] = {0: {}}
        self.committed: list[tuple[float, KeyTable]] = [(0, {})]
        self.requests: list[tuple[float, int | None]] = []
        self.replies: list[tuple[float, ConfigUpdate]] = []
        self.highest_revision = 0
        self.old_leader = self.responder
        for customer in CUSTOMERS:
            self.apply_resource('customer', customer, {'weight': 1})
        spec = {
            'tier': 0,
            'first_token_s': 1,
            'between_tokens_s': 1,
            'total_s': 1,
            'max_wait_s': 1,
        }
        self.apply_resource('class', 'gold', spec)
        self.apply_resource(
            'pool', 'press', {'kind': 'service', 'max_queue': 1}
        )
        route = {'class': 'gold', 'pool': 'press', 'idempotent': True}
        self.apply_resource('route', 'stock', {'kind': 'service', **route})

    @rule(
        name=st.sampled_from(('k1', 'k2')),
        customer=st.sampled_from(CUSTOMERS),
        action=st.sampled_from(('grant', 'grant', 'revoke', 'delete')),
        other_changes=st.integers(0, 4),
    )
    def change_key(
        self,
        name: str,
        customer: str,
        action: str,
        other_changes: int,
    ) -> None:
        """Change a key, and then other resources beyond the kept history."""
        if action == 'delete':
            self.apply_command(kind='delete', resource_kind='key', name=name)
        else:
            self.apply_key(name, customer, SECRETS[name == 'k2'], action)
        for _ in range(other_changes):
            weight = self.state.revision + 1
            self.apply_resource('customer', 'acme', {'weight': weight})

    @rule(secret=st.sampled_from(SECRETS))
    def swap_key(self, secret: str) -> None:
        """Assign another secret to a key, possibly one in use."""
        self.apply_key('k1', 'acme', secret, 'grant')

    @rule(seconds=st.sampled_from((0.5, 1.5, 4)))
    def wait(self, seconds: float) -> None:
        """Advance the time without a sync."""
        self.now += seconds

    @rule(
        steps=st.lists(st.sampled_from(('ask', 'answer', 'deliver'))),
        pick=MESSAGE_INDEXES,
    )
    def exchange(self, steps: list[str], pick: int) -> None:
        """Execute steps of syncs; a missing step is a lost message."""
        for step in steps:
            if step == 'ask':
                self.requests.append((self.now, self.copy.held_revision))
            elif step == 'answer':
                self.answer(pick)
            else:
                self.deliver(pick)

    @rule()
    def sync(self) -> None:
        """Synchronize without faults, twice in case there was a gap."""
        for _ in range(2):
            self.exchange(['ask', 'answer', 'deliver'], 0)
        assert self.copy.held_revision == self.state.revision
        assert self.copy.is_fresh(self.now)

    @rule()
    def restart_copy(self) -> None:
        """Restart the entry host, which may still get old replies."""
        self.copy = ConfigCopy()
        self.highest_revision = 0

    @rule()
    def change_leader(self) -> None:
        """Continue with a leader that has restored a snapshot."""
        blob = self.state.snapshot()
        self.old_leader = SyncResponder(self.state)
        self.state = ClusterState(LIMITS)
        self.state.restore(blob)
        self.responder = SyncResponder(self.state)

    @rule(delay=st.sampled_from((0, 4)))
    def deliver_from_old_leader(self, delay: int) -> None:
        """Deliver a reply of an old leader without the latest changes."""
        self.now += delay
        update = self.old_leader.build_update(None)
        if update.revision < self.copy.view.revision:
            self.copy.apply(update, self.now)

    @invariant()
    def revision_never_decreases(self) -> None:
        """The copy equals its revision, which never decreases."""
        view = self.copy.view
        assert view.revision >= self.highest_revision
        self.highest_revision = view.revision
        assert key_table(view) == self.tables[view.revision]

    @invariant()
    def accepts_recently_valid_keys(self) -> None:
        """A key is accepted only if it was valid within the last 4 s."""
        for secret in SECRETS:
            customer = admitted_customer(self.copy, self.now, secret)
            if customer:
                assert customer in self.recent_customers(secret)

    def recent_customers(self, secret: str) -> set[str | None]:
        """Return all customers of a secret in the last 4 s."""
        since = self.now - FRESH_FOR_S
        before = [table for at, table in self.committed if at <= since][-1:]
        after = [table for at, table in self.committed if at > since]
        return {table.get(secret) for table in before + after}

    def answer(self, pick: int) -> None:
        """Answer a sync request, possibly a second time."""
        if self.requests:
            started_at, held = self.requests[-1 - pick % len(self.requests)]
            blob = self.responder.packed_update(held)
            self.replies.append((started_at, ConfigUpdate.from_bytes(blob)))

    def deliver(self, pick: int) -> None:
        """Deliver a reply, possibly late or a second time."""
        if self.replies:
            started_at, update = self.replies[-1 - pick % len(self.replies)]
            self.copy.apply(update, started_at)

    def apply_key(
        self,
        name: str,
        customer: str,
        secret: str,
        action: str,
    ) -> None:
        """Apply a key, which is refused if another key has its secret."""
        spec = {
            'customer': customer,
            'sha256': secret,
            'withdrawn': action == 'revoke',
        }
        self.apply_resource('key', name, spec)

    def apply_resource(
        self, kind: str, name: str, spec: dict[str, Any]
    ) -> None:
        """Apply one resource, which changes nothing if it is refused."""
        change = {'kind': kind, 'name': name, 'spec': spec}
        self.apply_command(kind='apply', changes=[change])

    def apply_command(self, **command: Any) -> None:
        """Apply a command and record the key table after it."""
        reply = self.state.apply(1, pack({'at_ms': 1, **command}))
        if unpack(reply)['ok']:
            keys = {
                key.spec['sha256']: key.spec['customer']
                for key in self.state.list('key')
                if not key.spec['withdrawn']
            }
            self.tables[self.state.revision] = keys
            self.committed.append((self.now, keys))


def key_table(view: ConfigView) -> KeyTable:
    """Return the customer of each secret in a view."""
    return {
        secret: key.spec['customer']
        for secret in SECRETS
        if (key := view.key_of(secret)) and not key.spec['withdrawn']
    }


def admitted_customer(copy: ConfigCopy, now: float, secret: str) -> str | None:
    """Return the customer of an admitted request; None if refused."""
    try:
        admission = copy.admit(
            now,
            sha256=secret,
            route_kind='service',
            route_name='stock',
        )
    except (ConfigStaleError, KeyWithdrawnError, UnauthorizedError):
        return None
    return admission.customer


def test_key_model() -> None:
    """Guards against accepting a key more than 4 s after its revocation."""
    check_model(KeyModel)


def _always(*args: Any) -> bool:
    return True


def _apply_all(copy: ConfigCopy, update: ConfigUpdate) -> str:
    return APPLIED


def _confirm_always(copy: ConfigCopy, update: ConfigUpdate, at: float) -> str:
    """Treat an outdated reply as a confirmation of the copy."""
    copy.last_sync_started_at = max(copy.last_sync_started_at, at)
    return _real_apply(copy, update, at)


def _without_deletes(copy: ConfigCopy, update: ConfigUpdate) -> None:
    update.deleted = ()
    _real_replace(copy, update)


_real_apply: Callable[[ConfigCopy, ConfigUpdate, float], str]
_real_apply = ConfigCopy.apply
_real_replace = ConfigCopy._replace_view


@pytest.mark.parametrize(
    ('name', 'faulty'),
    [
        ('is_fresh', _always),
        ('_outcome_of', _apply_all),
        ('apply', _confirm_always),
        ('_replace_view', _without_deletes),
    ],
)
def test_key_model_fails(name: str, faulty: Any) -> None:
    """Guards against a model that passes with a mechanism disabled."""
    check_model_fails(KeyModel, ConfigCopy, name, faulty)


def test_key_model_fails_without_keys_index(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against a model that passes with an outdated key index."""
    real_updated = ConfigView.updated

    def updated(view: ConfigView, update: ConfigUpdate) -> ConfigView:
        stale_view = real_updated(view, update)
        stale_view._keys_by_digest = view._keys_by_digest
        return stale_view

    check_model_fails(KeyModel, ConfigView, 'updated', updated)

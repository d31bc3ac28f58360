"""The key table on entry hosts against what was committed."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

import pytest
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule
from state.driven import run_faulty, run_machine

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
PICK = st.integers(0, 3)


class KeyModel(RuleBasedStateMachine):
    """One leader, one copy, and a network that loses and reorders.

    ``tables`` holds the naive key table of each revision, and
    ``committed`` the table at each moment at which it changed.
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
        self.highest = 0
        self.old_leader = self.responder
        for customer in CUSTOMERS:
            self.put('customer', customer, {'weight': 1})
        spec = {
            'tier': 0,
            'first_token_s': 1,
            'between_tokens_s': 1,
            'total_s': 1,
            'max_wait_s': 1,
        }
        self.put('class', 'gold', spec)
        self.put('pool', 'press', {'kind': 'service', 'max_queue': 1})
        route = {'class': 'gold', 'pool': 'press', 'idempotent': True}
        self.put('route', 'stock', {'kind': 'service', **route})

    @rule(
        name=st.sampled_from(('k1', 'k2')),
        customer=st.sampled_from(CUSTOMERS),
        action=st.sampled_from(('grant', 'grant', 'revoke', 'delete')),
        others=st.integers(0, 4),
    )
    def change_key(
        self,
        name: str,
        customer: str,
        action: str,
        others: int,
    ) -> None:
        """Change a key, and then others beyond the kept history."""
        if action == 'delete':
            self.send(kind='delete', resource_kind='key', name=name)
        else:
            self.put_key(name, customer, SECRETS[name == 'k2'], action)
        for _ in range(others):
            weight = self.state.revision + 1
            self.put('customer', 'acme', {'weight': weight})

    @rule(secret=st.sampled_from(SECRETS))
    def swap_key(self, secret: str) -> None:
        """Give a key another secret, perhaps one in use."""
        self.put_key('k1', 'acme', secret, 'grant')

    @rule(seconds=st.sampled_from((0.5, 1.5, 4)))
    def wait(self, seconds: float) -> None:
        """Let time pass without a sync."""
        self.now += seconds

    @rule(
        steps=st.lists(st.sampled_from(('ask', 'answer', 'deliver'))),
        pick=PICK,
    )
    def exchange(self, steps: list[str], pick: int) -> None:
        """Take steps of syncs; one that is never taken is a loss."""
        for step in steps:
            if step == 'ask':
                self.requests.append((self.now, self.copy.held))
            elif step == 'answer':
                self.answer(pick)
            else:
                self.deliver(pick)

    @rule()
    def sync(self) -> None:
        """Sync without a fault, twice if there was a gap."""
        for _ in range(2):
            self.exchange(['ask', 'answer', 'deliver'], 0)
        assert self.copy.held == self.state.revision
        assert self.copy.is_fresh(self.now)

    @rule()
    def restart_copy(self) -> None:
        """Restart the entry host; its address still gets old replies."""
        self.copy = ConfigCopy()
        self.highest = 0

    @rule()
    def change_leader(self) -> None:
        """Go on with a leader that has restored a snapshot."""
        blob = self.state.snapshot()
        self.old_leader = SyncResponder(self.state)
        self.state = ClusterState(LIMITS)
        self.state.restore(blob)
        self.responder = SyncResponder(self.state)

    @rule(delay=st.sampled_from((0, 4)))
    def hear_old_leader(self, delay: int) -> None:
        """Get a reply of a leader that has missed later changes."""
        self.now += delay
        update = self.old_leader.respond(None)
        if update.revision < self.copy.view.revision:
            self.copy.apply(update, self.now)

    @invariant()
    def never_goes_back(self) -> None:
        """The copy is exactly that of its revision, which never falls."""
        view = self.copy.view
        assert view.revision >= self.highest
        self.highest = view.revision
        assert key_table(view) == self.tables[view.revision]

    @invariant()
    def admits_lately_valid(self) -> None:
        """A key is admitted only if it was valid within the last 4 s."""
        for secret in SECRETS:
            customer = admitted(self.copy, self.now, secret)
            if customer:
                assert customer in self.lately(secret)

    def lately(self, secret: str) -> set[str | None]:
        """Give whose key a secret was at any time in the last 4 s."""
        since = self.now - FRESH_FOR_S
        before = [table for at, table in self.committed if at <= since][-1:]
        after = [table for at, table in self.committed if at > since]
        return {table.get(secret) for table in before + after}

    def answer(self, pick: int) -> None:
        """Let the leader answer a request, perhaps again."""
        if self.requests:
            started_at, held = self.requests[-1 - pick % len(self.requests)]
            blob = self.responder.packed(held)
            self.replies.append((started_at, ConfigUpdate.from_bytes(blob)))

    def deliver(self, pick: int) -> None:
        """Deliver a reply, late or again."""
        if self.replies:
            started_at, update = self.replies[-1 - pick % len(self.replies)]
            self.copy.apply(update, started_at)

    def put_key(
        self,
        name: str,
        customer: str,
        secret: str,
        action: str,
    ) -> None:
        """Put a key; refused if another has its secret."""
        spec = {
            'customer': customer,
            'sha256': secret,
            'withdrawn': action == 'revoke',
        }
        self.put('key', name, spec)

    def put(self, kind: str, name: str, spec: dict[str, Any]) -> None:
        """Put one resource; a refused one changes nothing."""
        change = {'kind': kind, 'name': name, 'spec': spec}
        self.send(kind='apply', changes=[change])

    def send(self, **command: Any) -> None:
        """Apply a command and note the key table after it."""
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
    """Give whose key each secret is in a view."""
    return {
        secret: key.spec['customer']
        for secret in SECRETS
        if (key := view.key_of(secret)) and not key.spec['withdrawn']
    }


def admitted(copy: ConfigCopy, now: float, secret: str) -> str | None:
    """Give the customer that a request is admitted for, if it is."""
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
    """Guards against a revoked key that is accepted after 4 s."""
    run_machine(KeyModel)


def _always(*args: Any) -> bool:
    return True


def _apply_all(copy: ConfigCopy, update: ConfigUpdate) -> str:
    return APPLIED


def _from_now(copy: ConfigCopy, update: ConfigUpdate, at: float) -> str:
    """Take an outdated reply as proof of freshness."""
    copy.synced_from = max(copy.synced_from, at)
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
        ('apply', _from_now),
        ('_replace_view', _without_deletes),
    ],
)
def test_key_model_fails(name: str, faulty: Any) -> None:
    """Guards against a model that passes with a mechanism off."""
    run_faulty(KeyModel, ConfigCopy, name, faulty)


def test_key_model_fails_without_keys_index(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against a model that misses an index of an earlier revision."""
    real = ConfigView.updated

    def updated(view: ConfigView, update: ConfigUpdate) -> ConfigView:
        made = real(view, update)
        made._keys = view._keys
        return made

    run_faulty(KeyModel, ConfigView, 'updated', updated)

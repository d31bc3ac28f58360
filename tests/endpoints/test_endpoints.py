"""Tests of the endpoint table, selection, limits, affinity and suspects."""

from __future__ import annotations

import random
from collections import Counter
from collections.abc import Callable
from typing import Any

import pytest

from apricotcart.endpoints.affinity import PrefixTable
from apricotcart.endpoints.limits import AdaptiveLimit
from apricotcart.endpoints.records import CacheEvent, Endpoint, LoadReport
from apricotcart.endpoints.selection import Requirements
from apricotcart.endpoints.suspects import SuspectTable
from apricotcart.endpoints.table import EndpointTable

MakeTable = Callable[..., EndpointTable]
NEED = Requirements(pool='p', cheap_allowed=True)


@pytest.fixture
def make_table() -> MakeTable:
    """Return a function that builds a table of identical endpoints."""

    def build(count: int, seed: int = 1, **fields: Any) -> EndpointTable:
        table = EndpointTable('z', random.Random(seed))
        endpoint_fields = {'pool': 'p', 'zone': 'z', 'slots': 8, **fields}
        table.configure(
            0,
            [
                Endpoint(name=f'e{number}', **endpoint_fields)
                for number in range(count)
            ],
        )
        return table

    return build


def max_hosts_per_endpoint(make_table: MakeTable) -> int:
    """Return how many of 30 hosts choose the same one of 20 endpoints.

    All hosts have the same outdated report, in which e0 is idle.
    """
    choices: Counter[str] = Counter()
    for host in range(30):
        table = make_table(20, seed=host)
        for name, state in table.states.items():
            used = 0 if name == 'e0' else 4
            state.on_report(LoadReport(slots_used=used, measured_at=1))
        choices[str(table.choose(2, NEED))] += 1
    return max(choices.values())


def test_choose_spreads_hosts_with_outdated_reports(
    make_table: MakeTable,
) -> None:
    """Guards against all hosts choosing the endpoint reported as idle."""
    assert max_hosts_per_endpoint(make_table) <= 15


def test_choose_without_sampling_is_the_same_on_all_hosts(
    make_table: MakeTable, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Shows that all hosts choose alike if they compare all endpoints."""
    monkeypatch.setattr('apricotcart.endpoints.table.SAMPLE_SIZE', 20)
    assert max_hosts_per_endpoint(make_table) == 30


def test_choose_report_decays(make_table: MakeTable) -> None:
    """Guards against an old report that outweighs the host's requests."""
    table = make_table(2)
    table.states['e0'].on_report(LoadReport(slots_used=8, measured_at=0))
    table.acquire(0, 'e1', suspect=False)
    assert table.choose(0, NEED) == 'e1'
    assert table.choose(60, NEED) == 'e0'


def test_choose_prefers_cached_prefix(make_table: MakeTable) -> None:
    """Guards against prefilling a cached prompt again."""
    table = make_table(50)
    requirements = Requirements(pool='p', holders={'e7': 0.9})
    assert table.choose(0, requirements) == 'e7'


def test_choose_avoids_overloaded_holder(make_table: MakeTable) -> None:
    """Guards against a popular prefix that overloads one endpoint."""
    table = make_table(4)
    for _ in range(7):
        table.acquire(0, 'e2', suspect=False)
    assert table.choose(0, Requirements(pool='p', holders={'e2': 0.9})) != 'e2'


@pytest.mark.parametrize(('allowed', 'chosen'), [(True, 'e0'), (False, None)])
def test_choose_cheap_needs_short_or_resumable(
    make_table: MakeTable, *, allowed: bool, chosen: str | None
) -> None:
    """Guards against requests that a reclaim would interrupt."""
    table = make_table(1, cheap=True)
    requirements = Requirements(pool='p', cheap_allowed=allowed)
    assert table.choose(0, requirements) == chosen


def test_choose_excluded_only_as_last_resort(make_table: MakeTable) -> None:
    """Guards against a retry on the endpoint that has just failed."""
    table = make_table(2)
    requirements = Requirements(pool='p', excluded=('e0',))
    assert table.choose(0, requirements) == 'e1'
    for _ in range(8):
        table.acquire(0, 'e1', suspect=False)
    assert table.choose(0, requirements) is None
    table.configure(0, [table.states['e0'].endpoint])
    assert table.choose(0, requirements) == 'e0'


def test_choose_separates_suspects(make_table: MakeTable) -> None:
    """Guards against two suspects on one endpoint."""
    table = make_table(3)
    table.isolation_endpoints = frozenset(('e1',))
    requirements = Requirements(pool='p', isolated=True)
    assert table.choose(0, requirements) == 'e1'
    table.acquire(0, 'e1', suspect=True)
    assert table.choose(0, requirements) is None


def test_choose_other_zone_only_under_load(make_table: MakeTable) -> None:
    """Guards against unnecessary traffic between zones."""
    table = make_table(1)
    near = table.states['e0'].endpoint
    far = Endpoint(name='far', pool='p', zone='other', slots=8)
    table.configure(0, [near, far])
    assert table.choose(0, NEED) == 'e0'
    for _ in range(4):
        table.acquire(0, 'e0', suspect=False)
    assert table.choose(0, NEED) == 'far'


def test_limit_follows_latency() -> None:
    """Guards against a full load on an endpoint that slows down."""
    limit = AdaptiveLimit(random.Random(1))
    for _ in range(10):
        limit.on_first_byte(1)
    assert limit.allowed(0, 8) == 8
    for _ in range(10):
        limit.on_first_byte(9)
    assert limit.allowed(0, 8) < 6
    for _ in range(20):
        limit.on_success(8)
    assert limit.allowed(0, 8) == 8


def test_limit_backs_off_exponentially(make_table: MakeTable) -> None:
    """Guards against an endpoint that is probed at a fixed rate forever."""
    limit = AdaptiveLimit(random.Random(1))
    closed: list[float] = []
    now: float = 0
    for _ in range(5):
        limit.on_crashed(now)
        closed.append(limit.closed_until - now)
        now = limit.closed_until
    assert closed[-1] > 4 * closed[0]
    assert limit.is_unreliable()


def test_prefix_probability_falls_after_sequence_gap() -> None:
    """Guards against routing by a cache whose eviction event was lost."""
    table = PrefixTable()
    table.record_stored(0, 'e1', 'a', 'hash')
    before = table.holders(1, 'a', 'hash')['e1']
    table.on_sequence(1, 'e1', 5)
    event = CacheEvent(
        sequence=9, customer='a', prefix_hash='other', stored=True
    )
    table.on_event(1, 'e1', event)
    assert table.holders(1, 'a', 'hash')['e1'] < before
    event = CacheEvent(
        sequence=10, customer='a', prefix_hash='hash', stored=False
    )
    table.on_event(1, 'e1', event)
    assert not table.holders(1, 'a', 'hash')


def test_prefix_is_invalidated_by_crash() -> None:
    """Guards against routing by the cache of a restarted engine."""
    table = PrefixTable()
    table.record_stored(0, 'e1', 'a', 'hash')
    table.invalidate_endpoint(1, 'e1')
    assert not table.holders(2, 'a', 'hash')
    table.record_stored(3, 'e1', 'a', 'hash')
    assert table.holders(3, 'a', 'hash')


def test_prefix_is_separate_for_each_customer() -> None:
    """Guards against exposing one customer's prompts to another."""
    table = PrefixTable()
    table.record_stored(0, 'e1', 'a', 'hash')
    assert not table.holders(0, 'b', 'hash')


def test_suspects_are_shared_among_hosts() -> None:
    """Guards against crashing more endpoints by a resend via another host."""
    first, second = SuspectTable(), SuspectTable()
    first.on_crash(0, 'f', 'e1')
    second.merge_wire(1, [entry.to_wire() for entry in first.reports(1)])
    assert second.is_suspect('f')
    second.on_crash(2, 'f', 'e2')
    assert second.is_quarantined(2, 'f')
    first.merge(3, second.reports(3))
    assert first.is_quarantined(3, 'f')


def test_quarantine_expires_on_all_hosts() -> None:
    """Guards against hosts that keep renewing each other's entries.

    Each report arrives a quarter of a second after it was created.
    """
    tables = [SuspectTable(), SuspectTable()]
    tables[0].on_crash(0, 'f', 'e1')
    tables[0].on_crash(0, 'f', 'e2')
    for step in range(2000):
        now = step / 2
        reports = [table.reports(now) for table in tables]
        tables[0].merge(now + 1 / 4, reports[1])
        tables[1].merge(now + 1 / 4, reports[0])
        if step == 600:
            assert all(table.is_quarantined(now, 'f') for table in tables)
    assert not any(table.is_quarantined(1000, 'f') for table in tables)


def test_suspect_is_cleared_on_all_hosts() -> None:
    """Guards against an innocent request that stays suspect elsewhere."""
    first, second = SuspectTable(), SuspectTable()
    first.on_crash(0, 'f', 'e1')
    second.merge(1, first.reports(1))
    first.on_finished('f')
    second.merge(2, first.reports(2))
    assert not second.is_suspect('f')

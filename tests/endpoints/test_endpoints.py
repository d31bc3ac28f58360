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
from apricotcart.endpoints.selection import Need
from apricotcart.endpoints.suspects import SuspectTable
from apricotcart.endpoints.table import EndpointTable

MakeTable = Callable[..., EndpointTable]
NEED = Need(pool='p', cheap_allowed=True)


@pytest.fixture
def make_table() -> MakeTable:
    """Give a function that builds a table of equal endpoints."""

    def build(count: int, seed: int = 1, **fields: Any) -> EndpointTable:
        table = EndpointTable('z', random.Random(seed))
        chosen = {'pool': 'p', 'zone': 'z', 'slots': 8, **fields}
        table.configure(
            0,
            [Endpoint(name=f'e{number}', **chosen) for number in range(count)],
        )
        return table

    return build


def herd(make_table: MakeTable) -> int:
    """Count the hosts of 30 that choose the same endpoint of 20.

    All hosts have the same late report, which shows e0 as idle.
    """
    choices: Counter[str] = Counter()
    for host in range(30):
        table = make_table(20, seed=host)
        for name, row in table.rows.items():
            used = 0 if name == 'e0' else 4
            row.on_report(LoadReport(slots_used=used, measured_at=1))
        choices[str(table.choose(2, NEED))] += 1
    return max(choices.values())


def test_choose_late_reports_do_not_herd(make_table: MakeTable) -> None:
    """Guards against all hosts choosing the endpoint that looks idle."""
    assert herd(make_table) <= 15


def test_choose_without_sample_herds(
    make_table: MakeTable, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Shows that comparing all endpoints makes every host choose alike."""
    monkeypatch.setattr('apricotcart.endpoints.table.SAMPLE', 20)
    assert herd(make_table) == 30


def test_choose_report_loses_weight(make_table: MakeTable) -> None:
    """Guards against an old report that outweighs own requests."""
    table = make_table(2)
    table.rows['e0'].on_report(LoadReport(slots_used=8, measured_at=0))
    table.acquire(0, 'e1', suspect=False)
    assert table.choose(0, NEED) == 'e1'
    assert table.choose(60, NEED) == 'e0'


def test_choose_prefers_cached_prefix(make_table: MakeTable) -> None:
    """Guards against a long prompt that is processed again."""
    table = make_table(50)
    need = Need(pool='p', holders={'e7': 0.9})
    assert table.choose(0, need) == 'e7'


def test_choose_overloaded_holder_is_left(make_table: MakeTable) -> None:
    """Guards against a hot prefix that overloads one endpoint."""
    table = make_table(4)
    for _ in range(7):
        table.acquire(0, 'e2', suspect=False)
    assert table.choose(0, Need(pool='p', holders={'e2': 0.9})) != 'e2'


@pytest.mark.parametrize(('allowed', 'chosen'), [(True, 'e0'), (False, None)])
def test_choose_cheap_needs_short_or_resumable(
    make_table: MakeTable, *, allowed: bool, chosen: str | None
) -> None:
    """Guards against work that a reclaim would cut off."""
    table = make_table(1, cheap=True)
    need = Need(pool='p', cheap_allowed=allowed)
    assert table.choose(0, need) == chosen


def test_choose_excluded_only_as_last_resort(make_table: MakeTable) -> None:
    """Guards against a retry on the endpoint that just failed."""
    table = make_table(2)
    need = Need(pool='p', excluded=('e0',))
    assert table.choose(0, need) == 'e1'
    for _ in range(8):
        table.acquire(0, 'e1', suspect=False)
    assert table.choose(0, need) is None
    table.configure(0, [table.rows['e0'].endpoint])
    assert table.choose(0, need) == 'e0'


def test_choose_suspects_apart(make_table: MakeTable) -> None:
    """Guards against two suspects on one endpoint."""
    table = make_table(3)
    table.isolation = frozenset(('e1',))
    need = Need(pool='p', isolated=True)
    assert table.choose(0, need) == 'e1'
    table.acquire(0, 'e1', suspect=True)
    assert table.choose(0, need) is None


def test_choose_other_zone_only_under_load(make_table: MakeTable) -> None:
    """Guards against traffic between zones without need."""
    table = make_table(1)
    near = table.rows['e0'].endpoint
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


def test_limit_backs_off_longer(make_table: MakeTable) -> None:
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


def test_prefix_events_with_gap() -> None:
    """Guards against trust in a cache after its eviction event was lost."""
    table = PrefixTable()
    table.stored(0, 'e1', 'a', 'hash')
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


def test_prefix_after_crash() -> None:
    """Guards against trust in the cache of an engine that restarted."""
    table = PrefixTable()
    table.stored(0, 'e1', 'a', 'hash')
    table.forget_endpoint(1, 'e1')
    assert not table.holders(2, 'a', 'hash')
    table.stored(3, 'e1', 'a', 'hash')
    assert table.holders(3, 'a', 'hash')


def test_prefix_is_separate_for_each_customer() -> None:
    """Guards against a customer that learns of another's prompts."""
    table = PrefixTable()
    table.stored(0, 'e1', 'a', 'hash')
    assert not table.holders(0, 'b', 'hash')


def test_suspects_over_hosts() -> None:
    """Guards against a resend on another host that costs more endpoints."""
    first, second = SuspectTable(), SuspectTable()
    first.on_crash(0, 'f', 'e1')
    second.merge_wire(1, [entry.to_wire() for entry in first.reports(1)])
    assert second.is_suspect('f')
    second.on_crash(2, 'f', 'e2')
    assert second.is_quarantined(2, 'f')
    first.merge(3, second.reports(3))
    assert first.is_quarantined(3, 'f')


def test_quarantine_ends_on_all_hosts() -> None:
    """Guards against hosts that renew each other's entries for ever.

    Each report arrives a quarter of a second after it was made.
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


def test_suspect_is_cleared_everywhere() -> None:
    """Guards against a bystander that stays suspect on other hosts."""
    first, second = SuspectTable(), SuspectTable()
    first.on_crash(0, 'f', 'e1')
    second.merge(1, first.reports(1))
    first.on_finished('f')
    second.merge(2, first.reports(2))
    assert not second.is_suspect('f')

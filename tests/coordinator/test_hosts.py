"""Guards against callers that are sent to hosts that are not serving."""

from __future__ import annotations

import random
from typing import Any

from apricotcart.coordinator.hosts import GatewayTable
from apricotcart.coordinator.sync_messages import SyncRequest


def _sync(name: str, **fields: Any) -> SyncRequest:
    base: dict[str, Any] = {
        'host': name,
        'incarnation': name,
        'address': f'{name}:80',
        'zone': 'a',
        'is_serving': True,
        'version': 1,
        'list_mark': 0,
        'loads': {},
        'waiting': {},
        'usage': {},
    }
    return SyncRequest(**{**base, **fields})


def _total_loads(loads: list[Any]) -> dict[str, list[int]]:
    totals: dict[str, list[int]] = {}
    for load in loads:
        for name, figures in load.items():
            total = totals.get(name, [0, 0, 0])
            pairs = zip(total, figures, strict=True)
            totals[name] = [subtotal + figure for subtotal, figure in pairs]
    return totals


def _serving(table: GatewayTable, now: float) -> list[str]:
    return [host.address for host in table.serving(now)]


def test_host_without_syncs_is_not_listed() -> None:
    table = GatewayTable()
    table.on_sync(_sync('a'), 0)
    table.on_sync(_sync('b'), 2)
    assert _serving(table, 2.2) == ['b:80']


def test_leaving_host_is_not_listed() -> None:
    table = GatewayTable()
    table.on_sync(_sync('a'), 0)
    table.on_sync(_sync('a', is_serving=False), 0.3)
    assert not _serving(table, 0.4)


def test_loads_exclude_the_requesting_host() -> None:
    table = GatewayTable()
    table.on_sync(_sync('a', loads={'i': [1, 10, 5]}), 0)
    table.on_sync(_sync('b', loads={'i': [2, 20, 6], 'j': [1, 1, 1]}), 0)
    assert table.loads_excluding('a', 1) == {'i': [2, 20, 6], 'j': [1, 1, 1]}
    assert table.loads_excluding('', 1)['i'] == [3, 30, 11]
    assert not table.loads_excluding('', 60)


def test_loads_follow_syncs_and_expiry() -> None:
    """Guards against totals that drift from the last syncs of the gateways."""
    rng = random.Random(5)
    table = GatewayTable()
    last_syncs: dict[str, SyncRequest] = {}
    received_at: dict[str, float] = {}
    now: float = 1
    for _ in range(400):
        now += 0.5 + rng.random()
        name = f'g{rng.randrange(6)}'
        loads = {
            f'i{number}': [rng.randrange(1, 4), rng.randrange(50), 0]
            for number in rng.sample(range(5), rng.randrange(4))
        }
        last_syncs[name] = _sync(name, loads=loads)
        received_at[name] = now
        table.on_sync(last_syncs[name], now)
        others = [
            last_syncs[other].loads
            for other in last_syncs
            if other != name and received_at[other] >= now - 3
        ]
        assert table.loads_excluding(name, now) == _total_loads(others)


def test_usage_adds_up_the_starts_of_a_host() -> None:
    table = GatewayTable()
    table.on_sync(_sync('a', usage={7: {'guild': 2}}), 0)
    table.on_sync(_sync('a', usage={7: {'guild': 5}}), 1)
    table.on_sync(_sync('a', incarnation='a2', usage={7: {'guild': 1}}), 2)
    assert table.usage_in(7) == {'guild': 6}
    assert table.usage_in(8) == {}


def test_gateways_are_ranked_without_gaps() -> None:
    """Guards against hosts that use the same share of a limit."""
    table = GatewayTable()
    for name in ('c', 'a', 'b'):
        table.on_sync(_sync(name, is_serving=name != 'b'), 1)
    assert [table.rank(name, 1.2) for name in ('a', 'b', 'c')] == [0, 1, 2]
    assert table.counts(1.2).ranked == 3
    table.on_sync(_sync('a'), 9)
    table.on_sync(_sync('c'), 9)
    assert [table.rank(name, 9.2) for name in ('a', 'c')] == [0, 1]
    assert table.counts(9.2).ranked == 2


def test_failures_that_many_hosts_see_once_each_are_joined() -> None:
    """Each of 191 hosts sends an endpoint a request in 25 s."""
    table = GatewayTable()
    for number in range(191):
        outcomes = {'sound': [1, 0]} if number % 3 else {'bad': [0, 1]}
        table.on_sync(_sync(f'h{number}', outcomes=outcomes), 0)
    assert table.failing_excluding('h1', 1) == {'bad': [0, 64]}
    assert table.failing_excluding('h3', 1) == {'bad': [0, 63]}


def test_outcomes_are_replaced_with_each_sync_and_expire() -> None:
    table = GatewayTable()
    table.on_sync(_sync('a', outcomes={'i': [3, 2]}), 0)
    table.on_sync(_sync('a', outcomes={'i': [4, 1], 'j': [0, 1]}), 1)
    assert table.failing_excluding('b', 1) == {'i': [4, 1], 'j': [0, 1]}
    table.on_sync(_sync('a', outcomes={'i': [4, 0]}), 2)
    assert not table.failing_excluding('b', 2)
    table.on_sync(_sync('a', outcomes={'i': [0, 5]}), 3)
    assert not table.failing_excluding('b', 7)

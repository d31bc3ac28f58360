"""Guards against callers that are sent to hosts that do not serve."""

from __future__ import annotations

import random
from typing import Any

from apricotcart.coordinator.hosts import GatewayTable
from apricotcart.coordinator.messages import SyncRequest


def _sync(name: str, **fields: Any) -> SyncRequest:
    base: dict[str, Any] = {
        'host': name,
        'incarnation': name,
        'place': f'{name}:80',
        'zone': 'a',
        'is_serving': True,
        'version': 1,
        'list_mark': 0,
        'loads': {},
        'waiting': {},
        'usage': {},
    }
    return SyncRequest(**{**base, **fields})


def _sum(loads: list[Any]) -> dict[str, list[int]]:
    totals: dict[str, list[int]] = {}
    for load in loads:
        for name, figures in load.items():
            total = totals.get(name, [0, 0, 0])
            pairs = zip(total, figures, strict=True)
            totals[name] = [old + more for old, more in pairs]
    return totals


def _names(table: GatewayTable, now: float) -> list[str]:
    return [host.place for host in table.serving(now)]


def test_silent_host_is_not_named() -> None:
    table = GatewayTable()
    table.note(_sync('a'), 0)
    table.note(_sync('b'), 2)
    assert _names(table, 2.2) == ['b:80']


def test_leaving_host_is_not_named() -> None:
    table = GatewayTable()
    table.note(_sync('a'), 0)
    table.note(_sync('a', is_serving=False), 0.3)
    assert not _names(table, 0.4)


def test_loads_leave_out_the_one_that_asks() -> None:
    table = GatewayTable()
    table.note(_sync('a', loads={'i': [1, 10, 5]}), 0)
    table.note(_sync('b', loads={'i': [2, 20, 6], 'j': [1, 1, 1]}), 0)
    assert table.loads_beside('a', 1) == {'i': [2, 20, 6], 'j': [1, 1, 1]}
    assert table.loads_beside('', 1)['i'] == [3, 30, 11]
    assert not table.loads_beside('', 60)


def test_loads_follow_syncs_restarts_and_silence() -> None:
    """Guards against totals that drift from what the gateways last said."""
    rng = random.Random(5)
    table = GatewayTable()
    said: dict[str, SyncRequest] = {}
    seen_at: dict[str, float] = {}
    now: float = 1
    for _ in range(400):
        now += 0.5 + rng.random()
        name = f'g{rng.randrange(6)}'
        loads = {
            f'i{number}': [rng.randrange(1, 4), rng.randrange(50), 0]
            for number in rng.sample(range(5), rng.randrange(4))
        }
        said[name] = _sync(name, loads=loads)
        seen_at[name] = now
        table.note(said[name], now)
        others = [
            said[other].loads
            for other in said
            if other != name and seen_at[other] >= now - 3
        ]
        assert table.loads_beside(name, now) == _sum(others)


def test_usage_counts_a_restarted_host_once_each_start() -> None:
    table = GatewayTable()
    table.note(_sync('a', usage={7: {'guild': 2}}), 0)
    table.note(_sync('a', usage={7: {'guild': 5}}), 1)
    table.note(_sync('a', incarnation='a2', usage={7: {'guild': 1}}), 2)
    assert table.usage_of(7) == {'guild': 6}
    assert table.usage_of(8) == {}

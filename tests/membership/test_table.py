"""Tests of the leader's table of entry hosts."""

from __future__ import annotations

import pytest

from apricotcart.membership.records import HostList, HostReport
from apricotcart.membership.table import (
    DISCOVERY_S,
    HOST_RETENTION_S,
    LOST_AFTER_S,
    WEIGHT_RAMP_S,
    HostTable,
)


def report(host: str, state: str = 'serving', inc: int = 1) -> HostReport:
    """Return a report of a host in zone a."""
    return HostReport(
        host=host,
        incarnation=inc,
        address=f'127.0.0.1:{inc}',
        zone='a',
        state=state,
    )


@pytest.fixture
def table() -> HostTable:
    """Return a table that knows two hosts at time 1.5."""
    host_table = HostTable(0)
    for now in (0.5, 1, 1.5):
        host_table.tick(now)
        host_table.on_sync(now, report('h1'))
        host_table.on_sync(now, report('h2'))
    return host_table


def listed_weights(table: HostTable, now: float) -> dict[str, float]:
    """Return the weights by host in the list for callers."""
    entries = table.list_for(now, None).entries
    assert entries is not None
    return {entry.host: entry.weight for entry in entries}


def test_list_for_new_leader() -> None:
    """Guards against a new leader that lists only some of the hosts."""
    table = HostTable(0)
    table.on_sync(0.1, report('h1'))
    nothing = HostList(digest=None, entries=None)
    assert table.list_for(DISCOVERY_S - 0.1, 'x') == nothing
    assert listed_weights(table, DISCOVERY_S) == {'h1': 1}


def test_list_for_held_digest(table: HostTable) -> None:
    """Guards against sending an unchanged list with every sync."""
    first = table.list_for(1.5, None)
    again = table.list_for(1.6, first.digest)
    assert again == HostList(digest=first.digest, entries=None)
    table.on_sync(1.7, report('h1', 'leaving'))
    assert table.list_for(1.7, first.digest).entries
    assert HostList.from_wire(first.to_wire()) == first


def test_on_sync_leaving_stays(table: HostTable) -> None:
    """Guards against a delayed sync that restores a leaving host."""
    table.on_sync(1.6, report('h1', 'leaving'))
    table.on_sync(1.7, report('h1', 'serving'))
    assert listed_weights(table, 1.7) == {'h2': 1}
    assert len(table.live_hosts(1.7)) == 2
    assert table.on_sync(1.8, report('h1', inc=2))
    assert not table.on_sync(1.9, report('h1', inc=1))
    assert listed_weights(table, 1.9) == {'h1': 0.25, 'h2': 1}


def test_lost_host_returns_gradually(table: HostTable) -> None:
    """Guards against full load on a returned host at once."""
    lost_at = 1.5 + LOST_AFTER_S
    table.on_sync(lost_at - 0.1, report('h2'))
    assert set(listed_weights(table, lost_at - 0.1)) == {'h1', 'h2'}
    assert listed_weights(table, lost_at) == {'h2': 1}
    table.on_sync(lost_at, report('h1'))
    weights = []
    for step in range(5):
        table.on_sync(lost_at + step * WEIGHT_RAMP_S / 4, report('h1'))
        weights.append(
            listed_weights(table, lost_at + step * WEIGHT_RAMP_S / 4)['h1']
        )
        for number in range(8):
            table.on_sync(
                lost_at + step * WEIGHT_RAMP_S / 4 + number, report('h1')
            )
    assert weights == [0.25, 0.5, 0.75, 1, 1]


def test_hint_never_overrides_syncs(table: HostTable) -> None:
    """Guards against an outdated hint that removes or keeps a host."""
    table.on_hint(1.5, 'h1')
    table.on_hint(1.5, 'unheard')
    assert set(listed_weights(table, 2)) == {'h1', 'h2'}
    assert set(listed_weights(table, 2.5)) == {'h2'}
    table.on_sync(2.6, report('h1'))
    table.on_sync(2.6, report('h2'))
    assert set(listed_weights(table, 2.7)) == {'h1', 'h2'}


def test_tick_after_pause(table: HostTable) -> None:
    """Guards against losing all hosts after the leader was frozen."""
    first = table.list_for(1.5, None)
    table.tick(11.5)
    assert table.list_for(11.5, None).digest is None
    table.tick(12)
    for host in ('h1', 'h2'):
        table.on_sync(12, report(host))
    assert table.list_for(11.5 + DISCOVERY_S, None) == first


def test_tick_removes_old_hosts(table: HostTable) -> None:
    """Guards against a table that grows with every replaced host."""
    now = 1.5
    while now < HOST_RETENTION_S + 3:
        now += 0.9
        table.tick(now)
        table.on_sync(now, report('h2'))
    assert list(table.tracked_hosts()) == ['h2']

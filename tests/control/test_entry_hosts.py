"""Tests of the table of entry hosts on the leader."""

from __future__ import annotations

import pytest
from control.fakes import sync_message

from apricotcart.control.entry_hosts import EntryHosts
from apricotcart.membership.table import (
    DISCOVERY_S,
    HINTED_LOST_AFTER_S,
    LOST_AFTER_S,
)

SHARES = {'h1': {'e1': 8}, 'h2': {'e1': 0}}


@pytest.fixture
def hosts() -> EntryHosts:
    """Return a leader of term 1 with a sync of one host at time 0."""
    table = EntryHosts(0)
    table.on_sync(0, 1, sync_message())
    return table


def test_shares_new_leader(hosts: EntryHosts) -> None:
    """Guards against shares before the other hosts have synchronised."""
    hosts.replace_slot_division(SHARES, 0.1)
    assert hosts.slot_limits_for(DISCOVERY_S - 0.1, 'h1') is None
    # This division was computed without the demand of hosts that had not
    # synchronised yet, and it would stay in use while divisions are slow.
    assert hosts.slot_limits_for(DISCOVERY_S + 0.1, 'h1') is None
    hosts.replace_slot_division(SHARES, DISCOVERY_S)
    assert hosts.slot_limits_for(DISCOVERY_S, 'h1') == {'e1': 8}
    assert hosts.slot_limits_for(DISCOVERY_S, 'h3') is None


def test_shares_earlier_term(hosts: EntryHosts) -> None:
    """Guards against a division of an earlier term that ends late."""
    hosts.replace_slot_division(SHARES, 5)
    hosts.on_sync(6, 3, sync_message())
    hosts.replace_slot_division(SHARES, 5.9)
    assert hosts.slot_limits_for(6 + DISCOVERY_S, 'h1') is None


def test_sync_of_earlier_term(hosts: EntryHosts) -> None:
    """Guards against a late sync that clears the state of a newer term."""
    hosts.on_sync(1, 2, sync_message('h2'))
    hosts.on_sync(1.1, 1, sync_message())
    assert set(hosts.demands(1.2)) == {'h1', 'h2'}


def test_new_term_clears_demand(hosts: EntryHosts) -> None:
    """Guards against demand that was received in an earlier term."""
    hosts.on_sync(1, 2, sync_message('h2'))
    assert set(hosts.demands(1)) == {'h2'}


def test_suspects_of_others(hosts: EntryHosts) -> None:
    """Guards against suspects that are returned to their reporter."""
    suspect = {'digest': 'd'}
    hosts.on_sync(1, 1, sync_message('h2', suspects=[suspect]))
    assert hosts.suspects_for('h1') == [suspect]
    assert not hosts.suspects_for('h2')


def test_hint_only_shortens(hosts: EntryHosts) -> None:
    """Guards against an outdated list that removes a host that syncs."""
    hosts.on_sync(1, 1, sync_message('h2'))
    hosts.on_sync(1, 1, sync_message('h1'))
    hosts.on_hint(1, 'h1')
    hosts.on_hint(1, 'unheard')
    assert len(hosts.reports(1 + HINTED_LOST_AFTER_S - 0.1)) == 2
    later = hosts.reports(1 + HINTED_LOST_AFTER_S)
    assert [report['host'] for report in later] == ['h2']
    assert not hosts.reports(1 + LOST_AFTER_S)
    hosts.on_sync(4, 1, sync_message('h1'))
    assert 'h1' in [report['host'] for report in hosts.reports(4)]


def test_malformed_sync_changes_nothing(hosts: EntryHosts) -> None:
    """Guards against a host that is listed although its sync failed."""
    message = sync_message('h2', demand={'tiers': [{'x': 1}], 'running': {}})
    with pytest.raises(TypeError):
        hosts.on_sync(1, 2, message)
    assert [report['host'] for report in hosts.reports(0)] == ['h1']
    assert set(hosts.demands(0)) == {'h1'}

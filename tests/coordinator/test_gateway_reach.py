"""Guards against what gateways without a path to endpoints do to the others."""

from __future__ import annotations

from typing import Any

import pytest

from apricotcart.coordinator.hosts import GatewayTable
from apricotcart.coordinator.sync_messages import SyncReply, SyncRequest
from apricotcart.membership.reach_reports import ReachReply, ReachReport


def _sync(
    name: str, reach: dict[str, Any] | None = None, **fields: Any
) -> SyncRequest:
    report = {
        'reached_s': 0.1,
        'relay_address': f'{name}:90',
        **(reach or {}),
    }
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
        'reachability': ReachReport(**report).to_wire(),
    }
    return SyncRequest(**{**base, **fields})


_SUSPECT = {'is_suspect': True, 'reached_s': None}
_CUT_OFF = {'is_suspect': True, 'is_cut_off': True, 'reached_s': None}
_ASKING = {'wants_peers': True}


def _serving(table: GatewayTable, now: float) -> set[str]:
    hosts = table.serving(now)
    return {host.address.partition(':')[0] for host in hosts}


def _reply(table: GatewayTable, name: str, now: float) -> ReachReply:
    return ReachReply.from_wire(table.reach_reply(name, now))


def _warm_table() -> GatewayTable:
    """Return a table of a leader that has led for a while."""
    table = GatewayTable()
    for step in range(20):
        table.on_sync(_sync('a'), step / 10)
        table.reach_reply('a', step / 10)
    return table


def test_gateway_that_is_cut_off_is_not_listed() -> None:
    table = GatewayTable()
    table.on_sync(_sync('a', _CUT_OFF), 0)
    table.on_sync(_sync('b', _SUSPECT), 0)
    table.on_sync(_sync('c'), 0)
    assert _serving(table, 0.1) == {'b', 'c'}


def test_all_gateways_are_listed_if_all_are_cut_off() -> None:
    table = GatewayTable()
    table.on_sync(_sync('a', _CUT_OFF), 0)
    table.on_sync(_sync('b', _CUT_OFF), 0)
    table.on_sync(_sync('c', _CUT_OFF, is_serving=False), 0)
    assert _serving(table, 0.1) == {'a', 'b'}


def test_gateway_is_listed_again_once_it_is_steady() -> None:
    """Guards against callers that are sent back and forth."""
    table = GatewayTable()
    listed_at = []
    for step in range(60):
        now = step * 0.3
        is_cut = step < 5 or step in {8, 20}
        table.on_sync(_sync('a', _CUT_OFF if is_cut else {}), now)
        table.on_sync(_sync('b'), now)
        if 'a' in _serving(table, now):
            listed_at.append(step)
    assert listed_at == [*range(15, 20), *range(27, 60)]


def test_gateway_that_reaches_nothing_yet_is_not_listed_again() -> None:
    table = GatewayTable()
    table.on_sync(_sync('b'), 0)
    table.on_sync(_sync('a', _CUT_OFF), 0)
    for step in range(1, 20):
        table.on_sync(_sync('a', {'reached_s': None}), step * 0.3)
        table.on_sync(_sync('b'), step * 0.3)
    assert _serving(table, 6) == {'b'}


def test_new_incarnation_is_listed_at_once() -> None:
    table = GatewayTable()
    table.on_sync(_sync('b'), 0)
    table.on_sync(_sync('a', _CUT_OFF), 0)
    table.on_sync(_sync('a', incarnation='a2'), 0.2)
    assert _serving(table, 0.3) == {'a', 'b'}


def test_failures_of_a_suspect_gateway_do_not_count_for_others() -> None:
    """Guards against all gateways that avoid endpoints one cannot reach."""
    table = GatewayTable()
    table.on_sync(_sync('a', outcomes={'i': [0, 3]}), 0)
    assert table.failing_excluding('b', 0.1) == {'i': [0, 3]}
    table.on_sync(_sync('a', _SUSPECT, outcomes={'i': [0, 9]}), 0.3)
    assert not table.failing_excluding('b', 0.4)
    assert not table.failing_excluding('a', 0.4)
    table.on_sync(_sync('a', outcomes={'i': [1, 1]}), 0.6)
    assert table.failing_excluding('b', 0.7) == {'i': [1, 1]}
    assert not table.failing_excluding('a', 0.7)


def test_queue_of_a_gateway_without_a_path_orders_nothing() -> None:
    table = GatewayTable()
    table.on_sync(_sync('a', _CUT_OFF, waiting={'s': [40, 9, 9]}), 0)
    table.on_sync(_sync('b', waiting={'s': [1, 2, 3]}), 0)
    assert table.queued_loads(0.1) == {'s': [1, 2, 3]}


def test_queues_count_if_no_gateway_reaches_endpoints() -> None:
    """Guards against an outage of a service that nothing replaces."""
    table = GatewayTable()
    table.on_sync(_sync('a', _SUSPECT, waiting={'s': [4, 2, 3]}), 0)
    table.on_sync(_sync('b', _SUSPECT, waiting={'s': [1, 2, 3]}), 0)
    assert table.queued_loads(0.1) == {'s': [5, 4, 6]}


def test_reply_tells_when_others_reached_endpoints() -> None:
    table = _warm_table()
    table.on_sync(_sync('a', _SUSPECT), 2)
    assert _reply(table, 'a', 2).others_reach is False
    table.on_sync(_sync('b', {'reached_s': 0.4}), 2.1)
    reply = _reply(table, 'a', 2.2)
    assert reply.others_reach
    assert reply.reached_s == pytest.approx(0.5)
    assert _reply(table, 'b', 2.2).others_reach is False
    table.on_sync(_sync('b', {'reached_s': None}), 2.3)
    assert _reply(table, 'a', 2.4).others_reach is False


def test_gateway_without_syncs_reaches_nothing() -> None:
    table = _warm_table()
    table.on_sync(_sync('b'), 2)
    for step in range(20, 36):
        table.on_sync(_sync('a', _SUSPECT), step / 10)
        table.reach_reply('a', step / 10)
    assert _reply(table, 'a', 3.6).others_reach is False


def test_new_leader_does_not_know_what_others_reach() -> None:
    """Guards against an outage that is only an empty table."""
    table = GatewayTable()
    table.on_sync(_sync('a', _SUSPECT), 100)
    assert _reply(table, 'a', 100).others_reach is None
    table.on_sync(_sync('b'), 100.2)
    assert _reply(table, 'a', 100.3).others_reach is True


def test_leader_that_leads_again_does_not_know_either() -> None:
    table = _warm_table()
    table.on_sync(_sync('a', _SUSPECT), 50)
    assert _reply(table, 'a', 50).others_reach is None


def test_reply_names_endpoints_that_others_have_just_reached() -> None:
    table = _warm_table()
    table.on_sync(_sync('old', {'reached': ['e0:1']}), 1.5)
    table.on_sync(_sync('b', {'reached': ['e1:1', 'e2:1']}), 2)
    table.on_sync(_sync('c', {'reached': ['e2:1', 'e3:1']}), 2)
    table.on_sync(_sync('d', {**_SUSPECT, 'reached': ['e4:1']}), 2)
    table.on_sync(_sync('a', {**_SUSPECT, **_ASKING}), 2.1)
    reply = _reply(table, 'a', 2.1)
    assert sorted(reply.reached) == ['e1:1', 'e2:1', 'e3:1']


def test_reply_without_a_question_is_short() -> None:
    table = _warm_table()
    table.on_sync(_sync('b', {'reached': ['e1:1', 'e2:1']}), 2)
    reply = _reply(table, 'a', 2)
    assert not reply.reached
    assert reply.peers is None


def test_peers_are_gateways_that_reach_endpoints() -> None:
    table = _warm_table()
    table.on_sync(
        _sync(
            'b',
            zone='z',
            loads={'i': [2, 9, 9], 'j': [1, 9, 9]},
            waiting={'s': [4, 1, 1]},
        ),
        2,
    )
    table.on_sync(_sync('suspect', _SUSPECT), 2)
    table.on_sync(_sync('cut', _CUT_OFF), 2)
    table.on_sync(_sync('stopping', is_serving=False), 2)
    table.on_sync(_sync('idle', {'reached_s': None}), 2)
    table.on_sync(_sync('old-build', {'relay_address': ''}), 2)
    table.on_sync(_sync('a', _ASKING), 2)
    table.on_sync(_sync('a', _ASKING, incarnation='a2'), 2)
    peers = _reply(table, 'a', 2).peers
    assert peers == [
        {'host': 'b', 'zone': 'z', 'address': 'b:90', 'requests': 7}
    ]


def test_gateway_that_has_just_returned_is_no_peer() -> None:
    table = _warm_table()
    table.on_sync(_sync('b', _CUT_OFF), 2)
    table.on_sync(_sync('b'), 2.3)
    table.on_sync(_sync('a', _ASKING), 2.4)
    assert _reply(table, 'a', 2.4).peers == []


def test_peers_are_few_and_of_all_zones() -> None:
    """Guards against replies that grow with the number of gateways."""
    table = _warm_table()
    for number in range(60):
        zone = 'small' if number in {7, 8} else f'z{number % 3}'
        table.on_sync(_sync(f'g{number}', zone=zone), 2)
    table.on_sync(_sync('a', _ASKING), 2)
    named: set[str] = set()
    for _ in range(40):
        peers = _reply(table, 'a', 2).peers or ()
        assert len(peers) == 8
        zones = [peer['zone'] for peer in peers]
        assert {zone: zones.count(zone) for zone in zones}['small'] == 2
        assert set(zones) == {'z0', 'z1', 'z2', 'small'}
        named.update(peer['host'] for peer in peers)
    assert len(named) > 30


def test_messages_without_the_new_fields_are_read() -> None:
    """Guards against gateways and leaders of different builds."""
    fields = _sync('a').to_wire()
    fields.pop('reachability')
    table = GatewayTable()
    table.on_sync(SyncRequest.from_wire(fields), 0)
    assert _serving(table, 0.1) == {'a'}
    assert ReachReply.from_wire({}).others_reach is None
    reply = SyncReply.from_wire(
        {
            'document': None,
            'list_mark': 0,
            'instances': None,
            'loads': {},
            'hosts': 1,
            'members': [],
            'unix_s': 0,
        }
    )
    assert reply.reachability == {}

"""Guards against syncs that do not say what the leader must know."""

from __future__ import annotations

from typing import Any

import pytest

from apricotcart.gateway.reachability.api import Reach
from apricotcart.gateway.reachability.monitor import ReachMonitor
from apricotcart.gateway.reachability.sync import SyncedReach
from apricotcart.membership.peers import PeerDirectory
from apricotcart.membership.reach_reports import ReachReport

_LISTED = tuple(f'10.0.0.{number}:80' for number in range(8))
_NOW_S = 100.0
_PEER = {'host': 'b', 'zone': 'z', 'address': 'b:90', 'requests': 7}


def _synced() -> tuple[ReachMonitor, PeerDirectory, SyncedReach]:
    monitor = ReachMonitor()
    monitor.replace_listed(_LISTED)
    monitor.on_connected(_LISTED[0], _NOW_S)
    peers = PeerDirectory()
    return monitor, peers, SyncedReach(monitor, peers, 'a:90')


def _report(synced: SyncedReach, now: float) -> ReachReport:
    return ReachReport.from_wire(synced.report(now))


def _reply(**fields: Any) -> dict[str, Any]:
    return {'others_reach': True, **fields}


def test_sound_host_reports_what_it_reaches() -> None:
    _, _, synced = _synced()
    report = _report(synced, _NOW_S + 0.25)
    assert report.reached_s == pytest.approx(0.25)
    assert list(report.reached) == [_LISTED[0]]
    assert report.relay_address == 'a:90'
    assert not report.is_suspect
    assert not report.is_cut_off


def test_peers_are_asked_for_now_and_then() -> None:
    """Guards against replies that are larger than they must be."""
    monitor, peers, synced = _synced()
    assert _report(synced, _NOW_S).wants_peers
    synced.apply(_reply(peers=[_PEER]), _NOW_S)
    assert [peer.host for peer in peers.peers()] == ['b']
    for step in range(1, 7):
        now = _NOW_S + step * 0.3
        monitor.on_received(_LISTED[0], now)
        assert not _report(synced, now).wants_peers
        synced.apply(_reply(), now)
    assert [peer.host for peer in peers.peers()] == ['b']
    monitor.on_received(_LISTED[0], _NOW_S + 2.1)
    assert _report(synced, _NOW_S + 2.1).wants_peers


def test_suspect_host_always_asks_for_peers() -> None:
    monitor, _, synced = _synced()
    synced.apply(_reply(peers=[_PEER]), _NOW_S)
    for address in _LISTED:
        monitor.on_connect_failed(address, _NOW_S + 0.2)
    report = _report(synced, _NOW_S + 0.3)
    assert report.is_suspect
    assert not report.is_cut_off
    assert report.wants_peers
    assert report.reached_s is None


def test_view_of_the_leader_decides() -> None:
    monitor, _, synced = _synced()
    for step in range(8):
        now = _NOW_S + step * 0.3
        for address in _LISTED:
            monitor.on_connect_failed(address, now)
        synced.apply(_reply(reached_s=0.1, reached=_LISTED[:2]), now)
    assert monitor.reach(now) is Reach.CUT_OFF
    assert _report(synced, now).is_cut_off


def test_reply_of_a_leader_without_reachability_is_applied() -> None:
    monitor, peers, synced = _synced()
    synced.apply({}, _NOW_S)
    assert monitor.reach(_NOW_S) is Reach.REACHED
    assert not peers.peers()

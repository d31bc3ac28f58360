"""Tests of orders and releases against the platform stand-in."""

from __future__ import annotations

import pytest
from platform_world import World

from apricotcart.provisioning.placement import SpotRule

NO_BOUND = SpotRule(zone_share=1, total_share=1)
# 120 slots need 20 endpoints with 8 slots each at 75% utilisation.
DEMAND = 120
SIZE = 20
# 28 slots need 5 endpoints.
LOW_DEMAND = 28


def _settle(world: World) -> None:
    world.state.demand = DEMAND
    world.elect(world.hosts[0])
    world.run(60)


def test_capacity_follows_demand() -> None:
    """Guards against endpoints that are started and never used."""
    world = World(1)
    _settle(world)
    assert world.endpoint_count(state='running') == SIZE
    assert len(world.state.resources) == SIZE
    assert world.state.statuses['chat']['running'] == SIZE


def test_capacity_lost_answers() -> None:
    """Guards against an order that starts its endpoints twice."""
    world = World(1)
    world.answer_loss = 0.5
    _settle(world)
    records = world.platform.orders.records
    op_ids = {record['op_id'] for record in records}
    assert len(records) > len(op_ids)
    assert world.endpoint_count() == SIZE


def test_capacity_leader_change() -> None:
    """Guards against a new leader that orders or releases without need."""
    world = World(1)
    _settle(world)
    world.hosts[0].is_cut = True
    world.elect(world.hosts[1])
    world.run(15)
    assert world.endpoint_count() == SIZE
    assert len(world.state.resources) == SIZE


def test_capacity_leader_change_in_dip() -> None:
    """Guards against a new leader that releases in a short dip."""
    world = World(1)
    _settle(world)
    world.hosts[0].is_cut = True
    world.elect(world.hosts[1])
    world.state.demand = LOW_DEMAND
    world.run(15)
    assert world.hosts[1].duties.fencing_token
    assert world.endpoint_count() == SIZE


def test_capacity_partial_order() -> None:
    """Guards against leaving a zone unused that cannot fill a whole order."""
    world = World(1, '--cheap-capacity', '0', '--capacity', '3')
    _settle(world)
    assert world.endpoint_count(state='running') == 12


@pytest.mark.parametrize(('dip_s', 'kept'), [(15, True), (60, False)])
def test_capacity_hysteresis(dip_s: float, kept: bool) -> None:
    """Guards against releases in a short dip, and none in a long one."""
    world = World(1)
    _settle(world)
    world.state.demand = LOW_DEMAND
    world.run(dip_s)
    assert (world.endpoint_count() == SIZE) == kept
    if not kept:
        world.run(30)
        assert world.endpoint_count() == 5
        assert len(world.state.resources) == 5
        releases = [
            record
            for record in world.platform.orders.records
            if 'endpoints' in record
        ]
        assert len(releases) == SIZE - 5


def test_capacity_drains() -> None:
    """Guards against the release of an endpoint with work in flight."""
    world = World(1)
    _settle(world)
    world.state.in_flight_by_endpoint = dict.fromkeys(world.state.resources, 1)
    world.state.demand = LOW_DEMAND
    world.run(60)
    leaving = [
        resource.name
        for resource in world.state.endpoints()
        if resource.spec['leaving']
    ]
    assert len(leaving) == 15
    assert world.endpoint_count() == SIZE
    world.state.in_flight_by_endpoint = {}
    world.run(30)
    assert world.endpoint_count() == 5


@pytest.mark.parametrize('naive', [False, True])
def test_capacity_zone_reclaimed(naive: bool) -> None:
    """Guards against losing more endpoints to a zone than its bound.

    The naive variant has no bound on the spot endpoints of one zone.
    """
    world = World(1, spot=NO_BOUND if naive else SpotRule())
    _settle(world)
    for zone in 'bcd':
        world.platform.zones.capacity[zone]['cheap'] = 0
    lost = world.platform.zones.reclaim('a', 2)
    # A fifth of 20 endpoints.
    bound = 4
    assert (len(lost) > bound) == naive
    world.run(30)
    assert world.endpoint_count(state='running') == SIZE
    assert len(world.state.resources) == SIZE


@pytest.mark.parametrize('naive', [False, True])
def test_capacity_no_spot(naive: bool) -> None:
    """Guards against an order storm when no zone has spot capacity.

    The naive variant does not back off after a refusal.
    """
    pause_s = 0 if naive else 2
    world = World(1, '--cheap-capacity', '0', first_backoff_s=pause_s)
    _settle(world)
    world.run(120)
    is_settled = world.endpoint_count(cheap=False, state='running') == SIZE
    assert is_settled != naive
    # Each of 4 zones gets orders for 4, 2 and 1, and again after the back-off.
    assert (world.refused_orders() > 24) == naive


def test_capacity_reports_no_capacity() -> None:
    """Guards against a pool that stays too small without a reason given."""
    world = World(1, '--cheap-capacity', '0', '--capacity', '0')
    _settle(world)
    status = world.state.statuses['chat']
    assert status['running'] == 0
    assert status['no_capacity']


def test_capacity_reports_failure() -> None:
    """Guards against a platform failure that no resource status shows."""
    world = World(1)
    world.state.demand = DEMAND
    world.elect(world.hosts[0])
    world.run_until_orders_wait(world.hosts[0])
    world.answer_loss = 1
    world.run(3)
    assert world.state.statuses['chat']['failure'] == 'no_answer'

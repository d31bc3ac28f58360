"""Tests of the authority, alone and with two concurrent leaders."""

from __future__ import annotations

import pytest
from platform_world import World

from apricotcart.provisioning.api import LeaseSource
from apricotcart.provisioning.authority import Authority, AuthorityTiming
from apricotcart.provisioning.outbox import Outbox

# Sends have a deadline of 1 s, but there is no wait after the acquisition.
NO_WAIT = AuthorityTiming(lease_s=-1, in_flight_s=1)


class Lease(LeaseSource):
    """A lease that the test controls."""

    def __init__(self) -> None:
        self.until: float = 100
        self.in_term = 1

    def lease_expires_at(self) -> float:
        """Return the end of the lease."""
        return self.until

    def term(self) -> int:
        """Return the term of the lease."""
        return self.in_term


@pytest.fixture
def lease() -> Lease:
    """Return a lease until 100 s."""
    return Lease()


@pytest.fixture
def outbox() -> Outbox:
    """Return an empty outbox."""
    return Outbox()


@pytest.fixture
def authority(lease: Lease, outbox: Outbox) -> Authority:
    """Return an authority that acquired token 7 at 10 s."""
    authority = Authority('c1', lease, outbox)
    authority.tick(10)
    _acquire(outbox, 10)
    return authority


def _acquire(outbox: Outbox, now: float, fencing: int = 7) -> None:
    for proposal in outbox.take_proposals():
        reply = {'ok': True, 'fencing': fencing}
        outbox.on_reply(now, proposal.ticket, reply)


def test_authority_waits(authority: Authority) -> None:
    """Guards against acting while the previous holder may still act."""
    assert authority.fencing_token == 7
    assert not authority.tick(12.99)
    assert authority.send_deadline(12.99) is None
    assert authority.tick(13)


def test_authority_deadline(authority: Authority, lease: Lease) -> None:
    """Guards against a send that outlives the lease."""
    lease.until = 20
    assert authority.send_deadline(13) == 14
    assert authority.send_deadline(19.5) == pytest.approx(19.95)
    assert authority.send_deadline(19.93) is None
    assert authority.send_deadline(20) is None


@pytest.mark.parametrize('lost', ['lease', 'term', 'refused'])
def test_authority_is_lost(
    authority: Authority, lease: Lease, outbox: Outbox, lost: str
) -> None:
    """Guards against acting with a token that may be outdated."""
    if lost == 'lease':
        assert not authority.tick(101)
        lease.until = 200
    elif lost == 'term':
        lease.in_term = 2
    else:
        authority.on_stale_token()
    assert authority.send_deadline(50) is None
    assert not authority.tick(50)
    assert bool(outbox.take_proposals()) == (lost != 'refused')


def test_authority_reply_lost(lease: Lease, outbox: Outbox) -> None:
    """Guards against waiting forever for a reply that was lost."""
    authority = Authority('c1', lease, outbox)
    authority.tick(10)
    first = outbox.take_proposals()[0]
    outbox.on_reply(11, first.ticket, None)
    authority.tick(12)
    second = outbox.take_proposals()[0]
    assert second.command['op_id'] != first.command['op_id']


def test_authority_late_reply(lease: Lease, outbox: Outbox) -> None:
    """Guards against a token acquired in a term that has ended."""
    authority = Authority('c1', lease, outbox)
    authority.tick(10)
    first = outbox.take_proposals()[0]
    lease.in_term = 2
    authority.tick(11)
    outbox.on_reply(11, first.ticket, {'ok': True, 'fencing': 7})
    assert not authority.fencing_token


def _change_leader(world: World, fault: str) -> None:
    """Elect a second leader while the first one has a fault."""
    first, second, _ = world.hosts
    world.state.demand = 40
    for number in range(200):
        world.state.add_usage(0, f'customer-{number}', 1)
    world.elect(first)
    world.run(6)
    world.state.demand = 80
    world.run_until_orders_wait(first)
    _apply_fault(world, fault)
    first.is_cut = True
    world.elect(second)
    world.run(5)
    world.state.demand = 160
    world.run(20)


def _apply_fault(world: World, fault: str) -> None:
    first = world.hosts[0]
    if fault == 'slow_network':
        world.delay_s = 0.95
    elif fault != 'cut':
        first.freeze(10, with_clock=fault == 'clock_paused')
    if fault == 'frozen_after_check':
        for request in first.queue:
            world.transmit(first, request, 1)


def _is_ascending(numbers: list[int]) -> bool:
    assert len(set(numbers)) > 1
    return numbers == sorted(numbers)


@pytest.mark.parametrize(
    'fault', ['cut', 'frozen_before_check', 'slow_network']
)
def test_two_leaders_receiver_ignores_fencing(fault: str) -> None:
    """Guards against an old holder's order after that of a newer holder.

    The receiver ignores the token, so only the new holder's wait and the
    send deadline keep the order of arrival.
    """
    world = World(1, '--ignore-fencing')
    _change_leader(world, fault)
    assert _is_ascending(world.arrived_fencing())


def test_two_leaders_naive_no_permit() -> None:
    """Shows that orders overlap without the check right before a send."""
    world = World(1, '--ignore-fencing', skips_permit=True)
    _change_leader(world, 'frozen_before_check')
    assert not _is_ascending(world.arrived_fencing())


def test_two_leaders_naive_no_wait() -> None:
    """Shows that orders overlap without the new holder's wait."""
    world = World(1, '--ignore-fencing', timing=NO_WAIT)
    _change_leader(world, 'slow_network')
    assert not _is_ascending(world.arrived_fencing())


@pytest.mark.parametrize('fault', ['frozen_after_check', 'clock_paused'])
def test_two_leaders_receiver_checks(fault: str) -> None:
    """Guards against orders that a paused old holder still sends.

    The sender cannot detect these pauses. The receiver refuses the outdated
    token, and the old holder gives up.
    """
    world = World(1)
    _change_leader(world, fault)
    assert _is_ascending(world.accepted_fencing())
    assert not world.hosts[0].duties.fencing_token


@pytest.mark.parametrize('fault', ['frozen_after_check', 'clock_paused'])
def test_two_leaders_naive_no_fencing(fault: str) -> None:
    """Shows that orders overlap under these pauses without fencing."""
    world = World(1, '--ignore-fencing')
    _change_leader(world, fault)
    assert not _is_ascending(world.accepted_fencing())

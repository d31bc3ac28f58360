"""Tests of the division of endpoint slots among hosts."""

from __future__ import annotations

import pytest
from hypothesis import given
from hypothesis import strategies as st

from apricotcart.endpoints import subsets as subset_module
from apricotcart.endpoints.records import Endpoint
from apricotcart.endpoints.subsets import Subsets
from apricotcart.scheduling.decisions import Demand, TierDemand
from apricotcart.scheduling.isolation import assign_isolation
from apricotcart.scheduling.shares import allocate, divide_slots
from apricotcart.scheduling.slot_assignment import SlotDivision

ENDPOINTS = [Endpoint(name=f'e{number}', pool='p', slots=8) for number in '123']


def demand(*tiers: int, running: dict[str, int] | None = None) -> Demand:
    """Build a demand from the queued requests of tiers 0, 1 and 2."""
    entries = [
        TierDemand(pool='p', tier=number, queued=queued)
        for number, queued in enumerate(tiers)
    ]
    return Demand(tiers=entries, running=running)


def assigned_slots(division: SlotDivision, endpoint: str) -> int:
    """Count the slots of an endpoint assigned to all hosts."""
    return sum(share.get(endpoint, 0) for share in division.values())


def test_allocate_higher_tier_first() -> None:
    """Guards against a low tier on one host served before a high one."""
    counts = allocate('p', 24, {'a': demand(20, 0), 'b': demand(0, 50)})
    assert counts == {'a': 20, 'b': 4}


def test_allocate_idle_share_is_used() -> None:
    """Guards against an idle host that keeps slots that others need."""
    counts = allocate('p', 24, {'a': demand(90), 'b': demand(), 'c': demand()})
    assert counts == {'a': 22, 'b': 1, 'c': 1}


def test_allocate_without_demand() -> None:
    """Guards against a host that cannot dispatch its first requests."""
    counts = allocate('p', 24, {host: demand() for host in 'abcdef'})
    assert set(counts.values()) == {4}


@given(
    st.dictionaries(
        st.sampled_from('abcdef'),
        st.tuples(*(st.integers(0, 40) for _ in range(3))),
        min_size=1,
    ),
)
def test_divide_never_overloads(
    queued: dict[str, tuple[int, int, int]],
) -> None:
    """Guards against hosts that together overload an endpoint.

    The second division is for other demands, while all slots of the first
    one are still occupied.
    """
    demands = {host: demand(*tiers) for host, tiers in queued.items()}
    first = divide_slots(demands, ENDPOINTS)
    reversed_demands = dict(
        zip(queued, reversed(list(queued.values())), strict=True)
    )
    second = divide_slots(
        {
            host: demand(*tiers, running=first[host])
            for host, tiers in reversed_demands.items()
        },
        ENDPOINTS,
    )
    for endpoint in ENDPOINTS:
        occupied = sum(
            max(first[host].get(endpoint.name, 0), share.get(endpoint.name, 0))
            for host, share in second.items()
        )
        assert assigned_slots(first, endpoint.name) <= 8
        assert occupied <= 8


def test_divide_free_slot_goes_to_waiting_high_tier() -> None:
    """Guards against a high-tier request blocked by its host's low ones.

    Host a runs more low-tier requests than its share of slots. The only free
    slot must still go to its high-tier request, not to a low one of host b.
    """
    occupied = {'e1': 4, 'e2': 4, 'e3': 4}
    demands = {
        'a': demand(1, 40, running=occupied),
        'b': demand(0, 40, running={**occupied, 'e2': 3}),
    }
    division = divide_slots(demands, ENDPOINTS)
    assert division['a']['e2'] == 5
    assert division['b']['e2'] <= 3


def test_divide_draining_endpoint() -> None:
    """Guards against new work for a draining endpoint."""
    leaving = Endpoint(name='e0', pool='p', slots=8, leaving=True)
    division = divide_slots({'a': demand(90)}, [leaving, *ENDPOINTS])
    assert assigned_slots(division, 'e0') == 0


def test_isolation_has_one_host() -> None:
    """Guards against two hosts whose suspects share an endpoint."""
    endpoints = [Endpoint(name=f'e{number}', pool='p') for number in range(6)]
    assigned = assign_isolation('abcdef', endpoints)
    assert sum(len(names) for names in assigned.values()) == 6
    assert len(set.union(*assigned.values())) == 6


@pytest.fixture
def endpoint_names() -> list[str]:
    """Return the names of more endpoints than each host uses."""
    return [f'e{number}' for number in range(300)]


def test_subsets_cover_and_are_stable(endpoint_names: list[str]) -> None:
    """Guards against endpoints without hosts and against needless moves."""
    hosts = [f'h{number}' for number in range(30)]
    updated, fresh = Subsets(), Subsets()
    updated.update(hosts, endpoint_names)
    before = {name: updated.hosts_of(name) for name in endpoint_names}
    assert min(len(names) for names in before.values()) >= 2
    updated.update(hosts[1:], endpoint_names)
    fresh.update(hosts[1:], endpoint_names)
    for name in endpoint_names:
        assert updated.hosts_of(name) == fresh.hosts_of(name)
        if 'h0' not in before[name]:
            assert updated.hosts_of(name) == before[name]


def test_divide_many_endpoints(endpoint_names: list[str]) -> None:
    """Guards against a host that connects to every endpoint."""
    endpoints = [
        Endpoint(name=name, pool='p', slots=8) for name in endpoint_names
    ]
    demands = {f'h{number}': demand(40) for number in range(30)}
    division = divide_slots(demands, endpoints)
    sizes = [len(share) for share in division.values()]
    assert max(sizes) < 2 * subset_module.SUBSET_SIZE
    assert all(assigned_slots(division, name) <= 8 for name in endpoint_names)

"""Guards against overloaded endpoints and repeated prefills of prefixes."""

from __future__ import annotations

import random
from typing import Any

import pytest

from apricotcart.desired.records import Engine
from apricotcart.endpoints.instances import Instance
from apricotcart.endpoints.recent_outcomes import OutcomeCounts
from apricotcart.gateway.api import PromptPart
from apricotcart.gateway.dispatching.endpoint_state import (
    EndpointState,
    LoadSummary,
    Requirements,
)
from apricotcart.gateway.dispatching.placement import Placement

_ENGINE = Engine(slots=8, kv_tokens=100_000)
_HOSTS = 6


def _instance(number: int, zone: str = 'a', **fields: Any) -> Instance:
    base: dict[str, Any] = {
        'instance_id': f'i-{number}',
        'service': 'lm',
        'address': f'10.0.0.{number}:80',
        'zone': zone,
        'slots': 8,
        'is_ready': True,
    }
    return Instance(**{**base, **fields})


def _placement(
    count: int = 6,
    *,
    host: str = '',
    engine: Engine = _ENGINE,
    **fields: Any,
) -> Placement:
    placement = Placement('a', host)
    placement.configure({'lm': engine})
    placement.update_instances(
        [_instance(number, **fields) for number in range(count)],
    )
    return placement


def _chat() -> Requirements:
    return Requirements(
        service='lm',
        prompt_tokens=800,
        output_tokens=300,
        level=2,
        is_latency_critical=True,
    )


def _long_request(shared: str = 's', unshared: str = 'o') -> Requirements:
    return Requirements(
        service='lm',
        prompt_tokens=12_000,
        output_tokens=400,
        parts=[
            PromptPart(part_id=shared, tokens=5000),
            PromptPart(part_id=unshared, tokens=7000),
        ],
    )


def _id_of(placement: Placement, requirements: Requirements) -> str:
    endpoint = placement.choose(0, requirements)
    assert endpoint is not None
    return endpoint.instance.instance_id


def test_choose_separates_tight_streams_from_long_prompts() -> None:
    placement = _placement()
    used_by_chats: set[str] = set()
    used_by_long: set[str] = set()
    for number in range(16):
        for requirements, used in (
            (_chat(), used_by_chats),
            (_long_request(f's{number}'), used_by_long),
        ):
            endpoint = placement.choose(0, requirements)
            if endpoint is not None:
                used.add(endpoint.instance.instance_id)
                placement.place(f'{id(used)}-{number}', endpoint, requirements)
    assert used_by_chats and used_by_long
    assert not used_by_chats & used_by_long


def test_choose_all_hosts_agree_on_home_of_prefix() -> None:
    homes = {_id_of(_placement(), _long_request('x', str(i))) for i in range(9)}
    assert len(homes) == 1


def test_choose_home_is_stable_when_other_endpoint_is_removed() -> None:
    placement = _placement(8)
    home = _id_of(placement, _long_request('x'))
    endpoints_before = [endpoint for endpoint in placement.endpoints()]
    placement.update_instances(
        [
            endpoint.instance
            for endpoint in endpoints_before
            if endpoint.instance.instance_id
            in {home, 'i-0', 'i-1', 'i-2', 'i-3'}
        ],
    )
    remaining = [_id_of(placement, _long_request('x')) for _ in range(2)]
    assert len(set(remaining)) == 1


def test_choose_avoids_busy_home() -> None:
    placement = _placement()
    home = placement.choose(0, _long_request('x'))
    assert home is not None
    placement.update_remote_loads(
        {home.instance.instance_id: LoadSummary(7, 20_000, 80_000)},
        _HOSTS,
    )
    assert _id_of(placement, _long_request('x')) != home.instance.instance_id


def test_choose_returns_none_if_all_are_full() -> None:
    placement = _placement(2)
    loads = {f'i-{n}': LoadSummary(8, 0, 0) for n in range(2)}
    placement.update_remote_loads(loads, _HOSTS)
    assert placement.choose(0, _chat()) is None


def test_choose_returns_none_without_free_memory() -> None:
    placement = _placement(2)
    loads = {f'i-{n}': LoadSummary(2, 89_000, 0) for n in range(2)}
    placement.update_remote_loads(loads, _HOSTS)
    assert placement.choose(0, _long_request()) is None


def test_choose_skips_draining_and_excluded() -> None:
    placement = _placement(2, is_ready=False)
    assert placement.choose(0, _chat()) is None
    placement = _placement(2)
    assert placement.choose(0, _chat(), {'i-0', 'i-1'}) is None


def test_choose_avoids_failed_endpoint() -> None:
    placement = _placement()
    first = placement.choose(0, _long_request('x'))
    assert first is not None
    first.on_failure(0)
    assert _id_of(placement, _long_request('x')) != first.instance.instance_id


def test_restart_under_the_same_id_resets_load() -> None:
    placement = _placement(1)
    endpoint = placement.choose(0, _chat())
    assert endpoint is not None
    placement.place('r', endpoint, _chat())
    placement.update_instances([_instance(0, born_ms=5)])
    assert placement.endpoints()[0].requests == 0


def test_burst_of_all_hosts_spreads_between_load_reports() -> None:
    """Guards against all hosts choosing the same endpoint.

    They do so if they only compare the same outdated load report.
    """
    hosts = [_placement(12) for _ in range(_HOSTS)]
    for host in hosts:
        host.update_remote_loads({}, _HOSTS)
    totals: dict[str, int] = {}
    rng = random.Random(4)
    for number in range(24):
        host = rng.choice(hosts)
        endpoint = host.choose(0, _chat())
        if endpoint is None:
            continue
        host.place(str(number), endpoint, _chat())
        name = endpoint.instance.instance_id
        totals[name] = totals.get(name, 0) + 1
    assert max(totals.values()) <= 2 * 24 / 3
    assert len(totals) == 3


def test_service_without_engines_is_balanced_by_requests() -> None:
    placement = Placement('a')
    placement.update_instances(
        [_instance(n, zone='b', service='app', slots=2) for n in range(3)],
    )
    used = []
    for number in range(6):
        requirements = Requirements(service='app')
        endpoint = placement.choose(0, requirements)
        assert endpoint is not None
        placement.place(str(number), endpoint, requirements)
        used.append(endpoint.instance.instance_id)
    assert sorted(used) == ['i-0', 'i-0', 'i-1', 'i-1', 'i-2', 'i-2']


def test_slots_are_reserved_for_more_urgent_requests() -> None:
    """Guards against endpoints that less urgent requests fill completely."""
    placement = _placement(3)
    loads = {f'i-{n}': LoadSummary(6, 20_000, 0) for n in range(3)}
    placement.update_remote_loads(loads, _HOSTS)
    low = Requirements(service='lm', prompt_tokens=900)
    urgent = Requirements(service='lm', prompt_tokens=900, level=1)
    assert placement.choose(0, low) is None
    assert placement.choose(0, urgent) is not None


def test_prefill_backlog_is_bounded_for_less_urgent_requests() -> None:
    """Guards against urgent requests that wait behind less urgent prompts.

    Seen on the day platform-gone: short requests of the middle level timed
    out behind long prompts that were queued at the engines.
    """
    placement = _placement(4)
    long_request = _long_request('x')
    placed_count = 0
    for number in range(40):
        endpoint = placement.choose(0, long_request)
        if endpoint is None:
            break
        placement.place(str(number), endpoint, long_request)
        placed_count += 1
    assert placed_count < 40
    urgent = Requirements(service='lm', prompt_tokens=900, level=1)
    assert placement.choose(0, urgent) is not None


def test_backlog_ignores_estimated_requests() -> None:
    """Guards against refusing requests for a backlog that is only estimated."""
    placement = _placement(2)
    placement.update_remote_loads({}, 2)
    endpoint = placement.choose(0, _long_request('x'))
    assert endpoint is not None
    placement.place('first', endpoint, _long_request('x'))
    assert placement.choose(0, _long_request('x', 'second')) is not None


def test_new_engine_is_not_flooded_between_load_reports() -> None:
    """Guards against a backlog from all hosts between two load reports.

    Seen on sailom-fleet, trouble-3 --seed 907086237603: seven hosts each
    filled an engine that had just started, and subsequent requests to it
    timed out.
    """
    total = 0
    for _ in range(_HOSTS):
        host = _placement(1)
        host.update_remote_loads({}, _HOSTS)
        for number in range(10):
            endpoint = host.choose(0, _long_request('x', str(number)))
            if endpoint is None:
                break
            host.place(str(number), endpoint, _long_request('x', str(number)))
        total += host.endpoints()[0].prefill_tokens
    assert total <= 2 * 28_000 + _HOSTS * _long_request().prompt_tokens


@pytest.mark.parametrize('level', [0, 1, 2])
def test_new_engine_gets_at_most_its_slots_from_many_hosts(
    level: int,
) -> None:
    """Guards against overloading an engine that was just listed.

    Seen on csft-sealdesk-grown, quiet-1: engines rejected requests since 60
    hosts had each sent up to five as soon as the engine was listed.
    """
    hosts = 60
    engine = Engine(slots=12, kv_tokens=466_000)
    full = {f'i-{n}': LoadSummary(12, 150_000, 0) for n in range(19)}
    total = 0
    for number in range(hosts):
        host = _placement(19, host=f'host-{number}', engine=engine)
        host.update_remote_loads(full, hosts)
        host.update_instances([_instance(index) for index in range(20)])
        for index in range(5):
            requirements = Requirements(
                service='lm',
                prompt_tokens=1500,
                output_tokens=400,
                level=level,
            )
            endpoint = host.choose(0, requirements)
            if endpoint is not None:
                host.place(str(index), endpoint, requirements)
                total += 1
    assert 4 <= total <= engine.slots


def _fill(placement: Placement, endpoint: EndpointState, count: int) -> None:
    for number in range(count):
        requirements = Requirements(
            service='lm', prompt_tokens=100, output_tokens=1
        )
        placement.place(f'fill-{number}', endpoint, requirements)


def test_request_copies_prefix_from_its_full_home() -> None:
    """Guards against prefilling a prefix again when its home is full."""
    placement = _placement()
    home = placement.choose(0, _long_request())
    assert home is not None
    _fill(placement, home, 8)
    other = placement.choose(0, _long_request())
    assert other is not None
    placed = placement.place('r', other, _long_request())
    assert placed.cache_source == home.instance.address
    assert placed.prefill_tokens < _long_request().prefill_work(12_000)


def test_requests_use_the_second_home_if_the_first_is_full() -> None:
    """Guards against prefilling a prefix at a different engine each time."""
    rng = random.Random(3)
    chosen = set()
    for number in range(_HOSTS):
        placement = _placement(8, host=f'host-{number}')
        home = placement.choose(0, _long_request())
        assert home is not None
        loads = {
            f'i-{index}': LoadSummary(rng.randrange(4), 9000, 0)
            for index in range(8)
        }
        loads[home.instance.instance_id] = LoadSummary(8, 60_000, 0)
        placement.update_remote_loads(loads, _HOSTS)
        chosen.add(_id_of(placement, _long_request()))
    assert len(chosen) == 1


def test_new_home_copies_from_the_draining_one() -> None:
    """Guards against prefilling a prefix again after a reclaim."""
    placement = _placement()
    home = placement.choose(0, _long_request())
    assert home is not None
    instances = [endpoint.instance for endpoint in placement.endpoints()]
    for instance in instances:
        if instance is home.instance:
            instance.is_ready = False
            instance.leaves_s = 2
    placement.update_instances(instances)
    other = placement.choose(0, _long_request())
    assert other is not None
    placed = placement.place('r', other, _long_request())
    assert placed.cache_source == home.instance.address


def test_home_that_was_just_listed_copies_from_the_previous_one() -> None:
    """Guards against prefilling a prefix again when engines are added.

    Seen on csft-sealdesk-grown, quiet-1: a burst tripled the number of
    engines, and the new homes copied from each other.
    """
    placement = _placement(6)
    previous_home = placement.choose(0, _long_request())
    assert previous_home is not None
    instances = [_instance(number) for number in range(40)]
    placement.update_instances(instances, 60)
    chosen = placement.choose(61, _long_request())
    assert chosen is not None
    assert chosen is not previous_home
    placed = placement.place('r', chosen, _long_request())
    older = {f'10.0.0.{number}:80' for number in range(6)}
    assert placed.cache_source in older


def test_prefix_is_not_copied_from_an_endpoint_that_failed() -> None:
    """Guards against waiting for a copy from an endpoint that is down."""
    placement = _placement()
    home = placement.choose(0, _long_request())
    assert home is not None
    home.on_failure(0)
    other = placement.choose(0, _long_request())
    assert other is not None
    placed = placement.place('r', other, _long_request())
    assert placed.cache_source != home.instance.address


def test_endpoint_with_cached_prefix_copies_nothing() -> None:
    """Guards against copying a prefix that is already cached."""
    placement = _placement()
    home = placement.choose(0, _long_request())
    assert home is not None
    placement.place('first', home, _long_request())
    assert not placement.place('next', home, _long_request()).cache_source


def test_endpoint_that_fails_at_other_hosts_is_avoided() -> None:
    """Its status check is good, and this host has not sent it anything."""
    placement = _placement(4)
    first = _id_of(placement, _long_request())
    placement.table.update_remote_outcomes({first: OutcomeCounts(6, 5)})
    second = _id_of(placement, _long_request())
    assert second != first
    placement.table.update_remote_outcomes({})
    assert _id_of(placement, _long_request()) == first


def test_endpoints_that_all_fail_are_used_by_their_load() -> None:
    placement = _placement(4)
    first = _id_of(placement, _long_request())
    placement.table.update_remote_outcomes(
        {f'i-{number}': OutcomeCounts(6, 5) for number in range(4)}
    )
    assert _id_of(placement, _long_request()) == first


def test_endpoint_that_failed_during_a_cut_is_chosen_again() -> None:
    """Guards against penalties that outlive a cut of this host's own path."""
    placement = _placement(4)
    first = _id_of(placement, _long_request())
    endpoint = placement.endpoint(first)
    assert endpoint is not None
    for _ in range(4):
        endpoint.on_failure(0)
        endpoint.outcomes.add(0, is_success=False)
    assert _id_of(placement, _long_request()) != first
    placement.table.forget_failures()
    assert _id_of(placement, _long_request()) == first
    assert not endpoint.has_failed

"""Plays loads against the choice of endpoints."""

from __future__ import annotations

import random
from typing import Any

import pytest

from apricotcart.desired.records import Engine
from apricotcart.endpoints.instances import Instance
from apricotcart.gateway.api import PromptPart
from apricotcart.gateway.endpoint_state import EndpointRow, Need, SharedLoad
from apricotcart.gateway.placement import Placement

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
    placement.list_instances(
        [_instance(number, **fields) for number in range(count)],
    )
    return placement


def _chat() -> Need:
    return Need(
        service='lm',
        prompt_tokens=800,
        output_tokens=300,
        level=2,
        is_tight=True,
    )


def _survey(shared: str = 's', own: str = 'o') -> Need:
    return Need(
        service='lm',
        prompt_tokens=12_000,
        output_tokens=400,
        parts=[
            PromptPart(part_id=shared, tokens=5000),
            PromptPart(part_id=own, tokens=7000),
        ],
    )


def _id_of(placement: Placement, need: Need) -> str:
    row = placement.choose(0, need)
    assert row is not None
    return row.instance.instance_id


def test_choose_keeps_tight_streams_from_long_prompts() -> None:
    placement = _placement()
    chats: set[str] = set()
    surveys: set[str] = set()
    for number in range(16):
        for need, used in ((_chat(), chats), (_survey(f's{number}'), surveys)):
            row = placement.choose(0, need)
            if row is not None:
                used.add(row.instance.instance_id)
                placement.place(f'{id(used)}-{number}', row, need)
    assert chats and surveys
    assert not chats & surveys


def test_choose_all_hosts_agree_on_home_of_shared_part() -> None:
    homes = {_id_of(_placement(), _survey('x', str(i))) for i in range(9)}
    assert len(homes) == 1


def test_choose_home_stays_when_other_endpoint_leaves() -> None:
    placement = _placement(8)
    home = _id_of(placement, _survey('x'))
    others = [row for row in placement.rows()]
    placement.list_instances(
        [
            row.instance
            for row in others
            if row.instance.instance_id in {home, 'i-0', 'i-1', 'i-2', 'i-3'}
        ],
    )
    remaining = [_id_of(placement, _survey('x')) for _ in range(2)]
    assert len(set(remaining)) == 1


def test_choose_leaves_busy_home() -> None:
    placement = _placement()
    home = placement.choose(0, _survey('x'))
    assert home is not None
    placement.share(
        {home.instance.instance_id: SharedLoad(7, 20_000, 80_000)},
        _HOSTS,
    )
    assert _id_of(placement, _survey('x')) != home.instance.instance_id


def test_choose_full_endpoints_give_none() -> None:
    placement = _placement(2)
    loads = {f'i-{n}': SharedLoad(8, 0, 0) for n in range(2)}
    placement.share(loads, _HOSTS)
    assert placement.choose(0, _chat()) is None


def test_choose_no_room_in_memory_gives_none() -> None:
    placement = _placement(2)
    loads = {f'i-{n}': SharedLoad(2, 89_000, 0) for n in range(2)}
    placement.share(loads, _HOSTS)
    assert placement.choose(0, _survey()) is None


def test_choose_skips_draining_and_excluded() -> None:
    placement = _placement(2, is_ready=False)
    assert placement.choose(0, _chat()) is None
    placement = _placement(2)
    assert placement.choose(0, _chat(), {'i-0', 'i-1'}) is None


def test_choose_after_failure_takes_another() -> None:
    placement = _placement()
    first = placement.choose(0, _survey('x'))
    assert first is not None
    first.on_failure(0)
    assert _id_of(placement, _survey('x')) != first.instance.instance_id


def test_restart_under_the_same_id_has_no_load() -> None:
    placement = _placement(1)
    row = placement.choose(0, _chat())
    assert row is not None
    placement.place('r', row, _chat())
    placement.list_instances([_instance(0, born_ms=5)])
    assert placement.rows()[0].requests == 0


def test_burst_of_all_hosts_spreads_without_hearing_of_each_other() -> None:
    """Hosts that choose by the same late report must not choose alike."""
    hosts = [_placement(12) for _ in range(_HOSTS)]
    for host in hosts:
        host.share({}, _HOSTS)
    totals: dict[str, int] = {}
    rng = random.Random(4)
    for number in range(24):
        host = rng.choice(hosts)
        row = host.choose(0, _chat())
        if row is None:
            continue
        host.place(str(number), row, _chat())
        name = row.instance.instance_id
        totals[name] = totals.get(name, 0) + 1
    assert max(totals.values()) <= 2 * 24 / 3
    assert len(totals) == 3


def test_plain_service_shares_by_requests() -> None:
    placement = Placement('a')
    placement.list_instances(
        [_instance(n, zone='b', service='app', slots=2) for n in range(3)],
    )
    used = []
    for number in range(6):
        need = Need(service='app')
        row = placement.choose(0, need)
        assert row is not None
        placement.place(str(number), row, need)
        used.append(row.instance.instance_id)
    assert sorted(used) == ['i-0', 'i-0', 'i-1', 'i-1', 'i-2', 'i-2']


def test_room_is_kept_for_more_urgent_requests() -> None:
    """Hosts that fill up with low requests must not refuse urgent ones."""
    placement = _placement(3)
    loads = {f'i-{n}': SharedLoad(6, 20_000, 0) for n in range(3)}
    placement.share(loads, _HOSTS)
    low = Need(service='lm', prompt_tokens=900)
    urgent = Need(service='lm', prompt_tokens=900, level=1)
    assert placement.choose(0, low) is None
    assert placement.choose(0, urgent) is not None


def test_backlog_of_prompts_is_kept_short_for_more_urgent_requests() -> None:
    """Guards against urgent requests that wait behind less urgent prompts.

    Seen on the day platform-gone: short requests of the middle level reached
    their deadline behind long prompts that engines had queued.
    """
    placement = _placement(4)
    survey = _survey('x')
    begun = 0
    for number in range(40):
        row = placement.choose(0, survey)
        if row is None:
            break
        placement.place(str(number), row, survey)
        begun += 1
    assert begun < 40
    urgent = Need(service='lm', prompt_tokens=900, level=1)
    assert placement.choose(0, urgent) is not None


def test_backlog_is_judged_by_what_was_heard() -> None:
    """Guards against engines that look full of what nobody sent."""
    placement = _placement(2)
    placement.share({}, 2)
    row = placement.choose(0, _survey('x'))
    assert row is not None
    placement.place('first', row, _survey('x'))
    assert placement.choose(0, _survey('x', 'second')) is not None


def test_new_engine_is_not_flooded_by_hosts_that_do_not_hear() -> None:
    """Guards against a backlog that all hosts build up at once.

    Seen on sailom-fleet, trouble-3 --seed 907086237603: seven hosts each
    filled an engine that had just started, and what came after them reached
    its deadline there.
    """
    total = 0
    for _ in range(_HOSTS):
        host = _placement(1)
        host.share({}, _HOSTS)
        for number in range(10):
            row = host.choose(0, _survey('x', str(number)))
            if row is None:
                break
            host.place(str(number), row, _survey('x', str(number)))
        total += host.rows()[0].unread_tokens
    assert total <= 2 * 28_000 + _HOSTS * _survey().prompt_tokens


@pytest.mark.parametrize('level', [0, 1, 2])
def test_new_engine_takes_as_many_from_many_hosts_as_it_can_run(
    level: int,
) -> None:
    """Guards against requests of all hosts on an engine just listed.

    Seen on csft-sealdesk-grown, quiet-1: engines turned requests away since
    60 hosts had each sent up to five at the moment the engine was listed.
    """
    hosts = 60
    engine = Engine(slots=12, kv_tokens=466_000)
    full = {f'i-{n}': SharedLoad(12, 150_000, 0) for n in range(19)}
    total = 0
    for number in range(hosts):
        host = _placement(19, host=f'host-{number}', engine=engine)
        host.share(full, hosts)
        host.list_instances([_instance(each) for each in range(20)])
        for each in range(5):
            need = Need(
                service='lm',
                prompt_tokens=1500,
                output_tokens=400,
                level=level,
            )
            row = host.choose(0, need)
            if row is not None:
                host.place(str(each), row, need)
                total += 1
    assert 4 <= total <= engine.slots


def _fill(placement: Placement, row: EndpointRow, count: int) -> None:
    for number in range(count):
        need = Need(service='lm', prompt_tokens=100, output_tokens=1)
        placement.place(f'fill-{number}', row, need)


def test_request_beside_its_full_home_copies_from_there() -> None:
    """Guards against reading shared parts again beside a busy home."""
    placement = _placement()
    home = placement.choose(0, _survey())
    assert home is not None
    _fill(placement, home, 8)
    other = placement.choose(0, _survey())
    assert other is not None
    placed = placement.place('r', other, _survey())
    assert placed.cache_source == home.instance.address
    assert placed.unread_tokens < _survey().read_work(12_000)


def test_requests_beside_their_full_home_meet_at_the_second_one() -> None:
    """Guards against a part that is read at a different engine each time."""
    rng = random.Random(3)
    chosen = set()
    for number in range(_HOSTS):
        placement = _placement(8, host=f'host-{number}')
        home = placement.choose(0, _survey())
        assert home is not None
        loads = {
            f'i-{each}': SharedLoad(rng.randrange(4), 9000, 0)
            for each in range(8)
        }
        loads[home.instance.instance_id] = SharedLoad(8, 60_000, 0)
        placement.share(loads, _HOSTS)
        chosen.add(_id_of(placement, _survey()))
    assert len(chosen) == 1


def test_new_home_copies_from_the_leaving_one() -> None:
    """Guards against reading shared parts again after a reclaim."""
    placement = _placement()
    home = placement.choose(0, _survey())
    assert home is not None
    instances = [row.instance for row in placement.rows()]
    for instance in instances:
        if instance is home.instance:
            instance.is_ready = False
            instance.leaves_s = 2
    placement.list_instances(instances)
    other = placement.choose(0, _survey())
    assert other is not None
    placed = placement.place('r', other, _survey())
    assert placed.cache_source == home.instance.address


def test_home_that_was_just_listed_copies_from_the_one_before() -> None:
    """Guards against reading shared parts again when engines are added.

    Seen on csft-sealdesk-grown, quiet-1: a burst brought three times as many
    engines, and the new homes copied from each other.
    """
    placement = _placement(6)
    before = placement.choose(0, _survey())
    assert before is not None
    instances = [_instance(number) for number in range(40)]
    placement.list_instances(instances, 60)
    chosen = placement.choose(61, _survey())
    assert chosen is not None
    assert chosen is not before
    placed = placement.place('r', chosen, _survey())
    older = {f'10.0.0.{number}:80' for number in range(6)}
    assert placed.cache_source in older


def test_parts_are_not_copied_from_an_endpoint_that_failed() -> None:
    """Guards against waiting for a copy from an endpoint that is down."""
    placement = _placement()
    home = placement.choose(0, _survey())
    assert home is not None
    home.on_failure(0)
    other = placement.choose(0, _survey())
    assert other is not None
    placed = placement.place('r', other, _survey())
    assert placed.cache_source != home.instance.address


def test_endpoint_that_keeps_the_parts_copies_nothing() -> None:
    """Guards against copies that bring nothing."""
    placement = _placement()
    home = placement.choose(0, _survey())
    assert home is not None
    placement.place('first', home, _survey())
    assert not placement.place('next', home, _survey()).cache_source

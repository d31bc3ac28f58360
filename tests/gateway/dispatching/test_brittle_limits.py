"""Guards against rejections that make brittle endpoints end."""

from __future__ import annotations

import pytest

from apricotcart.endpoints.instances import Instance
from apricotcart.gateway.api import EndpointNotice
from apricotcart.gateway.dispatching.brittle_limits import BrittleLimits
from apricotcart.gateway.dispatching.endpoint_state import (
    EndpointState,
    LoadSummary,
    PlacedRequest,
    Requirements,
)
from apricotcart.gateway.dispatching.placement import Placement
from apricotcart.gateway.dispatching.rate_limits import RateLimits
from apricotcart.gateway.dispatching.rate_share import RateShare

_SLOTS = 4
_NOW = 100.0
_APP = Requirements(service='app', level=2)


def _endpoint(number: int = 0) -> EndpointState:
    return EndpointState(
        Instance(
            instance_id=f'i-{number}',
            service='app',
            address=f'10.0.0.{number}:80',
            zone='a',
            slots=_SLOTS,
            is_ready=True,
        )
    )


def _limits(rank: int = 0, hosts: int = 1) -> BrittleLimits:
    rate_limits = RateLimits()
    rate_limits.update_share(RateShare(rank, hosts))
    return BrittleLimits(rate_limits)


def _say(
    endpoint: EndpointState, rejections: int | None, sent_at: float = _NOW
) -> None:
    notice = EndpointNotice(rejections_per_s=rejections)
    endpoint.notices.apply(notice, sent_at, sent_at)


def _fill(endpoint: EndpointState, limits: BrittleLimits) -> int:
    """Place requests while they are allowed; return their number."""
    for number in range(10 * _SLOTS):
        if not limits.allows(endpoint, _SLOTS, _NOW):
            return number
        endpoint.local_requests[str(number)] = PlacedRequest(_APP, 0, '')
    return 10 * _SLOTS


def _loaded(rejections: int) -> EndpointState:
    """Return a brittle endpoint that is full by all reports."""
    endpoint = _endpoint()
    _say(endpoint, rejections)
    endpoint.remote_load = LoadSummary(requests=_SLOTS)
    return endpoint


def test_sound_endpoint_is_not_limited() -> None:
    assert _fill(_endpoint(), _limits()) == 10 * _SLOTS


@pytest.mark.parametrize('hosts', [1, 3, 6, 60])
@pytest.mark.parametrize('rejections', [0, 1, 20])
def test_hosts_together_fill_the_slots_and_no_more(
    hosts: int, rejections: int
) -> None:
    placed = [
        _fill(_loaded(rejections), _limits(rank, hosts))
        for rank in range(hosts)
    ]
    assert sum(placed) == _SLOTS


@pytest.mark.parametrize('hosts', [1, 6, 60])
@pytest.mark.parametrize('rejections', [2, 5, 20])
def test_hosts_that_see_room_risk_no_more_than_the_number(
    hosts: int, rejections: int
) -> None:
    """All of them may see the same slots free at the same time."""
    most = 0
    for rank in range(hosts):
        limits = _limits(rank, hosts)
        endpoint = _endpoint()
        _say(endpoint, rejections)
        endpoint.rejections.loaded_until = _NOW + 1
        most += _fill(endpoint, limits)
    assert _SLOTS <= most <= _SLOTS + rejections


def test_rejection_takes_a_place_for_more_than_a_second() -> None:
    """Guards against hosts that try again at an endpoint that is full."""
    endpoint = _loaded(1)
    endpoint.rejections.add(_NOW - 1.1)
    assert _fill(endpoint, _limits()) == _SLOTS - 1


def test_rejections_in_a_row_end_all_risk_for_longer_each_time() -> None:
    endpoint = _endpoint()
    pauses_s = []
    now = _NOW
    for _ in range(4):
        endpoint.rejections.add(now)
        end = now
        while endpoint.rejections.is_paused(end):
            end += 0.5
        pauses_s.append(end - now)
        now = end
    assert pauses_s == sorted(set(pauses_s))


def test_word_of_one_endpoint_holds_for_those_not_heard_since() -> None:
    """Guards against a burst to endpoints that have not answered yet."""
    limits = _limits()
    told, silent, sound = _endpoint(1), _endpoint(2), _endpoint(3)
    _say(told, 3)
    _say(sound, None, _NOW + 1)
    limits.update_service('app', [told, silent, sound], _NOW + 1)
    assert limits.rejections_per_s(told) == 3
    assert limits.rejections_per_s(silent) == 3
    assert limits.rejections_per_s(sound) is None


def test_word_ends_with_the_first_answer_without_it() -> None:
    limits = _limits()
    told, silent = _endpoint(1), _endpoint(2)
    _say(told, 3)
    limits.update_service('app', [told, silent], _NOW)
    _say(told, None, _NOW + 1)
    limits.update_service('app', [told, silent], _NOW + 1)
    assert limits.rejections_per_s(told) is None
    assert limits.rejections_per_s(silent) is None


@pytest.mark.parametrize('rejections', [0, 1, 20])
def test_host_without_a_place_uses_endpoints_that_are_not_full(
    rejections: int,
) -> None:
    """Guards against callers who are refused while the endpoints idle."""
    for rank in range(60):
        endpoint = _endpoint()
        _say(endpoint, rejections)
        assert _limits(rank, 60).allows(endpoint, _SLOTS, _NOW)


def test_placement_applies_the_word_to_all_endpoints_of_the_service() -> None:
    placement = Placement('a')
    placement.limits.rates.update_share(RateShare(0, 60))
    instances = [_endpoint(number).instance for number in range(2)]
    placement.update_instances(instances)
    first, second = placement.endpoints()
    _say(first, 0)
    for endpoint in (first, second):
        endpoint.remote_load = LoadSummary(requests=_SLOTS)
    assert placement.choose(_NOW, _APP) is None
    _say(second, None, _NOW + 1)
    assert placement.choose(_NOW + 1, _APP) is second

"""Guards against requests to endpoints of evacuated zones."""

from __future__ import annotations

from apricotcart.coordinator.exchange_messages import EvacuatedZones, ZoneStatus
from apricotcart.endpoints.instances import Instance
from apricotcart.gateway.dispatching.cold_limits import ColdLimit
from apricotcart.gateway.dispatching.endpoint_state import Requirements
from apricotcart.gateway.dispatching.placement import Placement

_NOW = 100.0
_APP = Requirements(service='app', level=2)


def _instance(zone: str) -> Instance:
    return Instance(
        instance_id=f'i-{zone}',
        service='app',
        address='10.0.0.1:80',
        zone=zone,
        slots=4,
        is_ready=True,
        software_version=zone,
    )


def _placement() -> Placement:
    placement = Placement('a')
    placement.update_instances([_instance('a'), _instance('b')], _NOW)
    return placement


def _zones(revision: int, **zones: bool) -> EvacuatedZones:
    words = {
        zone: ZoneStatus(
            is_evacuated=is_evacuated, revision=revision, age_s=0.5
        )
        for zone, is_evacuated in zones.items()
    }
    return EvacuatedZones.from_wire(EvacuatedZones(zones=words).to_wire())


def _cold(placement: Placement) -> int:
    cold = placement.limits.cold
    return cold.count_limited(placement.endpoints(), _NOW)


def _chosen(placement: Placement, *excluded: str) -> str:
    endpoint = placement.choose(_NOW, _APP, excluded)
    return '' if endpoint is None else endpoint.instance.zone


def test_no_request_is_placed_in_an_evacuated_zone() -> None:
    placement = _placement()
    assert _chosen(placement) == 'a'
    placement.evacuations.replace(_zones(1, a=True), _NOW)
    assert _chosen(placement) == 'b'
    assert not _chosen(placement, 'i-b')
    pinned = Requirements(service='app', software_version='a')
    assert not placement.serves(pinned, ())
    placement.evacuations.replace(_zones(2, a=False), _NOW)
    assert _chosen(placement) == 'a'


def test_endpoints_that_start_in_an_evacuated_zone_get_nothing() -> None:
    placement = _placement()
    placement.evacuations.replace(_zones(1, c=True, a=True, b=True), _NOW)
    placement.update_instances([_instance('c'), _instance('a')], _NOW)
    assert not _chosen(placement)


def test_host_that_is_cut_off_sends_nothing_after_its_lease() -> None:
    placement = _placement()
    evacuations = placement.evacuations
    evacuations.require_confirmation(11)
    assert not _chosen(placement)
    evacuations.confirm(_NOW - 11)
    assert _chosen(placement)
    evacuations.confirm(_NOW - 11.1)
    assert not _chosen(placement)
    # A leader of an earlier build does not know of evacuations.
    evacuations.require_confirmation(None)
    assert _chosen(placement)


def test_zone_that_was_taken_back_is_suspected_until_a_newer_list() -> None:
    placement = _placement()
    evacuations = placement.evacuations
    limit = ColdLimit(rate_per_s=1, cold_s=3)
    placement.limits.cold.configure({'app': limit})
    evacuations.replace(_zones(1, a=True), _NOW)
    evacuations.replace(_zones(2, a=False), _NOW)
    assert _cold(placement) == 1
    evacuations.forget_suspicions(_NOW - 0.6, _NOW)
    assert evacuations.has_suspicions
    evacuations.forget_suspicions(_NOW - 0.5, _NOW)
    assert not _cold(placement)
    evacuations.replace(_zones(3, a=False, b=True), _NOW)
    assert evacuations.has_suspicions
    evacuations.forget_suspicions(0, _NOW + 60)
    assert not evacuations.has_suspicions

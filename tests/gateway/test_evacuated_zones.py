"""Guards against requests before the evacuated zones are known."""

from __future__ import annotations

from threading import Thread

import pytest

from apricotcart.coordinator.exchange_messages import (
    EvacuatedZones,
    SharedFigures,
    ZoneStatus,
)
from apricotcart.endpoints.instances import Instance
from apricotcart.gateway.dispatching.dispatcher import Dispatcher
from apricotcart.gateway.dispatching.endpoint_state import Requirements
from apricotcart.gateway.dispatching.placement import Placement
from apricotcart.gateway.dispatching.queued_request import QueuedRequest
from apricotcart.gateway.errors import BusyError
from apricotcart.gateway.evacuated_zones import ZoneObserver
from apricotcart.gateway.shared_figures import FigureExchange
from apricotcart.timers.clock import boot_clock_s

_LEASE_S = 11
_USUAL_S = 0.3


class Gateway:
    """Gateway that is in touch with a leader."""

    def __init__(self) -> None:
        placement = Placement('a')
        placement.update_instances(
            [
                Instance(
                    instance_id=f'i-{zone}',
                    service='app',
                    address='10.0.0.1:80',
                    zone=zone,
                    slots=4,
                    is_ready=True,
                )
                for zone in 'ab'
            ]
        )
        self.dispatcher = Dispatcher(placement)
        self.zones = ZoneObserver(
            self.dispatcher, placement.evacuations, _LEASE_S
        )
        self.figures = FigureExchange((self.zones,))

    def sync(self, evacuated: str = '', age_s: float = 0) -> None:
        words = {
            zone: ZoneStatus(is_evacuated=True, revision=1, age_s=0)
            for zone in evacuated
        }
        zones = EvacuatedZones(zones=words).to_wire()
        self.figures.on_leader(is_understood=True)
        shared = SharedFigures(evacuations=zones).to_wire()
        self.figures.apply(shared, boot_clock_s() - age_s)

    def zone_of_request(self, wait_s: float = 0.01) -> str:
        request = QueuedRequest(
            request_id='r',
            requirements=Requirements(service='app', level=2),
            rank=(0, 0),
            refuse_at=boot_clock_s() + wait_s,
            excluded=set(),
        )
        ticks = Thread(target=self._tick, args=(wait_s,))
        ticks.start()
        endpoint = self.dispatcher.acquire(request)
        ticks.join()
        return endpoint.instance.zone

    def _tick(self, wait_s: float) -> None:
        end = boot_clock_s() + wait_s + 0.1
        while boot_clock_s() < end:
            self.dispatcher.tick()


def test_requests_wait_for_the_zones_and_obey_them() -> None:
    gateway = Gateway()
    gateway.figures.on_leader(is_understood=True)
    assert gateway.zones.interval_s(_USUAL_S) < _USUAL_S
    with pytest.raises(BusyError):
        gateway.zone_of_request()
    gateway.sync('a')
    assert gateway.zone_of_request() == 'b'
    assert gateway.zones.interval_s(_USUAL_S) == pytest.approx(_USUAL_S)
    figures = gateway.figures.request(0) or {}
    assert figures['evacuation_revision'] == 1


def test_all_zones_evacuated_is_refused_as_not_run() -> None:
    gateway = Gateway()
    gateway.sync('ab')
    with pytest.raises(BusyError) as caught:
        gateway.zone_of_request()
    assert caught.value.run_state == 'not_run'


def test_gateway_without_confirmation_stops_sending(
    caplog: pytest.LogCaptureFixture,
) -> None:
    gateway = Gateway()
    gateway.sync(age_s=_LEASE_S + 1)
    with pytest.raises(BusyError), caplog.at_level('INFO'):
        gateway.zones.interval_s(_USUAL_S)
        gateway.zone_of_request()
    assert 'evacuations_outdated' in caplog.text


def test_leader_of_an_earlier_build_needs_no_confirmation() -> None:
    gateway = Gateway()
    gateway.figures.on_leader(is_understood=False)
    assert gateway.zone_of_request() == 'a'

"""Usage reports and endpoint orders, sent while this host leads."""

from __future__ import annotations

import logging
from collections.abc import Sequence
from typing import Final

from apricotcart.control.loop import ConsensusLoop
from apricotcart.coordinator.authority import DutyAuthority
from apricotcart.coordinator.endpoint_list import EndpointList
from apricotcart.coordinator.hosts import GatewayTable
from apricotcart.coordinator.state import (
    CLOSE_WINDOW,
    FENCE,
    WINDOW_SENT,
    CoordinatorState,
)
from apricotcart.coordinator.usage_plan import windows_to_close
from apricotcart.desired.api import DocumentFormat
from apricotcart.desired.records import DesiredState, Service
from apricotcart.endpoints.instances import Instance
from apricotcart.errors.tree import ApricotcartError
from apricotcart.observability.decisions import (
    DUTIES_LOST,
    DUTIES_TAKEN,
    ENDPOINTS_ORDERED,
    USAGE_SENT,
    log_decision,
)
from apricotcart.provisioning.autoscaling import Autoscaler
from apricotcart.provisioning.fleet_api import (
    EndpointOrder,
    FencedCall,
    FleetPlatform,
    StaleFencingError,
)
from apricotcart.provisioning.scaling_inputs import ClosedZones, ServiceLoad
from apricotcart.settings.fleet import FleetBoundSettings
from apricotcart.timers.clock import SteadyUnixClock, boot_clock_s

_LOG = logging.getLogger(__name__)
DUTY_INTERVAL_S: Final = 0.4
_COMMIT_TIMEOUT_S: Final = 1.5
# Longest duration of one call of the platform.
_MAX_CALL_S: Final = 1.0


class Duties:
    """Runs the duties of the leader at the platform.

    Parameters
    ----------
    name : str
        Name of this host.
    loop : ConsensusLoop
        Provides the lease and commits commands.
    state : CoordinatorState
        State that the replicated log has applied.
    platform : FleetPlatform
        Receives usage reports and endpoint orders.
    gateways : GatewayTable
        Usage and load that the gateways report.
    endpoints : EndpointList
        Cached list of endpoints.
    document_format : DocumentFormat
        Decodes the document of the desired state.
    clock : SteadyUnixClock
        Clock for Unix time.
    bounds : FleetBoundSettings
        Usage window and fencing lease of the platform.
    """

    def __init__(
        self,
        *,
        name: str,
        loop: ConsensusLoop,
        state: CoordinatorState,
        platform: FleetPlatform,
        gateways: GatewayTable,
        endpoints: EndpointList,
        document_format: DocumentFormat,
        clock: SteadyUnixClock,
        bounds: FleetBoundSettings,
    ) -> None:
        self._name = name
        self._loop = loop
        self._state = state
        self._platform = platform
        self._gateways = gateways
        self._endpoints = endpoints
        self._format = document_format
        self._clock = clock
        self._window_s = bounds.usage_window_s
        self._authority = DutyAuthority(bounds.fencing_lease_ms / 1000)
        self._scalers: dict[str, Autoscaler] = {}
        self._closed_zones = ClosedZones()
        self._desired: DesiredState | None = None
        self._first_window = int(clock.now_s() // bounds.usage_window_s)

    def run(self) -> None:
        """Run one round of all duties that are due."""
        if not self._may_send():
            self._acquire_token()
            return
        self._close_windows()
        self._report_usage()
        self._order_endpoints()

    def _may_send(self) -> bool:
        return self._authority.may_send(
            boot_clock_s(),
            self._loop.lease_until(),
            _MAX_CALL_S,
        )

    def _acquire_token(self) -> None:
        term = self._loop.term()
        now = boot_clock_s()
        lease_until = self._loop.lease_until()
        if not self._authority.needs_token(now, lease_until, term):
            return
        reply = self._loop.propose(
            {'kind': FENCE, 'holder': self._name},
            _COMMIT_TIMEOUT_S,
        )
        if reply.get('ok'):
            self._scalers.clear()
            self._authority.accept_token(boot_clock_s(), term, reply['fencing'])
            log_decision(DUTIES_TAKEN, fencing=reply['fencing'], term=term)

    def _close_windows(self) -> None:
        complete = windows_to_close(
            self._clock.now_s(),
            self._window_s,
            self._state.windows,
            self._first_window,
        )
        for window in complete:
            counts = self._gateways.usage_in(window)
            command = {
                'kind': CLOSE_WINDOW,
                'window': window,
                'counts': counts,
            }
            self._loop.propose(command, _COMMIT_TIMEOUT_S)

    def _report_usage(self) -> None:
        windows = dict(self._state.windows)
        for number in sorted(windows):
            window = windows[number]
            if window.is_reported or not self._may_send():
                continue
            try:
                self._platform.report(
                    self._fenced_call(), number, window.counts
                )
            except StaleFencingError as exc:
                self._on_stale_token(exc)
                return
            except ApricotcartError as exc:
                _LOG.warning(
                    'usage of window %s was not reported: %s', number, exc
                )
                return
            log_decision(
                USAGE_SENT,
                window=number,
                requests=sum(window.counts.values()),
            )
            self._loop.propose(
                {'kind': WINDOW_SENT, 'window': number},
                _COMMIT_TIMEOUT_S,
            )

    def _order_endpoints(self) -> None:
        if not self._endpoints.is_fresh():
            return
        instances = self._endpoints.instances()
        now = boot_clock_s()
        closed_zones = self._closed_zones.update(
            self._state.evacuations.evacuated(), now
        )
        for service in self._services():
            scaler = self._scalers.setdefault(service.name, Autoscaler())
            owned = [
                instance
                for instance in instances
                if instance.service == service.name
            ]
            load = self._service_load(service, owned)
            for order in scaler.decide(now, service, owned, load, closed_zones):
                if not self._send_order(scaler, order):
                    return

    def _send_order(self, scaler: Autoscaler, order: EndpointOrder) -> bool:
        if not self._may_send():
            return False
        try:
            is_taken = self._platform.order(self._fenced_call(), order)
        except StaleFencingError as exc:
            self._on_stale_token(exc)
            return False
        except ApricotcartError as exc:
            _LOG.warning('endpoint order failed: %s', exc)
            return False
        log_decision(
            ENDPOINTS_ORDERED,
            pool=order.service,
            zone=order.zone,
            kind='spot' if order.is_spot else 'regular',
            count=order.count,
            outcome='taken' if is_taken else 'none',
        )
        scaler.record_result(boot_clock_s(), order, is_accepted=is_taken)
        return True

    def _services(self) -> Sequence[Service]:
        state = self._state
        if state.version < 0:
            return ()
        if self._desired is None or self._desired.version != state.version:
            self._desired = self._format.decode(state.document)
        return [
            service for service in self._desired.services if service.scaling
        ]

    def _service_load(
        self,
        service: Service,
        instances: Sequence[Instance],
    ) -> ServiceLoad:
        now = boot_clock_s()
        requests, _, unread = self._gateways.queued_loads(now).get(
            service.name,
            [0, 0, 0],
        )
        loads = self._gateways.loads_excluding('', now)
        for instance in instances:
            figures = loads.get(instance.instance_id, [0, 0, 0])
            requests += figures[0]
            unread += figures[2]
        return ServiceLoad(requests=requests, unread_tokens=unread)

    def _fenced_call(self) -> FencedCall:
        return FencedCall(holder=self._name, token=self._authority.token)

    def _on_stale_token(self, exc: ApricotcartError) -> None:
        log_decision(
            DUTIES_LOST,
            fencing=self._authority.token,
            reason=exc.code,
        )
        self._authority.revoke_token()

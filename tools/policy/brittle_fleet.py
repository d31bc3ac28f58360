"""Simulates engines that fall over when they reject too many requests."""

from __future__ import annotations

from collections.abc import Mapping
from typing import Final

from apricotcart.desired.records import Engine
from apricotcart.gateway.api import EndpointNotice
from apricotcart.gateway.dispatching.endpoint_state import EndpointState
from apricotcart.gateway.dispatching.rate_share import RateShare
from policy.gateway_fleet import (
    GatewayFleet,
    RequestKind,
    SimulatedEngine,
    SimulatedGateway,
)

# Time after the first word in which rejections do not count.
CONTACT_S: Final = 3.0
# Time until an engine that fell over accepts requests again.
_DOWN_S: Final = 4.0
_WINDOW_S: Final = 1.0
# Start of the simulation in Unix time.
_UNIX_START_S: Final = 1_764_900_000.3


class BrittleEngine:
    """Rejections of one engine, and when it fell over.

    Attributes
    ----------
    rejected_at, fell_at : list of float
        Times in seconds.
    down_until : float
        Time until which it accepts nothing.
    run : int
        Number of times it has started again.
    """

    __slots__ = ('down_until', 'fell_at', 'rejected_at', 'run')

    def __init__(self) -> None:
        self.rejected_at: list[float] = []
        self.fell_at: list[float] = []
        self.down_until: float = 0
        self.run = 0

    def most_rejected(self, since: float) -> int:
        """Return the most rejections in a second that begins after a time."""
        counted = [at for at in self.rejected_at if at >= since]
        return max(
            (
                sum(start <= at < start + _WINDOW_S for at in counted)
                for start in counted
            ),
            default=0,
        )


class BrittleFleet(GatewayFleet):
    """Gateways and engines that say how many rejections they withstand.

    An engine has no queue: it rejects what it has no slot for.

    Parameters
    ----------
    hosts, engines, slots : int
        Number of gateways and of engines, and slots of each engine.
    kind : RequestKind
        Requests that arrive, evenly at all gateways.
    rejections_per_s : int
        What each engine withstands.
    capacities : mapping of str to Engine
        Capacity of the engines, by service; empty for a service whose
        endpoints are no engines.
    names_it : bool
        Whether the engines name that number.
    seed : int
        Seed of arrivals and of their gateways.
    """

    def __init__(
        self,
        *,
        hosts: int,
        engines: int,
        slots: int,
        kind: RequestKind,
        rejections_per_s: int,
        capacities: Mapping[str, Engine],
        names_it: bool = True,
        seed: int = 1,
    ) -> None:
        super().__init__(
            hosts=hosts,
            engines=engines,
            slots=slots,
            kinds=[kind],
            seed=seed,
        )
        self.brittle = {name: BrittleEngine() for name in self.engines}
        self._rejections_per_s = rejections_per_s
        self._notice = EndpointNotice(
            rejections_per_s=rejections_per_s if names_it else None
        )
        self._sent: dict[str, tuple[float, int]] = {}
        for rank, gateway in enumerate(self.gateways):
            gateway.placement.configure(capacities)
            gateway.placement.limits.rates.update_share(
                RateShare(rank, hosts, _UNIX_START_S)
            )

    @property
    def falls(self) -> int:
        """How often engines fell over."""
        return sum(len(engine.fell_at) for engine in self.brittle.values())

    def most_rejected(self) -> int:
        """Return the most rejections of one engine in a second."""
        return max(
            engine.most_rejected(CONTACT_S) for engine in self.brittle.values()
        )

    def _reach(
        self, gateway: SimulatedGateway, name: str, endpoint: EndpointState
    ) -> None:
        instance_id = endpoint.instance.instance_id
        brittle = self.brittle[instance_id]
        engine = self.engines[instance_id]
        self._sent[name] = (self.now, brittle.run)
        if self.now < brittle.down_until:
            endpoint.on_failure(self.now)
            self._later(0, self._fail, gateway, name, endpoint)
            return
        if engine.running >= engine.slots:
            self._count_rejection(engine, brittle)
        super()._reach(gateway, name, endpoint)

    def _count_rejection(
        self, engine: SimulatedEngine, brittle: BrittleEngine
    ) -> None:
        brittle.rejected_at.append(self.now)
        counted_since = max(CONTACT_S, self.now - _WINDOW_S)
        recent = [at for at in brittle.rejected_at if at > counted_since]
        if len(recent) > self._rejections_per_s:
            brittle.fell_at.append(self.now)
            brittle.down_until = self.now + _DOWN_S
            brittle.run += 1

    def _retry(
        self, gateway: SimulatedGateway, name: str, endpoint: EndpointState
    ) -> None:
        self._hear(name, endpoint)
        endpoint.rejections.add(self.now)
        super()._retry(gateway, name, endpoint)

    def _begin(
        self, gateway: SimulatedGateway, name: str, endpoint: EndpointState
    ) -> None:
        if self._is_lost(name, endpoint):
            self._lose(gateway, name, endpoint)
            return
        self._hear(name, endpoint)
        super()._begin(gateway, name, endpoint)

    def _finish(
        self, gateway: SimulatedGateway, name: str, endpoint: EndpointState
    ) -> None:
        if self._is_lost(name, endpoint):
            self._lose(gateway, name, endpoint)
            return
        super()._finish(gateway, name, endpoint)

    def _hear(self, name: str, endpoint: EndpointState) -> None:
        sent_at, _ = self._sent[name]
        endpoint.notices.apply(self._notice, sent_at, self.now)

    def _is_lost(self, name: str, endpoint: EndpointState) -> bool:
        _, run = self._sent[name]
        return run != self.brittle[endpoint.instance.instance_id].run

    def _lose(
        self, gateway: SimulatedGateway, name: str, endpoint: EndpointState
    ) -> None:
        self.engines[endpoint.instance.instance_id].running -= 1
        endpoint.on_failure(self.now)
        self._fail(gateway, name, endpoint)

"""Fixture that forwards calls to endpoints on loopback."""

from __future__ import annotations

import itertools
from collections.abc import Iterable, Iterator, Mapping, Sequence
from typing import Any

import pytest
from gateway.endpoints import RawEndpoint, Script

from apricotcart.desired.records import Customer, Route, RouteKind, Split
from apricotcart.desired.urgency import Urgency
from apricotcart.endpoints.instances import Instance
from apricotcart.gateway.api import (
    ForwardedRequest,
    PromptPart,
    RequestMetadata,
)
from apricotcart.gateway.attempts import AttemptRunner
from apricotcart.gateway.call import Call
from apricotcart.gateway.crash_quarantine import CrashQuarantine
from apricotcart.gateway.dispatching.dispatcher import (
    TICK_INTERVAL_S,
    Dispatcher,
)
from apricotcart.gateway.dispatching.placement import Placement
from apricotcart.gateway.endpoint_upstream import EndpointUpstream
from apricotcart.gateway.exchanges.connection_pool import ConnectionPool
from apricotcart.gateway.forwarding import Forwarder
from apricotcart.gateway.hedging.hedger import NoHedger
from apricotcart.gateway.retry_policy import RetryPolicy
from apricotcart.gateway.routing_decision import RoutingDecision
from apricotcart.gateway.sender import Sender
from apricotcart.gateway.usage import UsageCounter
from apricotcart.platform.headers import PlatformHeaderCodec
from apricotcart.resumption.origins import StreamOrigin
from apricotcart.resumption.record_store import RecordStore
from apricotcart.resumption.serving_versions import VersionsByService
from apricotcart.resumption.stream_origins import StreamOrigins
from apricotcart.resumption.version_source import VersionSource
from apricotcart.timers.clock import SteadyUnixClock, boot_clock_s
from apricotcart.timers.repeating import RepeatingTimer

_ids = itertools.count(1)


class MemoryStore(RecordStore):
    """Keeps the records in memory."""

    def __init__(self) -> None:
        self.origins: dict[str, StreamOrigin] = {}
        self.is_available = True

    def replace_members(self, node_ids: Iterable[str]) -> None:
        """Ignore the members."""

    def store(self, origins: Mapping[str, StreamOrigin]) -> set[str]:
        if not self.is_available:
            return set()
        self.origins.update(origins)
        return set(origins)

    def find(self, attempt_id: str) -> StreamOrigin | None:
        return self.origins.get(attempt_id)


class Versions(VersionSource):
    """Versions that the control hosts have committed, None while cut off."""

    def __init__(self, committed: VersionsByService | None = None) -> None:
        self.committed = committed
        self.reads: list[float] = []

    def read_since(self, since: float) -> VersionsByService | None:
        self.reads.append(since)
        return self.committed


class Bench:
    """Forwards calls to scripted endpoints."""

    def __init__(self, pool: ConnectionPool | None = None) -> None:
        self.pool = pool or ConnectionPool()
        self.endpoints: list[RawEndpoint] = []
        # Software versions of the endpoints; the same for all if empty.
        self.software_versions: Sequence[str] = ()
        self.placement = Placement('a')
        self.dispatcher = Dispatcher(self.placement)
        self.records = MemoryStore()
        self.versions = Versions()
        self.origins = StreamOrigins(self.records, self.versions)
        self.usage = UsageCounter(SteadyUnixClock.from_host(), 5)
        self.upstream = EndpointUpstream(
            dispatcher=self.dispatcher,
            pool=self.pool,
            header_codec=PlatformHeaderCodec(),
            retry_policy=RetryPolicy(1, 100),
            usage=self.usage,
            quarantine=CrashQuarantine(),
            origins=self.origins,
        )
        self.sender = Sender(self.upstream)
        self.attempts = AttemptRunner(self.sender)
        self.forwarder = Forwarder(self.sender, self.attempts, NoHedger())

    def serve(self, *scripts: Script) -> list[RawEndpoint]:
        self.share([RawEndpoint(script) for script in scripts])
        return self.endpoints

    def share(self, endpoints: list[RawEndpoint]) -> None:
        """Send requests to endpoints that other gateways may use too."""
        self.endpoints = endpoints
        self.drain('')

    def drain(self, address: str) -> None:
        self.placement.update_instances(
            Instance(
                instance_id=f'i-{number}',
                service='app',
                address=endpoint.address,
                zone='a',
                slots=4,
                is_ready=endpoint.address != address,
                software_version=self._software_version(number),
            )
            for number, endpoint in enumerate(self.endpoints)
        )
        self.commit(self.dispatcher.listed_versions())

    def commit(self, versions: VersionsByService) -> None:
        """Let the control hosts and this host know versions."""
        self.versions.committed = versions
        self.placement.update_versions(versions)

    def call(
        self,
        kind: RouteKind = RouteKind.ONCE,
        *,
        resumable: bool = False,
        wait_s: float = 2,
        parts: Sequence[PromptPart] = (),
        **message: Any,
    ) -> Call:
        attempt_id = f'x{next(_ids)}'
        fields: dict[str, Any] = {
            'method': 'POST',
            'target': '/a/b?c=%2F',
            'headers': [('Host', 'h'), ('Attempt-Id', attempt_id)],
            'body': b'payload',
        }
        return Call(
            dispatcher=self.dispatcher,
            message=ForwardedRequest(**{**fields, **message}),
            metadata=RequestMetadata(
                attempt_id=attempt_id, wait_s=wait_s, parts=parts
            ),
            routing=RoutingDecision(
                route=Route(
                    name='r',
                    host='h',
                    prefix='/a/',
                    kind=kind,
                    splits=[Split(service='app', weight=1)],
                    timeout_s=wait_s,
                    target_s=0.4,
                    max_endpoints=2,
                    resumable=resumable,
                ),
                customer=Customer(name='guild', keys=['k']),
                service='app',
                urgency=Urgency(
                    levels_above=0, level=0, is_latency_critical=False
                ),
                version=1,
                state_age_s=0,
            ),
            started_at=boot_clock_s(),
        )

    def _software_version(self, number: int) -> str:
        if not self.software_versions:
            return 'v1'
        return self.software_versions[number]

    def running(self) -> int:
        return sum(
            len(endpoint.local_requests)
            for endpoint in self.placement.endpoints()
        )


@pytest.fixture
def bench() -> Iterator[Bench]:
    """Return a test bench and close its endpoints afterwards."""
    created = Bench()
    ticks = RepeatingTimer('tick', TICK_INTERVAL_S, created.dispatcher.tick)
    ticks.start()
    yield created
    ticks.stop()
    for endpoint in created.endpoints:
        endpoint.close()

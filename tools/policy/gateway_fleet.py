"""Simulates the placement of many gateways that share simulated engines.

The decisions are those of the gateways: each has its own placement and queue,
reports to the table of the leader with its syncs, and learns the load and the
outcomes of the others from the replies. Network and engines are simulated on
a scripted clock.
"""

from __future__ import annotations

import heapq
import itertools
import random
from collections import Counter, defaultdict
from collections.abc import Callable, Mapping, Sequence
from typing import Final

from apricotcart.coordinator.customer_loads import JoinedCustomerLoads
from apricotcart.coordinator.exchange_messages import (
    GatewayFigures,
    SharedFigures,
)
from apricotcart.coordinator.hosts import GatewayTable
from apricotcart.coordinator.shared_figures import FigureStore
from apricotcart.coordinator.stream_demands import StreamDemands
from apricotcart.coordinator.sync_messages import SyncRequest
from apricotcart.desired.records import Engine
from apricotcart.endpoints.instances import Instance
from apricotcart.endpoints.recent_outcomes import OutcomeCounts
from apricotcart.gateway.api import PromptPart
from apricotcart.gateway.dispatching.dispatcher import running_on
from apricotcart.gateway.dispatching.endpoint_state import (
    EndpointState,
    LoadSummary,
    Requirements,
)
from apricotcart.gateway.dispatching.joined_loads import count_loads
from apricotcart.gateway.dispatching.placement import Placement
from apricotcart.gateway.dispatching.queued_request import (
    Assigned,
    QueuedRequest,
    queue_timeout_s,
)
from apricotcart.gateway.dispatching.request_queue import (
    RequestQueue,
)
from apricotcart.gateway.dispatching.shared_demand import count_streams

SYNC_INTERVAL_S: Final = 0.3
_TICK_S: Final = 0.05
# One way between a gateway and an engine or the leader.
_DELAY_S: Final = 0.005
_PREFILL_TOKENS_PER_S: Final = 125_000
_TOKENS_PER_S: Final = 250
_KV_TOKENS: Final = 520_000
_SERVICE: Final = 'lm'
_ZONES: Final = 'abcdef'
# Timeout of a caller as a multiple of the target time.
_DEADLINE_FACTOR: Final = 8


class RequestKind:
    """One kind of request.

    Parameters
    ----------
    name : str
        Name in the results.
    rate_per_s : float
        Requests a second to all gateways together.
    shared_tokens, own_tokens, output_tokens : int
        Size of the shared and of the own part of a prompt, and of an answer.
    prefixes : int
        Number of different shared parts.
    level : int
        Number of less urgent levels.
    target_s : float
        Target time to the first token, in seconds.
    """

    __slots__ = (
        'level',
        'name',
        'output_tokens',
        'own_tokens',
        'prefixes',
        'rate_per_s',
        'shared_tokens',
        'target_s',
    )

    def __init__(
        self,
        *,
        name: str,
        rate_per_s: float,
        shared_tokens: int,
        own_tokens: int,
        output_tokens: int,
        prefixes: int = 50,
        level: int = 0,
        target_s: float = 1.5,
    ) -> None:
        self.name = name
        self.rate_per_s = rate_per_s
        self.shared_tokens = shared_tokens
        self.own_tokens = own_tokens
        self.output_tokens = output_tokens
        self.prefixes = prefixes
        self.level = level
        self.target_s = target_s

    def requirements(self, rng: random.Random) -> Requirements:
        """Return what one such request requires."""
        shared = f'{self.name}-{rng.randrange(self.prefixes)}'
        return Requirements(
            service=_SERVICE,
            prompt_tokens=self.shared_tokens + self.own_tokens,
            output_tokens=self.output_tokens,
            parts=[
                PromptPart(part_id=shared, tokens=self.shared_tokens),
                PromptPart(part_id='', tokens=self.own_tokens),
            ],
            is_latency_critical=self.level > 1,
            level=self.level,
        )


class SimulatedEngine:
    """Prefills prompts one after another and refuses requests when full.

    Attributes
    ----------
    failure_ratio : float
        Ratio of the requests that it answers with an error.
    accepted : Counter
        Number of accepted requests by second.
    """

    __slots__ = (
        '_cached',
        '_prefill_ends_at',
        'accepted',
        'failure_ratio',
        'instance',
        'running',
        'slots',
    )

    def __init__(self, instance: Instance, slots: int) -> None:
        self.instance = instance
        self.slots = slots
        self.running = 0
        self.failure_ratio: float = 0
        self.accepted: Counter[int] = Counter()
        self._prefill_ends_at: float = 0
        self._cached: set[str] = set()

    def prefill(self, now: float, requirements: Requirements) -> float:
        """Accept a request and return when its first token is ready."""
        self.running += 1
        self.accepted[int(now)] += 1
        tokens = requirements.unshared_tokens
        if requirements.shared_prefix_id not in self._cached:
            self._cached.add(requirements.shared_prefix_id)
            tokens = requirements.prompt_tokens
        start = max(now, self._prefill_ends_at)
        self._prefill_ends_at = start + tokens / _PREFILL_TOKENS_PER_S
        return self._prefill_ends_at


class SimulatedGateway:
    """Placement and queue of one gateway."""

    __slots__ = ('has_tick', 'name', 'placement', 'queue')

    def __init__(self, name: str, zone: str) -> None:
        self.name = name
        self.placement = Placement(zone, name)
        self.queue = RequestQueue(self.placement)
        # Whether the queue is processed again without another event.
        self.has_tick = False


class Tally:
    """What callers and engines have seen.

    Attributes
    ----------
    first_s : dict of str to list of float
        Times to the first token by kind of request, in seconds.
    refused : Counter
        Requests that gateways refused, by kind.
    rejections : int
        Requests that engines rejected since they were full.
    errors_at : list of float
        Times of the errors of engines, in seconds.
    """

    __slots__ = ('errors_at', 'first_s', 'refused', 'rejections')

    def __init__(self) -> None:
        self.first_s: defaultdict[str, list[float]] = defaultdict(list)
        self.refused: Counter[str] = Counter()
        self.rejections = 0
        self.errors_at: list[float] = []

    def late_ratio(self, kind: RequestKind) -> float:
        """Return the ratio of requests refused or after their target."""
        times = self.first_s[kind.name]
        refused = self.refused[kind.name]
        late = sum(first_s > kind.target_s for first_s in times)
        return (late + refused) / max(1, len(times) + refused)


class _Event:
    """An action at a time; events of one time run in the order of numbers."""

    __slots__ = ('at', 'number', 'run')

    def __init__(self, at: float, number: int, run: Callable[[], None]) -> None:
        self.at = at
        self.number = number
        self.run = run

    def __lt__(self, other: _Event) -> bool:
        return (self.at, self.number) < (other.at, other.number)


class Arrival:
    """A request and when it arrived."""

    __slots__ = ('arrived_at', 'excluded', 'kind', 'requirements')

    def __init__(
        self, now: float, kind: RequestKind, requirements: Requirements
    ) -> None:
        self.arrived_at = now
        self.kind = kind
        self.requirements = requirements
        self.excluded: set[str] = set()


class GatewayFleet:
    """Gateways, engines and the leader's table on one scripted clock.

    Parameters
    ----------
    hosts, engines, slots : int
        Number of gateways and of engines, and slots of each engine.
    kinds : sequence of RequestKind
        Requests that arrive, evenly at all gateways.
    seed : int
        Seed of arrivals and of their gateways.
    """

    def __init__(
        self,
        *,
        hosts: int,
        engines: int,
        slots: int,
        kinds: Sequence[RequestKind],
        seed: int = 1,
    ) -> None:
        self.now: float = 0
        self.tally = Tally()
        self.engines: dict[str, SimulatedEngine] = {}
        self._slots = slots
        self._rng = random.Random(seed)
        self._ids = itertools.count()
        self._events: list[_Event] = []
        self._arrivals: dict[str, Arrival] = {}
        self._table = GatewayTable()
        self._stores: Sequence[FigureStore] = (
            StreamDemands(),
            JoinedCustomerLoads(),
        )
        self.gateways = [
            SimulatedGateway(f'g{number}', _ZONES[number % len(_ZONES)])
            for number in range(hosts)
        ]
        for gateway in self.gateways:
            gateway.placement.configure(
                {_SERVICE: Engine(slots=slots, kv_tokens=_KV_TOKENS)}
            )
            self._later(
                self._rng.uniform(0, SYNC_INTERVAL_S), self._sync, gateway
            )
        self.add_engines(engines)
        for kind in kinds:
            self._later(0, self._arrive, kind)

    def run(self, until: float) -> None:
        """Run the events up to a time in seconds."""
        while self._events and self._events[0].at <= until:
            event = heapq.heappop(self._events)
            self.now = event.at
            event.run()
        self.now = until

    def add_engines(self, count: int) -> list[SimulatedEngine]:
        """Add empty engines, which all gateways list at once."""
        added = [self._build_engine() for _ in range(count)]
        instances = [engine.instance for engine in self.engines.values()]
        for gateway in self.gateways:
            gateway.placement.update_instances(instances, self.now)
        return added

    def busy_ratio(self) -> float:
        """Return the ratio of slots in use."""
        running = sum(engine.running for engine in self.engines.values())
        return running / (len(self.engines) * self._slots)

    def new_arrival(self, kind: RequestKind) -> Arrival:
        """Return a request that arrives now."""
        return Arrival(self.now, kind, kind.requirements(self._rng))

    def _build_engine(self) -> SimulatedEngine:
        number = len(self.engines)
        instance = Instance(
            instance_id=f'i-{number}',
            service=_SERVICE,
            address=f'10.0.0.{number}:80',
            zone=_ZONES[number % len(_ZONES)],
            slots=self._slots,
            is_ready=True,
        )
        engine = SimulatedEngine(instance, self._slots)
        self.engines[instance.instance_id] = engine
        return engine

    def _later(
        self, delay_s: float, action: Callable[..., None], *args: object
    ) -> None:
        event = _Event(
            self.now + delay_s, next(self._ids), lambda: action(*args)
        )
        heapq.heappush(self._events, event)

    def _arrive(self, kind: RequestKind) -> None:
        self._later(self._rng.expovariate(kind.rate_per_s), self._arrive, kind)
        gateway = self._rng.choice(self.gateways)
        arrival = self.new_arrival(kind)
        self._enqueue(gateway, f'r{next(self._ids)}', arrival)
        self._decide(gateway)

    def _enqueue(
        self, gateway: SimulatedGateway, name: str, arrival: Arrival
    ) -> None:
        kind = arrival.kind
        timeout_s = queue_timeout_s(
            kind.target_s, _DEADLINE_FACTOR * kind.target_s, kind.level
        )
        self._arrivals[name] = arrival
        gateway.queue.add(
            QueuedRequest(
                request_id=name,
                requirements=arrival.requirements,
                rank=(-kind.level, arrival.arrived_at),
                refuse_at=arrival.arrived_at + timeout_s,
                excluded=arrival.excluded,
            )
        )

    def _decide(self, gateway: SimulatedGateway) -> None:
        for decision in gateway.queue.decide(self.now):
            name = decision.request_id
            if isinstance(decision, Assigned):
                self._later(
                    _DELAY_S, self._reach, gateway, name, decision.endpoint
                )
            else:
                arrival = self._arrivals.pop(name)
                self.tally.refused[arrival.kind.name] += 1
        if len(gateway.queue) and not gateway.has_tick:
            gateway.has_tick = True
            self._later(_TICK_S, self._tick, gateway)

    def _tick(self, gateway: SimulatedGateway) -> None:
        gateway.has_tick = False
        self._decide(gateway)

    def _reach(
        self, gateway: SimulatedGateway, name: str, endpoint: EndpointState
    ) -> None:
        engine = self.engines[endpoint.instance.instance_id]
        arrival = self._arrivals[name]
        if self._rng.random() < engine.failure_ratio:
            self.tally.errors_at.append(self.now)
            self._later(_DELAY_S, self._fail, gateway, name, endpoint)
            return
        if engine.running >= engine.slots:
            self.tally.rejections += 1
            self._later(_DELAY_S, self._retry, gateway, name, endpoint)
            return
        first_at = engine.prefill(self.now, arrival.requirements)
        delay_s = first_at - self.now + _DELAY_S
        self._later(delay_s, self._begin, gateway, name, endpoint)

    def _begin(
        self, gateway: SimulatedGateway, name: str, endpoint: EndpointState
    ) -> None:
        arrival = self._arrivals[name]
        first_s = self.now - arrival.arrived_at
        self.tally.first_s[arrival.kind.name].append(first_s)
        self._on_first(name, first_s)
        endpoint.local_requests[name].is_prefilled = True
        decode_s = arrival.requirements.output_tokens / _TOKENS_PER_S
        self._later(decode_s, self._finish, gateway, name, endpoint)

    def _on_first(self, name: str, first_s: float) -> None:
        """Record the time to the first token of a request."""

    def _finish(
        self, gateway: SimulatedGateway, name: str, endpoint: EndpointState
    ) -> None:
        self.engines[endpoint.instance.instance_id].running -= 1
        endpoint.outcomes.add(self.now, is_success=True)
        endpoint.on_success()
        self._release(gateway, name, endpoint)
        self._arrivals.pop(name)

    def _fail(
        self, gateway: SimulatedGateway, name: str, endpoint: EndpointState
    ) -> None:
        endpoint.outcomes.add(self.now, is_success=False)
        self._release(gateway, name, endpoint)
        self._arrivals.pop(name)

    def _retry(
        self, gateway: SimulatedGateway, name: str, endpoint: EndpointState
    ) -> None:
        endpoint.on_failure(self.now)
        arrival = self._arrivals[name]
        arrival.excluded.add(endpoint.instance.instance_id)
        self._enqueue(gateway, name, arrival)
        self._release(gateway, name, endpoint)

    def _release(
        self, gateway: SimulatedGateway, name: str, endpoint: EndpointState
    ) -> None:
        endpoint.local_requests.pop(name)
        if len(gateway.queue):
            self._decide(gateway)

    def _sync(self, gateway: SimulatedGateway) -> None:
        request = self._sync_request(gateway)
        self._table.on_sync(request, self.now)
        loads = self._table.loads_excluding(gateway.name, self.now)
        failing = self._table.failing_excluding(gateway.name, self.now)
        shared = self._exchange(gateway)
        self._later(_DELAY_S, self._apply, gateway, loads, failing, shared)
        self._later(SYNC_INTERVAL_S, self._sync, gateway)

    def _exchange(self, gateway: SimulatedGateway) -> SharedFigures:
        running = [
            requirements
            for endpoint in gateway.placement.endpoints()
            for requirements in running_on(endpoint)
        ]
        queued = gateway.queue.queued_requirements()
        figures = GatewayFigures(
            customer_loads=count_loads(running, queued),
            stream_demands=count_streams([*running, *queued]),
        )
        shared = SharedFigures()
        for store in self._stores:
            store.on_figures(gateway.name, figures, self.now)
            store.add_shared(gateway.name, shared, self.now)
        return shared

    def _sync_request(self, gateway: SimulatedGateway) -> SyncRequest:
        endpoints = gateway.placement.endpoints()
        return SyncRequest(
            host=gateway.name,
            incarnation=gateway.name,
            address=gateway.name,
            zone='',
            is_serving=True,
            version=1,
            list_mark=0,
            loads={
                endpoint.instance.instance_id: _load_of(endpoint)
                for endpoint in endpoints
                if endpoint.local_requests
            },
            waiting={},
            usage={},
            outcomes={
                endpoint.instance.instance_id: endpoint.outcomes.local(
                    self.now
                ).to_wire()
                for endpoint in endpoints
            },
        )

    def _apply(
        self,
        gateway: SimulatedGateway,
        loads: Mapping[str, Sequence[int]],
        failing: Mapping[str, Sequence[int]],
        shared: SharedFigures,
    ) -> None:
        placement = gateway.placement
        placement.reservation.update(shared.stream_demands, self.now)
        gateway.queue.joined_loads.update(shared.customer_loads, self.now)
        placement.update_remote_loads(
            {name: LoadSummary(*totals) for name, totals in loads.items()},
            len(self.gateways),
        )
        placement.table.update_remote_outcomes(
            {name: OutcomeCounts(*counts) for name, counts in failing.items()}
        )
        if len(gateway.queue):
            self._decide(gateway)


def _load_of(endpoint: EndpointState) -> Sequence[int]:
    placed = endpoint.local_requests.values()
    return [
        len(placed),
        sum(request.requirements.tokens for request in placed),
        endpoint.local_prefill_tokens,
    ]

"""Thread-safe access to the request queue and the placement."""

from __future__ import annotations

import enum
import math
import random
import threading
from collections.abc import Callable, Collection, Iterable
from typing import Final, TypeVar

from apricotcart.endpoints.recent_outcomes import OutcomeCounts
from apricotcart.gateway.api import EndpointNotice
from apricotcart.gateway.dispatching.endpoint_state import (
    EndpointState,
    LoadSummary,
    Requirements,
)
from apricotcart.gateway.dispatching.placement import Placement
from apricotcart.gateway.dispatching.queued_request import (
    Assigned,
    Decision,
    QueuedRequest,
)
from apricotcart.gateway.dispatching.request_queue import (
    RequestQueue,
)
from apricotcart.gateway.errors import BusyError, CallerLeftError
from apricotcart.observability.decisions import (
    ENDPOINT_NOTICE,
    log_decision,
)
from apricotcart.resumption.serving_versions import (
    VersionsByService,
    listed_versions,
)
from apricotcart.timers.clock import boot_clock_s

Answer = TypeVar('Answer')
# Interval at which the queue is processed without other events.
TICK_INTERVAL_S: Final = 0.05
# Why a request was refused.
CUSTOMER_SHARE: Final = 'customer_share'
QUEUE_TIMEOUT: Final = 'queue_timeout'


class Outcome(enum.Enum):
    """How a request to an endpoint ended."""

    SUCCESS = enum.auto()
    # The endpoint is up, and may well serve other requests.
    ERROR_RESPONSE = enum.auto()
    # It did not run the request, most often since it is full for a moment.
    REFUSAL = enum.auto()
    FAILURE = enum.auto()


class LoadReport:
    """What this host reports to the leader about its requests.

    Attributes
    ----------
    loads : dict of str to LoadSummary
        Running requests by endpoint.
    outcomes : dict of str to OutcomeCounts
        Recent outcomes by endpoint.
    waiting : dict of str to LoadSummary
        Queued requests by service.
    running, queued : list of Requirements
        What each running and each queued request requires.
    """

    __slots__ = ('loads', 'outcomes', 'queued', 'running', 'waiting')

    def __init__(self) -> None:
        self.running: list[Requirements] = []
        self.queued: list[Requirements] = []
        self.loads: dict[str, LoadSummary] = {}
        self.outcomes: dict[str, OutcomeCounts] = {}
        self.waiting: dict[str, LoadSummary] = {}


class PendingDecision:
    """A decision for which the thread of a request waits."""

    __slots__ = ('_decided', 'decision', 'is_cancelled')

    def __init__(self) -> None:
        self._decided = threading.Event()
        self.decision: Decision | None = None
        self.is_cancelled = False

    def decide(self, decision: Decision | None) -> None:
        """Set the decision and wake the thread."""
        self.decision = decision
        self._decided.set()

    def wait(self) -> None:
        """Block until there is a decision."""
        self._decided.wait()


class Dispatcher:
    """Request queue and placement, shared by all threads.

    Parameters
    ----------
    placement : Placement
        Chooses endpoints.
    rng : random.Random or None
        Spreads the times of retries; None for the same time for all.

    Attributes
    ----------
    listed_until : float
        Up to when the list of endpoints has every change, in seconds;
        infinite until a list of a known age is in use.
    joined_loads : JoinedLoads
        Load of each customer over all hosts, which `update_placement` changes.
    loads_updated_at : float
        When the other hosts' load was last applied, in seconds.
    """

    __slots__ = (
        '_lock',
        '_placement',
        '_queue',
        '_pending',
        'joined_loads',
        'listed_until',
        'loads_updated_at',
    )

    def __init__(
        self, placement: Placement, rng: random.Random | None = None
    ) -> None:
        self._lock = threading.Lock()
        self._placement = placement
        self._queue = RequestQueue(placement, rng)
        self.joined_loads = self._queue.joined_loads
        self._pending: dict[str, PendingDecision] = {}
        self.loads_updated_at = boot_clock_s()
        self.listed_until = math.inf

    def acquire(self, request: QueuedRequest) -> EndpointState:
        """Queue a request and block until an endpoint is assigned.

        Raises
        ------
        BusyError
            If the request is refused.
        CallerLeftError
            If `cancel` was called meanwhile.
        """
        pending = PendingDecision()
        with self._lock:
            self._pending[request.request_id] = pending
            self._queue.add(request)
            self._decide()
        pending.wait()
        return _endpoint_of(pending)

    def acquire_free(
        self,
        request_id: str,
        requirements: Requirements,
        excluded: Collection[str],
    ) -> EndpointState | None:
        """Return an endpoint with room that no other request waits for.

        Parameters
        ----------
        request_id : str
            The request, which is not queued.
        requirements : Requirements
            What it requires, at the lowest level.
        excluded : collection of str
            Ids of endpoints that it must not be sent to.
        """
        with self._lock:
            queued = self._queue.queued_requirements()
            if any(each.service == requirements.service for each in queued):
                return None
            endpoint = self._placement.choose(
                boot_clock_s(), requirements, excluded
            )
            if endpoint is not None:
                self._placement.place(request_id, endpoint, requirements)
            return endpoint

    def cancel(self, request_id: str) -> None:
        """Remove a request from the queue and wake its thread."""
        with self._lock:
            self._queue.remove(request_id)
            pending = self._pending.pop(request_id, None)
        if pending is not None:
            pending.is_cancelled = True
            pending.decide(None)

    def mark_prefilled(self, request_id: str, endpoint: EndpointState) -> None:
        """Record that an endpoint has prefilled the prompt of a request."""
        with self._lock:
            placed = endpoint.local_requests.get(request_id)
            if placed is not None:
                placed.is_prefilled = True

    def release(self, request_id: str, endpoint: EndpointState) -> None:
        """Free the slot of a request at an endpoint."""
        with self._lock:
            endpoint.local_requests.pop(request_id, None)
            self._decide()

    def record_outcome(self, endpoint: EndpointState, outcome: Outcome) -> None:
        """Record how a request to an endpoint ended."""
        now = boot_clock_s()
        with self._lock:
            if outcome is not Outcome.REFUSAL:
                is_success = outcome is Outcome.SUCCESS
                endpoint.outcomes.add(now, is_success=is_success)
            if outcome is Outcome.SUCCESS:
                endpoint.on_success()
            elif outcome is not Outcome.ERROR_RESPONSE:
                endpoint.on_failure(now)
            if outcome is Outcome.REFUSAL:
                endpoint.rejections.add(now)

    def record_notice(
        self, endpoint: EndpointState, notice: EndpointNotice, sent_at: float
    ) -> None:
        """Apply what an endpoint says about itself with a response."""
        with self._lock:
            has_changed = endpoint.notices.apply(
                notice, sent_at, boot_clock_s()
            )
        if has_changed:
            log_decision(
                ENDPOINT_NOTICE,
                endpoint=endpoint.instance.instance_id,
                is_leaving=endpoint.notices.is_leaving,
                limit_per_s=endpoint.notices.limit_per_s,
                rejections_per_s=endpoint.notices.rejections_per_s,
                retry_after_s=notice.pause_s,
                cold_s=notice.cold_s,
                duration_s=boot_clock_s() - sent_at,
            )

    def tick(self) -> None:
        """Process the queue, which enforces the queue timeouts."""
        with self._lock:
            if len(self._queue):
                self._decide()

    def update_placement(self, change: Callable[[Placement], None]) -> None:
        """Apply a change to the placement and process the queue."""
        with self._lock:
            change(self._placement)
            self._decide()

    def update_remote_loads(
        self, loads: dict[str, LoadSummary], hosts: int
    ) -> None:
        """Apply the load of the other hosts on each endpoint."""
        with self._lock:
            self.loads_updated_at = boot_clock_s()
            self._placement.update_remote_loads(loads, hosts)
            self._decide()

    def read_placement(self, read: Callable[[Placement], Answer]) -> Answer:
        """Return what a function reads of the placement."""
        with self._lock:
            return read(self._placement)

    def listed_versions(self) -> VersionsByService:
        """Return the software versions of the listed endpoints."""
        with self._lock:
            return listed_versions(
                endpoint.instance for endpoint in self._placement.endpoints()
            )

    def serves(
        self, requirements: Requirements, excluded: Collection[str]
    ) -> bool:
        """Return whether an endpoint may ever accept a request."""
        with self._lock:
            return self._placement.serves(requirements, excluded)

    def load_report(self) -> LoadReport:
        """Return this host's load on each endpoint and its queue."""
        now = boot_clock_s()
        report = LoadReport()
        with self._lock:
            report.queued = self._queue.queued_requirements()
            for endpoint in self._placement.endpoints():
                _add_endpoint(report, endpoint, now)
        for requirements in report.queued:
            load = report.waiting.setdefault(
                requirements.service, LoadSummary()
            )
            _add_requirements(load, requirements)
        return report

    def _decide(self) -> None:
        decided: Iterable[Decision] = list(self._queue.decide(boot_clock_s()))
        for decision in decided:
            pending = self._pending.pop(decision.request_id, None)
            if pending is not None:
                pending.decide(decision)


def _endpoint_of(pending: PendingDecision) -> EndpointState:
    decision = pending.decision
    if decision is None:
        raise CallerLeftError('the caller closed its connection while queued')
    if isinstance(decision, Assigned):
        return decision.endpoint
    if decision.is_over_share:
        raise BusyError(
            'the customer used its share while others waited',
            retry_after_s=decision.retry_after_s,
            detail=CUSTOMER_SHARE,
        )
    raise BusyError(
        'no endpoint had free capacity before the queue timeout',
        retry_after_s=decision.retry_after_s,
        detail=QUEUE_TIMEOUT,
    )


def _add_endpoint(
    report: LoadReport, endpoint: EndpointState, now: float
) -> None:
    name = endpoint.instance.instance_id
    if endpoint.local_requests:
        report.loads[name] = _load_of(endpoint)
        report.running += running_on(endpoint)
    outcomes = endpoint.outcomes.local(now)
    if not outcomes.is_empty:
        report.outcomes[name] = outcomes


def running_on(endpoint: EndpointState) -> list[Requirements]:
    """Return what the requests of this host on an endpoint require."""
    return [placed.requirements for placed in endpoint.local_requests.values()]


def _load_of(endpoint: EndpointState) -> LoadSummary:
    load = LoadSummary()
    for placed in endpoint.local_requests.values():
        load.requests += 1
        load.tokens += placed.requirements.tokens
        load.prefill_tokens += (
            0 if placed.is_prefilled else placed.prefill_tokens
        )
    return load


def _add_requirements(load: LoadSummary, requirements: Requirements) -> None:
    load.requests += 1
    load.tokens += requirements.tokens
    load.prefill_tokens += requirements.prompt_tokens

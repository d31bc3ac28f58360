"""One request on its way through queue, endpoints and retries."""

from __future__ import annotations

import time
import uuid
from typing import Self

from apricotcart.entry.configuration import Configuration, Grant, RouteView
from apricotcart.entry.dispatcher import Dispatcher
from apricotcart.entry.errors import (
    CallerGoneError,
    CutOffWhileRunningError,
    DeadlineExceededError,
    EndpointUnreachableError,
    KeyWithdrawnError,
    ShedError,
    ShedMayHaveRunError,
    StaleConfigurationError,
)
from apricotcart.entry.past_attempts import PastAttempts
from apricotcart.entry.running import RunningRequest, RunningTable
from apricotcart.entry.upstream import Upstream, UpstreamAnswer, UpstreamCall
from apricotcart.errors.tree import ApricotcartError
from apricotcart.observability.catalogue import (
    QUEUE_WAIT_S,
    REQUEST_S,
    REQUESTS,
    SHED,
    Metric,
)
from apricotcart.observability.telemetry import Telemetry
from apricotcart.scheduling.records import QueuedRequest
from apricotcart.web.errors import UnauthorizedError
from apricotcart.web.request import WebRequest

# An endpoint that is silent for this many times its target has frozen.
_STALL_FACTOR = 10
_STALL_MIN_S = 3.0
_CLASS = 'class'
TRACEPARENT = 'traceparent'


class Runtime:
    """What all requests of one entry host share."""

    __slots__ = (
        'configuration',
        'dispatcher',
        'running',
        'telemetry',
        'upstream',
    )

    def __init__(
        self,
        *,
        configuration: Configuration,
        dispatcher: Dispatcher,
        running: RunningTable,
        telemetry: Telemetry,
        upstream: Upstream,
    ) -> None:
        """Keep the parts."""
        self.configuration = configuration
        self.dispatcher = dispatcher
        self.running = running
        self.telemetry = telemetry
        self.upstream = upstream


class Job:
    """A request that was admitted, with identity, route and deadline.

    Attributes
    ----------
    request_id : str
        Id that every attempt carries and every answer must repeat.
    deadline_at : float
        Total deadline on the monotonic clock in seconds; retries keep it.
    excluded : list of str
        Endpoints on which earlier attempts failed.
    past : PastAttempts
        What the failed attempts say of whether the request was run.
    """

    __slots__ = (
        'attempts',
        'deadline_at',
        'endpoint',
        'excluded',
        'grant',
        'hop',
        'past',
        'queued',
        'req',
        'request_id',
        'route',
        'running',
        'runtime',
        'started_at',
    )

    def __init__(
        self,
        runtime: Runtime,
        req: WebRequest,
        grant: Grant,
        route: RouteView,
    ) -> None:
        """Give the request its id and its deadline."""
        self.runtime = runtime
        self.req = req
        self.grant = grant
        self.route = route
        self.request_id = uuid.uuid4().hex
        self.started_at = time.monotonic()
        self.deadline_at = self.started_at + route.total_s
        self.attempts = 0
        self.endpoint = ''
        self.past = PastAttempts()
        self.queued: QueuedRequest | None = None
        self.hop = runtime.telemetry.open_hop(
            route.kind,
            req.header(TRACEPARENT) or None,
            self._attributes(),
        )
        self.excluded: list[str] = []
        self.running: RunningRequest = runtime.running.add(
            self.request_id,
            grant.key_name,
        )

    def describe(self, **sizes: object) -> QueuedRequest:
        """Describe the request for the scheduler."""
        return QueuedRequest(
            request_id=self.request_id,
            customer=self.grant.customer,
            class_name=self.route.class_name,
            pool=self.route.pool,
            model=self.route.model,
            deadline_at=self.deadline_at,
            excluded_endpoints=self.excluded,
            **sizes,  # type: ignore[arg-type]
        )

    def acquire(self, queued: QueuedRequest) -> str:
        """Wait for an endpoint; the key is checked once more after that.

        Raises
        ------
        UnauthorizedError
            If the key was withdrawn while the request waited.
        """
        dispatcher = self.runtime.dispatcher
        self.queued = queued
        self.attempts += 1
        waits_since = time.monotonic()
        endpoint = self._dispatched(queued)
        self.endpoint = endpoint
        waited_s = time.monotonic() - waits_since
        # An attribute and no span: a span costs 60 us in each request.
        self.hop.fields['queue_wait_s'] = waited_s
        self.observe(QUEUE_WAIT_S, waited_s)
        if self.running.is_revoked:
            dispatcher.finish(self.request_id, 'cancelled')
            raise UnauthorizedError('the key was withdrawn')
        return endpoint

    def send(
        self,
        endpoint: str,
        call: UpstreamCall,
        *,
        fresh: bool = False,
    ) -> UpstreamAnswer:
        """Send the request to its endpoint.

        Raises
        ------
        EndpointUnreachableError, StaleConfigurationError
            If nothing was sent.
        EndpointError
            If the request may have left.
        """
        # A host that was frozen after the decision must not send on what it
        # knew before.
        self.runtime.configuration.require_fresh()
        self.runtime.configuration.require_dispatchable(endpoint)
        if not call.url:
            raise EndpointUnreachableError(f'endpoint {endpoint} is gone')
        answer = self.runtime.upstream.send(call, fresh=fresh)
        self.running.attach(answer.abort)
        return answer

    def end_attempt(self, endpoint: str, outcome: str) -> None:
        """Free the slot on the endpoint and note how it went."""
        self.runtime.dispatcher.finish(self.request_id, outcome)
        if outcome != 'ok':
            self.excluded.append(endpoint)

    def __enter__(self) -> Self:
        """Run the request."""
        return self

    def __exit__(
        self,
        exc_type: type[BaseException] | None,
        exc: BaseException | None,
        traceback: object,
    ) -> None:
        """End the request.

        Raises
        ------
        MayHaveRunError
            Instead of a failure that says `not_run` after an earlier attempt
            that may have run.
        """
        failure = exc
        if isinstance(exc, ApricotcartError):
            failure = self.past.truthful(exc)
        self.close(failure)
        if failure is not None and failure is not exc:
            raise failure from exc

    def close(self, failure: BaseException | None = None) -> None:
        """Remove the request from the running ones and note how it ended."""
        self.runtime.running.remove(self.request_id)
        # A failed stream that has begun ends with an error event instead of
        # an exception.
        code = _failure_code(failure) or self.hop.fields.get('outcome')
        self.hop.fields['attempt'] = self.attempts
        self.hop.end(code)
        self.observe(REQUEST_S, time.monotonic() - self.started_at)
        self.count(REQUESTS, 'outcome', code or 'ok')

    def observe(self, metric: Metric, seconds: float) -> None:
        """Add an observation under the request's class."""
        labels = {_CLASS: self.route.class_name}
        self.runtime.telemetry.metrics.observe(metric, seconds, labels)

    def count(
        self,
        metric: Metric,
        label: str,
        label_value: str,
        amount: int = 1,
    ) -> None:
        """Count something under the request's class and one more label."""
        labels = {_CLASS: self.route.class_name, label: label_value}
        self.runtime.telemetry.metrics.count(metric, labels, amount)

    def left_s(self) -> float:
        """Give the time to the deadline in seconds.

        Raises
        ------
        DeadlineExceededError
            If the deadline has passed.
        """
        left = self.deadline_at - time.monotonic()
        if left <= 0:
            raise DeadlineExceededError('the deadline of the request passed')
        return left

    def stall_s(self, target_s: float) -> float:
        """Give the longest silence allowed for a target, in seconds."""
        return min(max(target_s * _STALL_FACTOR, _STALL_MIN_S), self.left_s())

    def check_key(self) -> None:
        """End the request if its key was withdrawn, or may be.

        Raises
        ------
        KeyWithdrawnError
            If the key was withdrawn.
        CutOffWhileRunningError
            If the copy is too old to tell.
        """
        if not self.running.is_revoked:
            return
        try:
            self.runtime.configuration.require_fresh()
        except StaleConfigurationError as exc:
            raise CutOffWhileRunningError(exc.message) from exc
        raise KeyWithdrawnError('the key was withdrawn')

    def _attributes(self) -> dict[str, str]:
        return {
            'request_id': self.request_id,
            'customer': self.grant.customer,
            'route': self.route.name,
            _CLASS: self.route.class_name,
        }

    def _dispatched(self, queued: QueuedRequest) -> str:
        dispatcher = self.runtime.dispatcher
        try:
            return dispatcher.acquire(queued, self._check_waiting)
        except (ShedError, ShedMayHaveRunError) as exc:
            self.count(SHED, 'reason', str(exc.context['reason']))
            raise

    def _check_waiting(self) -> None:
        """End the wait of a caller that left or may no longer be served.

        A host that is cut off from the control hosts would otherwise keep
        its callers waiting until the longest wait of their class.
        """
        if self.req.is_disconnected():
            raise CallerGoneError('the caller closed its connection')
        self.runtime.configuration.require_fresh()
        if self.running.is_revoked:
            raise UnauthorizedError('the key was withdrawn')


def _failure_code(failure: BaseException | None) -> str | None:
    if failure is None:
        return None
    if isinstance(failure, ApricotcartError):
        return failure.code
    return 'cancelled'

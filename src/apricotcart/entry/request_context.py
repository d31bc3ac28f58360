"""State of one request while it is queued, sent and retried."""

from __future__ import annotations

import time
import uuid
from typing import Self

from apricotcart.entry.attempt_history import AttemptHistory
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

# An endpoint that sends nothing for this many times the target is treated as
# frozen.
_STALL_FACTOR = 10
_STALL_MIN_S = 3.0
_CLASS = 'class'
TRACEPARENT = 'traceparent'


class Runtime:
    """Objects that all requests of one entry host share."""

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
        self.configuration = configuration
        self.dispatcher = dispatcher
        self.running = running
        self.telemetry = telemetry
        self.upstream = upstream


class RequestContext:
    """An authorized request with its id, route, deadline and attempts.

    Attributes
    ----------
    request_id : str
        Id sent with every attempt; every answer must return it.
    deadline_at : float
        Total deadline in monotonic seconds; it covers all retries.
    excluded : list of str
        Endpoints on which earlier attempts failed.
    history : AttemptHistory
        Whether failed attempts may have run.
    """

    __slots__ = (
        'attempts',
        'deadline_at',
        'endpoint',
        'excluded',
        'grant',
        'hop',
        'history',
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
        """Assign an id and a deadline and register the request as running."""
        self.runtime = runtime
        self.req = req
        self.grant = grant
        self.route = route
        self.request_id = uuid.uuid4().hex
        self.started_at = time.monotonic()
        self.deadline_at = self.started_at + route.total_s
        self.attempts = 0
        self.endpoint = ''
        self.history = AttemptHistory()
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
        """Return the scheduler's record of the request."""
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
        """Wait for an endpoint, then check the key again.

        Raises
        ------
        UnauthorizedError
            If the key was withdrawn while the request waited.
        """
        dispatcher = self.runtime.dispatcher
        self.queued = queued
        self.attempts += 1
        queued_at = time.monotonic()
        endpoint = self._wait_for_endpoint(queued)
        self.endpoint = endpoint
        queue_wait_s = time.monotonic() - queued_at
        # An attribute instead of a span: a span costs 60 us per request.
        self.hop.fields['queue_wait_s'] = queue_wait_s
        self.observe(QUEUE_WAIT_S, queue_wait_s)
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
            If the request may have been sent.
        """
        # A process that was frozen after the dispatch decision must not send
        # based on an outdated configuration.
        self.runtime.configuration.require_fresh()
        self.runtime.configuration.require_dispatchable(endpoint)
        if not call.url:
            raise EndpointUnreachableError(
                f'endpoint {endpoint} is no longer configured'
            )
        answer = self.runtime.upstream.send(call, fresh=fresh)
        self.running.set_abort_callback(answer.abort)
        return answer

    def end_attempt(self, endpoint: str, outcome: str) -> None:
        """Free the slot on the endpoint and record the outcome."""
        self.runtime.dispatcher.finish(self.request_id, outcome)
        if outcome != 'ok':
            self.excluded.append(endpoint)

    def __enter__(self) -> Self:
        """Return this context."""
        return self

    def __exit__(
        self,
        exc_type: type[BaseException] | None,
        exc: BaseException | None,
        traceback: object,
    ) -> None:
        """Close the request.

        Raises
        ------
        MayHaveRunError
            Instead of a `not_run` failure if an earlier attempt may have
            run.
        """
        failure = exc
        if isinstance(exc, ApricotcartError):
            failure = self.history.overall_failure(exc)
        self.close(failure)
        if failure is not None and failure is not exc:
            raise failure from exc

    def close(self, failure: BaseException | None = None) -> None:
        """Remove the request from the running table and record its outcome."""
        self.runtime.running.remove(self.request_id)
        # A stream that fails after its first event ends with an error event
        # instead of an exception.
        code = _failure_code(failure) or self.hop.fields.get('outcome')
        self.hop.fields['attempt'] = self.attempts
        self.hop.end(code)
        self.observe(REQUEST_S, time.monotonic() - self.started_at)
        self.count(REQUESTS, 'outcome', code or 'ok')

    def observe(self, metric: Metric, seconds: float) -> None:
        """Record an observation, labelled with the request's class."""
        labels = {_CLASS: self.route.class_name}
        self.runtime.telemetry.metrics.observe(metric, seconds, labels)

    def count(
        self,
        metric: Metric,
        label: str,
        label_value: str,
        amount: int = 1,
    ) -> None:
        """Increase a counter, labelled with the request's class and a label."""
        labels = {_CLASS: self.route.class_name, label: label_value}
        self.runtime.telemetry.metrics.count(metric, labels, amount)

    def remaining_s(self) -> float:
        """Return the time until the deadline in seconds.

        Raises
        ------
        DeadlineExceededError
            If the deadline has passed.
        """
        remaining = self.deadline_at - time.monotonic()
        if remaining <= 0:
            raise DeadlineExceededError(
                'the total deadline of the request has passed'
            )
        return remaining

    def stall_timeout_s(self, target_s: float) -> float:
        """Return the read timeout for a latency target, in seconds."""
        return min(
            max(target_s * _STALL_FACTOR, _STALL_MIN_S), self.remaining_s()
        )

    def check_key(self) -> None:
        """Fail if the key was withdrawn, or may have been.

        Raises
        ------
        KeyWithdrawnError
            If the key was withdrawn.
        CutOffWhileRunningError
            If the configuration copy is too old to tell.
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

    def _wait_for_endpoint(self, queued: QueuedRequest) -> str:
        dispatcher = self.runtime.dispatcher
        try:
            return dispatcher.acquire(queued, self._check_queued)
        except (ShedError, ShedMayHaveRunError) as exc:
            self.count(SHED, 'reason', str(exc.context['reason']))
            raise

    def _check_queued(self) -> None:
        """Fail if the caller disconnected or may no longer be served.

        Otherwise a host without connection to the control hosts would keep
        its callers waiting for the whole queue timeout of their class.
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

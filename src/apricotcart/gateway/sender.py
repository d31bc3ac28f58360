"""Assigns requests to endpoints and releases the slots afterwards."""

from __future__ import annotations

from http import HTTPStatus
from typing import Final

from apricotcart.errors.tree import ApricotcartError
from apricotcart.gateway.api import HeaderCodec
from apricotcart.gateway.call import Call
from apricotcart.gateway.crash_quarantine import CrashQuarantine
from apricotcart.gateway.dispatching.dispatcher import Dispatcher, Outcome
from apricotcart.gateway.dispatching.endpoint_state import EndpointState
from apricotcart.gateway.dispatching.request_queue import (
    QueuedRequest,
    queue_timeout_s,
)
from apricotcart.gateway.errors import (
    BrokenEndpointError,
    CallerLeftError,
    LeavingError,
    NotExecutedError,
    SilentEndpointError,
)
from apricotcart.gateway.exchanges.connections import ConnectionPool
from apricotcart.gateway.exchanges.exchange import Exchange
from apricotcart.gateway.retry_policy import RetryPolicy
from apricotcart.gateway.usage import UsageCounter
from apricotcart.observability.decisions import (
    REQUEST_SENT,
    SEND_FAILED,
    log_decision,
)
from apricotcart.responses.memory import ResponseMemory
from apricotcart.resumption.errors import StreamVersionGoneError
from apricotcart.resumption.stream_origins import StreamOrigins
from apricotcart.timers.clock import boot_clock_s

# Unreachable endpoints that one request tries before it is refused.
_MAX_UNREACHABLE: Final = 6


class Sender:
    """Assigns requests to endpoints and releases the slots afterwards.

    Parameters
    ----------
    dispatcher : Dispatcher
        Assigns an endpoint to each request.
    pool : ConnectionPool
        Connections to the endpoints.
    header_codec : HeaderCodec
        Builds and parses the headers.
    retry_policy : RetryPolicy
        Decides about retries.
    usage : UsageCounter
        Counts the requests that endpoints may have run.
    quarantine : CrashQuarantine
        Holds back requests that crash endpoints.
    origins : StreamOrigins
        Records which version began each stream.
    """

    __slots__ = (
        '_pool',
        '_usage',
        'header_codec',
        'dispatcher',
        'origins',
        'quarantine',
        'response_memory',
        'retry_policy',
    )

    def __init__(
        self,
        *,
        dispatcher: Dispatcher,
        pool: ConnectionPool,
        header_codec: HeaderCodec,
        retry_policy: RetryPolicy,
        usage: UsageCounter,
        quarantine: CrashQuarantine,
        origins: StreamOrigins,
    ) -> None:
        self.dispatcher = dispatcher
        self._pool = pool
        self.header_codec = header_codec
        self.retry_policy = retry_policy
        self._usage = usage
        self.quarantine = quarantine
        self.origins = origins
        self.response_memory = ResponseMemory()

    def acquire(self, call: Call) -> Exchange:
        """Wait for an endpoint and return the exchange with it.

        Raises
        ------
        BusyError, CallerLeftError
            If no endpoint was assigned.
        QuarantinedPromptError, QuarantinedRequestError, BrokenEndpointError
            If the request or a part of its prompt is quarantined.
        StreamVersionGoneError, BrokenEndpointError
            If no endpoint of the stream's version is left.
        """
        self.quarantine.require_allowed(call)
        self._require_version(call)
        timeout_s = queue_timeout_s(
            call.route.target_s,
            call.remaining_s(),
            call.urgency.level,
        )
        request = QueuedRequest(
            request_id=call.request_id,
            requirements=call.requirements(),
            rank=(call.urgency.levels_above, call.started_at),
            refuse_at=boot_clock_s() + timeout_s,
            excluded=call.excluded_endpoints,
        )
        queued_at = boot_clock_s()
        endpoint = self._acquire_endpoint(call, request)
        self._recheck_quarantine(call, endpoint)
        log_decision(
            REQUEST_SENT,
            request_id=call.metadata.attempt_id,
            fingerprint=call.fingerprint,
            route=call.route.name,
            kind=str(call.route.kind),
            customer=call.customer_name,
            endpoint=endpoint.instance.instance_id,
            attempt=call.send_count + 1,
            queue_wait_s=boot_clock_s() - queued_at,
            deadline_s=call.remaining_s(),
            zone=endpoint.instance.zone,
            software=endpoint.instance.software_version,
            running=len(endpoint.local_requests),
            running_elsewhere=endpoint.remote_load.requests,
            unread_tokens=endpoint.prefill_tokens,
            load_age_s=self.dispatcher.load_age_s(),
            levels_above=call.urgency.levels_above,
            levels_below=call.urgency.level,
            copied_from=endpoint.cache_source_of(call.request_id),
            version=call.routing.version,
            state_age_s=call.routing.state_age_s,
        )
        return Exchange(
            call,
            endpoint,
            self._pool,
            self.header_codec,
            self.response_memory,
        )

    def send(self, exchange: Exchange, last_event_id: str = '') -> None:
        """Send a request and apply what the endpoint says about itself.

        Raises
        ------
        ApricotcartError
            As in `Exchange.send`.
        """
        try:
            exchange.send(last_event_id)
        except ApricotcartError:
            self._record_notice(exchange)
            raise
        self._record_notice(exchange)

    def may_retry(self, call: Call) -> bool:
        """Return whether the request may be retried."""
        if call.is_caller_gone or call.is_host_ending:
            return False
        if self.quarantine.holds(call):
            return False
        return self.retry_policy.may_retry(
            call.route,
            may_have_run=call.may_have_run,
            send_count=call.send_count,
            remaining_s=call.remaining_s(),
            now=boot_clock_s(),
        )

    def may_try_another_endpoint(self, call: Call) -> bool:
        """Return whether to try another endpoint after a failed connection.

        A connection that was not established puts no load on an endpoint,
        and so does not count against the retry budget.
        """
        if call.is_caller_gone or call.is_host_ending:
            return False
        if len(call.excluded_endpoints) > _MAX_UNREACHABLE:
            return False
        return call.remaining_s() > 0

    def record_stream(self, call: Call, endpoint: EndpointState) -> None:
        """Pin a stream to the version that has begun it, and record that."""
        origin = call.pin_to(endpoint)
        if call.route.resumable:
            metadata = call.metadata
            self.origins.record([metadata.resumes, metadata.attempt_id], origin)

    def record_run(self, call: Call, began_at: float) -> None:
        """Record that an endpoint may have run the request."""
        if not call.may_have_run:
            self._usage.record_run(call.customer_name, began_at)
        call.may_have_run = True

    def complete(self, call: Call, exchange: Exchange) -> None:
        """Release the slot at the endpoint after a complete response."""
        exchange.finish()
        self.quarantine.on_success(call, exchange)
        is_error = exchange.status >= HTTPStatus.INTERNAL_SERVER_ERROR
        self.dispatcher.record_outcome(
            exchange.endpoint,
            Outcome.ERROR_RESPONSE if is_error else Outcome.SUCCESS,
        )
        self.dispatcher.release(call.request_id, exchange.endpoint)

    def fail(
        self,
        call: Call,
        exchange: Exchange,
        exc: BaseException,
    ) -> None:
        """Release the slot at the endpoint after a failure."""
        exchange.abandon()
        self.quarantine.on_failure(call, exchange, exc)
        call.excluded_endpoints.add(exchange.endpoint.instance.instance_id)
        if isinstance(exc, ApricotcartError) and not call.is_caller_gone:
            self.dispatcher.record_outcome(exchange.endpoint, _outcome_of(exc))
            log_decision(
                SEND_FAILED,
                request_id=call.metadata.attempt_id,
                endpoint=exchange.endpoint.instance.instance_id,
                attempt=call.send_count,
                reason=exc.code,
                detail=exc.message,
                framing=exchange.framing,
                duration_s=exchange.age_s(),
            )
        if isinstance(exc, (BrokenEndpointError, SilentEndpointError)):
            self.record_run(call, exchange.sent_at)
        self.dispatcher.release(call.request_id, exchange.endpoint)

    def _record_notice(self, exchange: Exchange) -> None:
        if exchange.has_response and not exchange.is_misdirected:
            self.dispatcher.record_notice(
                exchange.endpoint, exchange.metadata.notice, exchange.sent_at
            )

    def _require_version(self, call: Call) -> None:
        origin = call.origin
        if origin is None:
            return
        if self.dispatcher.serves(call.requirements(), call.excluded_endpoints):
            return
        message = f'no endpoint of version {origin.software_version!r} is left'
        if call.may_have_run:
            raise BrokenEndpointError(message)
        raise StreamVersionGoneError(message, software=origin.software_version)

    def _acquire_endpoint(
        self, call: Call, request: QueuedRequest
    ) -> EndpointState:
        try:
            return self.dispatcher.acquire(request)
        except CallerLeftError:
            if call.is_host_ending and not call.may_have_run:
                raise LeavingError('this host is shutting down') from None
            raise

    def _recheck_quarantine(self, call: Call, endpoint: EndpointState) -> None:
        # It may have been quarantined while the request was queued.
        try:
            self.quarantine.require_allowed(call)
        except ApricotcartError:
            self.dispatcher.release(call.request_id, endpoint)
            raise


def _outcome_of(exc: ApricotcartError) -> Outcome:
    if isinstance(exc, NotExecutedError):
        return Outcome.REFUSAL
    return Outcome.FAILURE

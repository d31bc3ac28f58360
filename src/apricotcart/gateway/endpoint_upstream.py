"""Assigns requests to endpoints and releases the slots afterwards."""

from __future__ import annotations

from http import HTTPStatus

from apricotcart.errors.tree import ApricotcartError
from apricotcart.gateway.api import HeaderCodec
from apricotcart.gateway.call import Call
from apricotcart.gateway.crash_quarantine import CrashQuarantine
from apricotcart.gateway.dispatching.dispatcher import Dispatcher, Outcome
from apricotcart.gateway.dispatching.endpoint_state import EndpointState
from apricotcart.gateway.dispatching.queued_request import (
    QueuedRequest,
    queue_timeout_s,
)
from apricotcart.gateway.errors import (
    AnswerMemoryError,
    BrokenEndpointError,
    CallerLeftError,
    LeavingError,
    NotExecutedError,
    SilentEndpointError,
    WithdrawnError,
)
from apricotcart.gateway.exchanges.connection_pool import ConnectionPool
from apricotcart.gateway.exchanges.endpoint_exchange import EndpointExchange
from apricotcart.gateway.exchanges.exchange import Upstream
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


class EndpointUpstream(Upstream[EndpointExchange]):
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
        Counts the requests.
    usage : UsageCounter
        Counts the requests that endpoints may have run.
    quarantine : CrashQuarantine
        Holds back requests that crash endpoints.
    origins : StreamOrigins
        Records which version began each stream.
    response_memory : ResponseMemory or None
        Memory of all responses of this process; a new one if None.

    Attributes
    ----------
    response_memory : ResponseMemory
        Memory of all responses of this process.
    """

    __slots__ = (
        '_dispatcher',
        '_header_codec',
        '_origins',
        '_pool',
        '_usage',
        'quarantine',
        'response_memory',
        'retry_policy',
    )

    repeats_errors = True

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
        response_memory: ResponseMemory | None = None,
    ) -> None:
        self.quarantine = quarantine
        self.response_memory = response_memory or ResponseMemory()
        self.retry_policy = retry_policy
        self._dispatcher = dispatcher
        self._header_codec = header_codec
        self._origins = origins
        self._pool = pool
        self._usage = usage

    def acquire(self, call: Call) -> EndpointExchange:
        """Wait for an endpoint and return the exchange with it.

        Raises
        ------
        BusyError, CallerLeftError, WithdrawnError
            If no endpoint was assigned.
        QuarantinedPromptError, QuarantinedRequestError, BrokenEndpointError
            If the request or a part of its prompt is quarantined.
        StreamVersionGoneError, BrokenEndpointError
            If no endpoint of the stream's version is left.
        """
        self._require_version(call)
        if not call.relay.is_counted:
            call.relay.is_counted = True
            self.retry_policy.on_request(call.service, boot_clock_s())
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
        return self._exchange_with(call, endpoint, boot_clock_s() - queued_at)

    def acquire_free(self, call: Call) -> EndpointExchange | None:
        """Return an exchange with an endpoint that nobody else waits for.

        The request is not queued, and takes only room that the least urgent
        requests may have; None without such an endpoint.
        """
        requirements = call.requirements()
        requirements.level = 0
        endpoint = self._dispatcher.acquire_free(
            call.request_id, requirements, call.excluded_endpoints
        )
        if endpoint is None:
            return None
        return self._exchange_with(call, endpoint, 0)

    def on_response(self, exchange: EndpointExchange) -> None:
        """Apply what the endpoint says about itself."""
        if exchange.has_response and not exchange.is_misdirected:
            self._dispatcher.record_notice(
                exchange.endpoint, exchange.metadata.notice, exchange.sent_at
            )

    def on_run(
        self, call: Call, exchange: EndpointExchange, began_at: float
    ) -> None:
        """Count that an endpoint may have run the request."""
        if call.attempts.mark_run():
            self._usage.record_run(call.customer_name, began_at)

    def on_stream_begun(self, call: Call, exchange: EndpointExchange) -> None:
        """Pin a stream to the version that has begun it, and record that."""
        self._dispatcher.mark_prefilled(call.request_id, exchange.endpoint)
        self.on_run(call, exchange, boot_clock_s())
        origin = call.pin_to(exchange.endpoint)
        if call.route.resumable:
            metadata = call.metadata
            self._origins.record(
                [metadata.resumes, metadata.attempt_id], origin
            )
        self.quarantine.on_event(call, exchange)

    def on_stream_resumed(self, call: Call, exchange: EndpointExchange) -> None:
        """Record that an endpoint has read the prompt of a stream again."""
        self._dispatcher.mark_prefilled(call.request_id, exchange.endpoint)

    def on_event(self, call: Call, exchange: EndpointExchange) -> None:
        """Record that an endpoint has survived the request until now."""
        self.quarantine.on_event(call, exchange)

    def on_complete(self, call: Call, exchange: EndpointExchange) -> None:
        """Release the slot at the endpoint after a complete response."""
        self.quarantine.on_success(call, exchange)
        is_error = exchange.status >= HTTPStatus.INTERNAL_SERVER_ERROR
        self._dispatcher.record_outcome(
            exchange.endpoint,
            Outcome.ERROR_RESPONSE if is_error else Outcome.SUCCESS,
        )
        self._dispatcher.release(call.request_id, exchange.endpoint)

    def on_failure(
        self, call: Call, exchange: EndpointExchange, exc: BaseException
    ) -> None:
        """Release the slot at the endpoint after a failure."""
        self.quarantine.on_failure(call, exchange, exc)
        call.excluded_endpoints.add(exchange.endpoint.instance.instance_id)
        if isinstance(exc, ApricotcartError) and not call.is_caller_gone:
            if not isinstance(exc, AnswerMemoryError):
                self._dispatcher.record_outcome(
                    exchange.endpoint, _outcome_of(exc)
                )
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
            self.on_run(call, exchange, exchange.sent_at)
        self._dispatcher.release(call.request_id, exchange.endpoint)

    def _exchange_with(
        self, call: Call, endpoint: EndpointState, queue_wait_s: float
    ) -> EndpointExchange:
        log_decision(
            REQUEST_SENT,
            request_id=call.metadata.attempt_id,
            fingerprint=call.fingerprint,
            route=call.route.name,
            kind=str(call.route.kind),
            customer=call.customer_name,
            endpoint=endpoint.instance.instance_id,
            attempt=call.send_count + 1,
            queue_wait_s=queue_wait_s,
            deadline_s=call.remaining_s(),
            zone=endpoint.instance.zone,
            software=endpoint.instance.software_version,
            running=len(endpoint.local_requests),
            running_elsewhere=endpoint.remote_load.requests,
            unread_tokens=self._dispatcher.read_placement(
                lambda _: endpoint.prefill_tokens
            ),
            load_age_s=boot_clock_s() - self._dispatcher.loads_updated_at,
            levels_above=call.urgency.levels_above,
            levels_below=call.urgency.level,
            copied_from=endpoint.cache_source_of(call.request_id),
            version=call.routing.version,
            state_age_s=call.routing.state_age_s,
        )
        return EndpointExchange(
            call,
            self,
            self._pool,
            self._header_codec,
            self.response_memory,
            endpoint,
        )

    def _require_version(self, call: Call) -> None:
        origin = call.origin
        if origin is None:
            return
        if self._dispatcher.serves(
            call.requirements(), call.excluded_endpoints
        ):
            return
        message = f'no endpoint of version {origin.software_version!r} is left'
        if call.may_have_run:
            raise BrokenEndpointError(message)
        raise StreamVersionGoneError(message, software=origin.software_version)

    def _acquire_endpoint(
        self, call: Call, request: QueuedRequest
    ) -> EndpointState:
        try:
            return self._dispatcher.acquire(request)
        except CallerLeftError:
            raise _cancellation_of(call) from None

    def _recheck_quarantine(self, call: Call, endpoint: EndpointState) -> None:
        # It may have been quarantined while the request was queued.
        try:
            self.quarantine.require_allowed(call)
        except ApricotcartError:
            self._dispatcher.release(call.request_id, endpoint)
            raise


def _cancellation_of(call: Call) -> ApricotcartError:
    """Return why a request was taken out of the queue."""
    if call.is_host_ending and not call.may_have_run:
        return LeavingError('this host is shutting down')
    if call.relay.is_withdrawn and not call.is_caller_gone:
        return WithdrawnError('this host reaches no endpoint')
    return CallerLeftError('the caller closed its connection while queued')


def _outcome_of(exc: ApricotcartError) -> Outcome:
    if isinstance(exc, NotExecutedError):
        return Outcome.REFUSAL
    return Outcome.FAILURE

"""Calls to plain services, including orders that run at most once."""

from __future__ import annotations

from apricotcart.entry.access import AccessControl
from apricotcart.entry.engine_call import track_attempt
from apricotcart.entry.errors import (
    EndpointError,
    EndpointRefusedError,
    EndpointUnreachableError,
    IdempotencyKeyRequiredError,
)
from apricotcart.entry.headers import ORDER_KEY, endpoint_headers
from apricotcart.entry.orders import OrderAttempt, OrderRecorder
from apricotcart.entry.request_context import (
    TRACEPARENT,
    RequestContext,
    Runtime,
)
from apricotcart.entry.retrying import RetryGate
from apricotcart.entry.upstream import UpstreamCall
from apricotcart.entry.usage import UsageCounter
from apricotcart.errors.tree import NotRunError
from apricotcart.web.request import WebRequest
from apricotcart.web.response import WebResponse

SERVICE_KIND = 'service'
PREFIX = '/v1/services/'
_SAFE_METHODS = frozenset(('GET', 'HEAD', 'OPTIONS'))
_MAX_ANSWER_BYTES = 33_554_432
_MAX_KEY_LENGTH = 200


class ServiceHandler:
    """Answers ``/v1/services/<route>/<path>``."""

    __slots__ = (
        '_access',
        '_gate',
        '_max_body_bytes',
        '_orders',
        '_runtime',
        '_usage',
    )

    def __init__(
        self,
        *,
        runtime: Runtime,
        access: AccessControl,
        usage: UsageCounter,
        gate: RetryGate,
        orders: OrderRecorder,
        max_body_bytes: int,
    ) -> None:
        self._runtime = runtime
        self._access = access
        self._usage = usage
        self._gate = gate
        self._orders = orders
        self._max_body_bytes = max_body_bytes

    def respond(self, req: WebRequest) -> WebResponse:
        """Answer one service call."""
        grant = self._access.authenticate(req)
        name, _, path = req.raw_path().removeprefix(PREFIX).partition('/')
        route = self._access.route(grant, name, SERVICE_KIND)
        body = req.body(self._max_body_bytes)
        context = RequestContext(self._runtime, req, grant, route)
        call = ServiceCall(context, path, body)
        with context:
            return self._answer(call)

    def _answer(self, call: ServiceCall) -> WebResponse:
        is_safe = call.context.req.method in _SAFE_METHODS
        if is_safe or call.context.route.is_idempotent:
            response = self._run_with_retries(call)
        else:
            response = self._run_order(call)
        return response

    def _run_with_retries(self, call: ServiceCall) -> WebResponse:
        self._gate.on_request()
        while True:
            endpoint = call.acquire()
            try:
                response = call.exchange(endpoint)
            except (
                EndpointError,
                EndpointRefusedError,
                EndpointUnreachableError,
            ) as exc:
                call.context.check_key()
                self._gate.wait_for_retry(call.context, exc)
            else:
                self._usage.count_call(call.context)
                call.context.check_key()
                return response

    def _run_order(self, call: ServiceCall) -> WebResponse:
        """Run a non-idempotent call at most once, under an order record."""
        attempt = OrderAttempt(
            call.context.grant.customer,
            _idempotency_key(call.context),
        )
        with call.context.hop.child('order_begin') as hop:
            stored = self._orders.begin(
                attempt,
                call.order_content(),
                hop.traceparent(),
            )
        if stored is not None:
            return stored
        response = self._send_order(call, attempt)
        self._usage.count_call(call.context)
        call.context.check_key()
        return response

    def _send_order(
        self,
        call: ServiceCall,
        attempt: OrderAttempt,
    ) -> WebResponse:
        try:
            endpoint = call.acquire()
        except BaseException:
            self._orders.finish_later(attempt, 'not_run')
            raise
        try:
            response = call.exchange(endpoint, order=attempt)
        except NotRunError:
            self._orders.finish_later(attempt, 'not_run')
            raise
        except BaseException:
            # Any other failure may have occurred after the request was sent.
            self._orders.finish_later(attempt, 'unknown')
            call.context.check_key()
            raise
        with call.context.hop.child('order_finish') as hop:
            self._orders.finish(attempt, response, hop.traceparent())
        return response


class ServiceCall:
    """One call to a plain service."""

    __slots__ = ('body', 'context', 'path')

    def __init__(self, context: RequestContext, path: str, body: bytes) -> None:
        self.context = context
        self.path = path
        self.body = body

    def acquire(self) -> str:
        """Wait until the scheduler assigns an endpoint."""
        return self.context.acquire(self.context.describe())

    def order_content(self) -> bytes:
        """Return what all calls with the same idempotency key must agree in."""
        req = self.context.req
        head = f'{req.method} {req.path}?{req.query_string()}\n'
        return head.encode() + self.body

    def exchange(
        self,
        endpoint: str,
        order: OrderAttempt | None = None,
    ) -> WebResponse:
        """Send the call and read the whole answer.

        Raises
        ------
        EndpointUnreachableError
            If nothing was sent.
        EndpointError
            If the call may have run.
        """
        context = self.context
        with track_attempt(context, endpoint) as hop:
            call = self._upstream_call(endpoint, order, hop.traceparent())
            answer = context.send(
                endpoint,
                call,
                fresh=order is not None,
            )
            body = answer.read(_MAX_ANSWER_BYTES)
            answer.release()
        return WebResponse.from_bytes(body, answer.content_type, answer.status)

    def _upstream_call(
        self,
        endpoint: str,
        order: OrderAttempt | None,
        traceparent: str,
    ) -> UpstreamCall:
        context = self.context
        url = context.runtime.configuration.endpoint_url(endpoint)
        headers = endpoint_headers(context.req, context.request_id)
        headers[TRACEPARENT] = traceparent
        if order is not None:
            headers[ORDER_KEY] = order.order_key()
        return UpstreamCall(
            method=context.req.method,
            url=self._target_url(url),
            headers=headers,
            body=self.body,
            request_id=context.request_id,
            read_timeout_s=context.remaining_s(),
        )

    def _target_url(self, url: str) -> str:
        if not url:
            return ''
        query = self.context.req.query_string()
        suffix = f'?{query}' if query else ''
        return f'{url}/{self.path}{suffix}'


def _idempotency_key(context: RequestContext) -> str:
    key = context.req.header('Idempotency-Key')
    if not context.grant.customer:
        raise IdempotencyKeyRequiredError(
            'a non-idempotent route needs an API key of a customer',
        )
    if not key or len(key) > _MAX_KEY_LENGTH:
        raise IdempotencyKeyRequiredError(
            f'Idempotency-Key must have 1 to {_MAX_KEY_LENGTH} characters',
        )
    return key

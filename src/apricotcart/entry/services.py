"""Calls of plain services, with orders that run once."""

from __future__ import annotations

from apricotcart.entry.access import Access
from apricotcart.entry.attempt import TRACEPARENT, Job, Runtime
from apricotcart.entry.engine_call import attempt_outcome
from apricotcart.entry.errors import (
    EndpointError,
    EndpointRefusedError,
    EndpointUnreachableError,
    IdempotencyKeyRequiredError,
)
from apricotcart.entry.headers import ORDER_KEY, endpoint_headers
from apricotcart.entry.orders import OrderAttempt, OrderLedger
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
        access: Access,
        usage: UsageCounter,
        gate: RetryGate,
        orders: OrderLedger,
        max_body_bytes: int,
    ) -> None:
        """Keep the parts."""
        self._runtime = runtime
        self._access = access
        self._usage = usage
        self._gate = gate
        self._orders = orders
        self._max_body_bytes = max_body_bytes

    def respond(self, req: WebRequest) -> WebResponse:
        """Answer one call."""
        grant = self._access.grant(req)
        name, _, path = req.raw_path().removeprefix(PREFIX).partition('/')
        route = self._access.route(grant, name, SERVICE_KIND)
        body = req.body(self._max_body_bytes)
        job = Job(self._runtime, req, grant, route)
        call = ServiceCall(job, path, body)
        with job:
            return self._answer(call)

    def _answer(self, call: ServiceCall) -> WebResponse:
        is_safe = call.job.req.method in _SAFE_METHODS
        if is_safe or call.job.route.is_idempotent:
            response = self._repeatable(call)
        else:
            response = self._once(call)
        return response

    def _repeatable(self, call: ServiceCall) -> WebResponse:
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
                call.job.check_key()
                self._gate.require(call.job, exc)
            else:
                self._usage.count_call(call.job)
                call.job.check_key()
                return response

    def _once(self, call: ServiceCall) -> WebResponse:
        """Run a non-idempotent call at most once."""
        attempt = OrderAttempt(
            call.job.grant.customer,
            _idempotency_key(call.job),
        )
        with call.job.hop.child('order_begin') as hop:
            stored = self._orders.begin(
                attempt,
                call.order_content(),
                hop.traceparent(),
            )
        if stored is not None:
            return stored
        response = self._sent_once(call, attempt)
        self._usage.count_call(call.job)
        call.job.check_key()
        return response

    def _sent_once(
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
            response = call.exchange(endpoint, order_key=attempt)
        except NotRunError:
            self._orders.finish_later(attempt, 'not_run')
            raise
        except BaseException:
            # A failure of any other type may follow the send.
            self._orders.finish_later(attempt, 'unknown')
            call.job.check_key()
            raise
        with call.job.hop.child('order_finish') as hop:
            self._orders.finish(attempt, response, hop.traceparent())
        return response


class ServiceCall:
    """One call of a plain service."""

    __slots__ = ('body', 'job', 'path')

    def __init__(self, job: Job, path: str, body: bytes) -> None:
        """Keep the call."""
        self.job = job
        self.path = path
        self.body = body

    def acquire(self) -> str:
        """Wait for an endpoint."""
        return self.job.acquire(self.job.describe())

    def order_content(self) -> bytes:
        """Give what two calls with one idempotency key must share."""
        req = self.job.req
        head = f'{req.method} {req.path}?{req.query_string()}\n'
        return head.encode() + self.body

    def exchange(
        self,
        endpoint: str,
        order_key: OrderAttempt | None = None,
    ) -> WebResponse:
        """Send the call and read the whole answer.

        Raises
        ------
        EndpointUnreachableError
            If nothing was sent.
        EndpointError
            If the call may have run.
        """
        job = self.job
        with attempt_outcome(job, endpoint) as hop:
            call = self._upstream_call(endpoint, order_key, hop.traceparent())
            answer = job.send(
                endpoint,
                call,
                fresh=order_key is not None,
            )
            body = answer.read(_MAX_ANSWER_BYTES)
            answer.release()
        return WebResponse.from_bytes(body, answer.content_type, answer.status)

    def _upstream_call(
        self,
        endpoint: str,
        order_key: OrderAttempt | None,
        traceparent: str,
    ) -> UpstreamCall:
        job = self.job
        url = job.runtime.configuration.endpoint_url(endpoint)
        headers = endpoint_headers(job.req, job.request_id)
        headers[TRACEPARENT] = traceparent
        if order_key is not None:
            headers[ORDER_KEY] = order_key.order_key()
        return UpstreamCall(
            method=job.req.method,
            url=self._target(url),
            headers=headers,
            body=self.body,
            request_id=job.request_id,
            read_timeout_s=job.left_s(),
        )

    def _target(self, url: str) -> str:
        if not url:
            return ''
        query = self.job.req.query_string()
        suffix = f'?{query}' if query else ''
        return f'{url}/{self.path}{suffix}'


def _idempotency_key(job: Job) -> str:
    key = job.req.header('Idempotency-Key')
    if not job.grant.customer:
        raise IdempotencyKeyRequiredError(
            'a non-idempotent route needs a customer key',
        )
    if not key or len(key) > _MAX_KEY_LENGTH:
        raise IdempotencyKeyRequiredError(
            f'Idempotency-Key needs 1 to {_MAX_KEY_LENGTH} characters',
        )
    return key

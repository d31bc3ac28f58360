"""Calls to engines for one chat request."""

from __future__ import annotations

from collections.abc import Iterator
from contextlib import contextmanager
from http import HTTPStatus

from apricotcart.entry.chat_request import ChatRequest
from apricotcart.entry.errors import (
    EndpointError,
    EndpointRefusedError,
    EndpointUnreachableError,
)
from apricotcart.entry.headers import PRIORITY, endpoint_headers
from apricotcart.entry.request_context import TRACEPARENT, RequestContext
from apricotcart.entry.upstream import UpstreamAnswer, UpstreamCall
from apricotcart.observability.telemetry import Hop
from apricotcart.web.errors import RequestError

_PATH = '/v1/chat/completions'
# Status codes with which engines refuse a request without running it.
_REFUSAL_STATUSES = frozenset(
    (HTTPStatus.TOO_MANY_REQUESTS, HTTPStatus.SERVICE_UNAVAILABLE),
)
_CANCELLED = 'cancelled'
_OK = 'ok'


class EngineRejectedError(RequestError):
    """The engine rejected the request itself as invalid."""

    code = 'rejected_by_engine'


class EngineCaller:
    """Calls engines for one chat request."""

    __slots__ = ('chat', 'context')

    def __init__(self, context: RequestContext, chat: ChatRequest) -> None:
        self.context = context
        self.chat = chat

    def acquire(self) -> str:
        """Wait until the scheduler assigns an endpoint."""
        chat = self.chat
        queued = self.context.describe(
            prompt_tokens=chat.prompt_tokens,
            max_tokens=chat.max_tokens,
            prefix_hash=chat.prefix_hash,
            resumable=chat.is_streamed,
            fingerprint=chat.fingerprint,
        )
        return self.context.acquire(queued)

    def send(
        self,
        endpoint: str,
        hop: Hop,
        resume_from: int = 0,
    ) -> UpstreamAnswer:
        """Send the request to an engine.

        Raises
        ------
        EndpointRefusedError
            If the engine refused the request without running it.
        EngineRejectedError
            If the engine rejected the request itself as invalid.
        EndpointError
            If the request may have run at least in part.
        """
        call = self._build_call(endpoint, resume_from)
        call.headers[TRACEPARENT] = hop.traceparent()
        answer = self.context.send(endpoint, call)
        if answer.status == HTTPStatus.OK:
            return answer
        answer.close()
        message = f'the engine answered with status {answer.status}'
        if answer.status in _REFUSAL_STATUSES:
            raise EndpointRefusedError(message)
        if answer.status < HTTPStatus.INTERNAL_SERVER_ERROR:
            raise EngineRejectedError(message)
        raise EndpointError(message)

    def _build_call(self, endpoint: str, resume_from: int) -> UpstreamCall:
        context = self.context
        url = context.runtime.configuration.endpoint_url(endpoint)
        headers = endpoint_headers(context.req, context.request_id)
        headers['Content-Type'] = 'application/json'
        headers[PRIORITY] = str(context.route.tier)
        return UpstreamCall(
            method='POST',
            url=f'{url}{_PATH}' if url else '',
            headers=headers,
            body=self.chat.engine_body(context.route.model, resume_from),
            request_id=context.request_id,
            read_timeout_s=self._read_timeout_s(),
        )

    def _read_timeout_s(self) -> float:
        route = self.context.route
        if self.chat.is_streamed:
            return self.context.stall_timeout_s(route.first_token_s)
        return self.context.remaining_s()


@contextmanager
def track_attempt(context: RequestContext, endpoint: str) -> Iterator[Hop]:
    """Record the outcome of an attempt and free its slot when it ends."""
    outcome = _CANCELLED
    try:
        with context.hop.child('endpoint', {'endpoint': endpoint}) as hop:
            yield hop
        outcome = _OK
    except (
        EndpointError,
        EndpointRefusedError,
        EndpointUnreachableError,
    ) as exc:
        if not context.running.is_revoked:
            outcome = exc.outcome
        context.history.record(exc)
        raise
    except EngineRejectedError:
        outcome = _OK
        raise
    finally:
        context.end_attempt(endpoint, outcome)

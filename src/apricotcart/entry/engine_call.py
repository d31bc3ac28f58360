"""Calls of one chat request to engines."""

from __future__ import annotations

from collections.abc import Iterator
from contextlib import contextmanager
from http import HTTPStatus

from apricotcart.entry.attempt import TRACEPARENT, Job
from apricotcart.entry.chat_request import ChatRequest
from apricotcart.entry.errors import (
    EndpointError,
    EndpointRefusedError,
    EndpointUnreachableError,
)
from apricotcart.entry.headers import PRIORITY, endpoint_headers
from apricotcart.entry.upstream import UpstreamAnswer, UpstreamCall
from apricotcart.observability.telemetry import Hop
from apricotcart.web.errors import RequestError

_PATH = '/v1/chat/completions'
# Engines answer these without running the request.
_REFUSALS = frozenset(
    (HTTPStatus.TOO_MANY_REQUESTS, HTTPStatus.SERVICE_UNAVAILABLE),
)
_CANCELLED = 'cancelled'
_OK = 'ok'


class EngineRejectedError(RequestError):
    """The engine finds the request itself wrong."""

    code = 'rejected_by_engine'


class EngineCaller:
    """One chat request and its calls to engines."""

    __slots__ = ('chat', 'job')

    def __init__(self, job: Job, chat: ChatRequest) -> None:
        """Keep the request."""
        self.job = job
        self.chat = chat

    def acquire(self) -> str:
        """Wait for an endpoint."""
        chat = self.chat
        queued = self.job.describe(
            prompt_tokens=chat.prompt_tokens,
            max_tokens=chat.max_tokens,
            prefix_hash=chat.prefix_hash,
            resumable=chat.is_streamed,
            fingerprint=chat.fingerprint,
        )
        return self.job.acquire(queued)

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
            If the engine finds the request itself wrong.
        EndpointError
            If the request may have run in part.
        """
        call = self._call(endpoint, resume_from)
        call.headers[TRACEPARENT] = hop.traceparent()
        answer = self.job.send(endpoint, call)
        if answer.status == HTTPStatus.OK:
            return answer
        answer.close()
        message = f'the engine answered {answer.status}'
        if answer.status in _REFUSALS:
            raise EndpointRefusedError(message)
        if answer.status < HTTPStatus.INTERNAL_SERVER_ERROR:
            raise EngineRejectedError(message)
        raise EndpointError(message)

    def _call(self, endpoint: str, resume_from: int) -> UpstreamCall:
        job = self.job
        url = job.runtime.configuration.endpoint_url(endpoint)
        headers = endpoint_headers(job.req, job.request_id)
        headers['Content-Type'] = 'application/json'
        headers[PRIORITY] = str(job.route.tier)
        return UpstreamCall(
            method='POST',
            url=f'{url}{_PATH}' if url else '',
            headers=headers,
            body=self.chat.engine_body(job.route.model, resume_from),
            request_id=job.request_id,
            read_timeout_s=self._read_timeout_s(),
        )

    def _read_timeout_s(self) -> float:
        route = self.job.route
        if self.chat.is_streamed:
            return self.job.stall_s(route.first_token_s)
        return self.job.left_s()


@contextmanager
def attempt_outcome(job: Job, endpoint: str) -> Iterator[Hop]:
    """Free the slot when the attempt ends and note how it ended."""
    outcome = _CANCELLED
    try:
        with job.hop.child('endpoint', {'endpoint': endpoint}) as hop:
            yield hop
        outcome = _OK
    except (
        EndpointError,
        EndpointRefusedError,
        EndpointUnreachableError,
    ) as exc:
        if not job.running.is_revoked:
            outcome = exc.outcome
        job.past.note(exc)
        raise
    except EngineRejectedError:
        outcome = _OK
        raise
    finally:
        job.end_attempt(endpoint, outcome)

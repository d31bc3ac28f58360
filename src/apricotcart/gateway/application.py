"""WSGI application that answers the callers of a gateway."""

from __future__ import annotations

import logging
from collections.abc import Callable, Iterable
from typing import Any, Final
from urllib.parse import urlsplit

from apricotcart.errors.tree import ApricotcartError
from apricotcart.gateway.active_requests import RunningCalls
from apricotcart.gateway.api import CallMessage, CallTerms, Dialect, Headers
from apricotcart.gateway.call import Call
from apricotcart.gateway.dispatcher import Dispatcher
from apricotcart.gateway.errors import LeavingError
from apricotcart.gateway.forwarding import Forwarder
from apricotcart.gateway.listener import HEADERS_KEY, REQUEST_KEY
from apricotcart.gateway.state import StateCopy
from apricotcart.gateway.watcher import CallerWatcher
from apricotcart.observability.decisions import (
    REQUEST_REFUSED,
    log_decision,
)
from apricotcart.timers.clock import steady_s
from apricotcart.web.request import CONNECTION_KEY, Environ, WebRequest
from apricotcart.web.response import WebResponse

_LOG = logging.getLogger(__name__)
_HTTP: Final = 'http'
# How long a caller waits that does not tell, in seconds.
_WAIT_S: Final = 3.0
StartResponse = Callable[..., Any]


class GatewayApplication:
    """Reads a request, finds its route and customer, and forwards it.

    Parameters
    ----------
    state : StateCopy
        Routes and customers.
    dialect : Dialect
        Headers of the callers.
    dispatcher : Dispatcher
        Gives requests endpoints.
    forwarder : Forwarder
        Sends requests to endpoints.
    watcher : CallerWatcher
        Notices callers that leave.
    running : RunningCalls
        Counts what runs, and tells whether the host is about to stop.
    """

    __slots__ = (
        '_dialect',
        '_dispatcher',
        '_forwarder',
        '_running',
        '_state',
        '_watcher',
    )

    def __init__(
        self,
        *,
        state: StateCopy,
        dialect: Dialect,
        dispatcher: Dispatcher,
        forwarder: Forwarder,
        watcher: CallerWatcher,
        running: RunningCalls,
    ) -> None:
        """Keep the parts."""
        self._state = state
        self._dialect = dialect
        self._dispatcher = dispatcher
        self._forwarder = forwarder
        self._watcher = watcher
        self._running = running

    def __call__(
        self,
        environ: Environ,
        start_response: StartResponse,
    ) -> Iterable[bytes]:
        """Answer one WSGI call."""
        headers: Headers = environ[HEADERS_KEY]
        self._running.enter()
        guard = CallGuard(self._running, self._watcher)
        try:
            response = self._response(environ, headers, guard)
        except BaseException:
            guard.close()
            raise
        guard.chunks = response.chunks
        if self._running.closes_connections:
            environ[REQUEST_KEY].close_connection = True
        start_response(response.status_line(), response.headers)
        return guard

    def _response(
        self,
        environ: Environ,
        headers: Headers,
        guard: CallGuard,
    ) -> WebResponse:
        terms = CallTerms()
        started_at = steady_s()
        try:
            terms = self._dialect.call_terms(headers)
            return self._forwarded(environ, headers, terms, guard)
        except ApricotcartError as exc:
            self._log_refusal(terms, exc, started_at)
            return self._refusal(terms, exc)
        except Exception:
            _LOG.exception('request %s failed', terms.attempt_id)
            return self._refusal(terms, ApricotcartError('internal failure'))

    def _forwarded(
        self,
        environ: Environ,
        headers: Headers,
        terms: CallTerms,
        guard: CallGuard,
    ) -> WebResponse:
        started_at = steady_s()
        self._state.await_known(terms.wait_s or _WAIT_S)
        call = self._call(WebRequest(environ), headers, terms, started_at)
        if self._running.refuses(is_stream=call.is_stream):
            raise LeavingError('this host is about to stop', retry_after_s=0.1)
        guard.watch(environ[CONNECTION_KEY].socket, call)
        return self._forwarder.answer(call)

    def _call(
        self,
        req: WebRequest,
        headers: Headers,
        terms: CallTerms,
        started_at: float,
    ) -> Call:
        state = self._state
        target = _target(req.environ)
        path = target.partition('?')[0]
        route = state.route(req.header('Host'), path)
        customer = state.customer(route, terms.key)
        table = state.table()
        service = state.service_of(route)
        return Call(
            dispatcher=self._dispatcher,
            message=CallMessage(
                method=req.method,
                target=target,
                headers=headers,
                body=req.body(table.state.limits.body_bytes),
            ),
            terms=terms,
            route=route,
            customer=customer,
            service=service,
            urgency=table.urgencies.urgency(route, customer, service),
            started_at=started_at,
        )

    def _log_refusal(
        self,
        terms: CallTerms,
        exc: ApricotcartError,
        started_at: float,
    ) -> None:
        log_decision(
            REQUEST_REFUSED,
            request_id=terms.attempt_id,
            status=exc.http_status,
            reason=exc.code,
            run_state=exc.run_state,
            retry_after_s=exc.retry_after_s,
            duration_s=steady_s() - started_at,
            version=self._state.version,
            state_age_s=self._state.age_s(),
        )

    def _refusal(self, terms: CallTerms, exc: ApricotcartError) -> WebResponse:
        response = WebResponse.from_error(exc)
        if exc.retry_after_s is not None:
            # Callers take fractions, so that they return as soon as told.
            response.headers.pop()
            retry_after = format(exc.retry_after_s, '.2f')
            response.headers.append(('Retry-After', retry_after))
        response.headers.extend(self._dialect.own_headers(terms.attempt_id))
        return response


class CallGuard:
    """Chunks of an answer; frees what the request holds at its end."""

    __slots__ = ('_number', '_running', '_watcher', 'chunks')

    def __init__(self, running: RunningCalls, watcher: CallerWatcher) -> None:
        """Start without an answer."""
        self._running = running
        self._watcher = watcher
        self._number: int | None = None
        self.chunks: Iterable[bytes] = ()

    def watch(self, sock: Any, call: Call) -> None:
        """Notice when the caller leaves."""
        self._number = self._watcher.watch(sock, call.on_left)

    def __iter__(self) -> Any:
        """Give the chunks."""
        return iter(self.chunks)

    def close(self) -> None:
        """End the answer."""
        if self._number is not None:
            self._watcher.unwatch(self._number)
            self._number = None
        close = getattr(self.chunks, 'close', None)
        if close is not None:
            close()
        self._running.leave()


def _target(environ: Environ) -> str:
    target = str(environ['REQUEST_URI'])
    if not target.startswith(_HTTP):
        return target
    parts = urlsplit(target)
    return f'{parts.path}?{parts.query}' if parts.query else parts.path

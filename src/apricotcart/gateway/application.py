"""WSGI application that serves the callers of a gateway."""

from __future__ import annotations

from collections.abc import Callable, Iterable, Iterator
from typing import Any, Final

from apricotcart.errors.tree import ApricotcartError
from apricotcart.gateway.api import (
    ForwardedRequest,
    HeaderCodec,
    Headers,
    RequestMetadata,
)
from apricotcart.gateway.call import Call
from apricotcart.gateway.dispatching.dispatcher import Dispatcher
from apricotcart.gateway.errors import LeavingError
from apricotcart.gateway.forwarding import Forwarder
from apricotcart.gateway.listener import (
    HEADERS_KEY,
    REQUEST_KEY,
    CallerRequest,
    require_small_head,
)
from apricotcart.gateway.refusals import (
    build_refusal,
    log_refusal,
    log_unexpected_error,
)
from apricotcart.gateway.routing_decision import RoutingDecision
from apricotcart.gateway.state import StateCopy
from apricotcart.gateway.stop_state import StopState
from apricotcart.gateway.stream_resumption import StreamResumption
from apricotcart.gateway.watcher import CallerWatcher
from apricotcart.resumption.origins import StreamOrigin
from apricotcart.timers.clock import boot_clock_s
from apricotcart.web.request import CONNECTION_KEY, Environ, WebRequest
from apricotcart.web.response import WebResponse

# Assumed timeout of a caller that does not state one.
_DEFAULT_WAIT_S: Final = 3.0
StartResponse = Callable[..., Any]


class GatewayApplication:
    """Resolves the route and customer of each request and forwards it.

    Parameters
    ----------
    state : StateCopy
        Routes and customers.
    header_codec : HeaderCodec
        Parses the headers of callers.
    dispatcher : Dispatcher
        Assigns requests to endpoints.
    forwarder : Forwarder
        Sends requests to endpoints.
    watcher : CallerWatcher
        Detects callers that close their connection.
    stop_state : StopState
        Holds the shutdown phase, and ends the requests that outlast it.
    resumption : StreamResumption
        Finds where a stream began that a caller resumes.
    """

    __slots__ = (
        '_header_codec',
        '_dispatcher',
        '_forwarder',
        '_stop_state',
        '_resumption',
        '_state',
        '_watcher',
    )

    def __init__(
        self,
        *,
        state: StateCopy,
        header_codec: HeaderCodec,
        dispatcher: Dispatcher,
        forwarder: Forwarder,
        watcher: CallerWatcher,
        stop_state: StopState,
        resumption: StreamResumption,
    ) -> None:
        self._resumption = resumption
        self._state = state
        self._header_codec = header_codec
        self._dispatcher = dispatcher
        self._forwarder = forwarder
        self._watcher = watcher
        self._stop_state = stop_state

    def __call__(
        self,
        environ: Environ,
        start_response: StartResponse,
    ) -> Iterable[bytes]:
        """Handle one WSGI call."""
        headers: Headers = environ[HEADERS_KEY]
        guard = GuardedResponse(
            self._stop_state, self._watcher, environ[REQUEST_KEY]
        )
        try:
            response = self._response(environ, headers, guard)
        except BaseException:
            guard.close()
            raise
        guard.chunks = response.chunks
        start_response(response.status_line(), response.headers)
        return guard

    def _response(
        self,
        environ: Environ,
        headers: Headers,
        guard: GuardedResponse,
    ) -> WebResponse:
        metadata = RequestMetadata()
        started_at = boot_clock_s()
        try:
            metadata = self._header_codec.parse_request_headers(headers)
            return self._forward(environ, headers, metadata, guard)
        except ApricotcartError as exc:
            log_refusal(self._state, metadata, exc, started_at)
            return build_refusal(self._header_codec, metadata, exc)
        except Exception:
            log_unexpected_error(metadata)
            failure = ApricotcartError('internal error')
            return build_refusal(self._header_codec, metadata, failure)

    def _forward(
        self,
        environ: Environ,
        headers: Headers,
        metadata: RequestMetadata,
        guard: GuardedResponse,
    ) -> WebResponse:
        started_at = boot_clock_s()
        # Without the wait for a state or a body, which would delay the stop.
        self._refuse_if_leaving(0)
        self._state.wait_until_known(metadata.wait_s or _DEFAULT_WAIT_S)
        limits = self._state.table().state.limits
        req = WebRequest(environ)
        require_small_head(req.target(), headers, limits.header_bytes)
        call = self._call(req, headers, metadata, started_at)
        return self._start(call, environ, guard)

    def _start(
        self, call: Call, environ: Environ, guard: GuardedResponse
    ) -> WebResponse:
        self._refuse_if_leaving(call.remaining_s())
        self._stop_state.add_end_callback(call.on_host_ending)
        guard.watch(environ[CONNECTION_KEY].socket, call)
        return self._forwarder.forward(call)

    def _refuse_if_leaving(self, longest_s: float) -> None:
        if self._stop_state.refuses(longest_s):
            raise LeavingError('this host is shutting down', retry_after_s=0.1)

    def _call(
        self,
        req: WebRequest,
        headers: Headers,
        metadata: RequestMetadata,
        started_at: float,
        origin: StreamOrigin | None = None,
    ) -> Call:
        state = self._state
        target = req.target()
        path = target.partition('?')[0]
        route = state.route(req.header('Host'), path)
        customer = state.customer(route, metadata.key)
        table = state.table()
        if origin is None:
            origin = self._resumption.origin(route, metadata)
        service = origin.service if origin else state.choose_service(route)
        return Call(
            dispatcher=self._dispatcher,
            origin=origin,
            message=ForwardedRequest(
                method=req.method,
                target=target,
                headers=headers,
                body=req.body_view(table.state.limits.body_bytes),
            ),
            metadata=metadata,
            routing=RoutingDecision(
                route=route,
                customer=customer,
                service=service,
                urgency=table.urgencies.urgency(route, customer, service),
                version=table.state.version,
                state_age_s=state.age_s(),
            ),
            started_at=started_at,
        )


class GuardedResponse:
    """Response chunks; releases the resources of the request at the end."""

    __slots__ = (
        '_stop_state',
        '_req',
        '_watched_fileno',
        '_watcher',
        'chunks',
    )

    def __init__(
        self,
        stop_state: StopState,
        watcher: CallerWatcher,
        req: CallerRequest,
    ) -> None:
        self._req = req
        self._stop_state = stop_state
        self._watcher = watcher
        self._watched_fileno: int | None = None
        self.chunks: Iterable[bytes] = ()

    def watch(self, sock: Any, call: Call) -> None:
        """Cancel the call when the caller closes its connection."""
        self._watched_fileno = self._watcher.watch(sock, call.on_caller_gone)

    def __iter__(self) -> Iterator[bytes]:
        """Yield the chunks, and mark the response as broken if they fail."""
        try:
            yield from self.chunks
        except Exception:
            self._mark_broken()
            raise

    def close(self) -> None:
        """Stop watching the caller and close the chunks."""
        if self._watched_fileno is not None:
            self._watcher.unwatch(self._watched_fileno)
            self._watched_fileno = None
        close = getattr(self.chunks, 'close', None)
        if close is not None:
            close()
        self._stop_state.remove_end_callback()

    def _mark_broken(self) -> None:
        # Without chunks, as for HTTP/1.0, a normal end of the connection
        # would complete the response.
        if not self._req.chunked_write:
            self._req.conn.reset_on_close()

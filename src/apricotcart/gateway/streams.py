"""A stream of events that may go on at another endpoint."""

from __future__ import annotations

from collections.abc import Iterator
from http import HTTPStatus

from apricotcart.errors.tree import ApricotcartError
from apricotcart.gateway.call import Call
from apricotcart.gateway.errors import (
    BrokenEndpointError,
    SilentEndpointError,
)
from apricotcart.gateway.events import EventSplitter
from apricotcart.gateway.exchange import Exchange
from apricotcart.gateway.sender import Sender
from apricotcart.observability.decisions import (
    CALLER_LEFT,
    REQUEST_ANSWERED,
    STREAM_BROKEN,
    STREAM_RESUMED,
    log_decision,
)
from apricotcart.timers.clock import steady_s


class EventStream:
    """Whole events of a request, from one endpoint after the other.

    The first event is read at once: until then a failure can still get a
    status of its own.

    Attributes
    ----------
    headers : list of (str, str)
        Headers for the caller, those of the first endpoint.
    """

    __slots__ = (
        '_call',
        '_exchange',
        '_first',
        '_first_s',
        '_last_at',
        '_pause_s',
        '_sender',
        '_source',
        '_splitter',
        'headers',
    )

    def __init__(self, sender: Sender, call: Call, exchange: Exchange) -> None:
        """Read the first event.

        Raises
        ------
        BrokenEndpointError, SilentEndpointError
            If the stream ends before its first event.
        """
        self._sender = sender
        self._call = call
        self._exchange: Exchange | None = exchange
        self._splitter = EventSplitter()
        self._source = exchange.chunks()
        self.headers = sender.dialect.caller_headers(exchange.headers)
        self._first = self._first_events()
        self._last_at = steady_s()
        self._first_s = self._last_at - call.started_at
        self._pause_s: float = 0
        sender.dispatcher.begun(call.request_id, exchange.row)
        sender.note_begun(call, steady_s())

    def __iter__(self) -> Iterator[bytes]:
        """Give the events as they come; breaks off if the stream breaks."""
        yield self._first
        while self._exchange is not None:
            try:
                yield from self._whole_events()
            except (BrokenEndpointError, SilentEndpointError) as exc:
                self._resume(exc)
                continue
            self._finish(self._exchange)

    def close(self) -> None:
        """End what still runs at an endpoint."""
        if self._exchange is not None:
            self._sender.fail(self._call, self._exchange, GeneratorExit())
            self._exchange = None

    def _finish(self, exchange: Exchange) -> None:
        self._sender.succeed(self._call, exchange)
        self._exchange = None
        log_decision(
            REQUEST_ANSWERED,
            request_id=self._call.terms.attempt_id,
            route=self._call.route.name,
            kind=str(self._call.route.kind),
            endpoint=exchange.row.instance.instance_id,
            zone=exchange.row.instance.zone,
            attempt=self._call.sends,
            status=exchange.status,
            first_s=self._first_s,
            pause_s=self._pause_s,
            duration_s=steady_s() - self._call.started_at,
        )

    def _first_events(self) -> bytes:
        for chunk in self._source:
            events = self._splitter.feed(chunk)
            if events:
                return events
        rest = self._splitter.take_rest()
        if not rest:
            raise BrokenEndpointError('the stream is empty')
        return rest

    def _whole_events(self) -> Iterator[bytes]:
        for chunk in self._source:
            events = self._splitter.feed(chunk)
            if events:
                now = steady_s()
                self._pause_s = max(self._pause_s, now - self._last_at)
                self._last_at = now
                yield events
        rest = self._splitter.take_rest()
        if rest:
            yield rest

    def _resume(self, exc: ApricotcartError) -> None:
        """Go on at another endpoint.

        Raises
        ------
        ApricotcartError
            If that is not possible; the caller's stream then breaks.
        """
        self._splitter.drop_rest()
        cause = exc
        self._drop(exc)
        while self._may_resume():
            exchange = self._sender.acquire(self._call)
            self._exchange = exchange
            try:
                self._continue_at(exchange)
            except ApricotcartError as failure:
                cause = failure
                self._drop(failure)
                continue
            log_decision(
                STREAM_RESUMED,
                request_id=self._call.terms.attempt_id,
                endpoint=exchange.row.instance.instance_id,
                attempt=self._call.sends,
                reason=cause.code,
            )
            return
        self._log_end(cause)
        raise cause

    def _log_end(self, cause: ApricotcartError) -> None:
        request_id = self._call.terms.attempt_id
        duration_s = steady_s() - self._call.started_at
        if self._call.is_left:
            log_decision(
                CALLER_LEFT,
                request_id=request_id,
                duration_s=duration_s,
            )
            return
        log_decision(
            STREAM_BROKEN,
            request_id=request_id,
            attempt=self._call.sends,
            reason=cause.code,
            duration_s=duration_s,
        )

    def _may_resume(self) -> bool:
        if not self._call.route.resumable or not self._splitter.last_id:
            return False
        return self._sender.may_repeat(self._call)

    def _continue_at(self, exchange: Exchange) -> None:
        exchange.send(self._splitter.last_id)
        if not exchange.is_stream or exchange.status != HTTPStatus.OK:
            raise BrokenEndpointError(f'resumed with {exchange.status}')
        self._sender.dispatcher.begun(self._call.request_id, exchange.row)
        self._source = exchange.chunks()

    def _drop(self, exc: ApricotcartError) -> None:
        if self._exchange is not None:
            self._sender.fail(self._call, self._exchange, exc)
            self._exchange = None

"""A stream of events that can be resumed at another endpoint."""

from __future__ import annotations

from collections.abc import Iterator
from http import HTTPStatus

from apricotcart.errors.tree import ApricotcartError
from apricotcart.gateway.call import Call
from apricotcart.gateway.errors import (
    BrokenEndpointError,
    ConnectionEndedError,
    SilentEndpointError,
)
from apricotcart.gateway.exchanges.bodies import hold
from apricotcart.gateway.exchanges.event_buffer import EventBuffer
from apricotcart.gateway.exchanges.exchange import Exchange
from apricotcart.gateway.sender import Sender
from apricotcart.observability.decisions import (
    CALLER_LEFT,
    REQUEST_ANSWERED,
    STREAM_BROKEN,
    STREAM_RESUMED,
    log_decision,
)
from apricotcart.responses.framing import Framing
from apricotcart.timers.clock import boot_clock_s


class EventStream:
    """Complete events of a response, resumed at another endpoint if it breaks.

    The first event is read before the headers are sent to the caller, since
    an error status can no longer be sent afterwards.

    Attributes
    ----------
    headers : list of (str, str)
        Headers for the caller, from the first endpoint.
    """

    __slots__ = (
        '_call',
        '_exchange',
        '_first_events',
        '_first_event_s',
        '_last_event_at',
        '_max_event_gap_s',
        '_sender',
        '_source',
        '_splitter',
        'headers',
    )

    def __init__(self, sender: Sender, call: Call, exchange: Exchange) -> None:
        """Initialize the stream and read the first event.

        Raises
        ------
        BrokenEndpointError, SilentEndpointError
            If the stream ends before its first event.
        HedgeLostError
            If another attempt at the request was answered first.
        """
        self._sender = sender
        self._call = call
        self._exchange: Exchange | None = exchange
        self._splitter = EventBuffer()
        self._source = exchange.chunks()
        self.headers = exchange.caller_headers()
        self._first_events = self._read_first_events()
        call.attempts.claim_answer(call)
        self._last_event_at = boot_clock_s()
        self._first_event_s = self._last_event_at - call.started_at
        self._max_event_gap_s: float = 0
        exchange.upstream.on_stream_begun(call, exchange)

    def __iter__(self) -> Iterator[bytes]:
        """Yield the events as they arrive; raise if the stream breaks."""
        yield self._first_events
        while self._exchange is not None:
            try:
                yield from self._complete_events()
            except (BrokenEndpointError, SilentEndpointError) as exc:
                self._resume(exc)
                continue
            self._finish(self._exchange)

    def close(self) -> None:
        """Cancel the request if it is still running at an endpoint."""
        if self._exchange is not None:
            self._sender.fail(self._call, self._exchange, GeneratorExit())
            self._exchange = None

    def _finish(self, exchange: Exchange) -> None:
        self._sender.complete(self._call, exchange)
        self._exchange = None
        log_decision(
            REQUEST_ANSWERED,
            request_id=self._call.metadata.attempt_id,
            route=self._call.route.name,
            kind=str(self._call.route.kind),
            **exchange.destination.log_fields,
            attempt=self._call.send_count,
            status=exchange.status,
            framing=exchange.framing,
            first_s=self._first_event_s,
            pause_s=self._max_event_gap_s,
            duration_s=boot_clock_s() - self._call.started_at,
        )

    def _read_first_events(self) -> bytes:
        for chunk in self._source:
            events = self._feed(chunk)
            if events:
                return events
        raise self._ended_early('the stream ended without an event')

    def _complete_events(self) -> Iterator[bytes]:
        for chunk in self._source:
            events = self._feed(chunk)
            if events:
                now = boot_clock_s()
                self._max_event_gap_s = max(
                    self._max_event_gap_s, now - self._last_event_at
                )
                self._last_event_at = now
                self._record_event()
                yield events
        self._require_end()

    def _feed(self, chunk: bytes) -> bytes:
        """Return the events that a chunk completes; hold the rest of it."""
        events = self._splitter.feed(chunk)
        if self._exchange is not None:
            hold(self._exchange.held, self._splitter.partial_bytes)
        return events

    def _require_end(self) -> None:
        """Raise if the end of the response is not the end of the stream."""
        if self._splitter.has_partial:
            raise self._ended_early('the stream ended within an event')
        exchange = self._exchange
        if exchange is None or exchange.framing is not Framing.CLOSE:
            return
        if not exchange.began_at:
            raise BrokenEndpointError('the resumed stream has no event')

    def _ended_early(self, message: str) -> BrokenEndpointError:
        """Return the error of a body that ended before its stream did."""
        exchange = self._exchange
        if exchange is not None and exchange.framing is Framing.CLOSE:
            return ConnectionEndedError(message)
        return BrokenEndpointError(message)

    def _record_event(self) -> None:
        if self._exchange is not None:
            self._exchange.upstream.on_event(self._call, self._exchange)

    def _resume(self, exc: ApricotcartError) -> None:
        """Resume the stream at another endpoint.

        Raises
        ------
        ApricotcartError
            If that is not possible; the caller's stream is then aborted.
        """
        self._splitter.discard_partial()
        cause = exc
        self._release_exchange(exc)
        while self._may_resume():
            exchange = self._acquire_next()
            self._exchange = exchange
            try:
                self._resume_at(exchange)
            except ApricotcartError as failure:
                cause = failure
                self._release_exchange(failure)
                continue
            log_decision(
                STREAM_RESUMED,
                request_id=self._call.metadata.attempt_id,
                **exchange.destination.log_fields,
                software=_version_of(self._call),
                attempt=self._call.send_count,
                reason=cause.code,
            )
            return
        self._log_end(cause)
        raise cause

    def _acquire_next(self) -> Exchange:
        try:
            return self._sender.acquire(self._call)
        except ApricotcartError as exc:
            self._log_end(exc)
            raise

    def _log_end(self, cause: ApricotcartError) -> None:
        request_id = self._call.metadata.attempt_id
        duration_s = boot_clock_s() - self._call.started_at
        if self._call.is_caller_gone:
            log_decision(
                CALLER_LEFT,
                request_id=request_id,
                duration_s=duration_s,
            )
            return
        log_decision(
            STREAM_BROKEN,
            request_id=request_id,
            attempt=self._call.send_count,
            reason=cause.code,
            duration_s=duration_s,
        )

    def _may_resume(self) -> bool:
        if not self._call.route.resumable or not self._splitter.last_id:
            return False
        return self._sender.may_retry(self._call)

    def _resume_at(self, exchange: Exchange) -> None:
        self._sender.send(exchange, self._splitter.last_id)
        if not exchange.is_stream or exchange.status != HTTPStatus.OK:
            raise BrokenEndpointError(
                f'stream not resumed: status {exchange.status}'
            )
        exchange.upstream.on_stream_resumed(self._call, exchange)
        self._source = exchange.chunks()

    def _release_exchange(self, exc: ApricotcartError) -> None:
        if self._exchange is not None:
            self._sender.fail(self._call, self._exchange, exc)
            self._exchange = None


def _version_of(call: Call) -> str | None:
    return None if call.origin is None else call.origin.software_version

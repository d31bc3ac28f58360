"""Streams of chat completions, resumed after a broken connection."""

from __future__ import annotations

import time
from collections.abc import Iterator
from typing import Any

import orjson

from apricotcart.entry.engine_call import (
    EngineCaller,
    EngineRejectedError,
    track_attempt,
)
from apricotcart.entry.errors import (
    EndpointCrashedError,
    EndpointError,
    EndpointRefusedError,
    EndpointUnreachableError,
    MismatchedAnswerError,
    TruncatedAnswerError,
)
from apricotcart.entry.events import (
    END_MARKER,
    EventSplitter,
    encode_event,
    parse_event,
)
from apricotcart.entry.retrying import RetryGate
from apricotcart.entry.upstream import UpstreamAnswer
from apricotcart.entry.usage import UsageCounter
from apricotcart.errors.tree import ApricotcartError
from apricotcart.observability.catalogue import FIRST_TOKEN_S
from apricotcart.observability.telemetry import Hop
from apricotcart.web.response import error_document

# Number of tokens reported to the scheduler at once. The scheduler charges in
# steps of 32 tokens, and all streams share its lock, so there is no need to
# take it for each token.
_CHARGE_STEP = 8
_RETRIABLE_ERRORS = (
    EndpointError,
    EndpointRefusedError,
    EndpointUnreachableError,
)
_RESUME_FAILURES = (
    EndpointRefusedError,
    EndpointUnreachableError,
    EngineRejectedError,
)


class ChatStream:
    """Forwards the events of an engine until its end marker.

    Attributes
    ----------
    tokens : int
        Number of tokens forwarded to the caller so far.
    """

    __slots__ = (
        '_caller',
        '_gate',
        '_has_started',
        '_reported_usage',
        '_uncharged_tokens',
        '_usage',
        'tokens',
    )

    def __init__(
        self,
        caller: EngineCaller,
        usage: UsageCounter,
        gate: RetryGate,
    ) -> None:
        self._caller = caller
        self._usage = usage
        self._gate = gate
        self._has_started = False
        self._reported_usage: Any = None
        self._uncharged_tokens = 0
        self.tokens = 0

    def events(self) -> Iterator[bytes]:
        """Return the events for the caller.

        Failures before the first event are raised. Later ones become an
        error event, since the response has started.
        """
        with self._caller.context:
            yield from self._count_usage()

    def _count_usage(self) -> Iterator[bytes]:
        try:
            yield from self._stream_with_retries()
        except ApricotcartError as exc:
            if not self._has_started:
                raise
            context = self._caller.context
            failure = context.history.overall_failure(exc)
            context.hop.fields['outcome'] = failure.code
            yield encode_event(orjson.dumps(error_document(failure)))
        finally:
            self._usage.count_stream(
                self._caller.context,
                self._reported_usage,
                self.tokens,
            )

    def _stream_with_retries(self) -> Iterator[bytes]:
        self._gate.on_request()
        context = self._caller.context
        while True:
            endpoint = self._caller.acquire()
            try:
                yield from self._stream_attempt(endpoint)
            except _RETRIABLE_ERRORS as exc:
                context.check_key()
                if self.tokens:
                    raise
                self._gate.wait_for_retry(context, exc)
            else:
                return

    def _stream_attempt(self, endpoint: str) -> Iterator[bytes]:
        with track_attempt(self._caller.context, endpoint) as hop:
            try:
                yield from self._exchange(endpoint, hop)
            except EndpointError as exc:
                if not self.tokens:
                    raise
                self._caller.context.history.record(exc)
                self._caller.context.check_key()
                self._gate.wait_for_retry(self._caller.context, exc)
                yield from self._resume(endpoint, hop)

    def _resume(self, endpoint: str, hop: Hop) -> Iterator[bytes]:
        """Resume a broken stream on the engine that holds its state.

        Another engine would sample different tokens, so the caller would get
        an answer composed of two.
        """
        try:
            yield from self._exchange(endpoint, hop)
        except _RESUME_FAILURES as exc:
            raise TruncatedAnswerError(
                'the stream was interrupted and could not be resumed',
            ) from exc

    def _exchange(self, endpoint: str, hop: Hop) -> Iterator[bytes]:
        answer = self._caller.send(endpoint, hop, self.tokens)
        try:
            yield from self._forward(answer)
        except BaseException:
            answer.close()
            raise
        finally:
            self._charge_tokens()
        answer.release()

    def _forward(self, answer: UpstreamAnswer) -> Iterator[bytes]:
        splitter = EventSplitter()
        for chunk in answer.chunks():
            for text in splitter.feed(chunk):
                if text == END_MARKER:
                    yield encode_event(text)
                    return
                yield self._process_event(text)
        raise TruncatedAnswerError('the stream ended without an end marker')

    def _process_event(self, text: bytes) -> bytes:
        context = self._caller.context
        document = parse_event(text)
        returned = document.get('request_id')
        if returned is not None and returned != context.request_id:
            raise MismatchedAnswerError(
                'an event has the id of another request'
            )
        context.check_key()
        context.remaining_s()
        self._count_tokens(document)
        self._has_started = True
        return encode_event(text)

    def _count_tokens(self, document: dict[str, Any]) -> None:
        if document.get('usage'):
            self._reported_usage = document['usage']
        if _has_content(document):
            self.tokens += 1
            dispatcher = self._caller.context.runtime.dispatcher
            if self.tokens == 1:
                dispatcher.notify(self._report_first_byte)
                started_at = self._caller.context.started_at
                self._caller.context.observe(
                    FIRST_TOKEN_S,
                    time.monotonic() - started_at,
                )
            self._uncharged_tokens += 1
            if self._uncharged_tokens >= _CHARGE_STEP:
                self._charge_tokens()

    def _charge_tokens(self) -> None:
        context = self._caller.context
        if self._uncharged_tokens:
            context.runtime.dispatcher.count_tokens(
                context.request_id,
                self._uncharged_tokens,
            )
        self._uncharged_tokens = 0

    def _report_first_byte(self, scheduler: Any, now: float) -> None:
        scheduler.on_first_byte(now, self._caller.context.request_id)


def _has_content(document: dict[str, Any]) -> bool:
    choices = document.get('choices') or ()
    try:
        return any(
            (choice.get('delta') or {}).get('content') for choice in choices
        )
    except (AttributeError, TypeError) as exc:
        raise EndpointCrashedError(
            f'an event has invalid choices: {exc}'
        ) from exc

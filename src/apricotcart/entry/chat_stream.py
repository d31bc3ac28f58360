"""Streams of chat completions, resumed when they break."""

from __future__ import annotations

import time
from collections.abc import Iterator
from typing import Any

import orjson

from apricotcart.entry.engine_call import (
    EngineCaller,
    EngineRejectedError,
    attempt_outcome,
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
    event_bytes,
    event_document,
)
from apricotcart.entry.retrying import RetryGate
from apricotcart.entry.upstream import UpstreamAnswer
from apricotcart.entry.usage import UsageCounter
from apricotcart.errors.tree import ApricotcartError
from apricotcart.observability.catalogue import FIRST_TOKEN_S
from apricotcart.observability.telemetry import Hop
from apricotcart.web.response import error_document

# The scheduler charges in steps of 32 tokens; its lock, which all streams
# share, need not be taken for each of them.
_CHARGE_STEP = 8
_FAILURES = (EndpointError, EndpointRefusedError, EndpointUnreachableError)
_NOT_RESUMED = (
    EndpointRefusedError,
    EndpointUnreachableError,
    EngineRejectedError,
)


class ChatStream:
    """Forwards the events of an engine until its end marker.

    Attributes
    ----------
    tokens : int
        Tokens forwarded to the caller so far.
    """

    __slots__ = (
        '_caller',
        '_gate',
        '_has_begun',
        '_reported',
        '_uncharged',
        '_usage',
        'tokens',
    )

    def __init__(
        self,
        caller: EngineCaller,
        usage: UsageCounter,
        gate: RetryGate,
    ) -> None:
        """Keep the parts."""
        self._caller = caller
        self._usage = usage
        self._gate = gate
        self._has_begun = False
        self._reported: Any = None
        self._uncharged = 0
        self.tokens = 0

    def events(self) -> Iterator[bytes]:
        """Give the events for the caller.

        Failures before the first event are raised; later ones become a
        typed error event, since the response has begun.
        """
        with self._caller.job:
            yield from self._counted()

    def _counted(self) -> Iterator[bytes]:
        try:
            yield from self._attempts()
        except ApricotcartError as exc:
            if not self._has_begun:
                raise
            job = self._caller.job
            failure = job.past.truthful(exc)
            job.hop.fields['outcome'] = failure.code
            yield event_bytes(orjson.dumps(error_document(failure)))
        finally:
            self._usage.count_stream(
                self._caller.job,
                self._reported,
                self.tokens,
            )

    def _attempts(self) -> Iterator[bytes]:
        self._gate.on_request()
        job = self._caller.job
        while True:
            endpoint = self._caller.acquire()
            try:
                yield from self._attempt(endpoint)
            except _FAILURES as exc:
                job.check_key()
                if self.tokens:
                    raise
                self._gate.require(job, exc)
            else:
                return

    def _attempt(self, endpoint: str) -> Iterator[bytes]:
        with attempt_outcome(self._caller.job, endpoint) as hop:
            try:
                yield from self._exchange(endpoint, hop)
            except EndpointError as exc:
                if not self.tokens:
                    raise
                self._caller.job.past.note(exc)
                self._caller.job.check_key()
                self._gate.require(self._caller.job, exc)
                yield from self._resume(endpoint, hop)

    def _resume(self, endpoint: str, hop: Hop) -> Iterator[bytes]:
        """Go on with a broken stream on the engine that holds its state.

        Another engine would sample other tokens, and the caller would get
        an answer spliced from two.
        """
        try:
            yield from self._exchange(endpoint, hop)
        except _NOT_RESUMED as exc:
            raise TruncatedAnswerError(
                'the stream broke and could not be resumed',
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
                    yield event_bytes(text)
                    return
                yield self._checked(text)
        raise TruncatedAnswerError('the stream ended without its end marker')

    def _checked(self, text: bytes) -> bytes:
        job = self._caller.job
        document = event_document(text)
        returned = document.get('request_id')
        if returned is not None and returned != job.request_id:
            raise MismatchedAnswerError('an event of another request')
        job.check_key()
        job.left_s()
        self._count(document)
        self._has_begun = True
        return event_bytes(text)

    def _count(self, document: dict[str, Any]) -> None:
        if document.get('usage'):
            self._reported = document['usage']
        if _has_content(document):
            self.tokens += 1
            dispatcher = self._caller.job.runtime.dispatcher
            if self.tokens == 1:
                dispatcher.notify(self._first_byte)
                since = self._caller.job.started_at
                self._caller.job.observe(
                    FIRST_TOKEN_S,
                    time.monotonic() - since,
                )
            self._uncharged += 1
            if self._uncharged >= _CHARGE_STEP:
                self._charge_tokens()

    def _charge_tokens(self) -> None:
        job = self._caller.job
        if self._uncharged:
            job.runtime.dispatcher.count_tokens(
                job.request_id,
                self._uncharged,
            )
        self._uncharged = 0

    def _first_byte(self, scheduler: Any, now: float) -> None:
        scheduler.on_first_byte(now, self._caller.job.request_id)


def _has_content(document: dict[str, Any]) -> bool:
    choices = document.get('choices') or ()
    try:
        return any(
            (choice.get('delta') or {}).get('content') for choice in choices
        )
    except (AttributeError, TypeError) as exc:
        raise EndpointCrashedError(f'broken event: {exc}') from exc

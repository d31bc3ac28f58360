"""Chat completions: whole answers and streams."""

from __future__ import annotations

from collections.abc import Iterator
from http import HTTPStatus
from itertools import chain
from typing import Any

import orjson

from apricotcart.entry.access import Access
from apricotcart.entry.attempt import Job, Runtime
from apricotcart.entry.chat_request import ChatRequest
from apricotcart.entry.chat_stream import ChatStream
from apricotcart.entry.engine_call import EngineCaller, attempt_outcome
from apricotcart.entry.errors import (
    EndpointCrashedError,
    EndpointError,
    EndpointRefusedError,
    EndpointUnreachableError,
    MismatchedAnswerError,
)
from apricotcart.entry.retrying import RetryGate
from apricotcart.entry.usage import UsageCounter
from apricotcart.web.request import WebRequest
from apricotcart.web.response import (
    EVENT_STREAM_TYPE,
    JSON_TYPE,
    WebResponse,
)

CHAT_KIND = 'chat'
_MAX_ANSWER_BYTES = 33_554_432

RETRIED = (EndpointError, EndpointRefusedError, EndpointUnreachableError)


class ChatHandler:
    """Answers ``POST /v1/chat/completions``."""

    __slots__ = ('_access', '_gate', '_max_body_bytes', '_runtime', '_usage')

    def __init__(
        self,
        *,
        runtime: Runtime,
        access: Access,
        usage: UsageCounter,
        gate: RetryGate,
        max_body_bytes: int,
    ) -> None:
        """Keep the parts."""
        self._runtime = runtime
        self._access = access
        self._usage = usage
        self._gate = gate
        self._max_body_bytes = max_body_bytes

    def respond(self, req: WebRequest) -> WebResponse:
        """Answer one chat request."""
        grant = self._access.grant(req)
        chat = ChatRequest.from_json(req.json(self._max_body_bytes))
        route = self._access.route(grant, chat.route_name, CHAT_KIND)
        job = Job(self._runtime, req, grant, route)
        caller = EngineCaller(job, chat)
        if chat.is_streamed:
            return self._streamed(caller)
        with job:
            return self._whole(caller)

    def _whole(self, caller: EngineCaller) -> WebResponse:
        body = self._answer(caller)
        document = _document(body, caller.job)
        self._usage.count_answer(caller.job, document.get('usage'))
        caller.job.check_key()
        return WebResponse.from_bytes(body, JSON_TYPE)

    def _answer(self, caller: EngineCaller) -> bytes:
        self._gate.on_request()
        while True:
            endpoint = caller.acquire()
            try:
                return self._read(caller, endpoint)
            except RETRIED as exc:
                caller.job.check_key()
                self._gate.require(caller.job, exc)

    def _read(self, caller: EngineCaller, endpoint: str) -> bytes:
        with attempt_outcome(caller.job, endpoint) as hop:
            answer = caller.send(endpoint, hop)
            body = answer.read(_MAX_ANSWER_BYTES)
            answer.release()
            _document(body, caller.job)
            return body

    def _streamed(self, caller: EngineCaller) -> WebResponse:
        stream = ChatStream(caller, self._usage, self._gate)
        events = stream.events()
        try:
            first = next(events)
        except StopIteration:
            raise EndpointCrashedError('the stream is empty') from None
        headers = [
            ('Content-Type', EVENT_STREAM_TYPE),
            ('Cache-Control', 'no-store'),
        ]
        return WebResponse(HTTPStatus.OK, headers, _Primed(first, events))


class _Primed:
    """A generator whose first item was taken; closing reaches it."""

    __slots__ = ('_chunks', '_events')

    def __init__(self, first: bytes, events: Iterator[bytes]) -> None:
        self._events = events
        self._chunks = chain((first,), events)

    def __iter__(self) -> Iterator[bytes]:
        return self._chunks

    def close(self) -> None:
        """Close the generator, which cancels the work on the endpoint."""
        close = getattr(self._events, 'close', None)
        if close is not None:
            close()


def _document(body: bytes, job: Job) -> dict[str, Any]:
    try:
        document = orjson.loads(body)
    except orjson.JSONDecodeError as exc:
        raise EndpointCrashedError(f'broken answer: {exc}') from exc
    if not isinstance(document, dict):
        raise EndpointCrashedError('the answer is not a JSON object')
    returned = document.get('request_id')
    if returned is not None and returned != job.request_id:
        raise MismatchedAnswerError('the answer belongs to another request')
    return document

"""Chat completions, as whole answers or streams."""

from __future__ import annotations

from collections.abc import Iterator
from http import HTTPStatus
from itertools import chain
from typing import Any

import orjson

from apricotcart.entry.access import AccessControl
from apricotcart.entry.chat_request import ChatRequest
from apricotcart.entry.chat_stream import ChatStream
from apricotcart.entry.engine_call import EngineCaller, track_attempt
from apricotcart.entry.errors import (
    EndpointCrashedError,
    EndpointError,
    EndpointRefusedError,
    EndpointUnreachableError,
    MismatchedAnswerError,
)
from apricotcart.entry.request_context import RequestContext, Runtime
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

RETRIABLE_ERRORS = (
    EndpointError,
    EndpointRefusedError,
    EndpointUnreachableError,
)


class ChatHandler:
    """Answers ``POST /v1/chat/completions``."""

    __slots__ = ('_access', '_gate', '_max_body_bytes', '_runtime', '_usage')

    def __init__(
        self,
        *,
        runtime: Runtime,
        access: AccessControl,
        usage: UsageCounter,
        gate: RetryGate,
        max_body_bytes: int,
    ) -> None:
        self._runtime = runtime
        self._access = access
        self._usage = usage
        self._gate = gate
        self._max_body_bytes = max_body_bytes

    def respond(self, req: WebRequest) -> WebResponse:
        """Answer one chat request."""
        grant = self._access.authenticate(req)
        chat = ChatRequest.from_json(req.json(self._max_body_bytes))
        route = self._access.route(grant, chat.route_name, CHAT_KIND)
        context = RequestContext(self._runtime, req, grant, route)
        caller = EngineCaller(context, chat)
        if chat.is_streamed:
            return self._streaming_response(caller)
        with context:
            return self._complete_response(caller)

    def _complete_response(self, caller: EngineCaller) -> WebResponse:
        body = self._fetch_with_retries(caller)
        document = _parse_answer(body, caller.context)
        self._usage.count_answer(caller.context, document.get('usage'))
        caller.context.check_key()
        return WebResponse.from_bytes(body, JSON_TYPE)

    def _fetch_with_retries(self, caller: EngineCaller) -> bytes:
        self._gate.on_request()
        while True:
            endpoint = caller.acquire()
            try:
                return self._fetch_once(caller, endpoint)
            except RETRIABLE_ERRORS as exc:
                caller.context.check_key()
                self._gate.wait_for_retry(caller.context, exc)

    def _fetch_once(self, caller: EngineCaller, endpoint: str) -> bytes:
        with track_attempt(caller.context, endpoint) as hop:
            answer = caller.send(endpoint, hop)
            body = answer.read(_MAX_ANSWER_BYTES)
            answer.release()
            _parse_answer(body, caller.context)
            return body

    def _streaming_response(self, caller: EngineCaller) -> WebResponse:
        stream = ChatStream(caller, self._usage, self._gate)
        events = stream.events()
        try:
            first = next(events)
        except StopIteration:
            raise EndpointCrashedError(
                'the stream ended without an event'
            ) from None
        headers = [
            ('Content-Type', EVENT_STREAM_TYPE),
            ('Cache-Control', 'no-store'),
        ]
        return WebResponse(
            HTTPStatus.OK, headers, _PrefetchedEvents(first, events)
        )


class _PrefetchedEvents:
    """A generator of events whose first event was read in advance.

    Closing this object closes the generator.
    """

    __slots__ = ('_chunks', '_events')

    def __init__(self, first: bytes, events: Iterator[bytes]) -> None:
        self._events = events
        self._chunks = chain((first,), events)

    def __iter__(self) -> Iterator[bytes]:
        return self._chunks

    def close(self) -> None:
        """Close the generator, which cancels the request on the endpoint."""
        close = getattr(self._events, 'close', None)
        if close is not None:
            close()


def _parse_answer(body: bytes, context: RequestContext) -> dict[str, Any]:
    try:
        document = orjson.loads(body)
    except orjson.JSONDecodeError as exc:
        raise EndpointCrashedError(
            f'the answer is not valid JSON: {exc}'
        ) from exc
    if not isinstance(document, dict):
        raise EndpointCrashedError('the answer is not a JSON object')
    returned = document.get('request_id')
    if returned is not None and returned != context.request_id:
        raise MismatchedAnswerError('the answer has the id of another request')
    return document

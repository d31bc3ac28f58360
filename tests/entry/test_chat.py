"""Tests of whole chat answers with failures."""

from __future__ import annotations

import socket
import time
from collections.abc import Callable
from concurrent.futures import ThreadPoolExecutor
from typing import Any

import orjson
import pytest
from entry.fakes import (
    EntryHarness,
    Received,
    Script,
    SocketEndpoint,
    chat_request,
    cut_reply,
    hang_up,
    reply,
    web_request,
)

from apricotcart.entry.engine_call import EngineRejectedError
from apricotcart.entry.errors import (
    EndpointRefusedError,
    KeyWithdrawnError,
    StaleConfigurationError,
)
from apricotcart.errors.tree import MAY_HAVE_RUN, NOT_RUN, ApricotcartError
from apricotcart.web.errors import InvalidFieldError, UnauthorizedError

Start = Callable[..., SocketEndpoint]
GOOD_REPLY = reply(b'{"usage":{"prompt_tokens":2,"completion_tokens":3}}')


@pytest.mark.parametrize(
    'first',
    [
        hang_up,
        cut_reply,
        reply(b'{'),
        reply(b'[]'),
        reply(b'{}', 500),
        reply(b'{}', 503),
        reply(b'{}', request_id='other'),
        reply(b'{"request_id":"other"}'),
    ],
    ids=[
        'closed',
        'cut',
        'no-json',
        'no-object',
        'failed',
        'refused',
        'other-header',
        'other-body',
    ],
)
def test_whole_answer_is_retried(
    harness: EntryHarness,
    endpoint: Start,
    first: Script,
) -> None:
    """Guards against an invalid or swapped answer that reaches the caller."""
    harness.serve(a=endpoint(first, GOOD_REPLY).url)
    response = harness.chat.respond(chat_request())
    assert orjson.loads(b''.join(response.chunks))['usage']
    assert list(harness.usage.pop_figures().values()) == [[2, 3, 1]]
    assert harness.is_idle()


@pytest.mark.parametrize(
    ('status', 'failure'),
    [(503, EndpointRefusedError), (400, EngineRejectedError)],
)
def test_refusal_is_not_run(
    harness: EntryHarness,
    endpoint: Start,
    status: int,
    failure: type[ApricotcartError],
) -> None:
    """Guards against `may_have_run` for a request that no engine ran."""
    harness.serve(a=endpoint(reply(b'{}', status)).url)
    with pytest.raises(failure) as caught:
        harness.chat.respond(chat_request())
    assert caught.value.run_state == NOT_RUN
    assert not harness.usage.pop_figures()
    assert harness.is_idle()


def test_rejection_after_crash_may_have_run(
    harness: EntryHarness,
    endpoint: Start,
) -> None:
    """Guards against `not_run` after an engine crashed during the request."""
    harness.serve(a=endpoint(hang_up, reply(b'{}', 400)).url)
    with pytest.raises(ApricotcartError) as caught:
        harness.chat.respond(chat_request())
    assert caught.value.run_state == MAY_HAVE_RUN
    assert caught.value.context['reason'] == 'rejected_by_engine'


def test_key_withdrawn_while_engine_works(
    harness: EntryHarness,
    endpoint: Start,
) -> None:
    """Guards against a late answer for a withdrawn key."""

    def answer_late(conn: socket.socket, request: Received) -> None:
        harness.revoke()
        GOOD_REPLY(conn, request)

    server = endpoint(answer_late)
    harness.serve(a=server.url)
    with pytest.raises(KeyWithdrawnError):
        harness.chat.respond(chat_request())
    assert len(server.received) == 1
    assert harness.is_idle()


def test_copy_too_old_between_decision_and_send(
    harness: EntryHarness,
    endpoint: Start,
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against a send by a host that was frozen after the decision."""
    server = endpoint(GOOD_REPLY)
    harness.serve(a=server.url)
    acquire = harness.dispatcher.acquire

    def freeze(*args: Any) -> str:
        name = acquire(*args)
        harness.configuration.is_fresh = False
        return name

    monkeypatch.setattr(
        'apricotcart.entry.dispatcher.Dispatcher.acquire',
        lambda dispatcher, *args: freeze(*args),
    )
    with pytest.raises(StaleConfigurationError) as caught:
        harness.chat.respond(chat_request())
    assert caught.value.run_state == NOT_RUN
    assert not server.connections
    assert harness.is_idle()


def test_invalid_request_leaves_no_entry(harness: EntryHarness) -> None:
    """Guards against a refused request that counts as running."""
    body = orjson.dumps({'model': 'draft', 'messages': 7})
    with pytest.raises(InvalidFieldError) as caught:
        harness.chat.respond(web_request('/v1/chat/completions', body))
    assert caught.value.run_state == NOT_RUN
    assert harness.is_idle()


@pytest.mark.parametrize('is_copy_stale', [True, False])
def test_queued_request_ends(
    harness: EntryHarness, is_copy_stale: bool
) -> None:
    """Guards against waiting after the copy is too old or the key withdrawn."""
    harness.serve(a='http://127.0.0.1:1')
    harness.dispatcher.notify(
        lambda scheduler, now: scheduler.set_slot_limits(now, {'a': 0}),
    )
    with ThreadPoolExecutor(1) as pool:
        fut = pool.submit(harness.chat.respond, chat_request())
        while not harness.in_use():
            time.sleep(0.01)
        if is_copy_stale:
            harness.configuration.is_fresh = False
        else:
            harness.revoke()
        failure = fut.exception(30)
    assert isinstance(
        failure,
        StaleConfigurationError if is_copy_stale else UnauthorizedError,
    )
    assert failure.run_state == NOT_RUN
    assert harness.is_idle()

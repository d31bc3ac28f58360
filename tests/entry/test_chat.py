"""Failures of whole chat answers."""

from __future__ import annotations

import socket
import time
from collections.abc import Callable
from concurrent.futures import ThreadPoolExecutor
from typing import Any

import orjson
import pytest
from entry.fakes import (
    EntryRig,
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
GOOD = reply(b'{"usage":{"prompt_tokens":2,"completion_tokens":3}}')


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
def test_whole_answer_is_tried_again(
    rig: EntryRig,
    endpoint: Start,
    first: Script,
) -> None:
    """Guards against a broken or swapped answer that reaches the caller."""
    rig.serve(a=endpoint(first, GOOD).url)
    response = rig.chat.respond(chat_request())
    assert orjson.loads(b''.join(response.chunks))['usage']
    assert list(rig.usage.take().values()) == [[2, 3, 1]]
    assert rig.is_idle()


@pytest.mark.parametrize(
    ('status', 'failure'),
    [(503, EndpointRefusedError), (400, EngineRejectedError)],
)
def test_refusal_is_not_run(
    rig: EntryRig,
    endpoint: Start,
    status: int,
    failure: type[ApricotcartError],
) -> None:
    """Guards against doubt about a request that no engine ran."""
    rig.serve(a=endpoint(reply(b'{}', status)).url)
    with pytest.raises(failure) as caught:
        rig.chat.respond(chat_request())
    assert caught.value.run_state == NOT_RUN
    assert not rig.usage.take()
    assert rig.is_idle()


def test_rejection_after_crash_may_have_run(
    rig: EntryRig,
    endpoint: Start,
) -> None:
    """Guards against `not_run` after an engine crashed with the request."""
    rig.serve(a=endpoint(hang_up, reply(b'{}', 400)).url)
    with pytest.raises(ApricotcartError) as caught:
        rig.chat.respond(chat_request())
    assert caught.value.run_state == MAY_HAVE_RUN
    assert caught.value.context['reason'] == 'rejected_by_engine'


def test_key_withdrawn_while_engine_works(
    rig: EntryRig,
    endpoint: Start,
) -> None:
    """Guards against a late answer for a withdrawn key."""

    def answer_late(conn: socket.socket, request: Received) -> None:
        rig.revoke()
        GOOD(conn, request)

    site = endpoint(answer_late)
    rig.serve(a=site.url)
    with pytest.raises(KeyWithdrawnError):
        rig.chat.respond(chat_request())
    assert len(site.received) == 1
    assert rig.is_idle()


def test_copy_too_old_between_decision_and_send(
    rig: EntryRig,
    endpoint: Start,
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against a send by a host that was frozen after the decision."""
    site = endpoint(GOOD)
    rig.serve(a=site.url)
    acquire = rig.dispatcher.acquire

    def freeze(*args: Any) -> str:
        name = acquire(*args)
        rig.configuration.is_fresh = False
        return name

    monkeypatch.setattr(
        'apricotcart.entry.dispatcher.Dispatcher.acquire',
        lambda dispatcher, *args: freeze(*args),
    )
    with pytest.raises(StaleConfigurationError) as caught:
        rig.chat.respond(chat_request())
    assert caught.value.run_state == NOT_RUN
    assert not site.connections
    assert rig.is_idle()


def test_faulty_request_leaves_nothing(rig: EntryRig) -> None:
    """Guards against a refused request that counts as running."""
    body = orjson.dumps({'model': 'draft', 'messages': 7})
    with pytest.raises(InvalidFieldError) as caught:
        rig.chat.respond(web_request('/v1/chat/completions', body))
    assert caught.value.run_state == NOT_RUN
    assert rig.is_idle()


@pytest.mark.parametrize('is_cut_off', [True, False])
def test_waiting_request_ends(rig: EntryRig, is_cut_off: bool) -> None:
    """Guards against a wait that outlasts a fresh copy or a valid key."""
    rig.serve(a='http://127.0.0.1:1')
    rig.dispatcher.notify(
        lambda scheduler, now: scheduler.set_share(now, {'a': 0}),
    )
    with ThreadPoolExecutor(1) as pool:
        fut = pool.submit(rig.chat.respond, chat_request())
        while not rig.in_use():
            time.sleep(0.01)
        if is_cut_off:
            rig.configuration.is_fresh = False
        else:
            rig.revoke()
        failure = fut.exception(30)
    assert isinstance(
        failure,
        StaleConfigurationError if is_cut_off else UnauthorizedError,
    )
    assert failure.run_state == NOT_RUN
    assert rig.is_idle()

"""Failures of streams: whole, or ended by a typed error event."""

from __future__ import annotations

import socket
import time
from collections.abc import Callable, Iterator
from types import SimpleNamespace
from typing import Any

import orjson
import pytest
from entry.fakes import (
    DONE,
    ROLE,
    EntryRig,
    FakeConnection,
    Received,
    Script,
    SocketEndpoint,
    chat_request,
    hang_up,
    reply,
    route_view,
    send_event,
    stay_silent,
    stream,
    token,
    wait_until,
)

from apricotcart.entry.errors import EndpointTimeoutError, TruncatedAnswerError
from apricotcart.errors.tree import MAY_HAVE_RUN, ApricotcartError

Start = Callable[..., SocketEndpoint]
Events = Iterator[bytes]
DONE_EVENT = b'data: [DONE]\n\n'


def _events(rig: EntryRig, **environ: Any) -> Any:
    return rig.chat.respond(chat_request(streamed=True, **environ)).chunks


def _texts(events: list[bytes]) -> str:
    documents = [
        orjson.loads(event.removeprefix(b'data: '))
        for event in events
        if event != DONE_EVENT
    ]
    return ''.join(
        document['choices'][0]['delta']['content']
        for document in documents
        if 'choices' in document
    )


def _error(events: list[bytes]) -> Any:
    assert DONE_EVENT not in events
    return orjson.loads(events[-1].removeprefix(b'data: '))['error']


def _calls(rig: EntryRig) -> list[list[int]]:
    return list(rig.usage.take().values())


def test_stream_resumed_on_same_engine(rig: EntryRig, endpoint: Start) -> None:
    """Guards against an answer spliced from two engines."""
    broken = stream(token('a'), token('b'), then=hang_up)
    sites = [endpoint(broken, stream(token('c'), DONE)) for _ in range(2)]
    rig.serve(a=sites[0].url, b=sites[1].url)
    events = list(_events(rig))
    assert _texts(events) == 'abc'
    assert events[-1] == DONE_EVENT
    assert sorted(len(site.received) for site in sites) == [0, 2]
    used = max(sites, key=lambda site: len(site.received))
    assert orjson.loads(used.received[1].body)['resume_from'] == 2
    assert _calls(rig) == [[0, 3, 1]]
    assert rig.is_idle()


@pytest.mark.parametrize(
    'second',
    [
        stream(then=hang_up),
        stream(),
        hang_up,
        reply(b'{}', 503),
        reply(b'{}', 400),
        reply(b'{}', 500),
        stream(token('x', 'other'), DONE),
        stream(b'[1]', DONE),
    ],
    ids=[
        'cut',
        'no-end-marker',
        'closed',
        'refused',
        'rejected',
        'failed',
        'other-request',
        'no-object',
    ],
)
def test_stream_not_resumed_ends_in_error(
    rig: EntryRig,
    endpoint: Start,
    second: Script,
) -> None:
    """Guards against an end marker or `not_run` after a broken stream."""
    site = endpoint(stream(token('a'), then=hang_up), second)
    rig.serve(a=site.url)
    events = list(_events(rig))
    assert _texts(events) == 'a'
    assert _error(events)['run_state'] == MAY_HAVE_RUN
    assert len(site.received) == 2
    assert _calls(rig) == [[0, 1, 1]]
    assert rig.is_idle()


@pytest.mark.parametrize(
    'first',
    [
        hang_up,
        stream(),
        stream(then=hang_up),
        stream(token('x', 'other'), DONE),
        stream(b'{"choices":[{"delta":null}]}', then=hang_up),
        stream(b'{"choices":[null]}', DONE),
        stream(b'{"choices":7}', DONE),
    ],
    ids=[
        'closed',
        'no-end-marker',
        'cut',
        'other-request',
        'no-delta',
        'no-choice',
        'no-choices',
    ],
)
def test_stream_moves_before_first_token(
    rig: EntryRig,
    endpoint: Start,
    first: Script,
) -> None:
    """Guards against a failure that the caller need not have seen."""
    good = stream(token('a'), DONE)
    site = endpoint(first, good)
    rig.serve(a=site.url)
    events = list(_events(rig))
    assert _texts(events[-2:]) == 'a'
    assert events[-1] == DONE_EVENT
    assert _calls(rig) == [[0, 1, 1]]
    assert rig.is_idle()


def test_stream_error_after_role_event(rig: EntryRig, endpoint: Start) -> None:
    """Guards against a response that breaks off after an empty event."""
    rig.serve(a=endpoint(stream(ROLE, then=hang_up)).url)
    events = list(_events(rig))
    assert events[0] == b'data: %s\n\n' % ROLE
    assert _error(events)['code'] == 'endpoint_crashed'
    assert b'outcome="endpoint_crashed"' in rig.metrics.page()[0]
    assert rig.is_idle()


def test_stream_failure_before_first_event(
    rig: EntryRig,
    endpoint: Start,
) -> None:
    """Guards against a running request left by a stream that never began."""
    rig.serve(a=endpoint(hang_up).url)
    with pytest.raises(ApricotcartError):
        _events(rig)
    assert rig.is_idle()
    assert not _calls(rig)


def test_silent_engine_is_given_up(
    endpoint: Start,
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against a stream that waits on a frozen engine for ever."""
    monkeypatch.setattr('apricotcart.entry.attempt._STALL_MIN_S', 0.1)
    rig = EntryRig(route_view('draft', 'chat', first_token_s=0.01))
    rig.serve(a=endpoint(stay_silent).url)
    with pytest.raises(ApricotcartError) as caught:
        _events(rig)
    assert caught.value.run_state == MAY_HAVE_RUN
    assert rig.is_idle()
    rig.close()


def test_silent_stream_ends_in_error(
    rig: EntryRig,
    endpoint: Start,
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against an end marker after an engine fell silent."""

    def fall_silent(answer: Any) -> Events:
        yield b'data: %s\n\n' % token('a')
        raise EndpointTimeoutError('silent')

    monkeypatch.setattr(
        'apricotcart.entry.upstream.UpstreamAnswer.chunks',
        fall_silent,
    )
    rig.serve(a=endpoint(stream(DONE)).url)
    assert _error(list(_events(rig)))['code'] == 'endpoint_timeout'
    assert rig.is_idle()


def test_stream_of_broken_usage_is_whole(
    rig: EntryRig,
    endpoint: Start,
) -> None:
    """Guards against a whole answer that fails on the engine's figures."""
    usage = b'{"choices":[],"usage":{"completion_tokens":null}}'
    rig.serve(a=endpoint(stream(token('a'), usage, DONE)).url)
    assert list(_events(rig))[-1] == DONE_EVENT
    assert _calls(rig) == [[0, 1, 1]]
    assert rig.is_idle()


def test_stale_copy_during_resume_is_no_not_run(
    rig: EntryRig,
    endpoint: Start,
) -> None:
    """Guards against `not_run` for a stream that broke after a token."""

    def freeze(conn: socket.socket, request: Received) -> None:
        rig.configuration.is_fresh = False
        hang_up(conn, request)

    site = endpoint(stream(token('a'), then=freeze))
    rig.serve(a=site.url)
    error = _error(list(_events(rig)))
    assert error['run_state'] == MAY_HAVE_RUN
    assert error['reason'] == 'stale_configuration'
    assert len(site.received) == 1


def test_key_withdrawn_during_stream(rig: EntryRig, endpoint: Start) -> None:
    """Guards against a stream that goes on, or resumes, without a key."""
    site = endpoint(stream(token('a'), then=stay_silent))
    rig.serve(a=site.url)
    events = iter(_events(rig))
    first = next(events)
    rig.revoke()
    rest = list(events)
    assert _texts([first]) == 'a'
    assert _error(rest)['code'] == 'key_withdrawn'
    assert len(site.received) == 1
    assert rig.is_idle()


def test_stream_of_host_that_is_cut_off(
    rig: EntryRig,
    endpoint: Start,
) -> None:
    """Guards against a withdrawal that is reported and never happened."""
    site = endpoint(stream(token('a'), then=stay_silent))
    rig.serve(a=site.url)
    events = iter(_events(rig))
    next(events)
    rig.configuration.is_fresh = False
    rig.revoke()
    error = _error(list(events))
    assert error['code'] == 'stale_configuration'
    assert error['run_state'] == MAY_HAVE_RUN


def test_key_withdrawn_before_resume(
    rig: EntryRig,
    endpoint: Start,
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against a send for a key withdrawn during the back-off."""
    clock = SimpleNamespace(
        monotonic=time.monotonic,
        sleep=lambda pause_s: rig.revoke(),
    )
    monkeypatch.setattr('apricotcart.entry.retrying.time', clock)
    site = endpoint(stream(token('a'), then=hang_up), stream(DONE))
    rig.serve(a=site.url)
    response = rig.chat.respond(chat_request(streamed=True))
    error = _error(list(response.chunks))
    assert error['code'] == 'key_withdrawn'
    assert len(site.received) == 1


def test_caller_leaves_stream(rig: EntryRig, endpoint: Start) -> None:
    """Guards against a slot held for a caller that left."""
    ended = []

    def watch(conn: socket.socket, request: Received) -> None:
        ended.append(conn.recv(1))

    rig.serve(a=endpoint(stream(token('a'), then=watch)).url)
    events = _events(rig)
    assert rig.in_use() == 1
    events.close()
    assert rig.is_idle()
    wait_until(lambda: ended == [b''])
    assert _calls(rig) == [[0, 1, 1]]


def test_caller_leaves_queue(rig: EntryRig, endpoint: Start) -> None:
    """Guards against a queued request whose caller left."""
    site = endpoint(stream(token('a'), then=stay_silent))
    rig.serve(a=site.url)
    held = _events(rig)
    ours, theirs = socket.socketpair()
    theirs.close()
    connection = {'apricotcart.connection': FakeConnection(ours)}
    with pytest.raises(ApricotcartError) as caught:
        _events(rig, **connection)
    assert caught.value.code == 'caller_gone'
    assert rig.in_use() == 1
    assert len(site.received) == 1
    held.close()
    ours.close()
    assert rig.is_idle()


def test_connection_used_again_after_stream(
    rig: EntryRig,
    endpoint: Start,
) -> None:
    """Guards against a connection that is given back with unread bytes."""
    site = endpoint(stream(token('a'), DONE))
    rig.serve(a=site.url)
    for _ in range(3):
        events = list(_events(rig))
        assert _texts(events) == 'a'
    assert len(site.received) == 3


def test_truncated_before_first_token_is_typed(
    rig: EntryRig,
    endpoint: Start,
) -> None:
    """Guards against an empty stream that is given as a whole answer."""
    rig.serve(a=endpoint(stream()).url)
    with pytest.raises(TruncatedAnswerError):
        _events(rig)


def test_event_split_over_packets(rig: EntryRig, endpoint: Start) -> None:
    """Guards against tokens lost where a packet ends inside an event."""

    def dribble(conn: socket.socket, request: Received) -> None:
        event = b'data: %s\n\n' % token('b')
        for byte in event:
            conn.sendall(b'1\r\n%c\r\n' % byte)
        send_event(conn, DONE)
        conn.sendall(b'0\r\n\r\n')

    rig.serve(a=endpoint(stream(token('a'), then=dribble)).url)
    assert _texts(list(_events(rig))) == 'ab'

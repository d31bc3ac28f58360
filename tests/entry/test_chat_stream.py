"""Tests of streams that fail: each is completed or ends in an error event."""

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
    EntryHarness,
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


def _events(harness: EntryHarness, **environ: Any) -> Any:
    return harness.chat.respond(chat_request(streamed=True, **environ)).chunks


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


def _calls(harness: EntryHarness) -> list[list[int]]:
    return list(harness.usage.pop_figures().values())


def test_stream_resumed_on_same_engine(
    harness: EntryHarness, endpoint: Start
) -> None:
    """Guards against an answer composed of the output of two engines."""
    broken = stream(token('a'), token('b'), then=hang_up)
    servers = [endpoint(broken, stream(token('c'), DONE)) for _ in range(2)]
    harness.serve(a=servers[0].url, b=servers[1].url)
    events = list(_events(harness))
    assert _texts(events) == 'abc'
    assert events[-1] == DONE_EVENT
    assert sorted(len(server.received) for server in servers) == [0, 2]
    used = max(servers, key=lambda server: len(server.received))
    assert orjson.loads(used.received[1].body)['resume_from'] == 2
    assert _calls(harness) == [[0, 3, 1]]
    assert harness.is_idle()


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
    harness: EntryHarness,
    endpoint: Start,
    second: Script,
) -> None:
    """Guards against an end marker or `not_run` after a broken stream."""
    server = endpoint(stream(token('a'), then=hang_up), second)
    harness.serve(a=server.url)
    events = list(_events(harness))
    assert _texts(events) == 'a'
    assert _error(events)['run_state'] == MAY_HAVE_RUN
    assert len(server.received) == 2
    assert _calls(harness) == [[0, 1, 1]]
    assert harness.is_idle()


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
def test_stream_retried_before_first_token(
    harness: EntryHarness,
    endpoint: Start,
    first: Script,
) -> None:
    """Guards against an avoidable failure that reaches the caller."""
    good = stream(token('a'), DONE)
    server = endpoint(first, good)
    harness.serve(a=server.url)
    events = list(_events(harness))
    assert _texts(events[-2:]) == 'a'
    assert events[-1] == DONE_EVENT
    assert _calls(harness) == [[0, 1, 1]]
    assert harness.is_idle()


def test_stream_error_after_role_event(
    harness: EntryHarness, endpoint: Start
) -> None:
    """Guards against a response truncated after an event without content."""
    harness.serve(a=endpoint(stream(ROLE, then=hang_up)).url)
    events = list(_events(harness))
    assert events[0] == b'data: %s\n\n' % ROLE
    assert _error(events)['code'] == 'endpoint_crashed'
    assert b'outcome="endpoint_crashed"' in harness.metrics.render()[0]
    assert harness.is_idle()


def test_stream_failure_before_first_event(
    harness: EntryHarness,
    endpoint: Start,
) -> None:
    """Guards against a running entry left by a stream that never started."""
    harness.serve(a=endpoint(hang_up).url)
    with pytest.raises(ApricotcartError):
        _events(harness)
    assert harness.is_idle()
    assert not _calls(harness)


def test_silent_engine_times_out(
    endpoint: Start,
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against a stream that waits on a frozen engine forever."""
    monkeypatch.setattr('apricotcart.entry.request_context._STALL_MIN_S', 0.1)
    harness = EntryHarness(route_view('draft', 'chat', first_token_s=0.01))
    harness.serve(a=endpoint(stay_silent).url)
    with pytest.raises(ApricotcartError) as caught:
        _events(harness)
    assert caught.value.run_state == MAY_HAVE_RUN
    assert harness.is_idle()
    harness.close()


def test_silent_stream_ends_in_error(
    harness: EntryHarness,
    endpoint: Start,
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against an end marker after an engine stopped sending."""

    def stop_sending(answer: Any) -> Events:
        yield b'data: %s\n\n' % token('a')
        raise EndpointTimeoutError('silent')

    monkeypatch.setattr(
        'apricotcart.entry.upstream.UpstreamAnswer.chunks',
        stop_sending,
    )
    harness.serve(a=endpoint(stream(DONE)).url)
    assert _error(list(_events(harness)))['code'] == 'endpoint_timeout'
    assert harness.is_idle()


def test_stream_with_invalid_usage_is_complete(
    harness: EntryHarness,
    endpoint: Start,
) -> None:
    """Guards against a complete answer that fails on invalid token counts."""
    usage = b'{"choices":[],"usage":{"completion_tokens":null}}'
    harness.serve(a=endpoint(stream(token('a'), usage, DONE)).url)
    assert list(_events(harness))[-1] == DONE_EVENT
    assert _calls(harness) == [[0, 1, 1]]
    assert harness.is_idle()


def test_stale_copy_during_resume_may_have_run(
    harness: EntryHarness,
    endpoint: Start,
) -> None:
    """Guards against `not_run` for a stream interrupted after a token."""

    def freeze(conn: socket.socket, request: Received) -> None:
        harness.configuration.is_fresh = False
        hang_up(conn, request)

    server = endpoint(stream(token('a'), then=freeze))
    harness.serve(a=server.url)
    error = _error(list(_events(harness)))
    assert error['run_state'] == MAY_HAVE_RUN
    assert error['reason'] == 'stale_configuration'
    assert len(server.received) == 1


def test_key_withdrawn_during_stream(
    harness: EntryHarness, endpoint: Start
) -> None:
    """Guards against a stream that continues or resumes after a withdrawal."""
    server = endpoint(stream(token('a'), then=stay_silent))
    harness.serve(a=server.url)
    events = iter(_events(harness))
    first = next(events)
    harness.revoke()
    rest = list(events)
    assert _texts([first]) == 'a'
    assert _error(rest)['code'] == 'key_withdrawn'
    assert len(server.received) == 1
    assert harness.is_idle()


def test_stream_on_host_without_control_connection(
    harness: EntryHarness,
    endpoint: Start,
) -> None:
    """Guards against reporting a key withdrawal that did not happen."""
    server = endpoint(stream(token('a'), then=stay_silent))
    harness.serve(a=server.url)
    events = iter(_events(harness))
    next(events)
    harness.configuration.is_fresh = False
    harness.revoke()
    error = _error(list(events))
    assert error['code'] == 'stale_configuration'
    assert error['run_state'] == MAY_HAVE_RUN


def test_key_withdrawn_before_resume(
    harness: EntryHarness,
    endpoint: Start,
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against a send for a key withdrawn during the back-off."""
    clock = SimpleNamespace(
        monotonic=time.monotonic,
        sleep=lambda pause_s: harness.revoke(),
    )
    monkeypatch.setattr('apricotcart.entry.retrying.time', clock)
    server = endpoint(stream(token('a'), then=hang_up), stream(DONE))
    harness.serve(a=server.url)
    response = harness.chat.respond(chat_request(streamed=True))
    error = _error(list(response.chunks))
    assert error['code'] == 'key_withdrawn'
    assert len(server.received) == 1


def test_caller_disconnects_during_stream(
    harness: EntryHarness, endpoint: Start
) -> None:
    """Guards against a slot held for a caller that disconnected."""
    ended = []

    def watch(conn: socket.socket, request: Received) -> None:
        ended.append(conn.recv(1))

    harness.serve(a=endpoint(stream(token('a'), then=watch)).url)
    events = _events(harness)
    assert harness.in_use() == 1
    events.close()
    assert harness.is_idle()
    wait_until(lambda: ended == [b''])
    assert _calls(harness) == [[0, 1, 1]]


def test_caller_disconnects_while_queued(
    harness: EntryHarness, endpoint: Start
) -> None:
    """Guards against a queued request whose caller disconnected."""
    server = endpoint(stream(token('a'), then=stay_silent))
    harness.serve(a=server.url)
    occupying_stream = _events(harness)
    server_socket, caller_socket = socket.socketpair()
    caller_socket.close()
    connection = {'apricotcart.connection': FakeConnection(server_socket)}
    with pytest.raises(ApricotcartError) as caught:
        _events(harness, **connection)
    assert caught.value.code == 'caller_gone'
    assert harness.in_use() == 1
    assert len(server.received) == 1
    occupying_stream.close()
    server_socket.close()
    assert harness.is_idle()


def test_connection_reuse_after_stream(
    harness: EntryHarness,
    endpoint: Start,
) -> None:
    """Guards against a connection returned to its pool with unread bytes."""
    server = endpoint(stream(token('a'), DONE))
    harness.serve(a=server.url)
    for _ in range(3):
        events = list(_events(harness))
        assert _texts(events) == 'a'
    assert len(server.received) == 3


def test_truncated_before_first_token_raises(
    harness: EntryHarness,
    endpoint: Start,
) -> None:
    """Guards against an empty stream that is accepted as a complete answer."""
    harness.serve(a=endpoint(stream()).url)
    with pytest.raises(TruncatedAnswerError):
        _events(harness)


def test_event_split_over_packets(
    harness: EntryHarness, endpoint: Start
) -> None:
    """Guards against tokens lost when a packet ends inside an event."""

    def send_bytewise(conn: socket.socket, request: Received) -> None:
        event = b'data: %s\n\n' % token('b')
        for byte in event:
            conn.sendall(b'1\r\n%c\r\n' % byte)
        send_event(conn, DONE)
        conn.sendall(b'0\r\n\r\n')

    harness.serve(a=endpoint(stream(token('a'), then=send_bytewise)).url)
    assert _texts(list(_events(harness))) == 'ab'

"""Tests of service calls with failures.

Orders run at most once, and `not_run` is reported only if it is certain.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

import pytest
from entry.fakes import (
    LOST,
    START,
    EntryHarness,
    Received,
    Script,
    SocketEndpoint,
    cut_reply,
    hang_up,
    order_request,
    reply,
    stay_silent,
    wait_until,
    web_request,
)

from apricotcart.entry.errors import (
    EndpointCrashedError,
    EndpointDrainingError,
    EndpointTimeoutError,
    EndpointUnreachableError,
    KeyWithdrawnError,
    MismatchedAnswerError,
    OrderNotRecordedError,
    StaleConfigurationError,
)
from apricotcart.errors.tree import (
    MAY_HAVE_RUN,
    NOT_RUN,
    ApricotcartError,
    MayHaveRunError,
)
from apricotcart.web.errors import UnauthorizedError

Start = Callable[..., SocketEndpoint]


def _finish_results(harness: EntryHarness) -> list[str]:
    wait_until(lambda: bool(harness.control.commands('order_finish')))
    return [
        command['result']
        for command in harness.control.commands('order_finish')
    ]


def _short_timeout(context: Any) -> float:
    return 0.1


def _expect_order_failure(
    harness: EntryHarness, failure: type[Exception]
) -> Any:
    with pytest.raises(failure) as caught:
        harness.services.respond(order_request())
    assert harness.is_idle()
    return caught.value


@pytest.mark.parametrize(
    ('script', 'failure'),
    [
        (hang_up, EndpointCrashedError),
        (cut_reply, EndpointCrashedError),
        (reply(b'{}', request_id='other'), MismatchedAnswerError),
    ],
)
def test_order_sent_once_when_answer_fails(
    harness: EntryHarness,
    endpoint: Start,
    script: Script,
    failure: type[ApricotcartError],
) -> None:
    """Guards against a resend after the service received the order."""
    servers = (endpoint(script), endpoint(script))
    harness.serve(a=servers[0].url, b=servers[1].url)
    raised = _expect_order_failure(harness, failure)
    assert raised.run_state == MAY_HAVE_RUN
    assert sum(len(server.received) for server in servers) == 1
    assert _finish_results(harness) == ['unknown']


def test_order_sent_once_when_service_is_silent(
    harness: EntryHarness,
    endpoint: Start,
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against a resend, or a false `not_run`, after a timeout."""
    monkeypatch.setattr(
        'apricotcart.entry.request_context.RequestContext.remaining_s',
        _short_timeout,
    )
    servers = (endpoint(stay_silent), endpoint(stay_silent))
    harness.serve(a=servers[0].url, b=servers[1].url)
    raised = _expect_order_failure(harness, EndpointTimeoutError)
    assert raised.run_state == MAY_HAVE_RUN
    assert sum(server.connections for server in servers) <= 1
    assert _finish_results(harness) == ['unknown']


def test_order_not_run_when_connection_is_refused(
    harness: EntryHarness,
    unused_tcp_port: int,
) -> None:
    """Guards against an order recorded as unknown though nothing was sent."""
    harness.serve(a=f'http://127.0.0.1:{unused_tcp_port}')
    raised = _expect_order_failure(harness, EndpointUnreachableError)
    assert raised.run_state == NOT_RUN
    assert _finish_results(harness) == ['not_run']


def test_order_uses_no_idle_connection(
    harness: EntryHarness, endpoint: Start
) -> None:
    """Guards against sending an order on an idle connection.

    If the service closes it meanwhile, the outcome of the order is unknown.
    """
    server = endpoint(reply(b'{}'))
    harness.serve(a=server.url)
    harness.services.respond(web_request('/v1/services/stock/count'))
    for _ in range(2):
        harness.services.respond(order_request())
    assert server.connections == 3
    assert server.received[2].headers['connection'] == 'close'


def test_order_begin_lost_sends_nothing(
    harness: EntryHarness,
    endpoint: Start,
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against sending an order without a committed record."""
    monkeypatch.setattr('apricotcart.entry.orders._BEGIN_TIMEOUT_S', 0)
    server = endpoint(reply(b'{}'))
    harness.serve(a=server.url)
    raised = _expect_order_failure(harness, OrderNotRecordedError)
    assert raised.run_state == NOT_RUN
    assert not server.connections
    assert _finish_results(harness) == ['not_run']


def test_order_finish_lost_is_resent(
    harness: EntryHarness,
    endpoint: Start,
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against an answer that no control host stores."""
    monkeypatch.setattr('apricotcart.entry.orders._FINISH_TIMEOUT_S', 0.1)
    server = endpoint(reply(b'{"n":1}'))
    harness.serve(a=server.url)
    harness.control.answers = [START, LOST]
    response = harness.services.respond(order_request())
    assert response.status == 200
    assert harness.orders.unacknowledged
    harness.control.answers = [{'ok': True}]
    wait_until(lambda: not harness.orders.unacknowledged)
    finish_commands = harness.control.commands('order_finish')
    assert len(finish_commands) > 1
    assert all(command == finish_commands[0] for command in finish_commands)
    assert finish_commands[0]['body'] == b'{"n":1}'
    assert len(server.received) == 1


def _make_copy_stale(harness: EntryHarness) -> None:
    harness.configuration.is_fresh = False


def _drain_endpoint(harness: EntryHarness) -> None:
    harness.configuration.draining = {'a'}


@pytest.mark.parametrize(
    ('change', 'failure'),
    [
        (EntryHarness.revoke, UnauthorizedError),
        (_make_copy_stale, StaleConfigurationError),
        (_drain_endpoint, EndpointDrainingError),
    ],
)
def test_order_refused_between_record_and_send(
    harness: EntryHarness,
    endpoint: Start,
    change: Callable[[EntryHarness], None],
    failure: type[ApricotcartError],
) -> None:
    """Guards against sending when the permission ended after the record."""
    server = endpoint(reply(b'{}'))
    harness.serve(a=server.url)

    def on_call(message: Any) -> None:
        if message['command']['kind'] == 'order_begin':
            change(harness)

    harness.control.on_call = on_call
    raised = _expect_order_failure(harness, failure)
    assert raised.run_state == NOT_RUN
    assert not server.connections
    assert _finish_results(harness) == ['not_run']


@pytest.mark.parametrize('phase', ['acquire', 'send'])
def test_order_finished_after_untyped_failure(
    harness: EntryHarness,
    endpoint: Start,
    monkeypatch: pytest.MonkeyPatch,
    phase: str,
) -> None:
    """Guards against a record left unfinished by an unexpected error."""

    def fail(*args: Any, **fields: Any) -> Any:
        raise KeyError('an unexpected error')

    harness.serve(a=endpoint(reply(b'{}')).url)
    target = 'dispatcher.Dispatcher.acquire'
    if phase == 'send':
        target = 'upstream.Upstream.send'
    monkeypatch.setattr(f'apricotcart.entry.{target}', fail)
    _expect_order_failure(harness, KeyError)
    expected = 'not_run' if phase == 'acquire' else 'unknown'
    assert _finish_results(harness) == [expected]


def test_key_withdrawn_while_order_runs(
    harness: EntryHarness,
    endpoint: Start,
) -> None:
    """Guards against an answer for a key that was withdrawn meanwhile."""

    def answer_late(conn: Any, request: Received) -> None:
        harness.revoke()
        reply(b'{"n":1}')(conn, request)

    harness.serve(a=endpoint(answer_late).url)
    raised = _expect_order_failure(harness, KeyWithdrawnError)
    assert raised.run_state == MAY_HAVE_RUN
    assert set(_finish_results(harness)) <= {'done', 'unknown'}


def test_key_withdrawn_while_call_runs(
    harness: EntryHarness, endpoint: Start
) -> None:
    """Guards against an answer to an idempotent call for a withdrawn key."""

    def answer_late(conn: Any, request: Received) -> None:
        harness.revoke()
        reply(b'{"n":1}')(conn, request)

    harness.serve(a=endpoint(answer_late).url)
    with pytest.raises(KeyWithdrawnError):
        harness.services.respond(web_request('/v1/services/stock/count'))
    assert harness.is_idle()


def test_may_have_run_after_earlier_attempt(
    harness: EntryHarness,
    endpoint: Start,
    unused_tcp_port: int,
) -> None:
    """Guards against `not_run` when only the last attempt was not sent."""

    def move_endpoint(conn: Any, request: Received) -> None:
        closed = f'http://127.0.0.1:{unused_tcp_port}'
        harness.configuration.urls = {'a': closed}
        hang_up(conn, request)

    harness.serve(a=endpoint(move_endpoint).url)
    with pytest.raises(MayHaveRunError) as caught:
        harness.services.respond(web_request('/v1/services/stock/count'))
    assert caught.value.run_state == MAY_HAVE_RUN
    assert caught.value.context['reason'] == EndpointUnreachableError.code


def test_not_run_when_no_attempt_was_sent(
    harness: EntryHarness,
    unused_tcp_port: int,
) -> None:
    """Guards against `may_have_run` when every connection was refused."""
    harness.serve(a=f'http://127.0.0.1:{unused_tcp_port}')
    with pytest.raises(EndpointUnreachableError) as caught:
        harness.services.respond(web_request('/v1/services/stock/count'))
    assert caught.value.run_state == NOT_RUN

"""Failures of service calls: orders run at most once, `not_run` is true."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

import pytest
from entry.fakes import (
    LOST,
    START,
    EntryRig,
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


def _closings(rig: EntryRig) -> list[str]:
    wait_until(lambda: bool(rig.control.commands('order_finish')))
    return [
        command['result'] for command in rig.control.commands('order_finish')
    ]


def _short_time(job: Any) -> float:
    return 0.1


def _order_fails(rig: EntryRig, failure: type[Exception]) -> Any:
    with pytest.raises(failure) as caught:
        rig.services.respond(order_request())
    assert rig.is_idle()
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
    rig: EntryRig,
    endpoint: Start,
    script: Script,
    failure: type[ApricotcartError],
) -> None:
    """Guards against a second send after the service read the order."""
    sites = (endpoint(script), endpoint(script))
    rig.serve(a=sites[0].url, b=sites[1].url)
    raised = _order_fails(rig, failure)
    assert raised.run_state == MAY_HAVE_RUN
    assert sum(len(site.received) for site in sites) == 1
    assert _closings(rig) == ['unknown']


def test_order_sent_once_when_service_is_silent(
    rig: EntryRig,
    endpoint: Start,
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against a resend, or a false `not_run`, after a timeout."""
    monkeypatch.setattr('apricotcart.entry.attempt.Job.left_s', _short_time)
    sites = (endpoint(stay_silent), endpoint(stay_silent))
    rig.serve(a=sites[0].url, b=sites[1].url)
    raised = _order_fails(rig, EndpointTimeoutError)
    assert raised.run_state == MAY_HAVE_RUN
    assert sum(site.connections for site in sites) <= 1
    assert _closings(rig) == ['unknown']


def test_order_not_run_when_connection_is_refused(
    rig: EntryRig,
    unused_tcp_port: int,
) -> None:
    """Guards against an order held as unknown though nothing was sent."""
    rig.serve(a=f'http://127.0.0.1:{unused_tcp_port}')
    raised = _order_fails(rig, EndpointUnreachableError)
    assert raised.run_state == NOT_RUN
    assert _closings(rig) == ['not_run']


def test_order_uses_no_idle_connection(rig: EntryRig, endpoint: Start) -> None:
    """Guards against an order on a connection that the service may close."""
    site = endpoint(reply(b'{}'))
    rig.serve(a=site.url)
    rig.services.respond(web_request('/v1/services/stock/count'))
    for _ in range(2):
        rig.services.respond(order_request())
    assert site.connections == 3
    assert site.received[2].headers['connection'] == 'close'


def test_order_begin_lost_sends_nothing(
    rig: EntryRig,
    endpoint: Start,
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against a send without a committed record."""
    monkeypatch.setattr('apricotcart.entry.orders._BEGIN_TIMEOUT_S', 0)
    site = endpoint(reply(b'{}'))
    rig.serve(a=site.url)
    raised = _order_fails(rig, OrderNotRecordedError)
    assert raised.run_state == NOT_RUN
    assert not site.connections
    assert _closings(rig) == ['not_run']


def test_order_finish_lost_is_repeated(
    rig: EntryRig,
    endpoint: Start,
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against an answer that no control host stores."""
    monkeypatch.setattr('apricotcart.entry.orders._FINISH_TIMEOUT_S', 0.1)
    site = endpoint(reply(b'{"n":1}'))
    rig.serve(a=site.url)
    rig.control.answers = [START, LOST]
    response = rig.services.respond(order_request())
    assert response.status == 200
    assert rig.orders.unsent
    rig.control.answers = [{'ok': True}]
    wait_until(lambda: not rig.orders.unsent)
    closings = rig.control.commands('order_finish')
    assert len(closings) > 1
    assert all(closing == closings[0] for closing in closings)
    assert closings[0]['body'] == b'{"n":1}'
    assert len(site.received) == 1


def _stale(rig: EntryRig) -> None:
    rig.configuration.is_fresh = False


def _drain(rig: EntryRig) -> None:
    rig.configuration.draining = {'a'}


@pytest.mark.parametrize(
    ('change', 'failure'),
    [
        (EntryRig.revoke, UnauthorizedError),
        (_stale, StaleConfigurationError),
        (_drain, EndpointDrainingError),
    ],
)
def test_order_refused_between_record_and_send(
    rig: EntryRig,
    endpoint: Start,
    change: Callable[[EntryRig], None],
    failure: type[ApricotcartError],
) -> None:
    """Guards against a send after what allowed it ended in between."""
    site = endpoint(reply(b'{}'))
    rig.serve(a=site.url)

    def on_call(message: Any) -> None:
        if message['command']['kind'] == 'order_begin':
            change(rig)

    rig.control.on_call = on_call
    raised = _order_fails(rig, failure)
    assert raised.run_state == NOT_RUN
    assert not site.connections
    assert _closings(rig) == ['not_run']


@pytest.mark.parametrize('phase', ['acquire', 'send'])
def test_order_closed_after_untyped_failure(
    rig: EntryRig,
    endpoint: Start,
    monkeypatch: pytest.MonkeyPatch,
    phase: str,
) -> None:
    """Guards against a record left open by a failure of another type."""

    def fail(*args: Any, **fields: Any) -> Any:
        raise KeyError('a fault of the program')

    rig.serve(a=endpoint(reply(b'{}')).url)
    target = 'dispatcher.Dispatcher.acquire'
    if phase == 'send':
        target = 'upstream.Upstream.send'
    monkeypatch.setattr(f'apricotcart.entry.{target}', fail)
    _order_fails(rig, KeyError)
    expected = 'not_run' if phase == 'acquire' else 'unknown'
    assert _closings(rig) == [expected]


def test_key_withdrawn_while_order_runs(
    rig: EntryRig,
    endpoint: Start,
) -> None:
    """Guards against an answer for a key that was withdrawn meanwhile."""

    def answer_late(conn: Any, request: Received) -> None:
        rig.revoke()
        reply(b'{"n":1}')(conn, request)

    rig.serve(a=endpoint(answer_late).url)
    raised = _order_fails(rig, KeyWithdrawnError)
    assert raised.run_state == MAY_HAVE_RUN
    assert set(_closings(rig)) <= {'done', 'unknown'}


def test_key_withdrawn_while_call_runs(rig: EntryRig, endpoint: Start) -> None:
    """Guards against a repeatable answer for a withdrawn key."""

    def answer_late(conn: Any, request: Received) -> None:
        rig.revoke()
        reply(b'{"n":1}')(conn, request)

    rig.serve(a=endpoint(answer_late).url)
    with pytest.raises(KeyWithdrawnError):
        rig.services.respond(web_request('/v1/services/stock/count'))
    assert rig.is_idle()


def test_no_false_not_run_after_earlier_attempt(
    rig: EntryRig,
    endpoint: Start,
    unused_tcp_port: int,
) -> None:
    """Guards against `not_run` when only the last attempt was not sent."""

    def move_away(conn: Any, request: Received) -> None:
        closed = f'http://127.0.0.1:{unused_tcp_port}'
        rig.configuration.urls = {'a': closed}
        hang_up(conn, request)

    rig.serve(a=endpoint(move_away).url)
    with pytest.raises(MayHaveRunError) as caught:
        rig.services.respond(web_request('/v1/services/stock/count'))
    assert caught.value.run_state == MAY_HAVE_RUN
    assert caught.value.context['reason'] == EndpointUnreachableError.code


def test_not_run_when_no_attempt_was_sent(
    rig: EntryRig,
    unused_tcp_port: int,
) -> None:
    """Guards against `may_have_run` when every connection was refused."""
    rig.serve(a=f'http://127.0.0.1:{unused_tcp_port}')
    with pytest.raises(EndpointUnreachableError) as caught:
        rig.services.respond(web_request('/v1/services/stock/count'))
    assert caught.value.run_state == NOT_RUN

"""Guards against requests that are passed on without a valid ticket."""

from __future__ import annotations

import socket
from typing import Any

import pytest
from gateway.endpoints import respond_with
from gateway.relay.fleet import SECRET, Fleet, FleetGateway

from apricotcart.codec.envelope import Sealer
from apricotcart.gateway.api import ForwardedRequest
from apricotcart.gateway.relay.errors import InvalidTicketError
from apricotcart.gateway.relay.tickets import (
    RECEIPT,
    TICKET,
    Receipt,
    Ticket,
    TicketAuthority,
    digest_of,
)
from apricotcart.timers.clock import SteadyUnixClock

_HEADERS = [('Host', 'h'), ('Attempt-Id', 'x1'), ('Deadline-Ms', '900')]
_MESSAGE = ForwardedRequest(
    method='POST', target='/once/x', headers=_HEADERS, body=b'payload'
)


def _office(
    host: str = 'g0', *, secret: bytes = SECRET, ahead_s: float = 0
) -> TicketAuthority:
    clock = SteadyUnixClock.from_host()
    clock.offset_s += ahead_s
    return TicketAuthority(Sealer(secret), host, clock)


def _ticket(authority: TicketAuthority, **fields: Any) -> Ticket:
    given: dict[str, Any] = {
        'digest': digest_of(_MESSAGE, _HEADERS),
        'peer': 'g1',
        'attempt_id': 'x1',
        'wait_s': 0.9,
        'version': 1,
        'send_count': 0,
        'may_have_run': False,
        'is_counted': False,
        'service': '',
        'software_version': '',
    }
    return authority.issue(**{**given, **fields})


def _send(
    gateway: FleetGateway,
    *sealed: str,
    body: bytes = b'payload',
    target: str = '/once/x',
    headers: list[tuple[str, str]] | None = None,
) -> int:
    lines = [f'POST {target} HTTP/1.1']
    lines.extend(f'{name}: {text}' for name, text in headers or _HEADERS)
    lines.extend(f'{TICKET}: {text}' for text in sealed)
    lines.append(f'Content-Length: {len(body)}')
    raw = '\r\n'.join([*lines, '', '']).encode() + body
    with socket.create_connection(gateway.relay_address, 5) as conn:
        conn.sendall(raw)
        return int(conn.recv(65536).split()[1])


def test_relay_accepts_a_valid_ticket_once(fleet: Fleet) -> None:
    """Guards against a request that is replayed as a whole."""
    fleet.serve(respond_with())
    authority = _office()
    sealed = authority.seal_ticket(_ticket(authority))
    assert _send(fleet.gateways[1], sealed) == 200
    assert _send(fleet.gateways[1], sealed) == 403
    assert fleet.received() == 1


@pytest.mark.parametrize(
    'authority',
    [
        pytest.param(_office(secret=b'another secret, long'), id='forged'),
        pytest.param(_office(ahead_s=-400), id='expired'),
        pytest.param(_office(ahead_s=400), id='from the future'),
    ],
)
def test_relay_refuses_a_bad_ticket(
    fleet: Fleet, authority: TicketAuthority
) -> None:
    fleet.serve(respond_with())
    sealed = authority.seal_ticket(_ticket(authority))
    assert _send(fleet.gateways[1], sealed) == 403
    assert not fleet.received()


@pytest.mark.parametrize(
    'sealed', [(), ('',), ('not base64!',), ('AAAA',), ('AAAA', 'AAAA')]
)
def test_relay_refuses_without_ticket(
    fleet: Fleet, sealed: tuple[str, ...]
) -> None:
    fleet.serve(respond_with())
    assert _send(fleet.gateways[1], *sealed) == 403
    assert not fleet.received()


def test_relay_refuses_a_ticket_for_another_host(fleet: Fleet) -> None:
    fleet.serve(respond_with())
    authority = _office()
    assert (
        _send(fleet.gateways[2], authority.seal_ticket(_ticket(authority)))
        == 403
    )
    assert not fleet.received()


@pytest.mark.parametrize(
    'changed',
    [
        {'body': b'other'},
        {'target': '/idempotent/x'},
        {'headers': [*_HEADERS, ('Token-Usage', '1,1')]},
        {'headers': [('Host', 'other'), *_HEADERS[1:]]},
    ],
    ids=['body', 'target', 'header', 'host'],
)
def test_relay_refuses_a_ticket_for_another_request(
    fleet: Fleet, changed: dict[str, Any]
) -> None:
    fleet.serve(respond_with())
    authority = _office()
    sealed = authority.seal_ticket(_ticket(authority))
    assert _send(fleet.gateways[1], sealed, **changed) in {403, 404}
    assert not fleet.received()


def test_relay_refuses_other_messages_of_the_cluster(fleet: Fleet) -> None:
    """Guards against sealed messages of other kinds that serve as tickets."""
    authority = _office()
    receipt = authority.seal_receipt(Receipt(nonce='n'))
    assert _send(fleet.gateways[1], receipt) == 403


def test_proof_fails_without_the_check_of_the_request(
    fleet: Fleet, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against refusals that have another reason."""
    monkeypatch.setattr(Ticket, 'require_matches', lambda *_: None)
    with pytest.raises(AssertionError):
        test_relay_refuses_a_ticket_for_another_request(
            fleet, {'body': b'other'}
        )


def test_proof_fails_without_the_check_for_reuse(
    fleet: Fleet, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(TicketAuthority, '_mark_used', lambda *_: None)
    with pytest.raises(AssertionError):
        test_relay_accepts_a_valid_ticket_once(fleet)


def test_relay_waits_for_the_desired_state_of_the_sender(
    fleet: Fleet,
) -> None:
    """Guards against requests that an older desired state decides."""
    fleet.serve(respond_with())
    authority = _office()
    sealed = authority.seal_ticket(_ticket(authority, version=2))
    assert _send(fleet.gateways[1], sealed) == 503
    assert not fleet.received()


def test_caller_cannot_use_a_ticket(fleet: Fleet) -> None:
    """Guards against headers of callers that pass for those of a gateway."""
    fleet.serve(respond_with())
    fleet.sender.cut_off()
    received = fleet.sender.ask('once', f'{TICKET}: AAAA', f'{RECEIPT}: AAAA')
    assert received.status == 200
    assert b'apricotcart' not in fleet.endpoints[0].received[0].head.lower()


def test_receipt_is_bound_to_its_ticket() -> None:
    """Guards against the receipt of another response."""
    sender = _office()
    ticket = _ticket(sender)
    peer = _office('g1')
    other = [(RECEIPT, peer.seal_receipt(Receipt(nonce='other')))]
    own = [(RECEIPT, peer.seal_receipt(Receipt(nonce=ticket.nonce)))]
    assert sender.receipt_of(other, ticket) is None
    assert sender.receipt_of([], ticket) is None
    assert sender.receipt_of(own, ticket) is not None


def test_used_tickets_are_forgotten_when_they_have_expired(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against a table of tickets that grows without end."""
    now = 1000.0
    module = 'apricotcart.gateway.relay.tickets'
    monkeypatch.setattr(f'{module}.boot_clock_s', lambda: now)
    authority = _office('g1')
    for _ in range(50):
        sender = _office()
        now += 100
        sealed = sender.seal_ticket(_ticket(sender))
        authority.accept([(TICKET, sealed)])
    assert len(authority._used) < 10
    with pytest.raises(InvalidTicketError):
        authority.accept([(TICKET, sealed)])

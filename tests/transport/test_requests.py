"""Tests of requests and peer messages over loopback."""

from __future__ import annotations

import threading
import time
from collections.abc import Iterator
from concurrent.futures import ThreadPoolExecutor
from itertools import takewhile
from operator import itemgetter
from pathlib import Path
from typing import Any

import pytest
import trustme

from apricotcart.codec.envelope import Sealer
from apricotcart.errors.tree import NotLeaderError, UnavailableError
from apricotcart.transport.api import RequestHandler, WireMessage
from apricotcart.transport.peers import NngPeerLinks
from apricotcart.transport.requests import NngRequestClient, NngRequestServer
from apricotcart.transport.tls import TlsFiles

_TIMEOUT_S = 10
_RUN_S = 0.01
_MAX_CALLS = 200


class EchoHandler(RequestHandler):
    """Echoes a request, or raises an error if the request has ``fail``."""

    def answer(self, message: dict[str, Any]) -> dict[str, Any]:
        """Echo the message."""
        if message.get('fail'):
            raise NotLeaderError('not the leader', leader='c2')
        return {'ok': True, 'echo': message}


@pytest.fixture
def sealer() -> Sealer:
    """Return the sealer of the test cluster."""
    return Sealer(b'cluster secret')


@pytest.fixture
def echo_address(
    sealer: Sealer,
    unused_tcp_port: int,
) -> Iterator[str]:
    """Return the address of a running echo server."""
    address = f'tcp://127.0.0.1:{unused_tcp_port}'
    server = NngRequestServer(address, EchoHandler(), sealer, 2).start()
    yield address
    server.close()


def test_requests_return_answer(sealer: Sealer, echo_address: str) -> None:
    """Guards against an answer that arrives truncated."""
    client = NngRequestClient(echo_address, sealer)
    reply = client.call({'kind': 'x', 'blob': b'\x00' * 2_000_000}, 10)
    assert reply['echo']['blob'] == b'\x00' * 2_000_000
    client.close()


class HugeHandler(RequestHandler):
    """Answers with the number of a request, which may not be encodable."""

    def answer(self, message: dict[str, Any]) -> dict[str, Any]:
        """Return the number."""
        return {'ok': True, 'number': 2 ** message['power']}


def test_answers_that_cannot_be_encoded_end_no_thread(
    sealer: Sealer, unused_tcp_port: int
) -> None:
    """Guards against a server without threads after two such answers."""
    address = f'tcp://127.0.0.1:{unused_tcp_port}'
    server = NngRequestServer(address, HugeHandler(), sealer, 2).start()
    client = NngRequestClient(address, sealer)
    for _ in range(3):
        reply = client.call({'power': 70}, _TIMEOUT_S)
        assert not reply['ok']
    assert client.call({'power': 3}, _TIMEOUT_S)['number'] == 8
    client.close()
    server.close()


class HeldHandler(RequestHandler):
    """Answers once it is released."""

    def __init__(self) -> None:
        self.has_begun = threading.Event()
        self.release = threading.Event()

    def answer(self, message: dict[str, Any]) -> dict[str, Any]:
        """Wait, then answer."""
        self.has_begun.set()
        self.release.wait(_TIMEOUT_S)
        return {'ok': True}


def test_finish_waits_for_answers(sealer: Sealer, unused_tcp_port: int) -> None:
    """Guards against a change that is committed and not acknowledged.

    A coordinator that stopped did not wait for the requests of others.
    """
    address = f'tcp://127.0.0.1:{unused_tcp_port}'
    handler = HeldHandler()
    server = NngRequestServer(address, handler, sealer, 2).start()
    client = NngRequestClient(address, sealer)
    with ThreadPoolExecutor() as executor:
        reply = executor.submit(client.call, {'kind': 'x'}, _TIMEOUT_S)
        assert handler.has_begun.wait(_TIMEOUT_S)
        assert not server.finish(0.1)
        finishing = executor.submit(server.finish, _TIMEOUT_S)
        handler.release.set()
        assert finishing.result()
        server.close()
        assert reply.result() == {'ok': True}
    client.close()


class CountingHandler(RequestHandler):
    """Counts the requests that it has run."""

    def __init__(self) -> None:
        self._messages: list[WireMessage] = []

    @property
    def runs(self) -> int:
        return len(self._messages)

    def answer(self, message: WireMessage) -> WireMessage:
        self._messages.append(message)
        time.sleep(_RUN_S)
        return {'ok': True}


def _call_until_refused(address: str, sealer: Sealer) -> int:
    client = NngRequestClient(address, sealer)
    replies = (
        client.call({'kind': 'x'}, _TIMEOUT_S) for _ in range(_MAX_CALLS)
    )
    answered = sum(1 for _ in takewhile(itemgetter('ok'), replies))
    client.close()
    return answered


def test_requests_that_go_on_are_not_run_after_finish(
    sealer: Sealer, unused_tcp_port: int
) -> None:
    """Guards against changes that are committed while the process exits.

    Only what was running when the stop began was waited for.
    """
    address = f'tcp://127.0.0.1:{unused_tcp_port}'
    handler = CountingHandler()
    server = NngRequestServer(address, handler, sealer, 8).start()
    with ThreadPoolExecutor() as executor:
        callers = [
            executor.submit(_call_until_refused, address, sealer)
            for _ in range(6)
        ]
        time.sleep(10 * _RUN_S)
        assert server.finish(_TIMEOUT_S)
        runs = handler.runs
        answered = sum(caller.result() for caller in callers)
    server.close()
    assert answered == runs == handler.runs


def test_requests_return_typed_error(sealer: Sealer, echo_address: str) -> None:
    """Guards against an error that loses its type in transit."""
    client = NngRequestClient(echo_address, sealer)
    reply = client.call({'fail': True}, 10)
    assert reply['code'] == 'not_leader'
    assert reply['context'] == {'leader': 'c2'}
    client.close()


def test_requests_reject_wrong_secret(echo_address: str) -> None:
    """Guards against a server that answers hosts of another cluster."""
    client = NngRequestClient(echo_address, Sealer(b'other'))
    with pytest.raises(UnavailableError):
        client.call({'kind': 'x'}, 0.3)
    client.close()


def test_requests_time_out(sealer: Sealer, unused_tcp_port: int) -> None:
    """Guards against a call that waits forever."""
    client = NngRequestClient(f'tcp://127.0.0.1:{unused_tcp_port}', sealer)
    with pytest.raises(UnavailableError):
        client.call({'kind': 'x'}, 0.3)
    client.close()


def test_requests_over_tls(
    sealer: Sealer,
    unused_tcp_port: int,
    tmp_path: Path,
) -> None:
    """Guards against TLS settings that are accepted but not used."""
    authority = trustme.CA()
    issued = authority.issue_cert('sealdesk.apricotcart')
    authority.cert_pem.write_to_path(tmp_path / 'ca.pem')
    issued.private_key_pem.write_to_path(tmp_path / 'key.pem')
    issued.cert_chain_pems[0].write_to_path(tmp_path / 'cert.pem')
    tls = TlsFiles(
        cert=str(tmp_path / 'cert.pem'),
        key=str(tmp_path / 'key.pem'),
        ca=str(tmp_path / 'ca.pem'),
        name='sealdesk.apricotcart',
    )
    address = f'tls+tcp://127.0.0.1:{unused_tcp_port}'
    server = NngRequestServer(address, EchoHandler(), sealer, 1, tls).start()
    client = NngRequestClient(address, sealer, tls)
    assert client.call({'kind': 'x'}, 10)['ok']
    client.close()
    server.close()


def test_peers_deliver_message(sealer: Sealer, unused_tcp_port: int) -> None:
    """Guards against peer messages lost on a working connection."""
    address = f'tcp://127.0.0.1:{unused_tcp_port}'
    receiver = NngPeerLinks(address, sealer)
    sender = NngPeerLinks('tcp://127.0.0.1:0', sealer)
    received = None
    for _ in range(100):
        sender.send(address, {'kind': 'vote'})
        received = receiver.receive(0.1)
        if received is not None:
            break
    assert received == {'kind': 'vote'}
    sender.close()
    receiver.close()

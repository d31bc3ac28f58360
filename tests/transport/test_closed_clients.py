"""Guards against raw library errors from clients that others close."""

from __future__ import annotations

import threading
from typing import Final

import pytest

from apricotcart.codec.envelope import Sealer
from apricotcart.errors.tree import UnavailableError
from apricotcart.transport.requests import NngRequestClient

_CLOSE_DELAY_S: Final = 0.1
_TIMEOUT_S: Final = 5.0


def test_client_closed_during_a_call_is_unavailable(
    unused_tcp_port: int,
) -> None:
    """Seen on sailom-fleet: an operator got 500 instead of 503."""
    client = NngRequestClient(
        f'tcp://127.0.0.1:{unused_tcp_port}', Sealer(b'secret')
    )
    threading.Timer(_CLOSE_DELAY_S, client.close).start()
    with pytest.raises(UnavailableError):
        client.call({'kind': 'sync'}, _TIMEOUT_S)


def test_call_on_a_closed_client_is_unavailable(unused_tcp_port: int) -> None:
    """Another thread closes a client that did not respond."""
    client = NngRequestClient(
        f'tcp://127.0.0.1:{unused_tcp_port}', Sealer(b'secret')
    )
    client.close()
    with pytest.raises(UnavailableError):
        client.call({'kind': 'sync'}, _TIMEOUT_S)

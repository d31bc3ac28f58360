"""Tests of the authentication of messages."""

from __future__ import annotations

import pytest

from apricotcart.codec.envelope import Sealer
from apricotcart.errors.tree import CodecError


@pytest.fixture
def sealer() -> Sealer:
    """Return a sealer with a fixed secret."""
    return Sealer(b'secret')


def test_sealer_round_trip(sealer: Sealer) -> None:
    """Guards against a message that ``seal`` and ``open`` change."""
    message = {'kind': 'sync', 'body': b'\x00\xff', 'n': 3}
    assert sealer.open(sealer.seal(message)) == message


def test_sealer_altered_body(sealer: Sealer) -> None:
    """Guards against accepting a message that was altered in transit."""
    sealed = bytearray(sealer.seal({'kind': 'sync'}))
    sealed[-1] ^= 1
    with pytest.raises(CodecError):
        sealer.open(bytes(sealed))


def test_sealer_other_secret(sealer: Sealer) -> None:
    """Guards against accepting a message from another cluster."""
    with pytest.raises(CodecError):
        Sealer(b'other').open(sealer.seal({'kind': 'sync'}))

"""Tests of sealed envelopes."""

from __future__ import annotations

import pytest

from apricotcart.codec.envelope import Sealer
from apricotcart.errors.tree import CodecError


@pytest.fixture
def sealer() -> Sealer:
    """Give a sealer with a fixed secret."""
    return Sealer(b'secret')


def test_sealer_round_trip(sealer: Sealer) -> None:
    """Guards against a message that changes between seal and open."""
    message = {'kind': 'sync', 'body': b'\x00\xff', 'n': 3}
    assert sealer.open(sealer.seal(message)) == message


def test_sealer_altered_body(sealer: Sealer) -> None:
    """Guards against accepting a message altered on its way."""
    sealed = bytearray(sealer.seal({'kind': 'sync'}))
    sealed[-1] ^= 1
    with pytest.raises(CodecError):
        sealer.open(bytes(sealed))


def test_sealer_other_secret(sealer: Sealer) -> None:
    """Guards against accepting a message of another cluster."""
    with pytest.raises(CodecError):
        Sealer(b'other').open(sealer.seal({'kind': 'sync'}))

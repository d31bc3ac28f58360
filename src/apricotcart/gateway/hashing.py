"""Numbers that all hosts draw alike without asking each other."""

from __future__ import annotations

import hashlib
from typing import Final

_DRAW_BYTES: Final = 8
_DRAW_RANGE: Final = 1 << (8 * _DRAW_BYTES)


def draw(*names: str) -> float:
    """Give a number from 0 to 1 that depends on names alone.

    A cryptographic hash is used since the numbers of similar names must not
    be related: with a checksum, a few endpoints would win most draws.
    """
    text = ' '.join(names)
    digest = hashlib.blake2b(text.encode(), digest_size=_DRAW_BYTES)
    return int.from_bytes(digest.digest()) / _DRAW_RANGE

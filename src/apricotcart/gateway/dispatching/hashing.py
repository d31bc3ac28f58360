"""Hashing with the same result on all hosts."""

from __future__ import annotations

import hashlib
from typing import Final

_HASH_BYTES: Final = 8
_HASH_RANGE: Final = 1 << (8 * _HASH_BYTES)


def hash_to_unit(*names: str) -> float:
    """Return a number from 0 to 1 that depends only on the names.

    The hash is cryptographic since the numbers of similar names must be
    uncorrelated: with a checksum, a few endpoints would get the highest
    number for most names.
    """
    text = ' '.join(names)
    digest = hashlib.blake2b(text.encode(), digest_size=_HASH_BYTES)
    return int.from_bytes(digest.digest()) / _HASH_RANGE

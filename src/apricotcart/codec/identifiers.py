"""Keys of fixed size for identifiers of any length."""

from __future__ import annotations

import hashlib
from typing import Final

# Longer identifiers are replaced by a digest.
MAX_IDENTIFIER_LENGTH: Final = 128
_DIGEST_BYTES: Final = 16
_PREFIX: Final = 'long-'


def bounded_identifier(text: str) -> str:
    """Return a key for an identifier that others choose.

    It is the identifier itself, or a digest of one that is longer than
    ``MAX_IDENTIFIER_LENGTH`` characters, so that a bound on the number of keys
    is one on their memory.
    """
    if len(text) <= MAX_IDENTIFIER_LENGTH:
        return text
    digest = hashlib.blake2b(
        text.encode(errors='surrogatepass'), digest_size=_DIGEST_BYTES
    )
    return _PREFIX + digest.hexdigest()

"""Authentication of messages with the cluster secret."""

from __future__ import annotations

import hashlib
import hmac
from typing import Any

from apricotcart.codec.packing import pack, unpack
from apricotcart.errors.tree import CodecError

_DIGEST = hashlib.sha256
_DIGEST_BYTES = 32


class Sealer:
    """Encodes and authenticates messages with HMAC-SHA256.

    Parameters
    ----------
    secret : bytes
        Secret that all hosts of the cluster share.
    """

    __slots__ = ('_secret',)

    def __init__(self, secret: bytes) -> None:
        self._secret = secret

    def seal(self, message: Any) -> bytes:
        """Return the encoded message with its authentication code in front."""
        body = pack(message)
        return self._digest(body) + body

    def open(self, sealed: bytes) -> Any:
        """Verify the authentication code and return the decoded message.

        Raises
        ------
        CodecError
            If the code does not match or the body cannot be decoded.
        """
        digest = sealed[:_DIGEST_BYTES]
        body = sealed[_DIGEST_BYTES:]
        if not hmac.compare_digest(digest, self._digest(body)):
            raise CodecError(
                'authentication code of the message does not match'
            )
        return unpack(body)

    def _digest(self, body: bytes) -> bytes:
        return hmac.new(self._secret, body, _DIGEST).digest()

"""Identifies a request that comes again under another attempt id."""

from __future__ import annotations

import hashlib
from typing import Final

from apricotcart.gateway.api import ForwardedRequest

_DIGEST_BYTES: Final = 16
_LENGTH_BYTES: Final = 8
_HOST: Final = 'host'


def fingerprint_of(customer: str, message: ForwardedRequest) -> str:
    """Return the same digest for the same request of the same customer.

    The hash is cryptographic and includes the customer, so that no customer
    can make a request that is taken for one of another customer. Headers other
    than the host name are left out: attempt id, deadline and trace differ
    between two attempts.

    Parameters
    ----------
    customer : str
        Name of the customer; empty on public routes.
    message : ForwardedRequest
        Method, path with query, host name and body.

    Returns
    -------
    str
        Digest in hexadecimal digits.
    """
    digest = hashlib.blake2b(digest_size=_DIGEST_BYTES)
    for field in (
        customer.encode(),
        _host_name(message).encode(),
        message.method.encode(),
        message.target.encode(),
        message.body,
    ):
        # The length separates the fields.
        digest.update(len(field).to_bytes(_LENGTH_BYTES))
        digest.update(field)
    return digest.hexdigest()


def _host_name(message: ForwardedRequest) -> str:
    for name, text in message.headers:
        if name.lower() == _HOST:
            return text.strip().lower()
    return ''

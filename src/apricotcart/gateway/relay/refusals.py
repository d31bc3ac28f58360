"""Refusals of a gateway in the words of the one that passed a request on."""

from __future__ import annotations

from collections.abc import Mapping
from types import MappingProxyType

from apricotcart.errors.tree import NOT_RUN, ApricotcartError, NotRunError
from apricotcart.gateway.errors import (
    BusyError,
    QuarantinedPromptError,
    QuarantinedRequestError,
    SilentEndpointError,
)
from apricotcart.gateway.relay.errors import (
    PeerFailedError,
    PeerTimeoutError,
    PeerUnavailableError,
)
from apricotcart.gateway.relay.tickets import Receipt
from apricotcart.resumption.errors import (
    StreamOriginUnknownError,
    StreamVersionGoneError,
)

# Refusals that hold at every gateway. Any other one concerns the gateway that
# refused, and another one may take the request over.
_FINAL: Mapping[str, type[NotRunError]] = MappingProxyType(
    {
        error.code: error
        for error in (
            BusyError,
            QuarantinedPromptError,
            QuarantinedRequestError,
            StreamOriginUnknownError,
            StreamVersionGoneError,
        )
    }
)


def receipt_of_error(
    nonce: str, exc: ApricotcartError, send_count: int
) -> Receipt:
    """Return the receipt of a refusal or failure."""
    return Receipt(
        nonce=nonce,
        send_count=send_count,
        code=exc.code,
        message=exc.message,
        is_not_run=exc.run_state == NOT_RUN,
        retry_after_s=exc.retry_after_s,
    )


def error_of(receipt: Receipt) -> ApricotcartError:
    """Return the error of a refusal or failure for this host."""
    if not receipt.is_not_run:
        if receipt.code == SilentEndpointError.code:
            return PeerTimeoutError(receipt.message)
        return PeerFailedError(receipt.message)
    refusal = _FINAL.get(receipt.code, PeerUnavailableError)
    return refusal(receipt.message, retry_after_s=receipt.retry_after_s)

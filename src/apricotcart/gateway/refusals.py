"""Responses and log lines of requests that the gateway refuses."""

from __future__ import annotations

import logging

from apricotcart.codec.identifiers import bounded_identifier
from apricotcart.errors.tree import ApricotcartError
from apricotcart.gateway.api import HeaderCodec, RequestMetadata
from apricotcart.gateway.state import StateCopy
from apricotcart.observability.decisions import (
    REQUEST_REFUSED,
    log_decision,
)
from apricotcart.timers.clock import boot_clock_s
from apricotcart.web.response import WebResponse

_LOG = logging.getLogger(__name__)


def log_refusal(
    state: StateCopy,
    metadata: RequestMetadata,
    exc: ApricotcartError,
    started_at: float,
) -> None:
    """Log why a request was refused, and the state that decided it."""
    log_decision(
        REQUEST_REFUSED,
        request_id=metadata.attempt_id,
        status=exc.http_status,
        reason=exc.code,
        detail=exc.context.get('detail'),
        fingerprint=exc.context.get('fingerprint'),
        resumes=metadata.resumes or None,
        software=exc.context.get('software'),
        run_state=exc.run_state,
        retry_after_s=exc.retry_after_s,
        duration_s=boot_clock_s() - started_at,
        version=state.version,
        state_age_s=state.age_s(),
    )


def log_unexpected_error(metadata: RequestMetadata) -> None:
    """Log the exception that is being handled, which is a fault of ours."""
    _LOG.exception(
        'request %s failed with an unexpected error',
        bounded_identifier(metadata.attempt_id),
    )


def build_refusal(
    header_codec: HeaderCodec,
    metadata: RequestMetadata,
    exc: ApricotcartError,
) -> WebResponse:
    """Return the response of an error."""
    response = WebResponse.from_error(exc)
    if exc.retry_after_s is not None:
        # Replaces the header in whole seconds: callers accept fractions
        # and can then retry without waiting longer than necessary.
        response.headers.pop()
        retry_after = format(exc.retry_after_s, '.2f')
        response.headers.append(('Retry-After', retry_after))
    response.headers.extend(
        header_codec.build_local_headers(metadata.attempt_id)
    )
    return response

"""Errors that an entry host returns to callers."""

from __future__ import annotations

from apricotcart.errors.tree import (
    MAY_HAVE_RUN,
    NOT_RUN,
    ApricotcartError,
    MayHaveRunError,
    NotRunError,
)
from apricotcart.web.errors import RequestError, UnauthorizedError


class StaleConfigurationError(NotRunError):
    """The host's configuration copy exceeds the freshness bound."""

    code = 'stale_configuration'


class UnknownRouteError(RequestError):
    """The customer may use no route of this name."""

    code = 'unknown_route'
    http_status = 404


class KeyWithdrawnError(UnauthorizedError):
    """The key was withdrawn while the request ran."""

    code = 'key_withdrawn'
    run_state = MAY_HAVE_RUN


class CutOffWhileRunningError(MayHaveRunError):
    """The host lost contact to the control hosts while the request ran.

    The key may have been withdrawn since.
    """

    code = 'stale_configuration'
    http_status = 503


class ShedError(NotRunError):
    """The scheduler shed the request; see ``context['reason']``."""

    code = 'shed'
    http_status = 429


class ShedMayHaveRunError(MayHaveRunError):
    """The request was shed after an earlier attempt reached an endpoint."""

    code = 'shed'
    http_status = 429


class CallerGoneError(ApricotcartError):
    """The caller closed its connection while the request waited.

    It was queued, or waited for a retry.
    """

    code = 'caller_gone'
    http_status = 499
    run_state = NOT_RUN


class IdempotencyKeyRequiredError(RequestError):
    """The route is not idempotent and the request has no idempotency key."""

    code = 'idempotency_key_required'


class OrderConflictError(RequestError):
    """The idempotency key was used before with another body."""

    code = 'idempotency_key_reused'
    http_status = 409


class OrderInProgressError(MayHaveRunError):
    """Another attempt of the same order is in progress."""

    code = 'order_in_progress'
    http_status = 409


class OrderUnknownError(MayHaveRunError):
    """The outcome of the order is not known; it is not run again."""

    code = 'order_outcome_unknown'
    http_status = 409


class OrderAnswerLostError(MayHaveRunError):
    """The order was run, but its answer was too large to be stored."""

    code = 'order_answer_not_kept'
    http_status = 409


class OrderNotRecordedError(NotRunError):
    """The order could not be recorded, so it was not run."""

    code = 'order_not_recorded'


class EndpointError(MayHaveRunError):
    """An endpoint failed after the request may have been sent.

    Attributes
    ----------
    outcome : str
        Outcome that is reported to the endpoint table.
    """

    code = 'endpoint_failed'
    outcome = 'failed'


class EndpointUnreachableError(NotRunError):
    """No connection to the endpoint; no part of the request was sent."""

    code = 'endpoint_unreachable'
    http_status = 502
    outcome = 'failed'


class EndpointRefusedError(NotRunError):
    """The endpoint refused the request without running it."""

    code = 'endpoint_refused'
    outcome = 'refused'


class EndpointDrainingError(EndpointRefusedError):
    """The endpoint is draining, or may be; nothing was sent."""

    code = 'endpoint_draining'


class EndpointCrashedError(EndpointError):
    """The connection broke before the end of the answer."""

    code = 'endpoint_crashed'
    outcome = 'crashed'


class EndpointTimeoutError(EndpointError):
    """The endpoint sent nothing within the read timeout."""

    code = 'endpoint_timeout'
    http_status = 504


class MismatchedAnswerError(EndpointError):
    """The answer carries the id of another request."""

    code = 'mismatched_answer'


class TruncatedAnswerError(EndpointCrashedError):
    """The stream ended without its end marker."""

    code = 'truncated_answer'


class DeadlineExceededError(MayHaveRunError):
    """The total deadline of the request passed while it ran."""

    code = 'deadline_exceeded'
    http_status = 504

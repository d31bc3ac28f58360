"""Errors of forwarded requests."""

from __future__ import annotations

from apricotcart.errors.tree import MayHaveRunError, NotRunError
from apricotcart.web.errors import RequestError


class BusyError(NotRunError):
    """No endpoint had capacity in time; retry after ``retry_after_s``."""

    code = 'busy'


class NotReadyError(NotRunError):
    """This host's copy of the desired state may be outdated."""

    code = 'not_ready'


class QuarantinedPromptError(NotRunError):
    """A part of the prompt has crashed several endpoints."""

    code = 'prompt_quarantined'


class QuarantinedRequestError(NotRunError):
    """The request has crashed several endpoints."""

    code = 'request_quarantined'


class LeavingError(NotRunError):
    """This host is shutting down."""

    code = 'leaving'


class WithdrawnError(NotRunError):
    """The request was taken out of the queue of a host that is cut off."""

    code = 'cut_off'


class CallerLeftError(MayHaveRunError):
    """The caller closed its connection before the response was complete."""

    code = 'caller_left'


class BrokenEndpointError(MayHaveRunError):
    """The endpoint's response was invalid or incomplete."""

    code = 'endpoint_broken'


class ConnectionEndedError(BrokenEndpointError):
    """The endpoint's connection ended before its response was complete."""


class AnswerMemoryError(BrokenEndpointError):
    """This host had no memory for the response, which says nothing of it."""

    code = 'answer_memory'


class SilentEndpointError(MayHaveRunError):
    """The endpoint did not respond before the deadline."""

    code = 'endpoint_silent'
    http_status = 504


class UnreachableEndpointError(NotRunError):
    """The connection to the endpoint could not be established."""

    code = 'endpoint_unreachable'


class NotExecutedError(NotRunError):
    """The endpoint states that it did not run the request."""

    code = 'endpoint_refused'


class UnknownRouteError(RequestError):
    """No route matches the host name and path."""

    code = 'unknown_route'
    http_status = 404


class UnknownKeyError(RequestError):
    """The request does not carry a key of any customer."""

    code = 'unknown_key'
    http_status = 401

"""Errors of requests that gateways pass on to each other."""

from __future__ import annotations

from apricotcart.errors.tree import MayHaveRunError, NotRunError
from apricotcart.gateway.errors import UnreachableEndpointError
from apricotcart.web.errors import ForbiddenError


class CutOffError(NotRunError):
    """This host reaches no endpoint, and no other gateway took over."""

    code = 'cut_off'


class InvalidTicketError(ForbiddenError):
    """The request was not passed on by a gateway of this cluster."""

    code = 'invalid_ticket'


class PeerUnavailableError(UnreachableEndpointError):
    """A gateway did not take the request over; another one may."""

    code = 'peer_unavailable'


class PeerFailedError(MayHaveRunError):
    """The gateway that took the request over got no sound response."""

    code = 'endpoint_broken'


class PeerTimeoutError(MayHaveRunError):
    """The gateway that took the request over got no response in time."""

    code = 'endpoint_silent'
    http_status = 504

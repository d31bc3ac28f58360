"""One request of a caller on its way through this host."""

from __future__ import annotations

import itertools
from typing import Any, Final

from apricotcart.desired.records import Customer, Route, RouteKind
from apricotcart.desired.urgency import Urgency
from apricotcart.gateway.api import CallMessage, CallTerms
from apricotcart.gateway.connections import EndpointConnection
from apricotcart.gateway.dispatcher import Dispatcher
from apricotcart.gateway.endpoint_state import Need
from apricotcart.timers.clock import steady_s
from apricotcart.web.response import WebResponse

# Generated tokens that a request is expected to take beyond its estimate.
_OUTPUT_SPARE: Final = 1.25
_numbers = itertools.count(1)


class Call:
    """A request that was read, with its route and customer.

    Attributes
    ----------
    request_id : str
        Id within this process; callers' ids may repeat.
    deadline_at : float
        When the caller or the route gives up, in seconds.
    sends : int
        Endpoints that the request was written to.
    has_run : bool
        Whether an endpoint may have run it.
    is_left : bool
        Whether the caller has closed its connection.
    failure : WebResponse or None
        The last endpoint's own answer, given if no repeat succeeds.
    """

    __slots__ = (
        'conn',
        'customer',
        'deadline_at',
        'dispatcher',
        'excluded',
        'failure',
        'has_run',
        'is_left',
        'urgency',
        'message',
        'request_id',
        'route',
        'sends',
        'service',
        'started_at',
        'terms',
    )

    def __init__(
        self,
        *,
        dispatcher: Dispatcher,
        message: CallMessage,
        terms: CallTerms,
        route: Route,
        customer: Customer | None,
        service: str,
        urgency: Urgency,
        started_at: float,
    ) -> None:
        """Keep the parts."""
        self.dispatcher = dispatcher
        self.request_id = str(next(_numbers))
        self.message = message
        self.terms = terms
        self.route = route
        self.customer = customer
        self.service = service
        self.urgency = urgency
        self.started_at = started_at
        wait_s = route.timeout_s
        if terms.wait_s is not None:
            wait_s = min(wait_s, terms.wait_s)
        self.deadline_at = started_at + wait_s
        self.conn: EndpointConnection | None = None
        self.excluded: set[str] = set()
        self.sends = 0
        self.has_run = False
        self.is_left = False
        self.failure: WebResponse | None = None

    @property
    def is_stream(self) -> bool:
        """Whether the answer is a stream of events."""
        return self.route.kind is RouteKind.STREAM

    @property
    def customer_name(self) -> str:
        """Name of the customer, empty on public routes."""
        return '' if self.customer is None else self.customer.name

    def left_s(self) -> float:
        """Give the time to the deadline in seconds."""
        return self.deadline_at - steady_s()

    def need(self) -> Need:
        """Describe what the request needs of an endpoint."""
        terms = self.terms
        output = terms.output_tokens
        if terms.length_hint:
            output = min(output, int(terms.length_hint * _OUTPUT_SPARE))
        return Need(
            service=self.service,
            prompt_tokens=terms.prompt_tokens,
            output_tokens=output,
            parts=terms.parts,
            is_tight=self.urgency.is_tight,
            level=self.urgency.level,
        )

    def on_left(self) -> None:
        """Free what the request holds, since its caller has left."""
        self.is_left = True
        self.dispatcher.cancel(self.request_id)
        conn: Any = self.conn
        if conn is not None:
            conn.abort()

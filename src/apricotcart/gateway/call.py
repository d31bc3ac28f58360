"""State of one request while this host forwards it."""

from __future__ import annotations

import itertools
from typing import Final

from apricotcart.desired.records import Route, RouteKind
from apricotcart.desired.urgency import Urgency
from apricotcart.gateway.api import ForwardedRequest, RequestMetadata
from apricotcart.gateway.attempt_state import AttemptState
from apricotcart.gateway.dispatching.dispatcher import Dispatcher
from apricotcart.gateway.dispatching.endpoint_state import (
    EndpointState,
    Requirements,
)
from apricotcart.gateway.fingerprint import fingerprint_of
from apricotcart.gateway.held_connection import HeldConnection
from apricotcart.gateway.relay_progress import RelayProgress
from apricotcart.gateway.routing_decision import RoutingDecision
from apricotcart.resumption.origins import StreamOrigin
from apricotcart.timers.clock import boot_clock_s
from apricotcart.web.response import WebResponse

# Margin on the caller's estimate of the generated tokens.
_OUTPUT_MARGIN: Final = 1.25
_request_numbers = itertools.count(1)


class Call:
    """A parsed request with its route and customer.

    Attributes
    ----------
    request_id : str
        Id that is unique within this process; ids of callers may repeat.
    fingerprint : str
        Digest that the request has in every attempt of its caller.
    send_count : int
        How many times the request was written to an endpoint.
    is_caller_gone : bool
        Whether the caller has closed its connection.
    is_host_ending : bool
        Whether this host ends before the response is complete.
    origin : StreamOrigin or None
        Where the stream began, once it has events or if the caller resumes
        it; only endpoints of the same origin may go on with it.
    conn : HeldConnection
        The connection on which the request waits.
    attempts : AttemptState
        What all attempts at the request share.
    relay : RelayProgress
        What is known about passing the request on to another gateway.
    failure_response : WebResponse or None
        The last endpoint's own response, returned if no retry succeeds.
    """

    __slots__ = (
        'attempts',
        'conn',
        'dispatcher',
        'excluded_endpoints',
        'failure_response',
        'fingerprint',
        'is_caller_gone',
        'is_host_ending',
        'message',
        'origin',
        'relay',
        'request_id',
        'routing',
        'send_count',
        'started_at',
        'metadata',
    )

    def __init__(
        self,
        *,
        dispatcher: Dispatcher,
        message: ForwardedRequest,
        metadata: RequestMetadata,
        routing: RoutingDecision,
        started_at: float,
        origin: StreamOrigin | None = None,
    ) -> None:
        self.dispatcher = dispatcher
        self.request_id = str(next(_request_numbers))
        self.message = message
        self.metadata = metadata
        self.routing = routing
        self.origin = origin
        self.started_at = started_at
        self.relay = RelayProgress()
        self.fingerprint = fingerprint_of(self.customer_name, message)
        self.conn = HeldConnection()
        self.excluded_endpoints: set[str] = set()
        self.send_count = 0
        self.attempts = AttemptState()
        self.is_caller_gone = False
        self.is_host_ending = False
        self.failure_response: WebResponse | None = None

    @property
    def may_have_run(self) -> bool:
        """Whether an endpoint may have run the request."""
        return self.attempts.may_have_run

    @may_have_run.setter
    def may_have_run(self, may_have_run: bool) -> None:
        self.attempts.may_have_run = may_have_run

    @property
    def route(self) -> Route:
        """Route of the request."""
        return self.routing.route

    @property
    def service(self) -> str:
        """Service that was chosen for the request."""
        return self.routing.service

    @property
    def urgency(self) -> Urgency:
        """Urgency of the request at its service."""
        return self.routing.urgency

    @property
    def is_stream(self) -> bool:
        """Whether the response is a stream of events."""
        return self.route.kind is RouteKind.STREAM

    @property
    def customer_name(self) -> str:
        """Name of the customer, empty on public routes."""
        customer = self.routing.customer
        return '' if customer is None else customer.name

    @property
    def deadline_at(self) -> float:
        """When the timeout of the caller or of the route expires."""
        wait_s = self.route.timeout_s
        if self.metadata.wait_s is not None:
            wait_s = min(wait_s, self.metadata.wait_s)
        return self.started_at + wait_s

    def remaining_s(self) -> float:
        """Return the time to the deadline in seconds."""
        return self.deadline_at - boot_clock_s()

    def pin_to(self, endpoint: EndpointState) -> StreamOrigin:
        """Require the service and version of an endpoint from now on."""
        self.origin = StreamOrigin(
            service=self.service,
            software_version=endpoint.instance.software_version,
        )
        return self.origin

    def requirements(self) -> Requirements:
        """Return what the request requires of an endpoint."""
        metadata = self.metadata
        output_tokens = metadata.output_tokens
        if metadata.length_hint:
            output_tokens = min(
                output_tokens, int(metadata.length_hint * _OUTPUT_MARGIN)
            )
        return Requirements(
            service=self.service,
            prompt_tokens=metadata.prompt_tokens,
            output_tokens=output_tokens,
            parts=metadata.parts,
            is_latency_critical=self.urgency.is_latency_critical,
            level=self.urgency.level,
            is_resumable=self.is_stream and self.route.resumable,
            software_version=(
                self.origin.software_version if self.origin else None
            ),
            customer=self.customer_name,
            target_s=self.route.target_s,
        )

    def on_caller_gone(self) -> None:
        """Cancel the request after its caller closed the connection."""
        self.is_caller_gone = True
        self._cancel()
        second = self.attempts.second_of(self)
        if second is not None:
            second.on_caller_gone()

    def on_host_ending(self) -> None:
        """End the request with the response that its state allows."""
        self.is_host_ending = True
        self._cancel()
        second = self.attempts.second_of(self)
        if second is not None:
            second.on_host_ending()

    def withdraw(self) -> None:
        """Take the request out of the queue, to pass it on."""
        self.relay.is_withdrawn = True
        self.dispatcher.cancel(self.request_id)

    def _cancel(self) -> None:
        self.dispatcher.cancel(self.request_id)
        self.conn.abort()

"""Sends requests to endpoints, or passes them on to another gateway."""

from __future__ import annotations

from contextlib import suppress
from typing import Final

from apricotcart.errors.tree import ApricotcartError
from apricotcart.gateway.call import Call
from apricotcart.gateway.crash_quarantine import CrashQuarantine
from apricotcart.gateway.endpoint_upstream import EndpointUpstream
from apricotcart.gateway.errors import WithdrawnError
from apricotcart.gateway.exchanges.exchange import Exchange
from apricotcart.gateway.relay.upstream import PeerUpstream
from apricotcart.timers.clock import boot_clock_s

# Unreachable endpoints that one request tries before it is refused.
_MAX_UNREACHABLE: Final = 6


class Sender:
    """Sends requests to endpoints, or passes them on to another gateway.

    Parameters
    ----------
    endpoints : EndpointUpstream
        Sends requests to endpoints.
    peers : PeerUpstream or None
        Passes requests on while this host reaches no endpoint; None if they
        are never passed on.
    """

    __slots__ = ('_peers', 'endpoints')

    def __init__(
        self, endpoints: EndpointUpstream, peers: PeerUpstream | None = None
    ) -> None:
        self.endpoints = endpoints
        self._peers = peers

    @property
    def quarantine(self) -> CrashQuarantine:
        """Holds back requests that crash endpoints."""
        return self.endpoints.quarantine

    def acquire(self, call: Call) -> Exchange:
        """Wait for an endpoint or choose a gateway; return the exchange.

        Raises
        ------
        BusyError, CallerLeftError, CutOffError
            If the request can be sent nowhere.
        QuarantinedPromptError, QuarantinedRequestError, BrokenEndpointError
            If the request or a part of its prompt is quarantined.
        StreamVersionGoneError, BrokenEndpointError
            If no endpoint of the stream's version is left.
        """
        self.quarantine.require_allowed(call)
        peers = self._peers
        if peers is None:
            return self.endpoints.acquire(call)
        while True:
            exchange = peers.acquire(call)
            if exchange is not None:
                return exchange
            with suppress(WithdrawnError), peers.queue_watch(call):
                return self.endpoints.acquire(call)

    def send(self, exchange: Exchange, last_event_id: str = '') -> None:
        """Send a request and apply what the response says.

        Raises
        ------
        ApricotcartError
            As in `Exchange.send`.
        """
        try:
            exchange.send(last_event_id)
        except ApricotcartError:
            exchange.upstream.on_response(exchange)
            raise
        exchange.upstream.on_response(exchange)

    def may_retry(self, call: Call) -> bool:
        """Return whether the request may be retried."""
        if call.is_caller_gone or call.is_host_ending:
            return False
        if self.quarantine.holds(call):
            return False
        return self.endpoints.retry_policy.may_retry(
            call.route,
            may_have_run=call.may_have_run,
            send_count=call.send_count,
            remaining_s=call.remaining_s(),
            now=boot_clock_s(),
        )

    def may_try_another_endpoint(self, call: Call) -> bool:
        """Return whether to try another endpoint after a failed connection.

        A connection that was not established puts no load on an endpoint,
        and so does not count against the retry budget. While this host may be
        cut off, `acquire` limits the number of endpoints and gateways.
        """
        if call.is_caller_gone or call.is_host_ending:
            return False
        if call.remaining_s() <= 0:
            return False
        if self._peers is not None and self._peers.limits_tries():
            return True
        return len(call.excluded_endpoints) <= _MAX_UNREACHABLE

    def complete(self, call: Call, exchange: Exchange) -> None:
        """Release what a complete exchange occupies."""
        exchange.finish()
        exchange.upstream.on_complete(call, exchange)

    def fail(
        self,
        call: Call,
        exchange: Exchange,
        exc: BaseException,
    ) -> None:
        """Release what a failed exchange occupies."""
        exchange.abandon()
        exchange.upstream.on_failure(call, exchange, exc)

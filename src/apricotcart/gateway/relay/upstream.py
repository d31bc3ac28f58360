"""Passes requests on to other gateways while this host is cut off."""

from __future__ import annotations

from collections.abc import Iterator
from contextlib import contextmanager
from typing import Final

from apricotcart.errors.tree import MAY_HAVE_RUN, ApricotcartError
from apricotcart.gateway.api import HeaderCodec
from apricotcart.gateway.call import Call
from apricotcart.gateway.errors import (
    BrokenEndpointError,
    ConnectionEndedError,
    SilentEndpointError,
    UnreachableEndpointError,
)
from apricotcart.gateway.exchanges.connection_pool import ConnectionPool
from apricotcart.gateway.exchanges.exchange import Upstream
from apricotcart.gateway.reachability.api import Reach, ReachView
from apricotcart.gateway.relay.choice import PeerChoice
from apricotcart.gateway.relay.errors import CutOffError
from apricotcart.gateway.relay.exchange import RelayExchange
from apricotcart.gateway.relay.tickets import TicketAuthority
from apricotcart.observability.decisions import (
    PASS_ON_FAILED,
    PASSED_ON_ANSWERED,
    REQUEST_PASSED_ON,
    log_decision,
)
from apricotcart.responses.memory import ResponseMemory
from apricotcart.timers.clock import boot_clock_s

# Gateways that one request is passed on to, or could not be.
_MAX_PEERS: Final = 3
# Endpoints that a request tries while this host may be cut off, before it is
# passed on. Connections to several others have failed before, and a silent one
# takes 1.2 s to fail.
_TRIES_BEFORE: Final = 1
# Endpoints that it tries if no gateway can take it over. One endpoint may have
# ended by itself.
_SUSPECT_TRIES: Final = 2
# The same while this host is cut off, or for a request that another gateway has
# passed on and could pass on elsewhere.
_CUT_OFF_TRIES: Final = 1
# The list of gateways that reach endpoints is renewed with each sync, every
# 0.3 s.
_RETRY_AFTER_S: Final = 0.5
# Failures after which other requests avoid the gateway for a while.
# One that is reached reports the time-out of its endpoint before its silence is
# noticed here.
_PEER_FAULTS: Final = (
    ConnectionEndedError,
    SilentEndpointError,
    UnreachableEndpointError,
)


class PeerUpstream(Upstream[RelayExchange]):
    """Passes requests on to other gateways while this host is cut off.

    Parameters
    ----------
    view : ReachView
        Tells whether this host reaches endpoints.
    choice : PeerChoice
        Chooses the gateway.
    tickets : TicketAuthority
        Issues the tickets.
    pool : ConnectionPool
        Connections to the gateways.
    header_codec : HeaderCodec
        Builds and parses the headers.
    memory : ResponseMemory
        Memory of all responses of this process.
    """

    __slots__ = (
        '_choice',
        '_header_codec',
        '_memory',
        '_pool',
        '_queued',
        '_tickets',
        '_view',
    )

    repeats_errors = False

    def __init__(
        self,
        *,
        view: ReachView,
        choice: PeerChoice,
        tickets: TicketAuthority,
        pool: ConnectionPool,
        header_codec: HeaderCodec,
        memory: ResponseMemory,
    ) -> None:
        self._view = view
        self._choice = choice
        self._tickets = tickets
        self._pool = pool
        self._header_codec = header_codec
        self._memory = memory
        self._queued: dict[str, Call] = {}

    def limits_tries(self) -> bool:
        """Return whether `acquire` limits the tries of a request."""
        return self._view.reach(boot_clock_s()) is not Reach.REACHED

    def acquire(self, call: Call) -> RelayExchange | None:
        """Return an exchange with a gateway, None to try an endpoint.

        Raises
        ------
        CutOffError, BrokenEndpointError
            If neither is left to try.
        """
        now = boot_clock_s()
        reach = self._view.reach(now)
        if reach is Reach.REACHED:
            call.relay.is_withdrawn = False
            return None
        if _tries_endpoint_first(call, reach):
            return None
        exchange = self._pass_on(call, reach, now)
        if exchange is None:
            _require_try_left(call, reach)
        return exchange

    @contextmanager
    def queue_watch(self, call: Call) -> Iterator[None]:
        """Let `tick` withdraw a request meanwhile."""
        self._queued[call.request_id] = call
        try:
            yield
        finally:
            self._queued.pop(call.request_id, None)

    def tick(self) -> None:
        """Withdraw queued requests, and close connections without use.

        While this host is cut off, its slots at endpoints are occupied by
        requests that wait for connections, so that queued ones would wait in
        vain until their queue timeout.
        """
        reach = self._view.reach(boot_clock_s())
        if reach is Reach.CUT_OFF:
            for call in list(self._queued.values()):
                call.withdraw()
        used = set() if reach is Reach.REACHED else self._choice.addresses()
        self._pool.close_except(used)

    def on_response(self, exchange: RelayExchange) -> None:
        """Log when a gateway has answered."""
        if exchange.receipt is not None:
            log_decision(
                PASSED_ON_ANSWERED,
                request_id=exchange.request_id,
                peer=exchange.destination.name,
                status=exchange.status,
                reason=exchange.receipt.code or None,
                duration_s=exchange.age_s(),
            )

    def on_run(
        self, call: Call, exchange: RelayExchange, began_at: float
    ) -> None:
        """Record that the request was run; the other gateway counts it."""
        call.may_have_run = True

    def on_stream_begun(self, call: Call, exchange: RelayExchange) -> None:
        """Pin a stream to the version that has begun it.

        The other gateway records it for resumptions by the caller.
        """
        call.may_have_run = True
        if exchange.receipt is not None and exchange.receipt.origin is not None:
            call.origin = exchange.receipt.origin

    def on_stream_resumed(self, call: Call, exchange: RelayExchange) -> None:
        """Do nothing; the other gateway chose an endpoint of the version."""

    def on_event(self, call: Call, exchange: RelayExchange) -> None:
        """Do nothing; the other gateway has the evidence about crashes."""

    def on_complete(self, call: Call, exchange: RelayExchange) -> None:
        """Count a request that has ended."""
        self._choice.release(exchange.destination.name)

    def on_failure(
        self, call: Call, exchange: RelayExchange, exc: BaseException
    ) -> None:
        """Count a request that has ended, and avoid a gateway that failed."""
        self._choice.release(exchange.destination.name)
        call.relay.tried_peers.add(exchange.destination.name)
        if exchange.sent_at and exchange.receipt is None:
            # The other gateway may have counted it, and sent it once at least.
            call.relay.is_counted = True
            call.send_count += 1
        if not isinstance(exc, ApricotcartError):
            return
        if exc.run_state == MAY_HAVE_RUN:
            call.may_have_run = call.may_have_run or bool(exchange.sent_at)
        if call.is_caller_gone:
            return
        # Without a write, the deadline or a stop may be the cause.
        is_late = not exchange.sent_at and call.remaining_s() <= 0
        is_own = call.is_host_ending or is_late
        if isinstance(exc, _PEER_FAULTS) and not is_own:
            self._choice.avoid(exchange.destination.name, boot_clock_s())
        log_decision(
            PASS_ON_FAILED,
            request_id=call.metadata.attempt_id,
            peer=exchange.destination.name,
            attempt=call.send_count,
            reason=exc.code,
            detail=exc.message,
            run_state=exc.run_state,
            duration_s=exchange.age_s(),
        )

    def _pass_on(
        self, call: Call, reach: Reach, now: float
    ) -> RelayExchange | None:
        progress = call.relay
        if progress.is_taken_over or len(progress.tried_peers) >= _MAX_PEERS:
            return None
        peer = self._choice.acquire(progress.tried_peers, now)
        if peer is None:
            return None
        log_decision(
            REQUEST_PASSED_ON,
            request_id=call.metadata.attempt_id,
            route=call.route.name,
            kind=str(call.route.kind),
            customer=call.customer_name,
            peer=peer.host,
            zone=peer.zone,
            reason=_reason_of(call),
            reach=reach.value,
            attempt=call.send_count + 1,
            deadline_s=call.remaining_s(),
        )
        return RelayExchange(
            call,
            self,
            self._pool,
            self._header_codec,
            self._memory,
            peer,
            self._tickets,
        )


def _tries_endpoint_first(call: Call, reach: Reach) -> bool:
    if reach is Reach.CUT_OFF or call.relay.is_withdrawn:
        return False
    return len(call.excluded_endpoints) < _TRIES_BEFORE


def _require_try_left(call: Call, reach: Reach) -> None:
    """Raise unless one more endpoint is tried although it may be in vain."""
    progress = call.relay
    tries = _SUSPECT_TRIES
    if reach is Reach.CUT_OFF or progress.is_taken_over:
        tries = _CUT_OFF_TRIES
    if not progress.is_withdrawn and len(call.excluded_endpoints) < tries:
        return
    message = 'this host reaches no endpoint, and no gateway took over'
    if call.may_have_run:
        raise BrokenEndpointError(message)
    raise CutOffError(message, retry_after_s=_RETRY_AFTER_S)


def _reason_of(call: Call) -> str:
    if call.relay.tried_peers:
        return 'peer_failed'
    if call.excluded_endpoints:
        return 'send_failed'
    return 'withdrawn' if call.relay.is_withdrawn else 'cut_off'

"""Gives requests endpoints, and frees the endpoints again."""

from __future__ import annotations

from typing import Final

from apricotcart.errors.tree import ApricotcartError
from apricotcart.gateway.api import Dialect
from apricotcart.gateway.call import Call
from apricotcart.gateway.connections import ConnectionPool
from apricotcart.gateway.dispatcher import Dispatcher
from apricotcart.gateway.errors import (
    BrokenEndpointError,
    SilentEndpointError,
)
from apricotcart.gateway.exchange import Exchange
from apricotcart.gateway.request_queue import Waiting, patience_s
from apricotcart.gateway.retry_policy import RepeatPolicy
from apricotcart.gateway.usage import UsageCounter
from apricotcart.observability.decisions import (
    REQUEST_SENT,
    SEND_FAILED,
    log_decision,
)
from apricotcart.timers.clock import steady_s

# Endpoints that one request finds unreachable before it is refused.
_UNREACHABLE_MAX: Final = 6


class Sender:
    """Gives requests endpoints and frees them again.

    Parameters
    ----------
    dispatcher : Dispatcher
        Gives each request an endpoint.
    pool : ConnectionPool
        Connections to the endpoints.
    dialect : Dialect
        Headers of callers and endpoints.
    policy : RepeatPolicy
        Decides about repeats.
    usage : UsageCounter
        Counts what endpoints began.
    """

    __slots__ = ('_pool', '_usage', 'dialect', 'dispatcher', 'policy')

    def __init__(
        self,
        *,
        dispatcher: Dispatcher,
        pool: ConnectionPool,
        dialect: Dialect,
        policy: RepeatPolicy,
        usage: UsageCounter,
    ) -> None:
        """Keep the parts."""
        self.dispatcher = dispatcher
        self._pool = pool
        self.dialect = dialect
        self.policy = policy
        self._usage = usage

    def acquire(self, call: Call) -> Exchange:
        """Wait for an endpoint and prepare the exchange with it.

        Raises
        ------
        BusyError, CallerLeftError
            If the request is not sent.
        """
        patience = patience_s(
            call.route.target_s,
            call.left_s(),
            call.urgency.level,
        )
        waiting = Waiting(
            request_id=call.request_id,
            need=call.need(),
            rank=(call.urgency.place, call.started_at),
            refuse_at=steady_s() + patience,
            excluded=call.excluded,
        )
        asked_at = steady_s()
        row = self.dispatcher.acquire(waiting)
        log_decision(
            REQUEST_SENT,
            request_id=call.terms.attempt_id,
            route=call.route.name,
            kind=str(call.route.kind),
            customer=call.customer_name,
            endpoint=row.instance.instance_id,
            attempt=call.sends + 1,
            queue_wait_s=steady_s() - asked_at,
            deadline_s=call.left_s(),
            zone=row.instance.zone,
            running=len(row.placed),
            running_elsewhere=row.others.requests,
            unread_tokens=row.unread_tokens,
            load_age_s=self.dispatcher.load_age_s(),
            levels_above=call.urgency.place,
            levels_below=call.urgency.level,
            copied_from=row.cache_source_of(call.request_id),
        )
        return Exchange(call, row, self._pool, self.dialect)

    def may_repeat(self, call: Call) -> bool:
        """Tell whether the request may be sent once more."""
        return not call.is_left and self.policy.may_repeat(
            call.route,
            has_run=call.has_run,
            sends=call.sends,
            left_s=call.left_s(),
            now=steady_s(),
        )

    def may_try_another(self, call: Call) -> bool:
        """Tell whether the request may go on after it was not sent.

        A connection that was not made puts no load on an endpoint and uses
        nothing of the budget.
        """
        if call.is_left or len(call.excluded) > _UNREACHABLE_MAX:
            return False
        return call.left_s() > 0

    def note_begun(self, call: Call, began_at: float) -> None:
        """Count that an endpoint began the request."""
        if not call.has_run:
            self._usage.begun(call.customer_name, began_at)
        call.has_run = True

    def succeed(self, call: Call, exchange: Exchange) -> None:
        """Free the place at the endpoint after a whole answer."""
        exchange.finish()
        self.dispatcher.succeeded(exchange.row)
        self.dispatcher.release(call.request_id, exchange.row)

    def fail(
        self,
        call: Call,
        exchange: Exchange,
        exc: BaseException,
    ) -> None:
        """Free the place at the endpoint after a failure."""
        exchange.abandon()
        call.excluded.add(exchange.row.instance.instance_id)
        if isinstance(exc, ApricotcartError) and not call.is_left:
            self.dispatcher.failed(exchange.row)
            log_decision(
                SEND_FAILED,
                request_id=call.terms.attempt_id,
                endpoint=exchange.row.instance.instance_id,
                attempt=call.sends,
                reason=exc.code,
                detail=exc.message,
                duration_s=exchange.age_s(),
            )
        if isinstance(exc, (BrokenEndpointError, SilentEndpointError)):
            self.note_begun(call, exchange.sent_at)
        self.dispatcher.release(call.request_id, exchange.row)

"""Makes second attempts at requests whose first one is late."""

from __future__ import annotations

import math
import threading
from abc import ABC, abstractmethod
from concurrent.futures import ThreadPoolExecutor
from contextlib import ExitStack
from typing import Final

from apricotcart.errors.tree import ApricotcartError
from apricotcart.gateway.attempts import AttemptRunner
from apricotcart.gateway.call import Call
from apricotcart.gateway.endpoint_upstream import EndpointUpstream
from apricotcart.gateway.exchanges.endpoint_exchange import EndpointExchange
from apricotcart.gateway.exchanges.exchange import Exchange
from apricotcart.gateway.hedging.policy import HedgePolicy, kind_of
from apricotcart.gateway.hedging.race import HedgeLostError, HedgeRace
from apricotcart.gateway.hedging.timer import TaskTimer
from apricotcart.observability.decisions import (
    HEDGE_ENDED,
    HEDGE_SENT,
    log_decision,
)
from apricotcart.timers.clock import boot_clock_s
from apricotcart.web.response import WebResponse

# Second attempts that wait for an answer at the same time.
_MAX_RUNNING: Final = 8


class Hedger(ABC):
    """Watches first attempts."""

    @abstractmethod
    def watch(self, call: Call, exchange: Exchange) -> None:
        """Make a second attempt at a request if its first one gets late.

        Parameters
        ----------
        call : Call
            The request, which is about to be sent.
        exchange : Exchange
            Its first attempt.
        """

    def start(self) -> None:
        """Start what it needs; nothing by default."""

    def stop(self) -> None:
        """Make no more second attempts; nothing by default."""


class NoHedger(Hedger):
    """Makes no second attempts."""

    def watch(self, call: Call, exchange: Exchange) -> None:
        """Leave the request alone."""


class EndpointHedger(Hedger):
    """Makes second attempts at other endpoints.

    Parameters
    ----------
    policy : HedgePolicy
        Decides when a request is late.
    endpoints : EndpointUpstream
        Sends requests to endpoints.
    attempts : AttemptRunner
        Runs the attempts.
    """

    __slots__ = (
        '_attempts',
        '_endpoints',
        '_executor',
        '_places',
        '_policy',
        '_timer',
    )

    def __init__(
        self,
        policy: HedgePolicy,
        endpoints: EndpointUpstream,
        attempts: AttemptRunner,
    ) -> None:
        self._policy = policy
        self._endpoints = endpoints
        self._attempts = attempts
        self._timer = TaskTimer('hedging')
        self._executor = ThreadPoolExecutor(_MAX_RUNNING, 'hedge')
        # None is queued: it would hold a slot at an endpoint meanwhile.
        self._places = threading.BoundedSemaphore(_MAX_RUNNING)

    def start(self) -> None:
        """Start the thread of the timer."""
        self._timer.start()

    def stop(self) -> None:
        """Make no more second attempts."""
        self._timer.stop()

    def watch(self, call: Call, exchange: Exchange) -> None:
        """Make a second attempt at a request if its first one gets late."""
        if not self._is_hedgeable(call, exchange):
            return
        kind = kind_of(call.route, call.metadata.prompt_tokens)
        now = boot_clock_s()
        self._policy.on_request()
        race = HedgeRace(call, exchange, kind, self._policy.on_answer)
        call.attempts.race = race
        delay_s = self._policy.delay_s(kind, call.remaining_s(), now)
        if delay_s < math.inf:
            self._timer.add(now + delay_s, lambda: self._begin(race))

    def _is_hedgeable(self, call: Call, exchange: Exchange) -> bool:
        if not self._policy.allows(call.route):
            return False
        # Another gateway that has passed the request on may repeat it itself.
        if call.relay.is_taken_over:
            return False
        if not isinstance(exchange, EndpointExchange):
            return False
        is_first = not call.send_count and not call.excluded_endpoints
        return is_first and call.origin is None

    def _begin(self, race: HedgeRace) -> None:
        """Send the second attempt if it is still wanted and there is room."""
        call, first = race.call, race.exchange
        if call is None or first is None or not first.sent_at:
            return
        if not self._may_begin(race, call):
            return
        if not self._places.acquire(blocking=False):
            return
        second = _second_attempt(call, first)
        exchange = self._endpoints.acquire_free(second)
        if exchange is None or not race.start_second(second):
            self._places.release()
            if exchange is not None:
                self._attempts.release(second, exchange)
            return
        self._policy.on_second_attempt()
        call.send_count += 1
        if _is_cancelled(call):
            second.on_caller_gone()
        log_decision(
            HEDGE_SENT,
            request_id=call.metadata.attempt_id,
            route=call.route.name,
            **exchange.destination.log_fields,
            attempt=call.send_count,
            duration_s=first.age_s(),
        )
        self._executor.submit(self._run_in_place, race, second, exchange)

    def _may_begin(self, race: HedgeRace, call: Call) -> bool:
        if not race.is_open or _is_cancelled(call):
            return False
        # What may crash endpoints is never sent to two of them.
        if not self._policy.has_room or self._endpoints.quarantine.suspects(
            call
        ):
            return False
        return self._endpoints.retry_policy.may_retry(
            call.route,
            may_have_run=True,
            send_count=call.send_count,
            remaining_s=call.remaining_s(),
            now=boot_clock_s(),
        )

    def _run_in_place(
        self, race: HedgeRace, second: Call, exchange: EndpointExchange
    ) -> None:
        with ExitStack() as stack:
            stack.callback(self._places.release)
            self._run(race, second, exchange)

    def _run(
        self, race: HedgeRace, second: Call, exchange: EndpointExchange
    ) -> None:
        response: WebResponse | None = None
        try:
            response = self._attempts.run(second, exchange)
        except (ApricotcartError, HedgeLostError) as exc:
            self._attempts.fail(second, exchange, exc)
        except BaseException as exc:
            self._attempts.fail(second, exchange, exc)
            race.end_second(None)
            raise
        is_awaited = race.end_second(response)
        log_decision(
            HEDGE_ENDED,
            request_id=second.metadata.attempt_id,
            **exchange.destination.log_fields,
            is_used=is_awaited and response is not None,
            duration_s=exchange.age_s(),
        )
        if not is_awaited and response is not None:
            response.discard()


def _is_cancelled(call: Call) -> bool:
    """Return whether nobody waits for the response any more."""
    return call.is_caller_gone or call.is_host_ending


def _second_attempt(call: Call, first: Exchange) -> Call:
    """Return the same request for an attempt at another endpoint."""
    second = Call(
        dispatcher=call.dispatcher,
        message=call.message,
        metadata=call.metadata,
        routing=call.routing,
        started_at=call.started_at,
    )
    second.attempts = call.attempts
    second.excluded_endpoints = {
        *call.excluded_endpoints,
        first.destination.name,
    }
    second.send_count = call.send_count
    second.relay.is_counted = True
    return second

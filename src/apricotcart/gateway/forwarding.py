"""Forwards a request to endpoints until one responds."""

from __future__ import annotations

from contextlib import ExitStack
from typing import Final

from apricotcart.errors.tree import ApricotcartError
from apricotcart.gateway.attempts import AttemptRunner
from apricotcart.gateway.call import Call
from apricotcart.gateway.errors import (
    BrokenEndpointError,
    BusyError,
    CallerLeftError,
    NotExecutedError,
    SilentEndpointError,
    UnreachableEndpointError,
)
from apricotcart.gateway.exchanges.exchange import Exchange
from apricotcart.gateway.hedging.hedger import Hedger
from apricotcart.gateway.hedging.race import HedgeLostError
from apricotcart.gateway.sender import Sender
from apricotcart.web.response import WebResponse

# Delay before a caller may retry a request that no endpoint accepted.
_RETRY_AFTER_S: Final = 0.3
_SEND_FAILURES: Final = (
    BrokenEndpointError,
    NotExecutedError,
    SilentEndpointError,
    UnreachableEndpointError,
)


class Forwarder:
    """Forwards requests and retries them on failures.

    Parameters
    ----------
    sender : Sender
        Sends the requests.
    attempts : AttemptRunner
        Runs the attempts.
    hedger : Hedger
        Makes second attempts at requests whose first one is late.
    """

    __slots__ = ('_attempts', '_hedger', '_sender')

    def __init__(
        self, sender: Sender, attempts: AttemptRunner, hedger: Hedger
    ) -> None:
        self._sender = sender
        self._attempts = attempts
        self._hedger = hedger

    def forward(self, call: Call) -> WebResponse:
        """Forward a request and return the response.

        Raises
        ------
        ApricotcartError
            If no endpoint responded. Its class states whether the request
            may have run.
        """
        with ExitStack() as stack:
            stack.callback(call.attempts.end_race)
            return self._forward(call)

    def _forward(self, call: Call) -> WebResponse:
        while True:
            exchange = self._sender.acquire(call)
            self._hedger.watch(call, exchange)
            response = self._run_attempt(call, exchange)
            if response is not None:
                return response

    def _run_attempt(
        self, call: Call, exchange: Exchange
    ) -> WebResponse | None:
        """Return the response, None to repeat the request."""
        response: WebResponse | None = None
        try:
            response = self._attempts.run(call, exchange)
        except HedgeLostError as lost:
            self._sender.fail(call, exchange, lost)
        except _SEND_FAILURES as exc:
            return self._after_failure(call, exchange, exc)
        except BaseException as exc:
            self._sender.fail(call, exchange, exc)
            call.attempts.give_up_second()
            raise
        if response is not None:
            return response
        return self._after_error(call, exchange)

    def _after_error(
        self, call: Call, exchange: Exchange
    ) -> WebResponse | None:
        """Return the response after an attempt without a decisive one."""
        had_second = call.attempts.has_second
        response = self._other_response(call)
        if response is None and had_second:
            call.excluded_endpoints.add(exchange.destination.name)
            return self._next_response(
                call, BrokenEndpointError('both attempts have failed')
            )
        return response

    def _other_response(self, call: Call) -> WebResponse | None:
        """Return the response of a second attempt, None without one."""
        race = call.attempts.race
        if race is None:
            return None
        race.end_first()
        response = race.wait_for_second(call.remaining_s())
        if response is None:
            call.attempts.race = None
        return response

    def _after_failure(
        self,
        call: Call,
        exchange: Exchange,
        exc: ApricotcartError,
    ) -> WebResponse | None:
        """Return None to retry the request, or the caller's response."""
        # The end of its connection says nothing about the endpoint if the
        # second attempt has ended it.
        has_lost = call.attempts.is_lost(call)
        self._sender.fail(call, exchange, HedgeLostError() if has_lost else exc)
        response = self._other_response(call)
        if response is not None:
            return response
        return self._next_response(call, exc)

    def _next_response(
        self, call: Call, exc: ApricotcartError
    ) -> WebResponse | None:
        if call.is_caller_gone:
            raise CallerLeftError(
                'the caller has closed its connection'
            ) from exc
        if self._may_continue(call, exc):
            return None
        if call.failure_response is None:
            raise _final_error(call, exc) from exc
        return call.failure_response

    def _may_continue(self, call: Call, exc: ApricotcartError) -> bool:
        if isinstance(exc, UnreachableEndpointError):
            return self._sender.may_try_another_endpoint(call)
        return self._sender.may_retry(call)


def _final_error(call: Call, exc: ApricotcartError) -> ApricotcartError:
    if not call.may_have_run:
        return BusyError(exc.message, retry_after_s=_RETRY_AFTER_S)
    if isinstance(exc, (BrokenEndpointError, SilentEndpointError)):
        return exc
    return BrokenEndpointError(exc.message)

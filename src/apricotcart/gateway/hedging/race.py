"""Two attempts at one request, of which the first one answered counts."""

from __future__ import annotations

import threading
from collections.abc import Callable
from typing import TYPE_CHECKING

from apricotcart.timers.clock import boot_clock_s

if TYPE_CHECKING:
    from apricotcart.gateway.call import Call
    from apricotcart.gateway.exchanges.exchange import Exchange
    from apricotcart.web.response import WebResponse

OnAnswer = Callable[[float, str, float], None]


class HedgeLostError(Exception):
    """The other attempt at the request was answered first.

    It says nothing about the endpoint of this attempt.
    """


class HedgeRace:
    """The attempts at one request.

    Parameters
    ----------
    call : Call
        The request in its first attempt.
    exchange : Exchange
        The first attempt.
    kind : str
        Kind of the request.
    on_answer : callable
        Called with the time of the first answer, the kind and how long the
        first attempt had been under way, all times in seconds.

    Attributes
    ----------
    second : Call or None
        The request in its second attempt, once there is one.
    """

    __slots__ = (
        '_changed',
        '_is_given_up',
        '_is_second_ended',
        '_on_answer',
        '_response',
        '_winner',
        'call',
        'exchange',
        'kind',
        'second',
    )

    def __init__(
        self,
        call: Call,
        exchange: Exchange,
        kind: str,
        on_answer: OnAnswer,
    ) -> None:
        self._on_answer = on_answer
        self.call: Call | None = call
        self.exchange: Exchange | None = exchange
        self.kind = kind
        self.second: Call | None = None
        self._winner: Call | None = None
        self._is_given_up = False
        self._is_second_ended = False
        self._response: WebResponse | None = None
        self._changed = threading.Condition()

    @property
    def is_open(self) -> bool:
        """Whether no attempt was answered or given up yet."""
        return self._winner is None and self.call is not None

    @property
    def has_second(self) -> bool:
        """Whether there is a second attempt."""
        return self.second is not None

    def claim(self, call: Call) -> bool:
        """Let an attempt count; return False if the other one does already."""
        with self._changed:
            if self._winner is not None:
                return self._winner is call
            self._winner = call
        self._cancel_other(call)
        if self.exchange is not None:
            now = boot_clock_s()
            self._on_answer(now, self.kind, now - self.exchange.sent_at)
        return True

    def is_lost(self, call: Call) -> bool:
        """Return whether the other attempt counts."""
        return self._winner not in {None, call}

    def start_second(self, second: Call) -> bool:
        """Add the second attempt; return False if it comes too late."""
        with self._changed:
            if not self.is_open:
                return False
            self.second = second
            return True

    def close(self) -> bool:
        """Allow no second attempt any more; return False if there is one."""
        with self._changed:
            if self.second is not None:
                return False
            self.call = None
            self.exchange = None
            self._winner = None
            return True

    def give_up(self) -> None:
        """Cancel a second attempt, for which nobody waits any more."""
        with self._changed:
            self._is_given_up = True
            response = self._response
        if self.second is not None:
            self.second.on_caller_gone()
        if response is not None:
            response.discard()

    def end_first(self) -> None:
        """Let no second attempt begin after the first one has ended."""
        with self._changed:
            if self.second is None:
                self._winner = self.call

    def end_second(self, response: WebResponse | None) -> bool:
        """Set the response of the second attempt, None if it failed.

        Returns
        -------
        bool
            False if nobody waits for it any more.
        """
        with self._changed:
            self._response = response
            self._is_second_ended = True
            self._changed.notify_all()
            return not self._is_given_up

    def wait_for_second(self, timeout_s: float) -> WebResponse | None:
        """Return the response of the second attempt, None without one.

        Parameters
        ----------
        timeout_s : float
            Longest wait in seconds.
        """
        with self._changed:
            if self.second is None:
                return None
            self._is_given_up = not self._changed.wait_for(
                lambda: self._is_second_ended, timeout_s
            )
            return self._response

    def _cancel_other(self, call: Call) -> None:
        """Cancel the other attempt, which frees its slot at the endpoint."""
        other = self.second if call is self.call else self.call
        if other is None:
            return
        if other is self.call:
            other.conn.abort()
        else:
            other.on_caller_gone()

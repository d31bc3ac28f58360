"""Requests to the consensus node that wait for their completion."""

from __future__ import annotations

import threading
from collections.abc import Callable
from concurrent.futures import Future
from concurrent.futures import TimeoutError as FutureTimeoutError

from apricotcart.consensus.api import Completion
from apricotcart.errors.tree import UnavailableError

ReplyFuture = Future[bytes]


class PendingRequests:
    """Futures of waiting threads, by ticket of the consensus node."""

    __slots__ = ('_closed', '_futures', '_futures_by_ticket')

    def __init__(self) -> None:
        self._closed = threading.Event()
        self._futures: set[ReplyFuture] = set()
        self._futures_by_ticket: dict[int, ReplyFuture] = {}

    def wait(
        self,
        start: Callable[[ReplyFuture], None],
        timeout_s: float,
    ) -> bytes:
        """Start a request and wait for its reply.

        Raises
        ------
        ApricotcartError
            The error of the completion.
        UnavailableError
            If there was no completion in time or the node has stopped; the
            outcome is unknown.
        """
        fut: ReplyFuture = Future()
        self._futures.add(fut)
        try:
            return self._await_reply(start, fut, timeout_s)
        except FutureTimeoutError as exc:
            raise UnavailableError(
                f'no quorum answered within {timeout_s} s'
            ) from exc
        finally:
            self._futures.discard(fut)

    def register(self, ticket: int, fut: ReplyFuture) -> None:
        """Map a ticket to the future that receives its outcome."""
        self._futures_by_ticket[ticket] = fut

    def complete(self, completion: Completion) -> None:
        """Set the outcome of the future of a ticket."""
        fut = self._futures_by_ticket.pop(completion.ticket, None)
        if fut is None:
            return
        if completion.error is None:
            fut.set_result(completion.reply)
        else:
            fut.set_exception(completion.error)

    def close(self) -> None:
        """Fail all waiting and all later requests.

        Without this, callers of a stopped or failed node would wait until
        they time out.
        """
        self._closed.set()
        for fut in tuple(self._futures):
            if not fut.done():
                fut.set_exception(_stopping_error())

    def _await_reply(
        self,
        start: Callable[[ReplyFuture], None],
        fut: ReplyFuture,
        timeout_s: float,
    ) -> bytes:
        # `close` sets this event before it fails the waiting futures, so a
        # future that was added too late for `close` is failed here.
        if self._closed.is_set():
            raise _stopping_error()
        start(fut)
        return fut.result(timeout_s)


def _stopping_error() -> UnavailableError:
    return UnavailableError('this host is stopping')

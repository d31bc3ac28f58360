"""Threads that wait for what the consensus node completes."""

from __future__ import annotations

import threading
from collections.abc import Callable
from concurrent.futures import Future
from concurrent.futures import TimeoutError as FutureTimeoutError

from apricotcart.consensus.api import Completion
from apricotcart.errors.tree import UnavailableError

Reply = Future[bytes]


class Callers:
    """Ties the tickets of the node to the threads that wait for them."""

    __slots__ = ('_ended', '_open', '_tickets')

    def __init__(self) -> None:
        """Start without callers."""
        self._ended = threading.Event()
        self._open: set[Reply] = set()
        self._tickets: dict[int, Reply] = {}

    def wait(
        self,
        start: Callable[[Reply], None],
        timeout_s: float,
    ) -> bytes:
        """Start a request and wait for its reply.

        Raises
        ------
        ApricotcartError
            The error of the completion.
        UnavailableError
            If there was no completion in time or the node has ended; the
            outcome is not known.
        """
        fut: Reply = Future()
        self._open.add(fut)
        try:
            return self._reply_to(start, fut, timeout_s)
        except FutureTimeoutError as exc:
            raise UnavailableError('no quorum answered in time') from exc
        finally:
            self._open.discard(fut)

    def expect(self, ticket: int, fut: Reply) -> None:
        """Tie a ticket to who waits for it."""
        self._tickets[ticket] = fut

    def complete(self, completion: Completion) -> None:
        """Hand an outcome to who waits for it."""
        fut = self._tickets.pop(completion.ticket, None)
        if fut is None:
            return
        if completion.error is None:
            fut.set_result(completion.reply)
        else:
            fut.set_exception(completion.error)

    def end(self) -> None:
        """Refuse all callers from now on, the waiting ones included.

        Without this, callers of a stopped or failed node would wait for
        their whole timeout.
        """
        self._ended.set()
        for fut in tuple(self._open):
            if not fut.done():
                fut.set_exception(_ended_error())

    def _reply_to(
        self,
        start: Callable[[Reply], None],
        fut: Reply,
        timeout_s: float,
    ) -> bytes:
        # `end` sets this before it looks for callers, so that a caller that
        # it misses is refused here.
        if self._ended.is_set():
            raise _ended_error()
        start(fut)
        return fut.result(timeout_s)


def _ended_error() -> UnavailableError:
    return UnavailableError('this host is stopping')

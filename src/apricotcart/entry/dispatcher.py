"""Threads of requests that wait for the scheduler's decision."""

from __future__ import annotations

import threading
import time
from collections.abc import Callable
from concurrent.futures import Future
from concurrent.futures import TimeoutError as FutureTimeoutError
from typing import TYPE_CHECKING, Any

from apricotcart.entry.errors import (
    ShedError,
    ShedMayHaveRunError,
)
from apricotcart.errors.tree import NOT_RUN, ApricotcartError
from apricotcart.scheduling.decisions import Dispatch

if TYPE_CHECKING:
    from apricotcart.scheduling.decisions import Decision
    from apricotcart.scheduling.records import QueuedRequest
    from apricotcart.scheduling.scheduler import Scheduler

TICK_S = 0.02
# How often a waiting request looks whether it may go on waiting.
_CHECK_S = 0.25

Clock = Callable[[], float]
EndpointName = str


class Dispatcher:
    """Lets many threads use one scheduler.

    Parameters
    ----------
    scheduler : Scheduler
        Only touched under this object's lock.
    clock : callable
        Monotonic clock in seconds.
    """

    __slots__ = ('_clock', '_lock', '_scheduler', '_stopping', '_waiting')

    def __init__(
        self,
        scheduler: Scheduler,
        clock: Clock = time.monotonic,
    ) -> None:
        """Prepare the dispatcher."""
        self._scheduler = scheduler
        self._clock = clock
        self._lock = threading.Lock()
        self._waiting: dict[str, Future[EndpointName]] = {}
        self._stopping = threading.Event()

    def start(self) -> None:
        """Start the thread that lets the scheduler's timers fire."""
        threading.Thread(target=self._run, daemon=True, name='tick').start()

    def stop(self) -> None:
        """Stop the timer thread."""
        self._stopping.set()

    def acquire(
        self,
        queued: QueuedRequest,
        check: Callable[[], None],
    ) -> EndpointName:
        """Queue a request and wait for its endpoint.

        Parameters
        ----------
        queued : QueuedRequest
            The request.
        check : callable
            Called now and then while the request waits; what it raises ends
            the wait and takes the request out of the queue.

        Raises
        ------
        ShedError, ShedMayHaveRunError
            If the scheduler refuses the request.
        ApricotcartError
            What ``check`` raised; the request was not dispatched.
        """
        fut: Future[EndpointName] = Future()
        with self._lock:
            self._waiting[queued.request_id] = fut
            self._scheduler.submit(self._clock(), queued)
            self._step()
        return self._wait(queued.request_id, fut, check)

    def notify(self, event: Callable[[Scheduler, float], Any]) -> Any:
        """Hand an event to the scheduler and act on what follows."""
        with self._lock:
            outcome = event(self._scheduler, self._clock())
            self._step()
        return outcome

    def finish(self, request_id: str, outcome: str) -> None:
        """Tell the scheduler how a dispatched request ended."""
        self.notify(
            lambda scheduler, now: scheduler.on_finish(
                now,
                request_id,
                outcome,
            ),
        )

    def count_tokens(self, request_id: str, count: int) -> None:
        """Charge tokens of a running request."""
        with self._lock:
            self._scheduler.on_tokens(self._clock(), request_id, count)

    def _wait(
        self,
        request_id: str,
        fut: Future[EndpointName],
        check: Callable[[], None],
    ) -> EndpointName:
        while True:
            try:
                return fut.result(_CHECK_S)
            except FutureTimeoutError:
                self._check(request_id, fut, check)

    def _check(
        self,
        request_id: str,
        fut: Future[EndpointName],
        check: Callable[[], None],
    ) -> None:
        try:
            check()
        except ApricotcartError:
            if self._leave_queue(request_id, fut):
                raise

    def _leave_queue(self, request_id: str, fut: Future[EndpointName]) -> bool:
        """Cancel a waiting request; False if it was decided meanwhile."""
        with self._lock:
            if fut.done():
                return False
            self._waiting.pop(request_id, None)
            self._scheduler.cancel(self._clock(), request_id)
            self._step()
            return True

    def _run(self) -> None:
        while not self._stopping.wait(TICK_S):
            with self._lock:
                self._step()

    def _step(self) -> None:
        for decision in self._scheduler.tick(self._clock()):
            self._decide(decision)

    def _decide(self, decision: Decision) -> None:
        fut = self._waiting.pop(decision.request_id, None)
        if fut is None:
            return
        if isinstance(decision, Dispatch):
            fut.set_result(decision.endpoint)
            return
        failure: type[ApricotcartError] = ShedError
        if decision.run_state != NOT_RUN:
            failure = ShedMayHaveRunError
        fut.set_exception(
            failure(
                f'the request was shed: {decision.reason}',
                retry_after_s=decision.retry_after_s,
                reason=decision.reason,
            ),
        )

"""Thread-safe access of request threads to the scheduler."""

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

TICK_INTERVAL_S = 0.02
# How often a queued request checks whether it may stay queued.
_CHECK_INTERVAL_S = 0.25

Clock = Callable[[], float]
EndpointName = str


class Dispatcher:
    """Serializes the access of many threads to one scheduler.

    Parameters
    ----------
    scheduler : Scheduler
        Accessed only under this object's lock.
    clock : callable
        Monotonic clock in seconds.
    """

    __slots__ = ('_clock', '_lock', '_scheduler', '_stopping', '_waiting')

    def __init__(
        self,
        scheduler: Scheduler,
        clock: Clock = time.monotonic,
    ) -> None:
        self._scheduler = scheduler
        self._clock = clock
        self._lock = threading.Lock()
        self._waiting: dict[str, Future[EndpointName]] = {}
        self._stopping = threading.Event()

    def start(self) -> None:
        """Start the thread that calls the scheduler's tick periodically."""
        threading.Thread(target=self._run, daemon=True, name='tick').start()

    def stop(self) -> None:
        """Stop the timer thread."""
        self._stopping.set()

    def acquire(
        self,
        queued: QueuedRequest,
        check: Callable[[], None],
    ) -> EndpointName:
        """Queue a request and wait until the scheduler assigns an endpoint.

        Parameters
        ----------
        queued : QueuedRequest
            The request.
        check : callable
            Called periodically while the request is queued; an error that it
            raises removes the request from the queue.

        Raises
        ------
        ShedError, ShedMayHaveRunError
            If the scheduler sheds the request.
        ApricotcartError
            The error raised by ``check``; the request was not dispatched.
        """
        fut: Future[EndpointName] = Future()
        with self._lock:
            self._waiting[queued.request_id] = fut
            self._scheduler.submit(self._clock(), queued)
            self._tick()
        return self._wait(queued.request_id, fut, check)

    def notify(self, event: Callable[[Scheduler, float], Any]) -> Any:
        """Apply an event to the scheduler and deliver the resulting decisions.

        Returns what ``event`` returns.
        """
        with self._lock:
            outcome = event(self._scheduler, self._clock())
            self._tick()
        return outcome

    def finish(self, request_id: str, outcome: str) -> None:
        """Report the outcome of a dispatched request to the scheduler."""
        self.notify(
            lambda scheduler, now: scheduler.on_finish(
                now,
                request_id,
                outcome,
            ),
        )

    def count_tokens(self, request_id: str, count: int) -> None:
        """Report output tokens of a running request to the scheduler."""
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
                return fut.result(_CHECK_INTERVAL_S)
            except FutureTimeoutError:
                self._cancel_if_check_fails(request_id, fut, check)

    def _cancel_if_check_fails(
        self,
        request_id: str,
        fut: Future[EndpointName],
        check: Callable[[], None],
    ) -> None:
        try:
            check()
        except ApricotcartError:
            if self._try_cancel(request_id, fut):
                raise

    def _try_cancel(self, request_id: str, fut: Future[EndpointName]) -> bool:
        """Cancel a queued request; return False if already decided."""
        with self._lock:
            if fut.done():
                return False
            self._waiting.pop(request_id, None)
            self._scheduler.cancel(self._clock(), request_id)
            self._tick()
            return True

    def _run(self) -> None:
        while not self._stopping.wait(TICK_INTERVAL_S):
            with self._lock:
                self._tick()

    def _tick(self) -> None:
        for decision in self._scheduler.tick(self._clock()):
            self._deliver(decision)

    def _deliver(self, decision: Decision) -> None:
        fut = self._waiting.pop(decision.request_id, None)
        if fut is None:
            return
        if isinstance(decision, Dispatch):
            fut.set_result(decision.endpoint)
            return
        error_class: type[ApricotcartError] = ShedError
        if decision.run_state != NOT_RUN:
            error_class = ShedMayHaveRunError
        fut.set_exception(
            error_class(
                f'the request was shed: {decision.reason}',
                retry_after_s=decision.retry_after_s,
                reason=decision.reason,
            ),
        )

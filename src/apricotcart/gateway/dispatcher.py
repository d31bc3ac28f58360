"""Hands requests of many threads to the decisions, under one lock."""

from __future__ import annotations

import threading
from collections.abc import Callable, Iterable
from typing import Final

from apricotcart.gateway.endpoint_state import EndpointRow, Need, SharedLoad
from apricotcart.gateway.errors import BusyError, CallerLeftError
from apricotcart.gateway.placement import Placement
from apricotcart.gateway.request_queue import (
    Assigned,
    Decision,
    Waiting,
    WaitingRoom,
)
from apricotcart.timers.clock import steady_s

# Pause between two looks at the waiting requests, without other events.
TICK_S: Final = 0.05


class Ticket:
    """A thread that waits for the decision about its request."""

    __slots__ = ('_decided', 'decision', 'is_left')

    def __init__(self) -> None:
        """Start without a decision."""
        self._decided = threading.Event()
        self.decision: Decision | None = None
        self.is_left = False

    def decide(self, decision: Decision | None) -> None:
        """Wake the thread."""
        self.decision = decision
        self._decided.set()

    def wait(self) -> None:
        """Wait for the decision."""
        self._decided.wait()


class Dispatcher:
    """Placement and waiting requests, shared by all threads.

    Parameters
    ----------
    placement : Placement
        Table of the endpoints.
    """

    __slots__ = ('_heard_at', '_lock', '_placement', '_room', '_tickets')

    def __init__(self, placement: Placement) -> None:
        """Start without requests."""
        self._lock = threading.Lock()
        self._placement = placement
        self._room = WaitingRoom(placement)
        self._tickets: dict[str, Ticket] = {}
        self._heard_at = steady_s()

    def acquire(self, waiting: Waiting) -> EndpointRow:
        """Wait until a request is given an endpoint.

        Raises
        ------
        BusyError
            If it is refused.
        CallerLeftError
            If `cancel` was called meanwhile.
        """
        ticket = Ticket()
        with self._lock:
            self._tickets[waiting.request_id] = ticket
            self._room.add(waiting)
            self._decide()
        ticket.wait()
        return _row_of(ticket)

    def cancel(self, request_id: str) -> None:
        """End the wait of a request whose caller has left."""
        with self._lock:
            self._room.remove(request_id)
            ticket = self._tickets.pop(request_id, None)
        if ticket is not None:
            ticket.is_left = True
            ticket.decide(None)

    def begun(self, request_id: str, row: EndpointRow) -> None:
        """Note that an endpoint has read the prompt of a request."""
        with self._lock:
            placed = row.placed.get(request_id)
            if placed is not None:
                placed.has_begun = True

    def release(self, request_id: str, row: EndpointRow) -> None:
        """Note that a request no longer runs at an endpoint."""
        with self._lock:
            row.placed.pop(request_id, None)
            self._decide()

    def failed(self, row: EndpointRow) -> None:
        """Note that an endpoint failed a request."""
        with self._lock:
            row.on_failure(steady_s())

    def succeeded(self, row: EndpointRow) -> None:
        """Note that an endpoint served a request."""
        with self._lock:
            row.on_success()

    def tick(self) -> None:
        """Look at the waiting requests again."""
        with self._lock:
            if len(self._room):
                self._decide()

    def update(self, change: Callable[[Placement], None]) -> None:
        """Change the table of endpoints."""
        with self._lock:
            change(self._placement)
            self._decide()

    def hear(self, loads: dict[str, SharedLoad], hosts: int) -> None:
        """Take what the other hosts put on each endpoint."""
        with self._lock:
            self._heard_at = steady_s()
            self._placement.share(loads, hosts)
            self._decide()

    def load_age_s(self) -> float:
        """Give how old the load of the other hosts is, in seconds."""
        return steady_s() - self._heard_at

    def has_endpoint(self, service: str) -> bool:
        """Tell whether any endpoint of a service takes requests."""
        with self._lock:
            return self._placement.has_endpoint(service)

    def own_loads(self) -> dict[str, SharedLoad]:
        """Give what this host puts on each endpoint."""
        with self._lock:
            return {
                row.instance.instance_id: _load_of(row)
                for row in self._placement.rows()
                if row.placed
            }

    def waiting_tokens(self) -> dict[str, SharedLoad]:
        """Give what waits on this host by service."""
        found: dict[str, SharedLoad] = {}
        with self._lock:
            needs = self._room.waiting_needs()
        for need in needs:
            _add_need(found.setdefault(need.service, SharedLoad()), need)
        return found

    def _decide(self) -> None:
        decided: Iterable[Decision] = list(self._room.decide(steady_s()))
        for decision in decided:
            ticket = self._tickets.pop(decision.request_id, None)
            if ticket is not None:
                ticket.decide(decision)


def _row_of(ticket: Ticket) -> EndpointRow:
    decision = ticket.decision
    if decision is None:
        raise CallerLeftError('the caller left while it waited')
    if isinstance(decision, Assigned):
        return decision.row
    raise BusyError(
        'no endpoint has room',
        retry_after_s=decision.retry_after_s,
    )


def _load_of(row: EndpointRow) -> SharedLoad:
    load = SharedLoad()
    for placed in row.placed.values():
        load.requests += 1
        load.tokens += placed.need.tokens
        load.unread_tokens += 0 if placed.has_begun else placed.unread_tokens
    return load


def _add_need(load: SharedLoad, need: Need) -> None:
    load.requests += 1
    load.tokens += need.tokens
    load.unread_tokens += need.prompt_tokens

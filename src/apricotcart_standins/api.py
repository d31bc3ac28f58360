"""Base class of the stand-in applications: journal, faults, routing."""

from __future__ import annotations

import time
from abc import abstractmethod
from typing import TYPE_CHECKING

from apricotcart_standins.faults import Faults
from apricotcart_standins.journal import Journal
from apricotcart_standins.web import (
    STATUS_BAD_REQUEST,
    STATUS_NOT_FOUND,
    STATUS_OK,
    App,
)

if TYPE_CHECKING:
    from apricotcart_standins.faults import FaultPlan
    from apricotcart_standins.web import Call

_POLL_S = 0.02


class StandIn(App):
    """Application that serves GET /received and POST /fault itself.

    Requests to these two paths are neither recorded in the journal nor
    subject to faults. All others go to `answer`.
    """

    def __init__(self) -> None:
        """Initialize an empty journal and no faults."""
        self.journal = Journal()
        self.faults = Faults()

    def serve(self, call: Call) -> None:
        """Answer one request."""
        if call.path == '/fault':
            self._set_faults(call)
        elif call.path == '/received':
            self._show_received(call)
        else:
            self.journal.add(call)
            self.answer(call)

    @abstractmethod
    def answer(self, call: Call) -> None:
        """Answer a request to any other path than the control paths."""

    def _set_faults(self, call: Call) -> None:
        try:
            self.faults.replace(call.json())
        except TypeError as exc:
            call.reply(STATUS_BAD_REQUEST, {'error': str(exc)})
            return
        call.reply(STATUS_OK, {'ok': True})

    def _show_received(self, call: Call) -> None:
        if call.method == 'DELETE':
            self.journal.clear()
        call.reply(STATUS_OK, {'received': self.journal.entries()})


def reply_not_found(call: Call) -> None:
    """Reply with status 404 that the path is unknown."""
    call.reply(STATUS_NOT_FOUND, {'error': f'no such path: {call.path}'})


def apply_request_faults(plan: FaultPlan, call: Call) -> bool:
    """Apply the faults that precede the handling of a request.

    Returns
    -------
    bool
        Whether the request was refused and needs no further answer.
    """
    if plan.fail_before:
        call.cut()
    if plan.late_s:
        sleep_unless_disconnected(call, plan.late_s)
    if plan.refuse:
        call.reply(plan.refuse, {'error': {'code': 'refused'}})
    return bool(plan.refuse)


def sleep_unless_disconnected(call: Call, duration_s: float) -> None:
    """Sleep; drop the connection if the caller closes it meanwhile."""
    deadline = time.monotonic() + duration_s
    remaining_s = duration_s
    while remaining_s > 0:
        if call.is_disconnected():
            call.cut()
        time.sleep(min(remaining_s, _POLL_S))
        remaining_s = deadline - time.monotonic()

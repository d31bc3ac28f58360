"""Base of the stand-in applications: journal, faults and routing."""

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
    """Serves GET /received and POST /fault, and hands on the rest.

    Requests on these two paths are neither logged nor subject to faults.
    """

    def __init__(self) -> None:
        """Start with an empty journal and no faults."""
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
        """Answer a request that is no control request."""

    def _set_faults(self, call: Call) -> None:
        try:
            self.faults.set_from(call.json())
        except TypeError as exc:
            call.reply(STATUS_BAD_REQUEST, {'error': str(exc)})
            return
        call.reply(STATUS_OK, {'ok': True})

    def _show_received(self, call: Call) -> None:
        if call.method == 'DELETE':
            self.journal.clear()
        call.reply(STATUS_OK, {'received': self.journal.entries()})


def reply_not_found(call: Call) -> None:
    """Answer that the path is unknown."""
    call.reply(STATUS_NOT_FOUND, {'error': f'no such path: {call.path}'})


def apply_entry_faults(plan: FaultPlan, call: Call) -> bool:
    """Delay or refuse a request; tells whether it was refused."""
    if plan.fail_before:
        call.cut()
    if plan.late_s:
        wait_unless_gone(call, plan.late_s)
    if plan.refuse:
        call.reply(plan.refuse, {'error': {'code': 'refused'}})
    return bool(plan.refuse)


def wait_unless_gone(call: Call, duration_s: float) -> None:
    """Sleep, and cut the connection once the caller has closed it."""
    until = time.monotonic() + duration_s
    left = duration_s
    while left > 0:
        if call.is_gone():
            call.cut()
        time.sleep(min(left, _POLL_S))
        left = until - time.monotonic()

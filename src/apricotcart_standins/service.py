"""Stand-in for a plain service that counts orders."""

from __future__ import annotations

import threading
from collections import Counter
from typing import TYPE_CHECKING

from apricotcart_standins.api import (
    StandIn,
    apply_entry_faults,
    wait_unless_gone,
)
from apricotcart_standins.web import STATUS_OK

if TYPE_CHECKING:
    import argparse

    from apricotcart_standins.web import Call

OTHER_ANSWER = b'answer of another request'

_ORDER_HEADER = 'X-Order-Key'
_ID_HEADER = 'X-Request-Id'


class ServiceStandIn(StandIn):
    """Echoes each body and counts each ``X-Order-Key``.

    ``GET /counts`` gives the counts by key and the number of calls. The
    fault ``fail_before`` cuts the connection before the order is counted,
    ``fail_after`` after it.

    Parameters
    ----------
    answer_s : float
        Time an answer takes, in seconds; the fault ``slow`` multiplies it.
    """

    def __init__(self, answer_s: float = 0) -> None:
        """Start with no orders counted."""
        super().__init__()
        self._answer_s = answer_s
        self._lock = threading.Lock()
        self._counts: Counter[str] = Counter()
        self._calls = 0
        self._last = (OTHER_ANSWER, 'other')

    @classmethod
    def from_options(cls, options: argparse.Namespace) -> ServiceStandIn:
        """Build it from the command line."""
        return cls(options.answer_s)

    def answer(self, call: Call) -> None:
        """Count and echo one request."""
        if call.path == '/counts':
            call.reply(STATUS_OK, self._figures())
            return
        plan = self.faults.take(call)
        if apply_entry_faults(plan, call):
            return
        self._count(call.header(_ORDER_HEADER))
        if plan.fail_after:
            call.cut()
        wait_unless_gone(call, self._answer_s * plan.slow)
        body, request_id = self._choose_answer(call, swap=plan.swap)
        content_type = call.header('Content-Type', 'application/octet-stream')
        if plan.truncate is not None:
            call.reply_part(content_type, body, plan.truncate)
        headers = ((_ID_HEADER, request_id),)
        call.reply_bytes(STATUS_OK, content_type, body, headers)

    def _figures(self) -> dict[str, object]:
        with self._lock:
            return {'counts': dict(self._counts), 'calls': self._calls}

    def _count(self, order_key: str) -> None:
        with self._lock:
            self._calls += 1
            if order_key:
                self._counts[order_key] += 1

    def _choose_answer(self, call: Call, *, swap: bool) -> tuple[bytes, str]:
        own = (call.body, call.header(_ID_HEADER))
        with self._lock:
            previous = self._last
            self._last = own
        return previous if swap else own

"""Stand-in for a service that counts orders."""

from __future__ import annotations

import threading
from collections import Counter
from typing import TYPE_CHECKING

from apricotcart_standins.api import (
    StandIn,
    apply_request_faults,
    sleep_unless_disconnected,
)
from apricotcart_standins.web import STATUS_OK

if TYPE_CHECKING:
    import argparse

    from apricotcart_standins.web import Call

OTHER_ANSWER = b'answer of another request'

_ORDER_HEADER = 'X-Order-Key'
_ID_HEADER = 'X-Request-Id'


class ServiceStandIn(StandIn):
    """Service that echoes bodies and counts requests by ``X-Order-Key``.

    ``GET /counts`` returns the counts by key and the number of calls. The
    fault ``fail_before`` closes the connection before the order is counted,
    ``fail_after`` after it.

    Parameters
    ----------
    answer_s : float
        Time to answer a request, in seconds; the fault ``slow`` multiplies it.
    """

    def __init__(self, answer_s: float = 0) -> None:
        """Initialize without counted orders."""
        super().__init__()
        self._answer_s = answer_s
        self._lock = threading.Lock()
        self._counts: Counter[str] = Counter()
        self._calls = 0
        self._last_answer = (OTHER_ANSWER, 'other')

    @classmethod
    def from_options(cls, options: argparse.Namespace) -> ServiceStandIn:
        """Build the stand-in from the options of the command line."""
        return cls(options.answer_s)

    def answer(self, call: Call) -> None:
        """Count and echo a request."""
        if call.path == '/counts':
            call.reply(STATUS_OK, self._count_report())
            return
        plan = self.faults.plan_for(call)
        if apply_request_faults(plan, call):
            return
        self._count_call(call.header(_ORDER_HEADER))
        if plan.fail_after:
            call.cut()
        sleep_unless_disconnected(call, self._answer_s * plan.slow)
        body, request_id = self._choose_answer(call, swap=plan.swap)
        content_type = call.header('Content-Type', 'application/octet-stream')
        if plan.truncate is not None:
            call.reply_truncated(content_type, body, plan.truncate)
        headers = ((_ID_HEADER, request_id),)
        call.reply_bytes(STATUS_OK, content_type, body, headers)

    def _count_report(self) -> dict[str, object]:
        with self._lock:
            return {'counts': dict(self._counts), 'calls': self._calls}

    def _count_call(self, order_key: str) -> None:
        with self._lock:
            self._calls += 1
            if order_key:
                self._counts[order_key] += 1

    def _choose_answer(self, call: Call, *, swap: bool) -> tuple[bytes, str]:
        current = (call.body, call.header(_ID_HEADER))
        with self._lock:
            previous = self._last_answer
            self._last_answer = current
        return previous if swap else current

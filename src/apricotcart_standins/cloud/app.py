"""HTTP application of the platform stand-in."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from apricotcart_standins.api import StandIn, apply_request_faults
from apricotcart_standins.cloud.platform import Platform
from apricotcart_standins.cloud.rates import RateLimit
from apricotcart_standins.web import STATUS_OK, error_body

if TYPE_CHECKING:
    import argparse

    from apricotcart_standins.web import Call

STATUS_TOO_MANY = 429

_WEIGHTS_PATH = '/weights/'
_BYTES_TYPE = 'application/octet-stream'


class PlatformStandIn(StandIn):
    """Platform with zones, prices, usage reports and a weight store.

    ``GET /endpoints/orders`` and ``GET /usage`` list the requests received
    and are not subject to faults.
    """

    def __init__(self, options: argparse.Namespace) -> None:
        """Initialize the platform from the options of the command line."""
        super().__init__()
        self._platform = Platform(options)
        self._weight_limit = RateLimit(
            options.weight_rate, options.weight_burst
        )
        self._weight_bytes: int = options.weight_bytes

    @classmethod
    def from_options(cls, options: argparse.Namespace) -> PlatformStandIn:
        """Build the stand-in from the options of the command line."""
        return cls(options)

    def answer(self, call: Call) -> None:
        """Route a request to its handler."""
        records = self._find_records(call)
        if records is not None:
            call.reply(STATUS_OK, records)
            return
        plan = self.faults.plan_for(call)
        if apply_request_faults(plan, call):
            return
        if call.path.startswith(_WEIGHTS_PATH):
            self._send_weights(call)
            return
        status, body = self._platform.answer(
            call.method,
            call.path,
            call.json(),
        )
        if plan.fail_after:
            call.cut()
        call.reply(status, body)

    def _find_records(self, call: Call) -> dict[str, Any] | None:
        if call.method == 'GET' and call.path == '/endpoints/orders':
            return {'orders': self._platform.orders.records}
        if call.method == 'GET' and call.path == '/usage':
            return {'usage': self._platform.usage.records}
        return None

    def _send_weights(self, call: Call) -> None:
        wait_s = self._weight_limit.try_acquire()
        if wait_s:
            retry = ('Retry-After', str(int(wait_s) + 1))
            call.reply(STATUS_TOO_MANY, error_body('rate_limited'), (retry,))
            return
        call.reply_bytes(STATUS_OK, _BYTES_TYPE, bytes(self._weight_bytes))

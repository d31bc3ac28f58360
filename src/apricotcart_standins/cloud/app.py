"""HTTP application of the platform stand-in."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any, TypeAlias

from apricotcart_standins.api import StandIn, apply_entry_faults
from apricotcart_standins.cloud.lagging import LaggingDocument
from apricotcart_standins.cloud.rates import RateLimit
from apricotcart_standins.cloud.records import FencedRecords
from apricotcart_standins.cloud.zones import Zones
from apricotcart_standins.fencing import FencingCheck
from apricotcart_standins.web import (
    STATUS_NOT_FOUND,
    STATUS_OK,
    error_body,
)

if TYPE_CHECKING:
    import argparse
    from collections.abc import Callable

    from apricotcart_standins.web import Call

_Fields: TypeAlias = dict[str, Any]
_Answer: TypeAlias = tuple[int, _Fields]

STATUS_TOO_MANY = 429
STATUS_NO_CAPACITY = 503

DEFAULT_NOTICE_S = 5.0

_OK: _Answer = (STATUS_OK, {'ok': True})
_WEIGHTS_PATH = '/weights/'
_BYTES_TYPE = 'application/octet-stream'


class PlatformStandIn(StandIn):
    """Platform with zones, prices, usage reports and a weight store.

    ``GET`` on the paths of orders and usage lists what was received and is
    not subject to faults.
    """

    def __init__(self, options: argparse.Namespace) -> None:
        """Start with the options of the command line."""
        super().__init__()
        self._zones = _build_zones(options)
        self._prices = LaggingDocument(_first_prices(options), 0)
        self._hosts = LaggingDocument([], options.host_lag_s)
        check = FencingCheck(enforced=not options.ignore_fencing)
        self._orders = FencedRecords(check)
        self._usage = FencedRecords(check)
        self._weights = RateLimit(options.weight_rate, options.weight_burst)
        self._weight_bytes: int = options.weight_bytes
        self._readers: dict[str, Callable[[], _Fields]] = {
            '/endpoints': lambda: {'endpoints': self._zones.list_endpoints()},
            '/hosts': lambda: {'hosts': self._hosts.read()},
            '/prices': lambda: {'zones': self._prices.read()},
            '/notices': lambda: {'notices': self._zones.notices},
        }
        self._writers: dict[str, Callable[[_Fields], _Answer]] = {
            '/endpoints/orders': self._order,
            '/endpoints/releases': self._release,
            '/usage': self._take_usage,
            '/hosts': self._set_hosts,
            '/prices': self._set_prices,
            '/reclaim': self._reclaim,
            '/capacity': self._set_capacity,
        }

    @classmethod
    def from_options(cls, options: argparse.Namespace) -> PlatformStandIn:
        """Build it from the command line."""
        return cls(options)

    def answer(self, call: Call) -> None:
        """Route one request."""
        records = self._records_of(call)
        if records is not None:
            call.reply(STATUS_OK, records)
            return
        plan = self.faults.take(call)
        if apply_entry_faults(plan, call):
            return
        if call.path.startswith(_WEIGHTS_PATH):
            self._send_weights(call)
            return
        status, body = self._answer(call)
        if plan.fail_after:
            call.cut()
        call.reply(status, body)

    def _records_of(self, call: Call) -> _Fields | None:
        if call.method == 'GET' and call.path == '/endpoints/orders':
            return {'orders': self._orders.records}
        if call.method == 'GET' and call.path == '/usage':
            return {'usage': self._usage.records}
        return None

    def _answer(self, call: Call) -> _Answer:
        if call.method == 'GET' and call.path in self._readers:
            return STATUS_OK, self._readers[call.path]()
        if call.method == 'POST' and call.path in self._writers:
            return self._writers[call.path](call.json())
        return STATUS_NOT_FOUND, error_body('not_found', call.path)

    def _order(self, fields: _Fields) -> _Answer:
        return self._orders.take(fields, self._start)

    def _start(self, fields: _Fields) -> _Answer:
        names = self._zones.start(fields)
        if names is None:
            return STATUS_NO_CAPACITY, error_body('no_capacity')
        return STATUS_OK, {'ok': True, 'endpoints': names}

    def _release(self, fields: _Fields) -> _Answer:
        return self._orders.take(
            fields,
            lambda release: (
                STATUS_OK,
                {
                    'ok': True,
                    'released': self._zones.release(release['endpoints']),
                },
            ),
        )

    def _take_usage(self, fields: _Fields) -> _Answer:
        return self._usage.take(fields, lambda _: _OK)

    def _set_hosts(self, fields: _Fields) -> _Answer:
        self._hosts.write(fields.get('hosts', []))
        return _OK

    def _set_prices(self, fields: _Fields) -> _Answer:
        prices = {**self._prices.read()}
        prices.update(fields.get('zones', {}))
        self._prices.write(prices)
        return _OK

    def _set_capacity(self, fields: _Fields) -> _Answer:
        zone = fields.pop('zone')
        self._zones.capacity[zone].update(fields)
        return _OK

    def _reclaim(self, fields: _Fields) -> _Answer:
        notice_s = float(fields.get('notice_s', DEFAULT_NOTICE_S))
        names = self._zones.reclaim(fields['zone'], notice_s)
        return STATUS_OK, {'ok': True, 'endpoints': names}

    def _send_weights(self, call: Call) -> None:
        wait_s = self._weights.take()
        if wait_s:
            retry = ('Retry-After', str(int(wait_s) + 1))
            call.reply(STATUS_TOO_MANY, error_body('rate_limited'), (retry,))
            return
        call.reply_bytes(STATUS_OK, _BYTES_TYPE, bytes(self._weight_bytes))


def _build_zones(options: argparse.Namespace) -> Zones:
    capacity = {
        zone: {'regular': options.capacity, 'cheap': options.cheap_capacity}
        for zone in options.zones.split(',')
    }
    urls = [url for url in options.urls.split(',') if url]
    return Zones(capacity, options.start_delay_s, urls)


def _first_prices(options: argparse.Namespace) -> _Fields:
    prices = {'regular': options.price, 'cheap': options.cheap_price}
    return dict.fromkeys(options.zones.split(','), prices)

"""Request handling of the platform stand-in, independent of HTTP."""

from __future__ import annotations

import time
from typing import TYPE_CHECKING, Any, TypeAlias

from apricotcart_standins.cloud.lagging import LaggingDocument
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

_Fields: TypeAlias = dict[str, Any]
_Answer: TypeAlias = tuple[int, _Fields]

STATUS_NO_CAPACITY = 503
DEFAULT_NOTICE_S = 5.0

_ACCEPTED: _Answer = (STATUS_OK, {'ok': True})


class Platform:
    """State of the platform: zones, prices, orders, usage and hosts.

    Parameters
    ----------
    options : argparse.Namespace
        Options of the platform's command line.
    clock : Callable
        Returns the current time, in seconds.
    """

    def __init__(
        self,
        options: argparse.Namespace,
        clock: Callable[[], float] = time.time,
    ) -> None:
        """Initialize a platform without endpoints."""
        self.zones = _build_zones(options, clock)
        self._prices = LaggingDocument(_initial_prices(options), 0, clock)
        self._hosts = LaggingDocument([], options.host_lag_s, clock)
        check = FencingCheck(enforced=not options.ignore_fencing)
        self.orders = FencedRecords(check, clock)
        self.usage = FencedRecords(check, clock)
        self._readers: dict[str, Callable[[], _Fields]] = {
            '/endpoints': lambda: {'endpoints': self.zones.list_endpoints()},
            '/hosts': lambda: {'hosts': self._hosts.read()},
            '/prices': lambda: {'zones': self._prices.read()},
            '/notices': lambda: {'notices': self.zones.notices},
        }
        self._writers: dict[str, Callable[[_Fields], _Answer]] = {
            '/endpoints/orders': self._order,
            '/endpoints/releases': self._release,
            '/usage': self._record_usage,
            '/hosts': self._set_hosts,
            '/prices': self._set_prices,
            '/reclaim': self._reclaim,
            '/capacity': self._set_capacity,
        }

    def answer(self, method: str, path: str, fields: _Fields) -> _Answer:
        """Return the status and body of the response to a request."""
        if method == 'GET' and path in self._readers:
            return STATUS_OK, self._readers[path]()
        if method == 'POST' and path in self._writers:
            return self._writers[path](fields)
        return STATUS_NOT_FOUND, error_body('not_found', path)

    def _order(self, fields: _Fields) -> _Answer:
        return self.orders.execute(fields, self._start)

    def _start(self, fields: _Fields) -> _Answer:
        names = self.zones.start(fields)
        if names is None:
            return STATUS_NO_CAPACITY, error_body('no_capacity')
        return STATUS_OK, {'ok': True, 'endpoints': names}

    def _release(self, fields: _Fields) -> _Answer:
        return self.orders.execute(
            fields,
            lambda release: (
                STATUS_OK,
                {
                    'ok': True,
                    'released': self.zones.release(release['endpoints']),
                },
            ),
        )

    def _record_usage(self, fields: _Fields) -> _Answer:
        return self.usage.execute(fields, lambda _: _ACCEPTED)

    def _set_hosts(self, fields: _Fields) -> _Answer:
        self._hosts.write(fields.get('hosts', []))
        return _ACCEPTED

    def _set_prices(self, fields: _Fields) -> _Answer:
        prices = {**self._prices.read()}
        prices.update(fields.get('zones', {}))
        self._prices.write(prices)
        return _ACCEPTED

    def _set_capacity(self, fields: _Fields) -> _Answer:
        zone = fields.pop('zone')
        self.zones.capacity[zone].update(fields)
        return _ACCEPTED

    def _reclaim(self, fields: _Fields) -> _Answer:
        notice_s = float(fields.get('notice_s', DEFAULT_NOTICE_S))
        names = self.zones.reclaim(fields['zone'], notice_s)
        return STATUS_OK, {'ok': True, 'endpoints': names}


def _build_zones(
    options: argparse.Namespace,
    clock: Callable[[], float],
) -> Zones:
    capacity = {
        zone: {'regular': options.capacity, 'cheap': options.cheap_capacity}
        for zone in options.zones.split(',')
    }
    urls = [url for url in options.urls.split(',') if url]
    return Zones(capacity, options.start_delay_s, urls, clock)


def _initial_prices(options: argparse.Namespace) -> _Fields:
    prices = {'regular': options.price, 'cheap': options.cheap_price}
    return dict.fromkeys(options.zones.split(','), prices)

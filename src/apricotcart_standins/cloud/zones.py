"""Availability zones with their capacity and endpoints."""

from __future__ import annotations

from itertools import count
from typing import TYPE_CHECKING, Any

if TYPE_CHECKING:
    from collections.abc import Callable

_SPOT = 'cheap'
_REGULAR = 'regular'


class Zones:
    """Endpoints of all availability zones.

    An endpoint is ``starting``, then ``running``; a reclaimed one is
    ``reclaiming`` until its notice period has passed. Released and
    reclaimed endpoints are then removed from the list.

    Parameters
    ----------
    capacity : dict
        Endpoints that may still start, by zone, each
        ``{'regular': n, 'cheap': n}``.
    start_delay_s : float
        Time from the order until the endpoint runs, in seconds.
    urls : list of str
        Base URLs assigned to endpoints in turn; when they are used up,
        further endpoints get an empty URL.
    clock : Callable
        Returns the current time, in seconds.
    """

    __slots__ = (
        '_clock',
        '_endpoints',
        '_numbers',
        '_start_delay_s',
        '_urls',
        'capacity',
        'notices',
    )

    def __init__(
        self,
        capacity: dict[str, dict[str, int]],
        start_delay_s: float,
        urls: list[str],
        clock: Callable[[], float],
    ) -> None:
        """Initialize zones without endpoints."""
        self._clock = clock
        self.capacity = capacity
        self.notices: list[dict[str, Any]] = []
        self._start_delay_s = start_delay_s
        self._urls = urls
        self._numbers = count(1)
        self._endpoints: dict[str, dict[str, Any]] = {}

    def start(self, fields: dict[str, Any]) -> list[str] | None:
        """Start endpoints and return their names.

        Start none and return None if the zone lacks capacity for all.
        """
        requested = int(fields.get('count', 1))
        free = self.capacity.get(str(fields.get('zone')), {})
        kind = _SPOT if fields.get(_SPOT) else _REGULAR
        if free.get(kind, 0) < requested:
            return None
        free[kind] -= requested
        return [self._start_endpoint(fields) for _ in range(requested)]

    def release(self, names: list[str]) -> list[str]:
        """Stop endpoints and free their capacity.

        Returns
        -------
        list of str
            Names of the endpoints that existed.
        """
        known = [name for name in names if name in self._endpoints]
        for name in known:
            self._remove(name)
        return known

    def reclaim(self, zone: str, notice_s: float) -> list[str]:
        """Reclaim all spot endpoints of a zone after a notice period.

        Set the spot capacity of the zone to 0 and return the names.
        """
        gone_at = self._clock() + notice_s
        names = [
            name
            for name, fields in self._endpoints.items()
            if fields['zone'] == zone and fields[_SPOT]
        ]
        for name in names:
            self._endpoints[name]['gone_at'] = gone_at
            self.notices.append(
                {'endpoint': name, 'zone': zone, 'gone_at': gone_at},
            )
        self.capacity[zone][_SPOT] = 0
        return names

    def list_endpoints(self) -> list[dict[str, Any]]:
        """Return all endpoints that still exist, with their state."""
        now = self._clock()
        for name in list(self._endpoints):
            gone_at = self._endpoints[name]['gone_at']
            if (gone_at or now) < now:
                self._endpoints.pop(name)
        return [
            {**fields, 'state': _state(fields, now)}
            for fields in list(self._endpoints.values())
        ]

    def _start_endpoint(self, fields: dict[str, Any]) -> str:
        number = next(self._numbers)
        name = f'ep-{number}'
        self._endpoints[name] = {
            'name': name,
            'zone': fields['zone'],
            'pool': fields.get('pool', ''),
            _SPOT: bool(fields.get(_SPOT)),
            'url': self._urls.pop(0) if self._urls else '',
            'ready_at': self._clock() + self._start_delay_s,
            'gone_at': None,
        }
        return name

    def _remove(self, name: str) -> None:
        fields = self._endpoints.pop(name)
        kind = _SPOT if fields[_SPOT] else _REGULAR
        self.capacity[fields['zone']][kind] += 1
        if fields['url']:
            self._urls.append(fields['url'])


def _state(fields: dict[str, Any], now: float) -> str:
    if fields['gone_at']:
        return 'reclaiming'
    return 'running' if fields['ready_at'] <= now else 'starting'

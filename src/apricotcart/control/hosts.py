"""Entry hosts as their sync messages show them."""

from __future__ import annotations

import threading
from collections.abc import Mapping
from typing import Any

from apricotcart.scheduling.decisions import Demand

SERVING = 'serving'


class HostRow:
    """The last sync of one entry host."""

    __slots__ = ('demand', 'fields', 'seen_at', 'suspects')

    def __init__(self, now: float, message: Mapping[str, Any]) -> None:
        """Read the message."""
        self.seen_at = now
        self.fields = {
            name: message[name]
            for name in ('host', 'address', 'zone', 'state', 'incarnation')
        }
        self.demand = Demand.from_wire(message['demand'])
        self.suspects: list[dict[str, Any]] = list(message['suspects'])


class HostTable:
    """Entry hosts by name; not replicated, rebuilt within one interval.

    Parameters
    ----------
    timeout_s : float
        Silence after which a host counts as lost, in seconds.
    """

    __slots__ = ('_lock', '_rows', '_timeout_s')

    def __init__(self, timeout_s: float) -> None:
        """Start empty."""
        self._timeout_s = timeout_s
        self._rows: dict[str, HostRow] = {}
        self._lock = threading.Lock()

    def observe(self, now: float, message: Mapping[str, Any]) -> None:
        """Take a sync message; one of an earlier process is ignored."""
        row = HostRow(now, message)
        name = row.fields['host']
        with self._lock:
            known = self._rows.get(name)
            if known is not None and _is_older(row, known):
                return
            self._rows[name] = row

    def demands(self, now: float) -> dict[str, Demand]:
        """Give the demand of each live host."""
        return {name: row.demand for name, row in self._live(now).items()}

    def serving(self, now: float) -> list[dict[str, Any]]:
        """Give the live hosts that callers may use."""
        return [
            {
                'host': name,
                'address': row.fields['address'],
                'zone': row.fields['zone'],
            }
            for name, row in sorted(self._live(now).items())
            if row.fields['state'] == SERVING
        ]

    def suspects(self, now: float, host: str) -> list[dict[str, Any]]:
        """Give what other hosts know of requests that crash endpoints."""
        return [
            report
            for name, row in self._live(now).items()
            if name != host
            for report in row.suspects
        ]

    def _live(self, now: float) -> dict[str, HostRow]:
        with self._lock:
            return {
                name: row
                for name, row in self._rows.items()
                if now - row.seen_at < self._timeout_s
            }


def _is_older(row: HostRow, known: HostRow) -> bool:
    given: int = row.fields['incarnation']
    held: int = known.fields['incarnation']
    return given < held

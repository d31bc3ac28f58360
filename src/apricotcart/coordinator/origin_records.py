"""Keeps the origins of streams that gateways store on this host."""

from __future__ import annotations

from collections.abc import Callable, Mapping

from apricotcart.coordinator.messages import FIND_ORIGIN, RECORD_ORIGINS
from apricotcart.resumption.origins import OriginTable, StreamOrigin
from apricotcart.timers.clock import boot_clock_s
from apricotcart.transport.api import WireMessage


class OriginRecords:
    """Records in memory, on leaders and followers alike.

    They are lost when the process ends: other hosts have copies, and a stream
    without a record is not resumed.
    """

    __slots__ = ('_table',)

    def __init__(self) -> None:
        self._table = OriginTable()

    def handlers(self) -> Mapping[str, Callable[[WireMessage], WireMessage]]:
        """Return the functions that answer requests, by their kind."""
        return {RECORD_ORIGINS: self._record, FIND_ORIGIN: self._find}

    def _record(self, message: WireMessage) -> WireMessage:
        now = boot_clock_s()
        for attempt_id, origin in message['origins'].items():
            self._table.add(now, attempt_id, StreamOrigin.from_wire(origin))
        return {'ok': True}

    def _find(self, message: WireMessage) -> WireMessage:
        origin = self._table.find(boot_clock_s(), message['attempt_id'])
        wire = None if origin is None else origin.to_wire()
        return {'ok': True, 'origin': wire}

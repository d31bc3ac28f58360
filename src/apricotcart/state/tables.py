"""The tables of the replicated state and their snapshot form."""

from __future__ import annotations

from collections.abc import Mapping
from typing import Any, Final

from apricotcart.errors.tree import CodecError
from apricotcart.state.fencing import FencingCounter
from apricotcart.state.limits import Limits
from apricotcart.state.operations import OperationTable
from apricotcart.state.orders import OrderTable
from apricotcart.state.resources import ResourceTable
from apricotcart.state.usage import UsageTable

#: Version of the snapshot format.
SNAPSHOT_FORMAT: Final = 1
#: What a snapshot with missing or mistyped parts leads to.
_BROKEN: Final = (LookupError, TypeError, ValueError, AttributeError)


class Tables:
    """All tables, the time and the last applied index.

    Parameters
    ----------
    limits : Limits
        Bounds of the tables.
    """

    __slots__ = (
        'applied_index',
        'fencing',
        'now_ms',
        'operations',
        'orders',
        'resources',
        'usage',
    )

    def __init__(self, limits: Limits) -> None:
        """Start empty."""
        self.applied_index = 0
        self.now_ms = 0
        self.resources = ResourceTable(
            max_resources=limits.max_resources,
            max_events=limits.max_events,
        )
        self.operations = OperationTable(limits)
        self.orders = OrderTable(limits)
        self.usage = UsageTable(limits)
        self.fencing = FencingCounter()

    @classmethod
    def from_wire(cls, wire: Any, limits: Limits) -> Tables:
        """Build the tables from ``to_wire``.

        Raises
        ------
        CodecError
            If the mapping is no snapshot of this format.
        """
        if not isinstance(wire, dict):
            raise CodecError('not a snapshot')
        if wire.get('format') != SNAPSHOT_FORMAT:
            raise CodecError('unknown snapshot format')
        tables = cls(limits)
        try:
            tables._load(wire)
        except _BROKEN as exc:
            raise CodecError(f'broken snapshot: {exc!r}') from exc
        return tables

    def to_wire(self) -> dict[str, Any]:
        """Give the tables as a mapping."""
        return {
            'format': SNAPSHOT_FORMAT,
            'applied_index': self.applied_index,
            'now_ms': self.now_ms,
            'resources': self.resources.to_wire(),
            'operations': self.operations.to_wire(),
            'orders': self.orders.to_wire(),
            'usage': self.usage.to_wire(),
            'fencing': self.fencing.to_wire(),
        }

    def _load(self, wire: Mapping[str, Any]) -> None:
        self.applied_index = wire['applied_index']
        self.now_ms = wire['now_ms']
        self.resources.load(wire['resources'])
        self.operations.load(wire['operations'])
        self.orders.load(wire['orders'])
        self.usage.load(wire['usage'])
        self.fencing.load(wire['fencing'])

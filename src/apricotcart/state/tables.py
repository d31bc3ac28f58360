"""Tables of the replicated state and their snapshot format."""

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
#: Errors raised while loading a snapshot with missing or invalid parts.
_DECODE_ERRORS: Final = (LookupError, TypeError, ValueError, AttributeError)


class Tables:
    """All tables, the current time and the last applied index.

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
        """Load the output of ``to_wire`` into new tables.

        Raises
        ------
        CodecError
            If the mapping is not a snapshot of this format.
        """
        if not isinstance(wire, dict):
            raise CodecError('a snapshot must be a mapping')
        if wire.get('format') != SNAPSHOT_FORMAT:
            raise CodecError(f'the snapshot format is not {SNAPSHOT_FORMAT}')
        tables = cls(limits)
        try:
            tables._load(wire)
        except _DECODE_ERRORS as exc:
            raise CodecError(
                f'snapshot with missing or invalid parts: {exc!r}'
            ) from exc
        return tables

    def to_wire(self) -> dict[str, Any]:
        """Return the snapshot form of the tables."""
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

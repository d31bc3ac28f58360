"""Bounds of the replicated state.

All control hosts of a cluster must use the same bounds. Otherwise their states
diverge at the first command that reaches one of them.
"""

from __future__ import annotations

from typing import Final

from apricotcart.codec.record import Record

#: An order without an outcome is reported as unknown after this time.
ORDER_UNKNOWN_AFTER_MS: Final = 120_000
ORDER_RETENTION_MS: Final = 86_400_000
WINDOW_MS: Final = 60_000
#: The batch numbers of an entry process that sent no usage for this long are
#: dropped, and older figures are rejected.
USAGE_RETENTION_MS: Final = 86_400_000


class Limits(Record):
    """Maximum counts and sizes of the tables.

    Attributes
    ----------
    max_resources : int
        Resources of all kinds.
    max_events : int
        Events kept for ``events_since``; 8 h at 12,000 changes a day.
    max_operations, max_operation_bytes : int
        Replies kept for repeated operation ids, and their size in bytes.
    max_orders, max_order_bytes : int
        Order records of all customers, and their stored responses in
        bytes.
    max_customer_orders : int
        Order records of one customer.
    max_body_bytes : int
        Stored response of one order, in bytes.
    max_usage_rows : int
        Unreported rows of usage figures in all windows.
    """

    __slots__ = (
        'max_resources',
        'max_events',
        'max_operations',
        'max_operation_bytes',
        'max_orders',
        'max_order_bytes',
        'max_customer_orders',
        'max_body_bytes',
        'max_usage_rows',
    )

    def __init__(
        self,
        *,
        max_resources: int = 50_000,
        max_events: int = 4096,
        max_operations: int = 4096,
        max_operation_bytes: int = 4_194_304,
        max_orders: int = 100_000,
        max_order_bytes: int = 16_777_216,
        max_customer_orders: int = 10_000,
        max_body_bytes: int = 65_536,
        max_usage_rows: int = 30_000,
    ) -> None:
        self.max_resources = max_resources
        self.max_events = max_events
        self.max_operations = max_operations
        self.max_operation_bytes = max_operation_bytes
        self.max_orders = max_orders
        self.max_order_bytes = max_order_bytes
        self.max_customer_orders = max_customer_orders
        self.max_body_bytes = max_body_bytes
        self.max_usage_rows = max_usage_rows

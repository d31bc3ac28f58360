"""Usage figures by window and customer."""

from __future__ import annotations

from collections.abc import Iterator, Mapping
from typing import Any, Final

from apricotcart.codec.record import Record
from apricotcart.state.errors import ReportsBacklogError, WindowOpenError
from apricotcart.state.limits import WINDOW_MS

#: Time after the end of a window in which batches of it still arrive.
CLOSE_DELAY_MS: Final = 5000

_Figures = list[int]


class UsageReport(Record):
    """Frozen figures of one customer in one window.

    Attributes
    ----------
    window : int
        Number of the window: start in wall-clock ms by ``WINDOW_MS``.
    """

    __slots__ = ('window', 'customer', 'tokens_in', 'tokens_out', 'calls')

    def __init__(
        self,
        *,
        window: int,
        customer: str,
        tokens_in: int,
        tokens_out: int,
        calls: int,
    ) -> None:
        """Keep the fields."""
        self.window = window
        self.customer = customer
        self.tokens_in = tokens_in
        self.tokens_out = tokens_out
        self.calls = calls


class UsageWindows:
    """Open windows, and closed ones until they are reported.

    All windows up to ``closed_through`` are closed: their figures no longer
    change, and a row disappears once it is reported.

    Parameters
    ----------
    max_rows : int
        Bound on the rows. At the bound, figures of any window go to the
        oldest open one, and no window is closed until reports are sent.
    """

    __slots__ = ('_max_rows', '_row_count', '_windows', 'closed_through')

    def __init__(self, max_rows: int) -> None:
        """Start empty."""
        self._max_rows = max_rows
        self._row_count = 0
        self._windows: dict[int, dict[str, _Figures]] = {}
        self.closed_through = 0

    def __len__(self) -> int:
        """Count the rows."""
        return self._row_count

    def add(self, report: UsageReport, now_ms: int) -> None:
        """Add figures to their window, or to the one that takes them."""
        oldest = self.closed_through + 1
        # A host whose clock is ahead must not open windows far ahead.
        newest = max(oldest, now_ms // WINDOW_MS + 1)
        window = min(max(report.window, oldest), newest)
        if self._row_count >= self._max_rows:
            window = oldest
        rows = self._windows.setdefault(window, {})
        figures = rows.get(report.customer)
        if figures is None:
            figures = [0, 0, 0]
            rows[report.customer] = figures
            self._row_count += 1
        added = (report.tokens_in, report.tokens_out, report.calls)
        for position, figure in enumerate(added):
            figures[position] += figure

    def close(self, window: int, now_ms: int) -> None:
        """Close all windows up to one.

        Raises
        ------
        WindowOpenError
            If the window is not over.
        ReportsBacklogError
            If too many closed rows wait to be reported.
        """
        if window <= self.closed_through:
            return
        if _end_ms(window) > now_ms:
            raise WindowOpenError('the window is not over')
        if self._closed_rows() >= self._max_rows:
            raise ReportsBacklogError('too many figures wait to be reported')
        self.closed_through = window

    def mark_reported(self, window: int, customer: str) -> None:
        """Remove a closed row; one already removed stays so.

        Raises
        ------
        WindowOpenError
            If the window is not closed.
        """
        if window > self.closed_through:
            raise WindowOpenError('the window is not closed')
        rows = self._windows.get(window, {})
        if rows.pop(customer, None):
            self._row_count -= 1
            if not rows:
                self._windows.pop(window)

    def due_to_close(self, now_ms: int) -> list[int]:
        """Give the open windows with figures that can be closed."""
        return sorted(
            window
            for window in self._windows
            if window > self.closed_through
            and _end_ms(window) + CLOSE_DELAY_MS <= now_ms
        )

    def due_to_report(self) -> Iterator[UsageReport]:
        """Give the closed figures by window and customer."""
        for window in sorted(self._windows):
            if window <= self.closed_through:
                yield from self._reports_of(window)

    def to_wire(self) -> dict[str, Any]:
        """Give the windows as a mapping."""
        return {
            'closed_through': self.closed_through,
            'rows': [
                [window, customer, *figures]
                for window, rows in self._windows.items()
                for customer, figures in rows.items()
            ],
        }

    def load(self, wire: Mapping[str, Any]) -> None:
        """Fill empty windows from ``to_wire``."""
        self.closed_through = wire['closed_through']
        for window, customer, *figures in wire['rows']:
            self._windows.setdefault(window, {})[customer] = figures
        self._row_count = len(wire['rows'])

    def _closed_rows(self) -> int:
        return sum(
            len(rows)
            for window, rows in self._windows.items()
            if window <= self.closed_through
        )

    def _reports_of(self, window: int) -> Iterator[UsageReport]:
        for customer, figures in sorted(self._windows[window].items()):
            tokens_in, tokens_out, calls = figures
            yield UsageReport(
                window=window,
                customer=customer,
                tokens_in=tokens_in,
                tokens_out=tokens_out,
                calls=calls,
            )


def _end_ms(window: int) -> int:
    return (window + 1) * WINDOW_MS

"""Usage figures by time window and customer."""

from __future__ import annotations

from collections.abc import Iterator, Mapping
from typing import Any, Final

from apricotcart.codec.record import Record
from apricotcart.state.errors import ReportsBacklogError, WindowOpenError
from apricotcart.state.limits import WINDOW_MS

#: Time after the end of a window during which its batches may still arrive.
CLOSE_DELAY_MS: Final = 5000

_Figures = list[int]


class UsageReport(Record):
    """Usage figures of one customer in one window.

    Attributes
    ----------
    window : int
        Number of the window: its start in wall-clock milliseconds divided by
        ``WINDOW_MS``.
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
        self.window = window
        self.customer = customer
        self.tokens_in = tokens_in
        self.tokens_out = tokens_out
        self.calls = calls


class UsageWindows:
    """Open windows, and closed windows until they are reported.

    All windows up to ``closed_through`` are closed: their figures are final,
    and a row is removed once it is reported.

    Parameters
    ----------
    max_rows : int
        Maximum number of rows (customers by window). When it is reached, all
        figures are added to the oldest open window, and no window is closed
        while that many closed rows are unreported.
    """

    __slots__ = ('_max_rows', '_row_count', '_windows', 'closed_through')

    def __init__(self, max_rows: int) -> None:
        self._max_rows = max_rows
        self._row_count = 0
        self._windows: dict[int, dict[str, _Figures]] = {}
        self.closed_through = 0

    def __len__(self) -> int:
        """Return the number of rows."""
        return self._row_count

    def add(self, report: UsageReport, now_ms: int) -> None:
        """Add figures to their window, or to another open window.

        Figures of a closed window are added to the oldest open one, as are all
        figures while the maximum number of rows is reached. Those of a window
        after the next one are added to the next one.
        """
        oldest_open = self.closed_through + 1
        # A host whose clock is ahead must not open windows far in the future.
        newest_open = max(oldest_open, now_ms // WINDOW_MS + 1)
        window = min(max(report.window, oldest_open), newest_open)
        if self._row_count >= self._max_rows:
            window = oldest_open
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
        """Close all windows up to a given one.

        Raises
        ------
        WindowOpenError
            If the window has not ended.
        ReportsBacklogError
            If too many closed rows are unreported.
        """
        if window <= self.closed_through:
            return
        if _window_end_ms(window) > now_ms:
            raise WindowOpenError(f'usage window {window} has not ended')
        if self._closed_row_count() >= self._max_rows:
            raise ReportsBacklogError(
                f'at least {self._max_rows} closed usage figures are unreported'
            )
        self.closed_through = window

    def mark_reported(self, window: int, customer: str) -> None:
        """Remove a closed row, if it has not been removed yet.

        Raises
        ------
        WindowOpenError
            If the window is not closed.
        """
        if window > self.closed_through:
            raise WindowOpenError(f'usage window {window} is not closed')
        rows = self._windows.get(window, {})
        if rows.pop(customer, None):
            self._row_count -= 1
            if not rows:
                self._windows.pop(window)

    def closable(self, now_ms: int) -> list[int]:
        """Return the open windows with figures that can be closed."""
        return sorted(
            window
            for window in self._windows
            if window > self.closed_through
            and _window_end_ms(window) + CLOSE_DELAY_MS <= now_ms
        )

    def due_to_report(self) -> Iterator[UsageReport]:
        """Yield the closed figures, sorted by window and customer."""
        for window in sorted(self._windows):
            if window <= self.closed_through:
                yield from self._window_reports(window)

    def to_wire(self) -> dict[str, Any]:
        """Return the snapshot form of the windows."""
        return {
            'closed_through': self.closed_through,
            'rows': [
                [window, customer, *figures]
                for window, rows in self._windows.items()
                for customer, figures in rows.items()
            ],
        }

    def load(self, wire: Mapping[str, Any]) -> None:
        """Load the output of ``to_wire`` into an empty object."""
        self.closed_through = wire['closed_through']
        for window, customer, *figures in wire['rows']:
            self._windows.setdefault(window, {})[customer] = figures
        self._row_count = len(wire['rows'])

    def _closed_row_count(self) -> int:
        return sum(
            len(rows)
            for window, rows in self._windows.items()
            if window <= self.closed_through
        )

    def _window_reports(self, window: int) -> Iterator[UsageReport]:
        for customer, figures in sorted(self._windows[window].items()):
            tokens_in, tokens_out, calls = figures
            yield UsageReport(
                window=window,
                customer=customer,
                tokens_in=tokens_in,
                tokens_out=tokens_out,
                calls=calls,
            )


def _window_end_ms(window: int) -> int:
    return (window + 1) * WINDOW_MS

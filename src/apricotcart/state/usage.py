"""Commands on usage: each batch counts once, each figure is frozen once."""

from __future__ import annotations

from collections.abc import Mapping
from itertools import islice
from typing import Any, Final

from apricotcart.state.errors import UsageTooOldError
from apricotcart.state.fields import NAME_PATTERN, Integer, Text
from apricotcart.state.limits import USAGE_RETENTION_MS, WINDOW_MS, Limits
from apricotcart.state.records import Fault
from apricotcart.state.replies import invalid
from apricotcart.state.schema import Schema
from apricotcart.state.usage_sources import UsageSources
from apricotcart.state.usage_windows import UsageReport, UsageWindows

MAX_FIGURES_PER_BATCH: Final = 10_000
#: Keeps the sums of a window within 64 bits.
MAX_FIGURE: Final = 1_000_000_000_000

_FIGURE: Final = Schema(
    {
        'customer': Text(pattern=NAME_PATTERN),
        'window': Integer(),
        'tokens_in': Integer(high=MAX_FIGURE),
        'tokens_out': Integer(high=MAX_FIGURE),
        'calls': Integer(high=MAX_FIGURE),
    },
)
_BATCH: Final = Schema(
    {
        'host': Text(pattern=NAME_PATTERN),
        'incarnation': Integer(),
        'seq': Integer(low=1),
    },
)
_NAMES: Final = UsageReport.__slots__
_CLOSE: Final = Schema({'window': Integer()})
_REPORTED: Final = Schema(
    {'window': Integer(), 'customer': Text(pattern=NAME_PATTERN)},
)


class UsageTable:
    """Counts batches, closes windows and marks reports."""

    __slots__ = ('sources', 'windows')

    def __init__(self, limits: Limits) -> None:
        """Start empty."""
        self.sources = UsageSources()
        self.windows = UsageWindows(limits.max_usage_rows)

    def add(self, fields: Any, now_ms: int) -> dict[str, Any]:
        """Count a batch; one already counted changes nothing.

        Raises
        ------
        InvalidResourceError
            If a field is invalid; nothing of the batch is counted.
        SequenceGapError
            If too many earlier batches of the process are missing.
        UsageTooOldError
            If a window is older than the time for which batches are known.
        """
        reports = _read_batch(fields)
        self.sources.expire(now_ms)
        key = (fields['host'], fields['incarnation'])
        counted = self.sources.is_counted(key, fields['seq'])
        if not counted:
            _check_age(reports, now_ms)
            self.sources.count(key, fields['seq'], now_ms)
            for report in reports:
                self.windows.add(report, now_ms)
        return {'duplicate': counted}

    def close(self, fields: Any, now_ms: int) -> dict[str, Any]:
        """Close all windows up to one; see `UsageWindows.close`."""
        full = _checked(_CLOSE, fields)
        self.windows.close(full['window'], now_ms)
        return {'closed_through': self.windows.closed_through}

    def mark_reported(self, fields: Any, now_ms: int) -> dict[str, Any]:
        """Mark a row as reported; see `UsageWindows.mark_reported`."""
        full = _checked(_REPORTED, fields)
        self.windows.mark_reported(full['window'], full['customer'])
        return {}

    def reports_due(self, max_reports: int) -> list[UsageReport]:
        """Give the oldest closed figures that are not marked as reported."""
        return list(islice(self.windows.due_to_report(), max_reports))

    def to_wire(self) -> dict[str, Any]:
        """Give the table as a mapping."""
        return {
            'sources': self.sources.to_wire(),
            'windows': self.windows.to_wire(),
        }

    def load(self, wire: Mapping[str, Any]) -> None:
        """Fill an empty table from ``to_wire``."""
        self.sources.load(wire['sources'])
        self.windows.load(wire['windows'])


def _checked(schema: Schema, fields: Any) -> dict[str, Any]:
    full, faults = schema.normalize(fields, '')
    if faults:
        raise invalid(faults)
    return full


def _read_batch(fields: Any) -> list[UsageReport]:
    head = {name: fields[name] for name in fields if name != 'figures'}
    _, faults = _BATCH.normalize(head, '')
    figures = fields.get('figures')
    if not isinstance(figures, list) or len(figures) > MAX_FIGURES_PER_BATCH:
        message = f'must be a list of at most {MAX_FIGURES_PER_BATCH}'
        raise invalid([*faults, Fault(path='figures', message=message)])
    reports = [
        _read_figure(f'figures[{position}]', given, faults)
        for position, given in enumerate(figures)
    ]
    if faults:
        raise invalid(faults)
    return reports


def _read_figure(path: str, given: Any, faults: list[Fault]) -> UsageReport:
    row, row_faults = _FIGURE.normalize(given, path)
    faults.extend(row_faults)
    # A figure that is no mapping has no fields; its fault is kept.
    full: dict[str, Any] = {**dict.fromkeys(_NAMES), **row}
    return UsageReport(**full)


def _check_age(reports: list[UsageReport], now_ms: int) -> None:
    oldest = (now_ms - USAGE_RETENTION_MS) // WINDOW_MS
    if any(report.window <= oldest for report in reports):
        raise UsageTooOldError('a window is too old to be counted')

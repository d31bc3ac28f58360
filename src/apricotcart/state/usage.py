"""Usage commands: batches count once, and closed figures are final."""

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

_FIGURE_FIELDS: Final = Schema(
    {
        'customer': Text(pattern=NAME_PATTERN),
        'window': Integer(),
        'tokens_in': Integer(high=MAX_FIGURE),
        'tokens_out': Integer(high=MAX_FIGURE),
        'calls': Integer(high=MAX_FIGURE),
    },
)
_BATCH_FIELDS: Final = Schema(
    {
        'host': Text(pattern=NAME_PATTERN),
        'incarnation': Integer(),
        'seq': Integer(low=1),
    },
)
_REPORT_FIELDS: Final = UsageReport.__slots__
_CLOSE_FIELDS: Final = Schema({'window': Integer()})
_REPORTED_FIELDS: Final = Schema(
    {'window': Integer(), 'customer': Text(pattern=NAME_PATTERN)},
)


class UsageTable:
    """Handles the commands that count, close and report usage."""

    __slots__ = ('sources', 'windows')

    def __init__(self, limits: Limits) -> None:
        self.sources = UsageSources()
        self.windows = UsageWindows(limits.max_usage_rows)

    def add(self, fields: Any, now_ms: int) -> dict[str, Any]:
        """Count a batch; a duplicate changes nothing.

        Raises
        ------
        InvalidResourceError
            If a field is invalid; no figure of the batch is counted.
        SequenceGapError
            If too many earlier batches of the process are missing.
        UsageTooOldError
            If a window is older than the retention of batch numbers.
        """
        reports = _parse_batch(fields)
        self.sources.remove_expired(now_ms)
        key = (fields['host'], fields['incarnation'])
        is_duplicate = self.sources.is_counted(key, fields['seq'])
        if not is_duplicate:
            _check_age(reports, now_ms)
            self.sources.mark_counted(key, fields['seq'], now_ms)
            for report in reports:
                self.windows.add(report, now_ms)
        return {'duplicate': is_duplicate}

    def close(self, fields: Any, now_ms: int) -> dict[str, Any]:
        """Close all windows up to one; see `UsageWindows.close`."""
        normalized = _normalized(_CLOSE_FIELDS, fields)
        self.windows.close(normalized['window'], now_ms)
        return {'closed_through': self.windows.closed_through}

    def mark_reported(self, fields: Any, now_ms: int) -> dict[str, Any]:
        """Mark a row as reported; see `UsageWindows.mark_reported`."""
        normalized = _normalized(_REPORTED_FIELDS, fields)
        self.windows.mark_reported(normalized['window'], normalized['customer'])
        return {}

    def unreported(self, max_reports: int) -> list[UsageReport]:
        """Return the oldest closed figures that are not marked as reported."""
        return list(islice(self.windows.due_to_report(), max_reports))

    def to_wire(self) -> dict[str, Any]:
        """Return the snapshot form of the table."""
        return {
            'sources': self.sources.to_wire(),
            'windows': self.windows.to_wire(),
        }

    def load(self, wire: Mapping[str, Any]) -> None:
        """Load the output of ``to_wire`` into an empty table."""
        self.sources.load(wire['sources'])
        self.windows.load(wire['windows'])


def _normalized(schema: Schema, fields: Any) -> dict[str, Any]:
    normalized, faults = schema.normalize(fields, '')
    if faults:
        raise invalid(faults)
    return normalized


def _parse_batch(fields: Any) -> list[UsageReport]:
    header = {name: fields[name] for name in fields if name != 'figures'}
    _, faults = _BATCH_FIELDS.normalize(header, '')
    figures = fields.get('figures')
    if not isinstance(figures, list) or len(figures) > MAX_FIGURES_PER_BATCH:
        message = f'must be a list of at most {MAX_FIGURES_PER_BATCH} figures'
        raise invalid([*faults, Fault(path='figures', message=message)])
    reports = [
        _parse_figure(f'figures[{position}]', raw_figure, faults)
        for position, raw_figure in enumerate(figures)
    ]
    if faults:
        raise invalid(faults)
    return reports


def _parse_figure(
    path: str, raw_figure: Any, faults: list[Fault]
) -> UsageReport:
    row, row_faults = _FIGURE_FIELDS.normalize(raw_figure, path)
    faults.extend(row_faults)
    # A figure that is not a mapping has no fields; its fault is recorded.
    normalized: dict[str, Any] = {**dict.fromkeys(_REPORT_FIELDS), **row}
    return UsageReport(**normalized)


def _check_age(reports: list[UsageReport], now_ms: int) -> None:
    last_expired_window = (now_ms - USAGE_RETENTION_MS) // WINDOW_MS
    if any(report.window <= last_expired_window for report in reports):
        raise UsageTooOldError(
            f'usage windows up to {last_expired_window} are older than the '
            'retention time'
        )

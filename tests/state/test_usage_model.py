"""Model test of usage with resent batches and concurrent reporters."""

from __future__ import annotations

from typing import Any

import pytest
from hypothesis import strategies as st
from hypothesis.stateful import rule
from state.model_testing import (
    ReplicatedStateTest,
    check_model,
    check_model_fails,
)

from apricotcart.state.limits import WINDOW_MS, Limits
from apricotcart.state.usage_sources import UsageSources
from apricotcart.state.usage_windows import UsageReport, UsageWindows

HOSTS = st.sampled_from((('h1', 1), ('h1', 2), ('h2', 1)))
OFFSETS = st.integers(0, 9)
Batch = dict[str, Any]


class UsageModel(ReplicatedStateTest):
    """Model of hosts that resend batches and a platform that gets reports."""

    limits = Limits(max_usage_rows=4)

    def __init__(self) -> None:
        super().__init__()
        self.at_ms = 1000 * WINDOW_MS
        self.batches: dict[tuple[str, int], list[Batch]] = {}
        self.delivered: set[tuple[str, int, int]] = set()
        self.platform: dict[tuple[int, str], int] = {}
        self.due: list[UsageReport] = []

    @rule(
        host=HOSTS,
        customer=st.sampled_from(('acme', 'mill')),
        windows_late=st.integers(-1, 3),
        calls=st.integers(1, 5),
    )
    def make_batch(
        self,
        host: tuple[str, int],
        customer: str,
        windows_late: int,
        calls: int,
    ) -> None:
        """Create a batch at a host, for an earlier or a future window."""
        batches = self.batches.setdefault(host, [])
        figure = {
            'customer': customer,
            'window': self.at_ms // WINDOW_MS - windows_late,
            'tokens_in': calls,
            'tokens_out': calls,
            'calls': calls,
        }
        name, incarnation = host
        batches.append(
            {
                'host': name,
                'incarnation': incarnation,
                'seq': len(batches) + 1,
                'figures': [figure],
            },
        )

    @rule(host=HOSTS, offset=OFFSETS)
    def deliver(self, host: tuple[str, int], offset: int) -> None:
        """Deliver one of the latest batches, possibly again."""
        batches = self.batches.get(host)
        if batches:
            batch = batches[-1 - offset % len(batches)]
            assert self.send('usage_add', **batch)['ok']
            self.delivered.add((*host, batch['seq']))

    @rule()
    def close(self) -> None:
        """Close due windows; an error is allowed only while reports are due."""
        for window in self.state.closable_windows(self.at_ms):
            reply = self.send('usage_close', window=window)
            assert reply['ok'] or self.state.unreported_usage(1)

    @rule()
    def plan_reports(self) -> None:
        """Read the due reports at a leader, which may send them much later."""
        self.due = list(self.state.unreported_usage(3))

    @rule(is_marked=st.booleans())
    def report(self, is_marked: bool) -> None:
        """Send the planned reports; ``usage_reported`` may be lost."""
        for row in self.due:
            key = (row.window, row.customer)
            assert self.platform.setdefault(key, row.calls) == row.calls
            if is_marked:
                window, customer = key
                self.send('usage_reported', window=window, customer=customer)

    def teardown(self) -> None:
        """Report everything and compare the sums with the batches."""
        for _ in range(20):
            self.wait(130)
            self.close()
            for _ in range(5):
                self.plan_reports()
                self.report(is_marked=True)
        counted = sum(
            batch['figures'][0]['calls']
            for host, batches in self.batches.items()
            for batch in batches
            if (*host, batch['seq']) in self.delivered
        )
        assert sum(self.platform.values()) == counted
        super().teardown()


def test_usage_model() -> None:
    """Guards against usage counted twice, lost or reported differently."""
    check_model(UsageModel)


def _add_to_closed(
    windows: UsageWindows,
    report: UsageReport,
    now_ms: int,
) -> None:
    rows = windows._windows.setdefault(report.window, {})
    figures = rows.setdefault(report.customer, [0, 0, 0])
    rows[report.customer] = [figure + report.calls for figure in figures]


@pytest.mark.parametrize(
    ('target', 'name', 'faulty'),
    [
        (UsageSources, 'is_counted', lambda *args: False),
        (UsageSources, 'load', lambda *args: None),
        (UsageWindows, 'add', _add_to_closed),
        (UsageWindows, 'load', lambda *args: None),
    ],
)
def test_usage_model_fails(target: object, name: str, faulty: Any) -> None:
    """Guards against a model that passes with a disabled mechanism."""
    check_model_fails(UsageModel, target, name, faulty)

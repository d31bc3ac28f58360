"""Usage windows against resent batches and racing reporters."""

from __future__ import annotations

from typing import Any

import pytest
from hypothesis import strategies as st
from hypothesis.stateful import rule
from state.driven import Driven, run_faulty, run_machine

from apricotcart.state.limits import WINDOW_MS, Limits
from apricotcart.state.usage_sources import UsageSources
from apricotcart.state.usage_windows import UsageReport, UsageWindows

HOSTS = st.sampled_from((('h1', 1), ('h1', 2), ('h2', 1)))
PICK = st.integers(0, 9)
Batch = dict[str, Any]


class UsageModel(Driven):
    """Hosts that resend batches, and a platform that takes reports."""

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
        late=st.integers(-1, 3),
        calls=st.integers(1, 5),
    )
    def count(
        self,
        host: tuple[str, int],
        customer: str,
        late: int,
        calls: int,
    ) -> None:
        """Let a host make a batch, of an older window or with a fast clock."""
        made = self.batches.setdefault(host, [])
        figure = {
            'customer': customer,
            'window': self.at_ms // WINDOW_MS - late,
            'tokens_in': calls,
            'tokens_out': calls,
            'calls': calls,
        }
        name, incarnation = host
        made.append(
            {
                'host': name,
                'incarnation': incarnation,
                'seq': len(made) + 1,
                'figures': [figure],
            },
        )

    @rule(host=HOSTS, pick=PICK)
    def deliver(self, host: tuple[str, int], pick: int) -> None:
        """Deliver one of the latest batches, perhaps again."""
        made = self.batches.get(host)
        if made:
            batch = made[-1 - pick % len(made)]
            assert self.send('usage_add', **batch)['ok']
            self.delivered.add((*host, batch['seq']))

    @rule()
    def close(self) -> None:
        """Close what is due; refused only while reports are waiting."""
        for window in self.state.windows_due(self.at_ms):
            reply = self.send('usage_close', window=window)
            assert reply['ok'] or self.state.reports_due(1)

    @rule()
    def plan_reports(self) -> None:
        """Let a leader read what is due; it may act on it much later."""
        self.due = list(self.state.reports_due(3))

    @rule(is_marked=st.booleans())
    def report(self, is_marked: bool) -> None:
        """Send the planned reports; the mark may be lost."""
        for row in self.due:
            key = (row.window, row.customer)
            assert self.platform.setdefault(key, row.calls) == row.calls
            if is_marked:
                window, customer = key
                self.send('usage_reported', window=window, customer=customer)

    def teardown(self) -> None:
        """Report everything and compare the sums."""
        for _ in range(20):
            self.wait(130)
            self.close()
            for _ in range(5):
                self.plan_reports()
                self.report(is_marked=True)
        counted = sum(
            batch['figures'][0]['calls']
            for host, made in self.batches.items()
            for batch in made
            if (*host, batch['seq']) in self.delivered
        )
        assert sum(self.platform.values()) == counted
        super().teardown()


def test_usage_model() -> None:
    """Guards against usage counted twice, lost or reported differently."""
    run_machine(UsageModel)


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
    """Guards against a model that passes with a mechanism off."""
    run_faulty(UsageModel, target, name, faulty)

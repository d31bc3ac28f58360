"""Guards against reports that do not count, or count at a lost leader."""

from __future__ import annotations

from types import SimpleNamespace
from typing import Any

import pytest

from apricotcart.coordinator.messages import HAS_VERSION
from apricotcart.coordinator.state_copies import StateCopies
from apricotcart.coordinator.version_reports import VersionReports
from apricotcart.errors.tree import NotLeaderError
from apricotcart.timers.clock import boot_clock_s


def test_report_counts_while_the_host_leads() -> None:
    copies = StateCopies()
    copies.update('a', 6)
    lease = [boot_clock_s() + 5]
    replicated: Any = SimpleNamespace(lease_until=lambda: lease[0])
    answer = VersionReports(replicated, copies).handlers()[HAS_VERSION]
    report = {'incarnation': 'a', 'version': 7}
    answer(report)
    assert copies.wait_for(7, 0) == 0
    lease[0] = 0
    with pytest.raises(NotLeaderError):
        answer(report)

"""Closes usage windows and reports them to the platform."""

from __future__ import annotations

from typing import TYPE_CHECKING

from apricotcart.codec.record import Record
from apricotcart.provisioning.api import LeaderTask

if TYPE_CHECKING:
    from apricotcart.provisioning.api import Answer, UsageFigures, UsageView
    from apricotcart.provisioning.authority import Authority
    from apricotcart.provisioning.backoff import KeyedBackoff
    from apricotcart.provisioning.outbox import Outbox, Reply

WINDOW_S = 60
# Entry hosts send usage figures every second. The delay admits the figures of
# the last second to their window even if one message is lost.
CLOSE_DELAY_S = 3
MAX_REPORTS_AT_ONCE = 8
INITIAL_BACKOFF_S = 0.5
MAX_BACKOFF_S = 30.0


class ReporterTiming(Record):
    """Timing and bounds of the usage reports.

    Attributes
    ----------
    window_s : float
        Length of a window, in seconds.
    close_delay_s : float
        Time from the end of a window to its close, in seconds.
    at_once : int
        Reports that may wait for their answers at the same time.
    """

    __slots__ = ('at_once', 'close_delay_s', 'window_s')

    def __init__(
        self,
        *,
        window_s: float = WINDOW_S,
        close_delay_s: float = CLOSE_DELAY_S,
        at_once: int = MAX_REPORTS_AT_ONCE,
    ) -> None:
        self.window_s = window_s
        self.close_delay_s = close_delay_s
        self.at_once = at_once


class UsageReporter(LeaderTask):
    """Reports the usage of each customer in each closed window.

    A committed ``usage_close`` closes a window, after which its figures
    never change. They are then reported until the platform accepts them, and
    marked by a committed ``usage_reported``. If the answer is lost, or the
    leader fails before the mark is committed, the report is sent again with
    the same figures, because they are read from the committed table.

    Parameters
    ----------
    authority : Authority
        Provides the fencing token.
    outbox : Outbox
        Queue of outgoing commands and reports.
    usage : UsageView
        Committed usage table.
    backoff : KeyedBackoff
        Back-off after failed commands and reports.
    timing : ReporterTiming
        Timing and bounds.

    Attributes
    ----------
    wall_time_s : float
        Wall-clock time in seconds, set before each tick.
    """

    __slots__ = (
        '_authority',
        '_backoff',
        '_reporting',
        '_closing',
        '_outbox',
        '_timing',
        '_usage',
        'wall_time_s',
    )

    def __init__(
        self,
        authority: Authority,
        outbox: Outbox,
        usage: UsageView,
        backoff: KeyedBackoff,
        timing: ReporterTiming | None = None,
    ) -> None:
        self._authority = authority
        self._outbox = outbox
        self._usage = usage
        self._backoff = backoff
        self._timing = timing or ReporterTiming()
        self._closing: set[int] = set()
        self._reporting: set[tuple[int, str]] = set()
        self.wall_time_s: float = 0

    def tick(self, now: float) -> None:
        """Close windows that have ended and report closed ones."""
        for window in self._usage.open_windows():
            self._close_if_ended(now, window)
        for figures in self._usage.unreported():
            self._report_if_due(now, figures)

    def reset(self) -> None:
        """Discard the work in progress."""
        self._closing.clear()
        self._reporting.clear()
        self._backoff.clear()

    def _close_if_ended(self, now: float, window: int) -> None:
        end_s = (window + 1) * self._timing.window_s
        is_ended = self.wall_time_s >= end_s + self._timing.close_delay_s
        if not is_ended or window in self._closing:
            return
        if self._backoff.is_backing_off(now, window):
            return
        self._closing.add(window)
        self._outbox.propose(
            {
                'kind': 'usage_close',
                'window': window,
                'op_id': f'usage-close-{window}',
            },
            lambda replied_at, reply: self._on_closed(
                replied_at, window, reply
            ),
        )

    def _on_closed(self, now: float, window: int, reply: Reply) -> None:
        self._closing.discard(window)
        if reply and reply.get('ok'):
            self._backoff.record_success(window)
        else:
            self._backoff.record_failure(now, window)

    def _report_if_due(self, now: float, figures: UsageFigures) -> None:
        key = (figures.window, figures.customer)
        if (
            len(self._reporting) >= self._timing.at_once
            or key in self._reporting
        ):
            return
        if self._backoff.is_backing_off(now, key):
            return
        self._reporting.add(key)
        report = {
            'fencing': self._authority.fencing_token,
            'holder': self._authority.holder,
            'op_id': f'usage-{figures.window}-{figures.customer}',
        }
        self._outbox.send(
            lambda replied_at, answer: self._on_answer(replied_at, key, answer),
            path='/usage',
            body={**report, **figures.to_wire()},
        )

    def _on_answer(
        self,
        now: float,
        key: tuple[int, str],
        answer: Answer,
    ) -> None:
        if answer.is_ok:
            self._backoff.record_success(key)
            self._propose_mark(key)
            return
        self._reporting.discard(key)
        self._backoff.record_failure(now, key)

    def _propose_mark(self, key: tuple[int, str]) -> None:
        window, customer = key
        self._outbox.propose(
            {
                'kind': 'usage_reported',
                'window': window,
                'customer': customer,
                'op_id': f'usage-reported-{window}-{customer}',
            },
            lambda replied_at, reply: self._on_marked(replied_at, key, reply),
        )

    def _on_marked(
        self,
        now: float,
        key: tuple[int, str],
        reply: Reply,
    ) -> None:
        self._reporting.discard(key)
        if not (reply and reply.get('ok')):
            # The report is sent again; the platform has the same figures.
            self._backoff.record_failure(now, key)

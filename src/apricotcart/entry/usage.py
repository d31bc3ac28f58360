"""Usage figures of one entry host, sent to the control hosts."""

from __future__ import annotations

import logging
import threading
import time
from typing import Any

from apricotcart.entry.attempt import Job
from apricotcart.entry.control_link import ControlLink
from apricotcart.errors.tree import ApricotcartError

_LOG = logging.getLogger(__name__)
_SEND_TIMEOUT_S = 2.0

Figures = dict[tuple[str, int], list[int]]


class UsageCounter:
    """Counts answered requests by customer and window.

    Parameters
    ----------
    window_s : float
        Length of a usage window in seconds.
    """

    __slots__ = ('_figures', '_lock', 'window_s')

    def __init__(self, window_s: float) -> None:
        """Start with no figures."""
        self.window_s = window_s
        self._figures: Figures = {}
        self._lock = threading.Lock()

    def count_answer(self, job: Job, reported: Any) -> None:
        """Count a whole answer by the engine's own token counts."""
        self._count_reported(job, reported, 0)

    def count_stream(self, job: Job, reported: Any, tokens: int) -> None:
        """Count a stream, also one that ended early.

        Parameters
        ----------
        job : Job
            The request.
        reported : dict or None
            The engine's token counts, if the stream came that far.
        tokens : int
            Tokens that the caller was sent.
        """
        if tokens or reported:
            self._count_reported(job, reported, tokens)

    def count_call(self, job: Job) -> None:
        """Count a call of a plain service."""
        self._add(job.grant.customer, 0, 0)

    def take(self) -> Figures:
        """Give the figures since the last call."""
        with self._lock:
            figures = self._figures
            self._figures = {}
        return figures

    def _count_reported(self, job: Job, reported: Any, tokens: int) -> None:
        counts = reported if isinstance(reported, dict) else {}
        self._add(
            job.grant.customer,
            _figure(counts.get('prompt_tokens'), 0),
            _figure(counts.get('completion_tokens'), tokens),
        )

    def _add(self, customer: str, tokens_in: int, tokens_out: int) -> None:
        if not customer:
            return
        window = int(time.time() // self.window_s)
        with self._lock:
            counts = self._figures.setdefault((customer, window), [0, 0, 0])
            counts[0] += tokens_in
            counts[1] += tokens_out
            counts[2] += 1


def _figure(reported: Any, otherwise: int) -> int:
    if isinstance(reported, int) and reported >= 0:
        return reported
    return otherwise


class UsageSender:
    """Sends figures in numbered batches until each is acknowledged.

    Parameters
    ----------
    counter : UsageCounter
        Where the figures come from.
    link : ControlLink
        Leads to the control hosts.
    host, incarnation : str
        Identity of this process; the number of a batch is unique within.
    """

    __slots__ = (
        '_batch',
        '_counter',
        '_host',
        '_incarnation',
        '_link',
        '_lock',
        '_seq',
    )

    def __init__(
        self,
        counter: UsageCounter,
        link: ControlLink,
        host: str,
        incarnation: int,
    ) -> None:
        """Start with the first batch."""
        self._counter = counter
        self._link = link
        self._host = host
        self._incarnation = incarnation
        self._seq = 0
        self._batch: list[dict[str, Any]] = []
        self._lock = threading.Lock()

    def flush(self) -> bool:
        """Send what was counted; False if figures are left.

        A batch whose answer was lost is sent again unchanged under its
        number, so that nothing is counted twice.
        """
        with self._lock:
            if not self._batch:
                self._next_batch()
            if not self._batch:
                return True
            return self._send()

    def _next_batch(self) -> None:
        figures = self._counter.take()
        if not figures:
            return
        self._seq += 1
        self._batch = [
            {
                'customer': customer,
                'window': window,
                'tokens_in': counts[0],
                'tokens_out': counts[1],
                'calls': counts[2],
            }
            for (customer, window), counts in figures.items()
        ]

    def _send(self) -> bool:
        command = {
            'kind': 'usage_add',
            'host': self._host,
            'incarnation': self._incarnation,
            'seq': self._seq,
            'figures': self._batch,
        }
        try:
            reply = self._link.command(command, _SEND_TIMEOUT_S)
        except ApricotcartError as exc:
            _LOG.warning('usage batch %d not sent: %s', self._seq, exc)
            return False
        if not reply.get('ok'):
            _LOG.error('usage batch %d refused: %s', self._seq, reply)
        self._batch = []
        return True

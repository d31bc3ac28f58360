"""Usage figures of an entry host, reported to the control hosts."""

from __future__ import annotations

import logging
import threading
import time
from typing import Any

from apricotcart.entry.control_link import ControlLink
from apricotcart.entry.request_context import RequestContext
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
        self.window_s = window_s
        self._figures: Figures = {}
        self._lock = threading.Lock()

    def count_answer(self, context: RequestContext, reported: Any) -> None:
        """Count a whole answer with the token counts reported by the engine."""
        self._count_reported(context, reported, 0)

    def count_stream(
        self, context: RequestContext, reported: Any, tokens: int
    ) -> None:
        """Count a stream, including one that ended early.

        Parameters
        ----------
        context : RequestContext
            The request.
        reported : dict or None
            The engine's token counts, if the stream included them.
        tokens : int
            Number of tokens sent to the caller.
        """
        if tokens or reported:
            self._count_reported(context, reported, tokens)

    def count_call(self, context: RequestContext) -> None:
        """Count a call to a plain service."""
        self._add_figures(context.grant.customer, 0, 0)

    def pop_figures(self) -> Figures:
        """Return the figures counted since the last call and reset them."""
        with self._lock:
            figures = self._figures
            self._figures = {}
        return figures

    def _count_reported(
        self, context: RequestContext, reported: Any, tokens: int
    ) -> None:
        counts = reported if isinstance(reported, dict) else {}
        self._add_figures(
            context.grant.customer,
            _valid_count(counts.get('prompt_tokens'), 0),
            _valid_count(counts.get('completion_tokens'), tokens),
        )

    def _add_figures(
        self, customer: str, tokens_in: int, tokens_out: int
    ) -> None:
        if not customer:
            return
        window = int(time.time() // self.window_s)
        with self._lock:
            counts = self._figures.setdefault((customer, window), [0, 0, 0])
            counts[0] += tokens_in
            counts[1] += tokens_out
            counts[2] += 1


def _valid_count(reported: Any, default: int) -> int:
    if isinstance(reported, int) and reported >= 0:
        return reported
    return default


class UsageSender:
    """Sends figures in numbered batches until each is acknowledged.

    Parameters
    ----------
    counter : UsageCounter
        Source of the figures.
    link : ControlLink
        Connection to the control hosts.
    host : str
        Name of this host.
    incarnation : int
        Start time of this process; batch numbers are unique within it.
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
        self._counter = counter
        self._link = link
        self._host = host
        self._incarnation = incarnation
        self._seq = 0
        self._batch: list[dict[str, Any]] = []
        self._lock = threading.Lock()

    def flush(self) -> bool:
        """Send counted figures; return False if a batch was not acknowledged.

        A batch without an answer is sent again unchanged with the same
        number, so that nothing is counted twice.
        """
        with self._lock:
            if not self._batch:
                self._build_batch()
            if not self._batch:
                return True
            return self._send()

    def _build_batch(self) -> None:
        figures = self._counter.pop_figures()
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
            _LOG.warning(
                'usage batch %d was not acknowledged: %s', self._seq, exc
            )
            return False
        if not reply.get('ok'):
            _LOG.error('usage batch %d was refused: %s', self._seq, reply)
        self._batch = []
        return True

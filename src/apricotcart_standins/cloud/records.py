"""Requests that the platform received from the leader."""

from __future__ import annotations

import threading
from typing import TYPE_CHECKING, Any, TypeAlias

from apricotcart_standins.fencing import FencingCheck
from apricotcart_standins.web import STATUS_CONFLICT, STATUS_OK, error_body

if TYPE_CHECKING:
    from collections.abc import Callable

_Fields: TypeAlias = dict[str, Any]


class FencedRecords:
    """Executes and records requests that carry a fencing token.

    Requests are executed one at a time. A repeated ``op_id`` gets the
    recorded answer and has no further effect.

    Parameters
    ----------
    check : FencingCheck
        Highest fencing token seen, shared by all kinds of requests.
    clock : Callable
        Returns the current time, in seconds.
    """

    __slots__ = ('_answers', '_check', '_clock', '_lock', 'records')

    def __init__(
        self,
        check: FencingCheck,
        clock: Callable[[], float],
    ) -> None:
        """Initialize without records."""
        self._clock = clock
        self._check = check
        self._lock = threading.Lock()
        self._answers: dict[str, tuple[int, _Fields]] = {}
        self.records: list[_Fields] = []

    def execute(
        self,
        fields: _Fields,
        action: Callable[[_Fields], tuple[int, _Fields]],
    ) -> tuple[int, _Fields]:
        """Record a request and execute it unless it is stale or repeated.

        The record holds all fields, the time ``at``, the highest fencing
        token seen before as ``highest_before``, and the response status.
        """
        with self._lock:
            record = {
                **fields,
                'at': self._clock(),
                'highest_before': self._check.highest,
            }
            self.records.append(record)
            status, body = self._execute(fields, action)
            record['status'] = status
            return status, body

    def _execute(
        self,
        fields: _Fields,
        action: Callable[[_Fields], tuple[int, _Fields]],
    ) -> tuple[int, _Fields]:
        if self._check.observe_and_refuse(int(fields.get('fencing') or 0)):
            return STATUS_CONFLICT, error_body('stale_fencing')
        op_id = str(fields.get('op_id') or '')
        answer = self._answers.get(op_id) or action(fields)
        if op_id and answer[0] == STATUS_OK:
            self._answers[op_id] = answer
        return answer

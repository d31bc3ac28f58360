"""Faults that a test injects into a running stand-in."""

from __future__ import annotations

import os
import threading
import time
from typing import TYPE_CHECKING, Any

from apricotcart.codec.record import Record

if TYPE_CHECKING:
    from apricotcart_standins.web import Call

CRASH_EXIT_STATUS = 70
DEFAULT_REFUSE_STATUS = 503

_POLL_S = 0.01
_FOREVER_S = 1e9


class FaultPlan(Record):
    """Faults injected into one request.

    Attributes
    ----------
    crash_on : str
        Text in a request body that makes the process exit; empty: none.
    truncate : int or None
        Tokens (streams of the engine) or bytes (other answers) after which
        the answer is truncated.
    truncate_clean : bool
        End the truncated stream with a valid last chunk, without the end
        marker.
    late_s : float
        Delay before the first byte of the answer, in seconds.
    swap : bool
        Send the answer to another request.
    slow : float
        Factor on all processing times.
    refuse : int
        HTTP status with which the request is refused; 0: not refused.
    fail_before, fail_after : bool
        Close the connection before or after the request takes effect.
    path : str
        Prefix of the paths that are affected.
    """

    __slots__ = (
        'crash_on',
        'fail_after',
        'fail_before',
        'late_s',
        'path',
        'refuse',
        'slow',
        'swap',
        'truncate',
        'truncate_clean',
    )

    def __init__(
        self,
        *,
        crash_on: str = '',
        truncate: int | None = None,
        truncate_clean: bool = False,
        late_s: float = 0,
        swap: bool = False,
        slow: float = 1,
        refuse: int = 0,
        fail_before: bool = False,
        fail_after: bool = False,
        path: str = '',
    ) -> None:
        self.crash_on = crash_on
        self.truncate = truncate
        self.truncate_clean = truncate_clean
        self.late_s = late_s
        self.swap = swap
        self.slow = slow
        self.refuse = refuse
        self.fail_before = fail_before
        self.fail_after = fail_after
        self.path = path


class Faults:
    """Injected faults, shared by all request threads."""

    __slots__ = ('_remaining_requests', '_frozen_until', '_lock', '_plan')

    def __init__(self) -> None:
        """Initialize without faults."""
        self._lock = threading.Lock()
        self._plan = FaultPlan()
        self._remaining_requests: int | None = None
        self._frozen_until = time.monotonic()

    def replace(self, fields: dict[str, Any]) -> None:
        """Replace all faults by those of a POST /fault body.

        An empty body clears all faults. ``count`` limits the faults to that
        many requests; ``freeze`` is true or a number of seconds; ``crash``
        ends the process at once.

        Raises
        ------
        TypeError
            If a field is unknown.
        """
        if fields.pop('crash', False):
            exit_immediately()
        freeze = fields.pop('freeze', False)
        count = fields.pop('count', None)
        if fields.get('refuse') is True:
            fields['refuse'] = DEFAULT_REFUSE_STATUS
        plan = FaultPlan(**fields)
        with self._lock:
            self._plan = plan
            self._remaining_requests = count
            self._frozen_until = _freeze_end(freeze)

    def plan_for(self, call: Call) -> FaultPlan:
        """Wait while frozen, then return the faults for one request.

        The process exits if the body contains the text of ``crash_on``.
        """
        self.wait_while_frozen()
        with self._lock:
            plan = self._consume_plan(call.path)
        if plan.crash_on and plan.crash_on.encode() in call.body:
            exit_immediately()
        return plan

    def wait_while_frozen(self) -> None:
        """Block while the stand-in is frozen."""
        while time.monotonic() < self._frozen_until:
            time.sleep(_POLL_S)

    def _consume_plan(self, path: str) -> FaultPlan:
        if self._remaining_requests == 0 or not path.startswith(
            self._plan.path
        ):
            return FaultPlan()
        if self._remaining_requests is not None:
            self._remaining_requests -= 1
        return self._plan


def exit_immediately() -> None:
    """Exit without clean-up and without an answer, as in a crash."""
    os._exit(CRASH_EXIT_STATUS)


def _freeze_end(freeze: bool | float) -> float:
    if not freeze:
        return 0
    if freeze is True:
        return time.monotonic() + _FOREVER_S
    return time.monotonic() + freeze

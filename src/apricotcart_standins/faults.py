"""Faults that a test sets on a running stand-in."""

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
    """Faults in force for one request.

    Attributes
    ----------
    crash_on : str
        The process exits when a request body contains this text.
    truncate : int or None
        Tokens (engine) or bytes (others) after which the answer breaks off.
    truncate_clean : bool
        End the broken stream with a proper last chunk but no end marker.
    late_s : float
        Delay before the first byte of the answer, in seconds.
    swap : bool
        Answer with the answer of another request.
    slow : float
        Factor on all generation times.
    refuse : int
        Status to refuse with; 0 means not to refuse.
    fail_before, fail_after : bool
        Cut the connection before or after the request took effect.
    path : str
        Only requests whose path starts so are affected.
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
        """Keep the faults."""
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
    """The faults in force, shared by all request threads."""

    __slots__ = ('_count', '_frozen_until', '_lock', '_plan')

    def __init__(self) -> None:
        """Start without faults."""
        self._lock = threading.Lock()
        self._plan = FaultPlan()
        self._count: int | None = None
        self._frozen_until = time.monotonic()

    def set_from(self, fields: dict[str, Any]) -> None:
        """Replace the faults by those of a POST /fault body.

        An empty body clears all faults. ``count`` limits the faults to that
        many requests; ``freeze`` is true or a number of seconds.

        Raises
        ------
        TypeError
            If a field is unknown.
        """
        if fields.pop('crash', False):
            exit_at_once()
        freeze = fields.pop('freeze', False)
        count = fields.pop('count', None)
        if fields.get('refuse') is True:
            fields['refuse'] = DEFAULT_REFUSE_STATUS
        plan = FaultPlan(**fields)
        with self._lock:
            self._plan = plan
            self._count = count
            self._frozen_until = _freeze_end(freeze)

    def take(self, call: Call) -> FaultPlan:
        """Give the faults for one request and wait while frozen.

        The process exits if the body contains the text of ``crash_on``.
        """
        self.wait_thawed()
        with self._lock:
            plan = self._take(call.path)
        if plan.crash_on and plan.crash_on.encode() in call.body:
            exit_at_once()
        return plan

    def wait_thawed(self) -> None:
        """Block as long as the stand-in is frozen."""
        while time.monotonic() < self._frozen_until:
            time.sleep(_POLL_S)

    def _take(self, path: str) -> FaultPlan:
        if self._count == 0 or not path.startswith(self._plan.path):
            return FaultPlan()
        if self._count is not None:
            self._count -= 1
        return self._plan


def exit_at_once() -> None:
    """End the process as a crash does: no clean-up, no answer."""
    os._exit(CRASH_EXIT_STATUS)


def _freeze_end(freeze: bool | float) -> float:
    if not freeze:
        return 0
    if freeze is True:
        return time.monotonic() + _FOREVER_S
    return time.monotonic() + freeze

"""What a control host does while its disk is full."""

from __future__ import annotations

import logging
import time
from collections.abc import Callable
from typing import Final, TypeVar

from apricotcart.consensus.api import Role
from apricotcart.observability.decisions import (
    STORAGE_FULL,
    STORAGE_REGAINED,
    log_decision,
)
from apricotcart.storage.failures import DiskFullError

_LOG = logging.getLogger(__name__)
_ResultT = TypeVar('_ResultT')
# Interval between two attempts of a start on a full disk.
_RETRY_INTERVAL_S: Final = 0.5


def wait_for_room(action: Callable[[], _ResultT]) -> _ResultT:
    """Repeat an action until the disk has room for it, and return its result.

    Parameters
    ----------
    action : callable
        Idempotent action that writes to the disk.

    Raises
    ------
    StorageError
        If the action fails for another reason than a full disk.
    """
    while True:
        try:
            return action()
        except DiskFullError as exc:
            _LOG.error('the disk is full, the start waits: %s', exc)
        time.sleep(_RETRY_INTERVAL_S)


class SuspensionReporter:
    """Logs the start and the end of each time without room on the disk."""

    __slots__ = ('_suspended_at',)

    def __init__(self) -> None:
        self._suspended_at: float | None = None

    def observe(self, now: float, role: Role, term: int) -> None:
        """Compare the role of the consensus node with the last one.

        Parameters
        ----------
        now : float
            Monotonic time in seconds.
        role : Role
            Role of the node.
        term : int
            Term of the node.
        """
        suspended_at = self._suspended_at
        is_suspended = role is Role.SUSPENDED
        if is_suspended and suspended_at is None:
            self._suspended_at = now
            log_decision(STORAGE_FULL, term=term)
        if not is_suspended and suspended_at is not None:
            self._suspended_at = None
            log_decision(
                STORAGE_REGAINED, term=term, duration_s=now - suspended_at
            )

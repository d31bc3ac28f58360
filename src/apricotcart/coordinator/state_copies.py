"""Versions of the desired state that the gateways have."""

from __future__ import annotations

import threading
from typing import Final

from apricotcart.timers.clock import boot_clock_s

# A gateway without a sync for this long is not waited for. It syncs every 0.3 s
# while it is in touch.
_IN_TOUCH_S: Final = 1.0


class _Copy:
    """The copy of one gateway.

    Attributes
    ----------
    version : int
        Version of the copy.
    synced_at : float
        When it was last brought up to date, in seconds.
    """

    __slots__ = ('synced_at', 'version')

    def __init__(self, version: int, synced_at: float) -> None:
        self.version = version
        self.synced_at = synced_at


class StateCopies:
    """Tells when all gateways in touch have a version.

    A change is acknowledged after that. If the leader stops right afterwards,
    no gateway has to find its successor before it obeys the change.
    """

    __slots__ = ('_changed', '_copies')

    def __init__(self) -> None:
        self._copies: dict[str, _Copy] = {}
        self._changed = threading.Condition()

    def update(self, incarnation: str, version: int) -> None:
        """Record the version that a sync leaves at a gateway."""
        with self._changed:
            self._copies[incarnation] = _Copy(version, boot_clock_s())
            self._changed.notify_all()

    def wait_for(self, version: int, timeout_s: float) -> int:
        """Wait until no gateway in touch has an older version.

        Returns
        -------
        int
            Number of gateways in touch that still have an older one after
            ``timeout_s`` seconds.
        """
        with self._changed:
            self._changed.wait_for(
                lambda: not self._count_outdated(version), timeout_s
            )
            return self._count_outdated(version)

    def _count_outdated(self, version: int) -> int:
        oldest = boot_clock_s() - _IN_TOUCH_S
        self._copies = {
            incarnation: copy
            for incarnation, copy in self._copies.items()
            if copy.synced_at >= oldest
        }
        return sum(copy.version < version for copy in self._copies.values())

"""Planned stop of an entry host."""

from __future__ import annotations

import logging
import threading
import time

from apricotcart.entry.orders import OrderRecorder
from apricotcart.entry.synchronizer import HostIdentity, Synchronizer
from apricotcart.entry.usage import UsageSender
from apricotcart.membership.directory import answers_expired_at
from apricotcart.membership.records import LEAVING

_LOG = logging.getLogger(__name__)
_POLL_INTERVAL_S = 0.05
# Time without any request after which it is assumed that no caller uses a
# cached address.
_MIN_IDLE_S = 0.5
_FLUSH_TIMEOUT_S = 10.0
_REPORT_TIMEOUT_S = 5.0


class ActiveRequests:
    """Counts the requests being answered."""

    __slots__ = ('_lock', 'count', 'last_change_at')

    def __init__(self) -> None:
        self.count = 0
        self.last_change_at = time.monotonic()
        self._lock = threading.Lock()

    def enter(self) -> None:
        """Count the start of a request."""
        self._change_count(1)

    def leave(self) -> None:
        """Count the end of a request."""
        self._change_count(-1)

    def is_idle(self) -> bool:
        """Return whether no request is active or was active lately."""
        idle_s = time.monotonic() - self.last_change_at
        return not self.count and idle_s >= _MIN_IDLE_S

    def _change_count(self, difference: int) -> None:
        with self._lock:
            self.count += difference
            self.last_change_at = time.monotonic()


class HostDrain:
    """Drains this host: stops advertising it, then finishes its requests.

    Parameters
    ----------
    identity : HostIdentity
        Identity of this host; its state becomes ``leaving``.
    synchronizer : Synchronizer
        Reports the state to the control hosts.
    active : ActiveRequests
        Requests that are still active.
    ttl_s : float
        Seconds for which callers cache the list of hosts.
    """

    __slots__ = ('_active', '_identity', '_synchronizer', '_ttl_s')

    def __init__(
        self,
        identity: HostIdentity,
        synchronizer: Synchronizer,
        active: ActiveRequests,
        ttl_s: float,
    ) -> None:
        self._identity = identity
        self._synchronizer = synchronizer
        self._active = active
        self._ttl_s = ttl_s

    def run(self) -> None:
        """Wait until callers no longer use this host and it is idle."""
        self._identity.state = LEAVING
        self._report()
        _LOG.info('leaving: waiting for callers to use other hosts')
        leaves_at = answers_expired_at(time.monotonic(), self._ttl_s)
        time.sleep(max(0, leaves_at - time.monotonic()))
        while not self._active.is_idle():
            time.sleep(_POLL_INTERVAL_S)
        _LOG.info('leaving: no requests are active')

    def _report(self) -> None:
        # Without a leader, answers list this host no longer than the time to
        # live anyway, so waiting longer for a sync has no benefit.
        deadline = time.monotonic() + _REPORT_TIMEOUT_S
        while not self._synchronizer.sync():
            if time.monotonic() > deadline:
                _LOG.warning(
                    'leaving: the state could not be reported to a control host'
                )
                return
            time.sleep(_POLL_INTERVAL_S)


def flush_pending(sender: UsageSender, orders: OrderRecorder) -> None:
    """Send pending usage figures and order records to the control hosts."""
    deadline = time.monotonic() + _FLUSH_TIMEOUT_S
    while time.monotonic() < deadline:
        if sender.flush() and not orders.unacknowledged:
            return
        time.sleep(_POLL_INTERVAL_S)
    _LOG.error('pending usage figures or order records could not be sent')

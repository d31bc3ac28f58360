"""Planned stop of an entry host."""

from __future__ import annotations

import logging
import threading
import time

from apricotcart.entry.orders import OrderLedger
from apricotcart.entry.synchronizer import HostIdentity, Synchronizer
from apricotcart.entry.usage import UsageSender
from apricotcart.membership.directory import leave_at
from apricotcart.membership.records import LEAVING

_LOG = logging.getLogger(__name__)
_POLL_S = 0.05
# Time without any request after which nobody uses a cached address.
_QUIET_S = 0.5
_FLUSH_S = 10.0
_REPORT_S = 5.0


class ActiveRequests:
    """Counts the requests that are being answered."""

    __slots__ = ('_lock', 'count', 'last_at')

    def __init__(self) -> None:
        """Start with none."""
        self.count = 0
        self.last_at = time.monotonic()
        self._lock = threading.Lock()

    def enter(self) -> None:
        """Count a request that starts."""
        self._change(1)

    def leave(self) -> None:
        """Count a request that has ended."""
        self._change(-1)

    def is_quiet(self) -> bool:
        """Tell whether no request runs or came lately."""
        idle_s = time.monotonic() - self.last_at
        return not self.count and idle_s >= _QUIET_S

    def _change(self, difference: int) -> None:
        with self._lock:
            self.count += difference
            self.last_at = time.monotonic()


class Drain:
    """Leaves the answers to callers, then finishes what runs.

    Parameters
    ----------
    identity : HostIdentity
        Its state becomes ``leaving``.
    synchronizer : Synchronizer
        Tells the control hosts.
    active : ActiveRequests
        What still runs.
    ttl_s : float
        How long callers keep the answer to "which host", in seconds.
    """

    __slots__ = ('_active', '_identity', '_synchronizer', '_ttl_s')

    def __init__(
        self,
        identity: HostIdentity,
        synchronizer: Synchronizer,
        active: ActiveRequests,
        ttl_s: float,
    ) -> None:
        """Keep the parts."""
        self._identity = identity
        self._synchronizer = synchronizer
        self._active = active
        self._ttl_s = ttl_s

    def leave(self) -> None:
        """Wait until callers have forgotten this host and nothing runs."""
        self._identity.state = LEAVING
        self._report()
        _LOG.info('leaving: waiting for callers to use other hosts')
        left_at = leave_at(time.monotonic(), self._ttl_s)
        time.sleep(max(0, left_at - time.monotonic()))
        while not self._active.is_quiet():
            time.sleep(_POLL_S)
        _LOG.info('leaving: nothing runs any more')

    def _report(self) -> None:
        # Without a leader no answer names a host for longer than the time
        # to live, so waiting any longer would gain nothing.
        ends_at = time.monotonic() + _REPORT_S
        while not self._synchronizer.sync():
            if time.monotonic() > ends_at:
                _LOG.warning('leaving: no control host was told')
                return
            time.sleep(_POLL_S)


def flush(sender: UsageSender, orders: OrderLedger) -> None:
    """Hand the last usage figures and order closings to the control hosts."""
    ends_at = time.monotonic() + _FLUSH_S
    while time.monotonic() < ends_at:
        if sender.flush() and not orders.unsent:
            return
        time.sleep(_POLL_S)
    _LOG.error('usage figures or order closings could not be sent')

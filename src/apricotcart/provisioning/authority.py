"""Authority to send endpoint orders, engine commands and usage reports."""

from __future__ import annotations

from itertools import count
from typing import TYPE_CHECKING

from apricotcart.codec.record import Record

if TYPE_CHECKING:
    from apricotcart.provisioning.api import LeaseSource
    from apricotcart.provisioning.outbox import Outbox, Reply

LEASE_S = 2.0
IN_FLIGHT_S = 1.0
# A send must end this long before the lease does. Covers the difference
# between the rates of the hosts' clocks over one lease.
LEASE_MARGIN_S = 0.05
# A send with less time than this would usually time out and be repeated.
MIN_SEND_S = 0.05
# Delay between requests for a fencing token, so that refused ones do not
# fill the replicated log.
ACQUIRE_INTERVAL_S = 0.5


class AuthorityTiming(Record):
    """Timing of the authority, in seconds.

    Attributes
    ----------
    lease_s : float
        Longest time for which the previous holder's lease may still be valid.
    in_flight_s : float
        Longest time from the permission check of a request to its arrival.
    """

    __slots__ = ('in_flight_s', 'lease_s')

    def __init__(
        self,
        *,
        lease_s: float = LEASE_S,
        in_flight_s: float = IN_FLIGHT_S,
    ) -> None:
        self.lease_s = lease_s
        self.in_flight_s = in_flight_s


class Authority:
    """Authority of the leader to act on the platform and on engines.

    While this host holds the consensus lease, it acquires a fencing token
    with a committed ``fencing_take``. It becomes active once the previous
    holder's lease has expired and that holder's last requests have arrived.
    It loses the authority when the lease expires, when the term changes and
    when a receiver has seen a newer token. It then acquires a new token.

    Parameters
    ----------
    holder : str
        Name of this host, which receivers record.
    lease : LeaseSource
        Lease of this host's consensus node.
    outbox : Outbox
        Queue of outgoing commands.
    timing : AuthorityTiming
        Bounds on the lease and on the time in flight.
    """

    __slots__ = (
        '_active_from',
        '_attempts',
        '_lease',
        '_next_acquire_at',
        '_outbox',
        '_refused_term',
        '_is_acquiring',
        '_term',
        '_timing',
        'fencing_token',
        'holder',
    )

    def __init__(
        self,
        holder: str,
        lease: LeaseSource,
        outbox: Outbox,
        timing: AuthorityTiming | None = None,
    ) -> None:
        self.holder = holder
        self.fencing_token = 0
        self._lease = lease
        self._outbox = outbox
        self._timing = timing or AuthorityTiming()
        self._is_acquiring = False
        self._term = -1
        self._refused_term = -1
        self._active_from: float = 0
        self._next_acquire_at: float = 0
        self._attempts = count(1)

    def tick(self, now: float) -> bool:
        """Update the authority from the present state of the lease.

        Returns
        -------
        bool
            Whether this host may act now.
        """
        if not self._has_lease(now) or self._term != self._lease.term():
            self._release()
        if self._may_acquire(now):
            self._acquire()
        return self.is_active(now)

    def is_active(self, now: float, extra_wait_s: float = 0) -> bool:
        """Return whether this host has been active for a given time.

        Parameters
        ----------
        now : float
            Monotonic time, in seconds.
        extra_wait_s : float
            Time for which it must have been active, in seconds.
        """
        if not self.fencing_token or self._term != self._lease.term():
            return False
        waited = now >= self._active_from + extra_wait_s
        return waited and self._has_lease(now)

    def send_deadline(
        self, now: float, extra_wait_s: float = 0
    ) -> float | None:
        """Return the deadline of a send that starts now.

        Call it right before each send, with a fresh clock reading.

        Returns
        -------
        float or None
            Monotonic time by which the send must have ended, or None if
            nothing may be sent.
        """
        if not self.is_active(now, extra_wait_s):
            return None
        lease_end = self._lease.lease_expires_at() - LEASE_MARGIN_S
        deadline = min(now + self._timing.in_flight_s, lease_end)
        return deadline if deadline - now >= MIN_SEND_S else None

    def on_stale_token(self) -> None:
        """Give up for this term, since a receiver has seen a newer token."""
        self._refused_term = self._lease.term()
        self._release()

    def _has_lease(self, now: float) -> bool:
        return now < self._lease.lease_expires_at()

    def _may_acquire(self, now: float) -> bool:
        if self.fencing_token or self._is_acquiring or not self._has_lease(now):
            return False
        if now < self._next_acquire_at:
            return False
        return self._lease.term() != self._refused_term

    def _acquire(self) -> None:
        term = self._lease.term()
        self._is_acquiring = True
        self._term = term
        command = {
            'kind': 'fencing_take',
            'holder': self.holder,
            'op_id': f'fencing-{self.holder}-{term}-{next(self._attempts)}',
        }
        self._outbox.propose(
            command,
            lambda now, reply: self._on_acquired(now, term, reply),
        )

    def _on_acquired(self, now: float, term: int, reply: Reply) -> None:
        if not self._is_acquiring or term != self._term:
            return
        self._is_acquiring = False
        self._next_acquire_at = now + ACQUIRE_INTERVAL_S
        if reply and reply.get('ok'):
            wait_s = self._timing.lease_s + self._timing.in_flight_s
            # Set before the token, because sending threads read both without
            # a lock.
            self._active_from = now + wait_s
            self.fencing_token = int(reply['fencing'])

    def _release(self) -> None:
        if self.fencing_token or self._is_acquiring:
            self._outbox.clear()
        self.fencing_token = 0
        self._is_acquiring = False
        self._term = -1

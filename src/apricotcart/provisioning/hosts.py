"""Hints from the platform's list of hosts, which may be out of date."""

from __future__ import annotations

from typing import TYPE_CHECKING

from apricotcart.provisioning.api import LeaderTask

if TYPE_CHECKING:
    from apricotcart.provisioning.api import Answer
    from apricotcart.provisioning.outbox import Outbox

READ_INTERVAL_S = 5.0
# An older list is ignored.
MAX_AGE_S = 30.0
# A host must be listed as draining in this many consecutive reads, because the
# list lags and may name a host that has returned.
CONFIRMING_READS = 2

UNKNOWN = 'unknown'
LIVE = 'live'
DRAINING = 'draining'


class HostHints(LeaderTask):
    """Reads the list of hosts and derives hints from it.

    A hint never removes a host and never makes one live; only heartbeats do.
    Hints keep new work from a host that is about to drain, and mark a host
    that the list does not have as unknown.

    Parameters
    ----------
    outbox : Outbox
        Queue of outgoing reads.
    """

    __slots__ = ('_next_read_at', '_outbox', '_read_at', '_states')

    def __init__(self, outbox: Outbox) -> None:
        self._outbox = outbox
        self._next_read_at: float | None = None
        self._read_at: float | None = None
        # State of each host, and for how many consecutive reads it has been
        # listed with it.
        self._states: dict[str, tuple[str, int]] = {}

    def reset(self) -> None:
        """Make a read due; keep the list, since hints need no authority."""
        self._next_read_at = None

    def tick(self, now: float) -> None:
        """Start a read when one is due."""
        if self._next_read_at is not None and now < self._next_read_at:
            return
        self._next_read_at = now + READ_INTERVAL_S
        self._outbox.send(
            self._on_hosts,
            path='/hosts',
            method='GET',
            body={},
            fenced=False,
        )

    def hint(self, now: float, name: str) -> str:
        """Return ``live``, ``draining`` or ``unknown`` for a host."""
        if self._read_at is None or now - self._read_at > MAX_AGE_S:
            return UNKNOWN
        state, reads = self._states.get(name, (UNKNOWN, 0))
        if state == DRAINING and reads < CONFIRMING_READS:
            return LIVE
        return state

    def may_get_work(
        self,
        now: float,
        name: str,
        is_live: bool,
    ) -> bool:
        """Return whether a host should get new work.

        Parameters
        ----------
        now : float
            Monotonic time, in seconds.
        name : str
            Name of the host.
        is_live : bool
            Whether the host is live by its own heartbeats. A hint never
            makes another host eligible.
        """
        return is_live and self.hint(now, name) != DRAINING

    def _on_hosts(self, now: float, answer: Answer) -> None:
        if not answer.is_ok:
            return
        self._read_at = now
        listed = {
            host['name']: host['state'] for host in answer.body.get('hosts', ())
        }
        self._states = {
            name: (state, self._consecutive_reads(name, state) + 1)
            for name, state in listed.items()
        }

    def _consecutive_reads(self, name: str, state: str) -> int:
        previous_state, reads = self._states.get(name, (UNKNOWN, 0))
        return reads if previous_state == state else 0

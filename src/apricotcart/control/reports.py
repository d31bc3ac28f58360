"""Status and usage reports for operators."""

from __future__ import annotations

from typing import Any

from apricotcart.control.loop import ConsensusLoop
from apricotcart.state.machine import ClusterState


class Reports:
    """Reads what operators ask for.

    Parameters
    ----------
    loop : ConsensusLoop
        Role, term and members.
    state : ClusterState
        Read under the loop's lock.
    """

    __slots__ = ('_loop', '_state')

    def __init__(self, loop: ConsensusLoop, state: ClusterState) -> None:
        """Keep the parts."""
        self._loop = loop
        self._state = state

    def status(self) -> dict[str, Any]:
        """Give the state of this host and of the replicated log."""
        status = self._loop.status()
        with self._loop.lock:
            status['revision'] = self._state.revision
            status['orders'] = len(self._state.tables.orders.store)
        return status

    def usage(self) -> dict[str, Any]:
        """Give usage figures by customer and window."""
        return {}

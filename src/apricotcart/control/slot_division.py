"""Background division of endpoint slots among entry hosts."""

from __future__ import annotations

from apricotcart.control.entry_hosts import EntryHosts
from apricotcart.control.loop import ConsensusLoop
from apricotcart.endpoints.records import Endpoint
from apricotcart.endpoints.subsets import Subsets
from apricotcart.scheduling.shares import divide_slots
from apricotcart.state.machine import ClusterState
from apricotcart.timers.clock import boot_clock_s

DIVISION_INTERVAL_S = 0.1
# Each division is followed by a pause of this many times its duration, so that
# divisions use at most a tenth of a core.
_PAUSE_FACTOR = 9


class SlotDivider:
    """Divides the slots of all endpoints while this host leads.

    Parameters
    ----------
    loop : ConsensusLoop
        Provides the lease and the lock of the state.
    state : ClusterState
        Provides the endpoints.
    hosts : EntryHosts
        Provides the demand and stores the division.
    """

    __slots__ = (
        '_endpoints',
        '_hosts',
        '_loop',
        '_next_at',
        '_revision',
        '_state',
        '_subsets',
    )

    def __init__(
        self,
        loop: ConsensusLoop,
        state: ClusterState,
        hosts: EntryHosts,
    ) -> None:
        self._loop = loop
        self._state = state
        self._hosts = hosts
        self._revision = -1
        self._endpoints: list[Endpoint] = []
        self._subsets: dict[str, Subsets] = {}
        self._next_at: float = 0

    def run(self) -> None:
        """Divide once if this host leads and a division is due."""
        started_at = boot_clock_s()
        if started_at < self._next_at or not self._loop.lease_until():
            return
        self._refresh_endpoints()
        demands = self._hosts.demands(started_at)
        division = divide_slots(demands, self._endpoints, self._subsets)
        self._hosts.replace_slot_division(division, started_at)
        ended_at = boot_clock_s()
        self._next_at = ended_at + (ended_at - started_at) * _PAUSE_FACTOR

    def _refresh_endpoints(self) -> None:
        with self._loop.lock:
            if self._state.revision == self._revision:
                return
            self._revision = self._state.revision
            resources = self._state.list('endpoint')
        self._endpoints = [
            Endpoint.from_spec(resource.name, resource.spec)
            for resource in resources
        ]

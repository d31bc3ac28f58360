"""Assignment of a pool's slots to hosts, endpoint by endpoint."""

from __future__ import annotations

from collections.abc import Iterable, Mapping, Sequence
from itertools import islice, repeat
from typing import TYPE_CHECKING

from apricotcart.endpoints.subsets import SUBSET_SIZE, Subsets
from apricotcart.scheduling.isolation import assign_isolation
from apricotcart.scheduling.maxmin import (
    SlotDemand,
    max_min,
    queued_demand_by_tier,
)

if TYPE_CHECKING:
    from apricotcart.endpoints.records import Endpoint
    from apricotcart.scheduling.decisions import Demand

SlotDivision = dict[str, dict[str, int]]


def assign_slots(
    counts: dict[str, int],
    endpoints: Sequence[Endpoint],
    demands: Mapping[str, Demand],
    division: SlotDivision,
    subsets: Subsets,
) -> None:
    """Turn the slot count of each host into slots by endpoint.

    A host first keeps the slots that its requests occupy, up to its count.
    Slots that it occupies beyond that are assigned to other hosts only once
    they are free, so that a changed division does not overload an endpoint.
    Free slots go to queued requests by tier, even on a host whose own lower
    tiers already occupy its count, and then to hosts below their count.
    """
    assigner = SlotAssigner(endpoints, demands, division)
    assigner.keep_occupied(counts)
    slots_for_queued = assigner.slots_for_queued(
        queued_demand_by_tier(endpoints[0].pool, demands)
    )
    if len(endpoints) > SUBSET_SIZE:
        subsets.update(demands, [endpoint.name for endpoint in endpoints])
        assigner.assign_within_subsets(subsets, slots_for_queued)
        assigner.assign_within_subsets(subsets, counts)
        return
    assigner.assign_round_robin(slots_for_queued)
    # Each host's next slot is on an endpoint where it may run suspects.
    for host, isolated in assign_isolation(counts, endpoints).items():
        assigner.assign_one(host, isolated, counts)
    assigner.assign_round_robin(counts)


class SlotAssigner:
    """Tracks the free slots of endpoints while assigning them to hosts."""

    __slots__ = ('_free', '_demands', '_division')

    def __init__(
        self,
        endpoints: Iterable[Endpoint],
        demands: Mapping[str, Demand],
        division: SlotDivision,
    ) -> None:
        self._free = {endpoint.name: endpoint.slots for endpoint in endpoints}
        self._demands = demands
        self._division = division

    def keep_occupied(self, unassigned: dict[str, int]) -> None:
        """Let each host keep the slots it occupies, up to its count."""
        for host, demand in self._demands.items():
            share = self._division[host]
            for name, count in demand.running.items():
                if name not in self._free:
                    continue
                # After its capacity was lowered, an endpoint may run more
                # requests than it has slots. Assigning all of them would
                # keep it overloaded.
                occupied = min(count, self._free[name])
                self._free[name] -= occupied
                share[name] = min(occupied, unassigned[host])
                unassigned[host] -= share[name]

    def slots_for_queued(
        self, tiers: Iterable[Sequence[SlotDemand]]
    ) -> dict[str, int]:
        """Divide the free slots among queued requests, tier by tier."""
        free_slots = sum(self._free.values())
        granted = dict.fromkeys(sorted(self._demands), 0)
        for slot_demands in tiers:
            for host, slots in max_min(free_slots, slot_demands).items():
                granted[host] += slots
            free_slots = sum(self._free.values()) - sum(granted.values())
        return granted

    def assign_one(
        self, host: str, names: Iterable[str], unassigned: dict[str, int]
    ) -> None:
        """Assign the host a slot on one of the endpoints if any is free."""
        free = [name for name in sorted(names) if self._free[name]]
        self._assign(host, free[:1], unassigned)

    def assign_round_robin(self, unassigned: dict[str, int]) -> None:
        """Assign free slots to hosts in turn, interleaved over endpoints."""
        slots = iter(self._interleaved_names())
        while any(self._free.values()) and any(unassigned.values()):
            for host, count in unassigned.items():
                self._assign(host, islice(slots, min(1, count)), unassigned)

    def assign_within_subsets(
        self, subsets: Subsets, unassigned: dict[str, int]
    ) -> None:
        """Assign the free slots of each endpoint to the hosts that use it."""
        free = [
            (name, free_slots)
            for name, free_slots in self._free.items()
            if free_slots
        ]
        for name, free_slots in free:
            hosts = subsets.hosts_of(name)
            for position, host in enumerate(hosts):
                # Rounded up, so that single slots are assigned as well.
                fair_share = -(-free_slots // (len(hosts) - position))
                count = min(fair_share, unassigned[host])
                if count:
                    self._assign(host, repeat(name, count), unassigned)
                    free_slots -= count

    def _interleaved_names(self) -> list[str]:
        names = sorted(self._free)
        slots: list[str] = []
        for depth in range(max(self._free.values(), default=0)):
            slots.extend(name for name in names if depth < self._free[name])
        return slots

    def _assign(
        self, host: str, names: Iterable[str], unassigned: dict[str, int]
    ) -> None:
        share = self._division[host]
        running = self._demands[host].running
        for name in names:
            if unassigned[host]:
                current = max(share.get(name, 0), running.get(name, 0))
                share[name] = current + 1
                self._free[name] -= 1
                unassigned[host] -= 1

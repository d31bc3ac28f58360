"""Dealing of a pool's slots to hosts, endpoint by endpoint."""

from __future__ import annotations

from collections.abc import Iterable, Mapping, Sequence
from itertools import islice, repeat
from typing import TYPE_CHECKING

from apricotcart.endpoints.subsets import SUBSET_SIZE, Subsets
from apricotcart.scheduling.isolation import assign_isolation

if TYPE_CHECKING:
    from apricotcart.endpoints.records import Endpoint
    from apricotcart.scheduling.decisions import Demand

Division = dict[str, dict[str, int]]


def deal(
    counts: dict[str, int],
    members: Sequence[Endpoint],
    demands: Mapping[str, Demand],
    division: Division,
    subsets: Subsets,
) -> None:
    """Turn the number of slots of each host into slots by endpoint.

    A host first keeps the slots that its requests occupy. Slots that a host
    occupies beyond its number are given to others only once they are free,
    so that a change of shares does not overrun an endpoint.
    """
    dealer = Dealer(counts, members, division)
    for host, demand in demands.items():
        dealer.keep(host, demand.running)
    if len(members) > SUBSET_SIZE:
        subsets.update(demands, [endpoint.name for endpoint in members])
        dealer.deal_within(subsets)
        return
    # Each host's next slot is on an endpoint that it may use for suspects.
    for name, owned in assign_isolation(counts, members).items():
        dealer.give_first(name, owned)
    dealer.deal_free()


class Dealer:
    """Slots still owed to hosts and left on endpoints."""

    __slots__ = ('_owed', '_left', '_division')

    def __init__(
        self,
        counts: dict[str, int],
        members: Iterable[Endpoint],
        division: Division,
    ) -> None:
        """Start with all slots left."""
        self._owed = counts
        self._left = {endpoint.name: endpoint.slots for endpoint in members}
        self._division = division

    def keep(self, host: str, running: Mapping[str, int]) -> None:
        """Let the host keep what it occupies, up to its number."""
        share = self._division[host]
        for name, count in running.items():
            if name not in self._left:
                continue
            free = self._left[name] - count
            self._left[name] = max(0, free)
            share[name] = min(count, self._owed[host])
            self._owed[host] -= share[name]

    def give_first(self, host: str, names: Iterable[str]) -> None:
        """Give the host a slot on one of the endpoints if any is left."""
        free = [name for name in sorted(names) if self._left[name]]
        self._give(host, free[:1])

    def deal_free(self) -> None:
        """Deal the free slots in turn, interleaved over the endpoints."""
        slots = iter(self._interleaved())
        while any(self._left.values()) and any(self._owed.values()):
            for host, owed in self._owed.items():
                self._give(host, islice(slots, min(1, owed)))

    def deal_within(self, subsets: Subsets) -> None:
        """Deal the free slots of each endpoint to the hosts that use it."""
        for name, left in self._left.items():
            hosts = subsets.hosts_of(name)
            for position, host in enumerate(hosts):
                # Rounded up, so that single slots are dealt as well.
                part = -(-left // (len(hosts) - position))
                count = min(part, self._owed[host])
                if count:
                    self._give(host, repeat(name, count))
                    left -= count

    def _interleaved(self) -> list[str]:
        names = sorted(self._left)
        slots: list[str] = []
        for level in range(max(self._left.values(), default=0)):
            slots.extend(name for name in names if level < self._left[name])
        return slots

    def _give(self, host: str, names: Iterable[str]) -> None:
        share = self._division[host]
        for name in names:
            if self._owed[host]:
                share[name] = share.get(name, 0) + 1
                self._left[name] -= 1
                self._owed[host] -= 1

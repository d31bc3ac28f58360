"""Dealing of a pool's slots to hosts, endpoint by endpoint."""

from __future__ import annotations

from collections.abc import Iterable, Mapping, Sequence
from itertools import islice, repeat
from typing import TYPE_CHECKING

from apricotcart.endpoints.subsets import SUBSET_SIZE, Subsets
from apricotcart.scheduling.isolation import assign_isolation
from apricotcart.scheduling.maxmin import Bid, max_min, queued_by_tier

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

    A host first keeps the slots that its requests occupy, up to its number.
    Slots that it occupies beyond that are given to others only once they are
    free, so that a change of shares does not overrun an endpoint. The free
    slots go to waiting requests by tier, also to a host whose own lower
    tiers occupy its number, and then to hosts that lack some.
    """
    dealer = Dealer(members, demands, division)
    dealer.keep(counts)
    waiting = dealer.waiting(queued_by_tier(members[0].pool, demands))
    if len(members) > SUBSET_SIZE:
        subsets.update(demands, [endpoint.name for endpoint in members])
        dealer.deal_within(subsets, waiting)
        dealer.deal_within(subsets, counts)
        return
    dealer.deal_free(waiting)
    # Each host's next slot is on an endpoint that it may use for suspects.
    for name, owned in assign_isolation(counts, members).items():
        dealer.give_first(name, owned, counts)
    dealer.deal_free(counts)


class Dealer:
    """Slots left on endpoints and given to hosts."""

    __slots__ = ('_left', '_demands', '_division')

    def __init__(
        self,
        members: Iterable[Endpoint],
        demands: Mapping[str, Demand],
        division: Division,
    ) -> None:
        """Start with all slots left."""
        self._left = {endpoint.name: endpoint.slots for endpoint in members}
        self._demands = demands
        self._division = division

    def keep(self, owed: dict[str, int]) -> None:
        """Let each host keep what it occupies, up to its number."""
        for host, demand in self._demands.items():
            share = self._division[host]
            for name, count in demand.running.items():
                if name not in self._left:
                    continue
                # More may run than the endpoint has, after its slots were
                # lowered; a share of them would let that go on.
                kept = min(count, self._left[name])
                self._left[name] -= kept
                share[name] = min(kept, owed[host])
                owed[host] -= share[name]

    def waiting(self, tiers: Iterable[Sequence[Bid]]) -> dict[str, int]:
        """Divide the free slots among waiting requests, tier by tier."""
        left = sum(self._left.values())
        granted = dict.fromkeys(sorted(self._demands), 0)
        for bids in tiers:
            for host, slots in max_min(left, bids).items():
                granted[host] += slots
            left = sum(self._left.values()) - sum(granted.values())
        return granted

    def give_first(
        self, host: str, names: Iterable[str], owed: dict[str, int]
    ) -> None:
        """Give the host a slot on one of the endpoints if any is left."""
        free = [name for name in sorted(names) if self._left[name]]
        self._give(host, free[:1], owed)

    def deal_free(self, owed: dict[str, int]) -> None:
        """Deal the free slots in turn, interleaved over the endpoints."""
        slots = iter(self._interleaved())
        while any(self._left.values()) and any(owed.values()):
            for host, count in owed.items():
                self._give(host, islice(slots, min(1, count)), owed)

    def deal_within(self, subsets: Subsets, owed: dict[str, int]) -> None:
        """Deal the free slots of each endpoint to the hosts that use it."""
        free = [(name, left) for name, left in self._left.items() if left]
        for name, left in free:
            hosts = subsets.hosts_of(name)
            for position, host in enumerate(hosts):
                # Rounded up, so that single slots are dealt as well.
                part = -(-left // (len(hosts) - position))
                count = min(part, owed[host])
                if count:
                    self._give(host, repeat(name, count), owed)
                    left -= count

    def _interleaved(self) -> list[str]:
        names = sorted(self._left)
        slots: list[str] = []
        for level in range(max(self._left.values(), default=0)):
            slots.extend(name for name in names if level < self._left[name])
        return slots

    def _give(
        self, host: str, names: Iterable[str], owed: dict[str, int]
    ) -> None:
        share = self._division[host]
        running = self._demands[host].running
        for name in names:
            if owed[host]:
                used = max(share.get(name, 0), running.get(name, 0))
                share[name] = used + 1
                self._left[name] -= 1
                owed[host] -= 1

"""Scales each pool to its demand."""

from __future__ import annotations

from collections import defaultdict
from typing import TYPE_CHECKING, Any, TypeAlias

from apricotcart.provisioning.api import LeaderTask
from apricotcart.provisioning.inventory import RECLAIMING, RUNNING, STARTING
from apricotcart.provisioning.placement import place_of
from apricotcart.provisioning.proposals import set_status
from apricotcart.provisioning.sizing import PoolSizer

if TYPE_CHECKING:
    from collections.abc import Mapping

    from apricotcart.provisioning.api import FleetView
    from apricotcart.provisioning.fleet import FleetController
    from apricotcart.provisioning.inventory import Inventory
    from apricotcart.provisioning.orders import OrderBook
    from apricotcart.provisioning.outbox import Outbox, Reply
    from apricotcart.provisioning.placement import Placement
    from apricotcart.provisioning.sizing import SizingRule

NEVER = float('-inf')
# Both bound the duration of one tick and the commands it proposes.
MAX_ORDERED_PER_TICK = 200
MAX_RELEASES_PER_TICK = 50

_ByPool: TypeAlias = dict[str, list[dict[str, Any]]]


class CapacityController(LeaderTask):
    """Orders missing endpoints and retires surplus ones in each pool.

    A pool is compared with its demand only on a list read after its last
    order was accepted, so that no endpoint is ordered twice. Endpoints are
    retired only once the demand has been observed for the release delay of
    the pool, so that a new leader does not release endpoints that its
    predecessor still needed.

    Parameters
    ----------
    rules : mapping
        Sizing rule by pool.
    fleet_view : FleetView
        Demand and endpoint resources.
    inventory : Inventory
        Endpoints and prices at the platform.
    placement : Placement
        Chooses zones, and spot or regular endpoints.
    orders : OrderBook
        Orders in progress.
    fleet : FleetController
        Retires endpoints.
    outbox : Outbox
        Queue of outgoing status commands.
    """

    __slots__ = (
        '_fleet',
        '_fleet_view',
        '_inventory',
        '_orders',
        '_outbox',
        '_placement',
        '_rules',
        '_observed_since',
        '_sizers',
        '_proposed_statuses',
    )

    def __init__(
        self,
        rules: Mapping[str, SizingRule],
        fleet_view: FleetView,
        inventory: Inventory,
        placement: Placement,
        orders: OrderBook,
        fleet: FleetController,
        outbox: Outbox,
    ) -> None:
        self._rules = rules
        self._fleet_view = fleet_view
        self._inventory = inventory
        self._placement = placement
        self._orders = orders
        self._fleet = fleet
        self._outbox = outbox
        self.reset()

    def reset(self) -> None:
        """Discard the history of the demand and all orders."""
        self._orders.clear()
        self._observed_since: float | None = None
        self._proposed_statuses: dict[str, dict[str, Any]] = {}
        self._sizers = {
            pool: PoolSizer(rule) for pool, rule in self._rules.items()
        }

    def tick(self, now: float) -> None:
        """Order or retire endpoints where a pool differs from its demand."""
        if self._observed_since is None:
            self._observed_since = now
        present = self._present()
        for pool, sizer in self._sizers.items():
            sizer.observe(now, self._fleet_view.slots_needed(pool))
            if self._is_list_current(now, pool):
                self._adjust(now, pool, sizer.size(), present[pool])
            if self._inventory.is_fresh(now, NEVER):
                self._propose_status(now, pool, sizer.size(), present[pool])
        self._orders.tick(now)

    def _is_list_current(self, now: float, pool: str) -> bool:
        if self._orders.has_pending(pool):
            return False
        changed_at = self._orders.changed_at.get(pool, NEVER)
        return self._inventory.is_fresh(now, changed_at)

    def _adjust(
        self,
        now: float,
        pool: str,
        size: int,
        present: list[dict[str, Any]],
    ) -> None:
        missing = size - len(present)
        if missing > 0:
            self._order(now, pool, present, size)
        elif missing < 0 and self._may_release(now, pool):
            surplus = self._placement.choose_releases(
                present,
                self._inventory.prices,
                max(size, len(present) - MAX_RELEASES_PER_TICK),
            )
            for endpoint in surplus:
                self._fleet.retire(endpoint)

    def _order(
        self,
        now: float,
        pool: str,
        present: list[dict[str, Any]],
        size: int,
    ) -> None:
        chosen = self._placement.choose(
            now,
            map(place_of, present),
            self._inventory.prices,
            size,
            min(size - len(present), MAX_ORDERED_PER_TICK),
        )
        for place, amount in chosen.items():
            self._orders.add(now, pool, place, amount)

    def _present(self) -> _ByPool:
        retired = self._fleet.retired()
        present: _ByPool = defaultdict(list)
        for endpoint in self._inventory.endpoints:
            is_retired = endpoint['name'] in retired
            if endpoint['state'] != RECLAIMING and not is_retired:
                present[endpoint['pool']].append(endpoint)
        return present

    def _may_release(self, now: float, pool: str) -> bool:
        observed_s = now - (self._observed_since or now)
        return observed_s >= self._rules[pool].release_after_s

    def _propose_status(
        self,
        now: float,
        pool: str,
        size: int,
        present: list[dict[str, Any]],
    ) -> None:
        states = [endpoint['state'] for endpoint in present]
        status = {
            'desired': size,
            RUNNING: states.count(RUNNING),
            STARTING: states.count(STARTING),
            'cheap': sum(endpoint['cheap'] for endpoint in present),
            'no_capacity': self._placement.places_without_capacity(
                now,
                self._inventory.prices,
            ),
            'failure': self._orders.failures.get(pool, ''),
        }
        if status == self._proposed_statuses.get(pool):
            return
        self._proposed_statuses[pool] = status
        self._outbox.propose(
            set_status('pool', pool, status),
            lambda _now, reply: self._on_status_reply(pool, reply),
        )

    def _on_status_reply(self, pool: str, reply: Reply) -> None:
        # A refused status is not sent again until it changes.
        if reply is None:
            self._proposed_statuses.pop(pool, None)

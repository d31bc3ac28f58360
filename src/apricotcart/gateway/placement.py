"""Chooses an endpoint for a request from what is known of the load.

Answers the load of many long prompts beside short urgent ones: the time to
the first token of a new request is the prompt work that waits at the
endpoint, and the pauses of running streams grow with every prompt that is
read beside them. The streams with the tightest pauses therefore get engines of
their own, which all hosts choose alike without asking each other.
"""

from __future__ import annotations

import math
from collections.abc import Collection, Iterable, Sequence
from typing import Final

from apricotcart.desired.records import Engine
from apricotcart.endpoints.instances import Instance
from apricotcart.gateway.endpoint_state import (
    EndpointRow,
    Need,
    Placed,
    SharedLoad,
)
from apricotcart.gateway.hashing import draw
from apricotcart.gateway.prefix_homes import (
    can_copy,
    homes_of,
    source_of,
    unread_of,
)

# Prompt tokens whose reading costs about as much as one more running
# request costs the others, so that both can be added.
RUNNING_TOKENS: Final = 300
# Prompt tokens that crossing availability zones is worth: the round trip
# and the price of the bytes.
ZONE_TOKENS: Final = 500
# Share of the engines of a service that are kept for the streams with the
# tightest pauses.
_TIGHT_SHARE: Final = 0.25
# Reading a shared part again costs more than the time it takes: what was
# read before is dropped for it. A request rather waits behind this many times
# its shared tokens.
_READ_WEIGHT: Final = 6
# Prompt tokens that a warming endpoint counts as busy with.
_WARMING_TOKENS: Final = 20_000
_PENALTY_TOKENS: Final = 200_000
# Requests that a plain service may queue beyond its slots.
_PLAIN_QUEUE: Final = 2
# Prompt tokens that may wait to be read at an engine for the least urgent
# level, and how many more each level above may add. An engine reads what it
# was given first, so a long backlog there delays urgent requests.
_BACKLOG_TOKENS: Final = 28_000
_BACKLOG_MORE: Final = 36_000
# Time for which free places are divided among the hosts, in seconds. It is
# about the age of what a host hears of the others.
_PERIOD_S: Final = 0.4
# How many times its even share of a backlog one host may fill without
# hearing of the others.
_OWN_SHARE: Final = 2


class Placement:
    """Table of the endpoints of all services.

    Parameters
    ----------
    zone : str
        Availability zone of this host.
    host : str
        Name of this host.
    """

    __slots__ = (
        '_engines',
        '_host',
        '_now',
        '_peers',
        '_period',
        '_rows',
        '_zone',
    )

    def __init__(self, zone: str, host: str = '') -> None:
        """Start without endpoints."""
        self._zone = zone
        self._host = host
        self._now: float = 0
        self._peers = 0
        self._period = 0
        self._engines: dict[str, Engine] = {}
        self._rows: dict[str, EndpointRow] = {}

    def configure(self, engines: dict[str, Engine]) -> None:
        """Take the engines of the services by service name."""
        self._engines = engines

    def list_instances(
        self,
        instances: Iterable[Instance],
        now: float = 0,
    ) -> None:
        """Replace the endpoints; known ones keep their load.

        Parameters
        ----------
        instances : iterable of Instance
            All endpoints.
        now : float
            Time in seconds.
        """
        rows: dict[str, EndpointRow] = {}
        for instance in instances:
            row = self._rows.get(instance.instance_id)
            if row is None or row.instance.key != instance.key:
                row = EndpointRow(instance, self._peers, now)
            row.instance = instance
            rows[instance.instance_id] = row
        for name, known in self._rows.items():
            known.is_listed = rows.get(name) is known
        self._rows = rows

    def share(self, loads: dict[str, SharedLoad], hosts: int) -> None:
        """Take what the other hosts put on each endpoint.

        Parameters
        ----------
        loads : dict of str to SharedLoad
            Load by endpoint.
        hosts : int
            Hosts that place requests, this one included.
        """
        self._peers = max(0, hosts - 1)
        for name, row in self._rows.items():
            row.others = loads.get(name) or SharedLoad()
            row.peers = self._peers
            row.recent = 0
            row.recent_tokens = 0

    def row(self, name: str) -> EndpointRow | None:
        """Give an endpoint by its id."""
        return self._rows.get(name)

    def rows(self) -> list[EndpointRow]:
        """Give all endpoints."""
        return list(self._rows.values())

    def choose(
        self,
        now: float,
        need: Need,
        excluded: Collection[str] = (),
    ) -> EndpointRow | None:
        """Give the endpoint that starts a request first, None if all are full.

        Parameters
        ----------
        now : float
            Time in seconds.
        need : Need
            The request.
        excluded : collection of str
            Endpoints that the request must not go to again.
        """
        self._now = now
        self._period = int(now / _PERIOD_S)
        group = self._group(need)
        homes = homes_of(need.shared_part, group)
        open_rows = [
            row
            for row in group
            if self._is_open(row, need, excluded)
            and (row in homes or self._is_granted(row, need))
        ]
        if not open_rows and need.is_tight:
            open_rows = [
                row
                for row in self._rows.values()
                if self._is_open(row, need, excluded)
            ]
        if not open_rows:
            return None
        return min(
            open_rows,
            key=lambda row: self._cost(now, row, need, homes),
        )

    def has_endpoint(self, service: str) -> bool:
        """Tell whether any endpoint of a service takes requests."""
        return any(
            row.instance.service == service and row.instance.is_ready
            for row in self._rows.values()
        )

    def place(self, request_id: str, row: EndpointRow, need: Need) -> Placed:
        """Note that a request goes to an endpoint."""
        group = self._group(need)
        source = source_of(row, need, self._now, self._sources(need, group))
        unread = unread_of(row, need, homes_of(need.shared_part, group))
        address = source.instance.address if source else ''
        placed = Placed(need, unread, address)
        row.placed[request_id] = placed
        row.grants.take(self._period)
        row.recent += 1
        row.recent_tokens += placed.unread_tokens
        row.remember(need.parts)
        return placed

    def _sources(
        self,
        need: Need,
        group: Sequence[EndpointRow],
    ) -> list[EndpointRow]:
        """Give the endpoints that shared parts may be copied from."""
        leaving = [
            row
            for row in self._rows.values()
            if row.instance.service == need.service and row.is_leaving
        ]
        return [*group, *leaving]

    def _group(self, need: Need) -> list[EndpointRow]:
        """Give the endpoints that are kept for requests of this kind."""
        rows = [
            row
            for row in self._rows.values()
            if row.instance.service == need.service and row.instance.is_ready
        ]
        if need.service not in self._engines or len(rows) < 2:
            return rows
        rows.sort(key=lambda row: row.order)
        tight_count = max(1, round(len(rows) * _TIGHT_SHARE))
        return rows[:tight_count] if need.is_tight else rows[tight_count:]

    def _is_granted(self, row: EndpointRow, need: Need) -> bool:
        """Tell whether this host may give a free place to a request.

        The hosts divide the free places of an engine by a draw for each
        period, since all of them would fill an engine that has just become
        free. Brief urgent requests need no draw since they leave soon, nor
        do the tightest streams, which cannot wait for one.
        """
        engine = self._engines.get(need.service)
        if engine is None or need.is_tight:
            return True
        if need.level and need.is_brief:
            return True
        free = engine.slots * need.place_share - row.requests
        share = free / (row.peers + 1)
        granted = math.floor(share)
        period = str(self._period)
        if draw(self._host, row.instance.instance_id, period) < share - granted:
            granted += 1
        return row.grants.taken(self._period) < granted

    def _is_open(
        self,
        row: EndpointRow,
        need: Need,
        excluded: Collection[str],
    ) -> bool:
        instance = row.instance
        if instance.service != need.service or not instance.is_ready:
            return False
        if instance.instance_id in excluded:
            return False
        engine = self._engines.get(need.service)
        if engine is None:
            places = instance.slots * (1 + _PLAIN_QUEUE)
            return row.requests < places * need.place_share
        return _has_room(row, need, engine)

    def _cost(
        self,
        now: float,
        row: EndpointRow,
        need: Need,
        homes: Sequence[EndpointRow],
    ) -> float:
        unread = unread_of(row, need, homes)
        shared_unread = max(0, unread - need.read_work(need.own_tokens))
        cost: float = row.likely_unread_tokens + unread
        if not can_copy(need, homes):
            cost += shared_unread * (_READ_WEIGHT - 1)
        cost += row.likely_requests * RUNNING_TOKENS
        if row.instance.zone != self._zone:
            cost += self._zone_cost(need)
        if row.instance.warmup_s > 0:
            cost += _WARMING_TOKENS
        if now < row.penalty_until:
            cost += _PENALTY_TOKENS
        return cost

    def _zone_cost(self, need: Need) -> float:
        if need.service in self._engines:
            return ZONE_TOKENS
        # A request to a plain service is small; it crosses zones rather
        # than wait behind another one.
        return RUNNING_TOKENS


def _has_room(row: EndpointRow, need: Need, engine: Engine) -> bool:
    """Tell whether an engine has a place, memory and a short backlog."""
    if not row.requests:
        return True
    if row.requests >= engine.slots * need.place_share:
        return False
    backlog = _BACKLOG_TOKENS + need.level * _BACKLOG_MORE
    if _is_too_much(row.unread_tokens, need, backlog):
        return False
    own_backlog = backlog * _OWN_SHARE / (row.peers + 1)
    if _is_too_much(row.own_unread_tokens, need, own_backlog):
        return False
    memory = engine.kv_tokens * need.memory_share
    return need.tokens <= memory - row.tokens


def _is_too_much(unread_tokens: int, need: Need, backlog: float) -> bool:
    work = need.read_work(need.own_tokens)
    return unread_tokens > 0 and unread_tokens + work > backlog

"""What the gateways together know about reaching endpoints."""

from __future__ import annotations

import random
from collections.abc import Iterable, Mapping, Sequence
from heapq import nlargest
from typing import Any, Final

from apricotcart.coordinator.sync_messages import SyncRequest
from apricotcart.membership.peers import PeerGateway
from apricotcart.membership.reach_reports import ReachReply, ReachReport

# A gateway that was cut off is listed again when it has reached endpoints for
# this long, so that a cut that comes and goes does not change the list.
_RELIST_S: Final = 2.0
# Interval at which the reports are summed up; all syncs in between get the
# same result.
_SUMMARY_INTERVAL_S: Final = 0.1
# Older syncs do not tell which endpoints are reached just now.
_REACHED_MAX_AGE_S: Final = 0.5
# A new leader knows all gateways after this long; they sync every 0.3 s.
_WARMUP_S: Final = 1.0
# Gateways and endpoints in a reply. One of several gateways has room, and one
# of several endpoints is up still.
_MAX_PEERS: Final = 8
_MAX_REACHED: Final = 8

Figures = Mapping[str, Sequence[int]]


class GatewayRecord:
    """Last sync of one incarnation of a gateway.

    Attributes
    ----------
    last_sync : SyncRequest
        The last sync.
    received_at : float
        Monotonic time at which it was received, in seconds.
    is_counted : bool
        Whether its figures are included in the sums.
    reach : ReachReport
        Whether the gateway reaches endpoints.
    cut_off_at : float or None
        When it was last cut off; None once it has reached endpoints for long
        enough to be listed.
    """

    __slots__ = (
        'cut_off_at',
        'is_counted',
        'last_sync',
        'reach',
        'received_at',
    )

    def __init__(
        self,
        last_sync: SyncRequest,
        received_at: float,
        previous: GatewayRecord | None = None,
    ) -> None:
        self.last_sync = last_sync
        self.received_at = received_at
        self.is_counted = False
        self.reach = ReachReport.from_wire(last_sync.reachability)
        self.cut_off_at = self._cut_off_since(previous)

    @property
    def reaches_endpoints(self) -> bool:
        """Whether it has reached an endpoint lately."""
        has_reached = self.reach.reached_s is not None
        return has_reached and not self.reach.is_suspect

    @property
    def reached_at(self) -> float:
        """When it last reached an endpoint, in seconds."""
        return self.received_at - (self.reach.reached_s or 0)

    @property
    def may_take_requests(self) -> bool:
        """Whether other gateways may pass requests on to it."""
        is_listed = self.last_sync.is_serving and self.cut_off_at is None
        has_address = bool(self.reach.relay_address)
        return is_listed and has_address and self.reaches_endpoints

    @property
    def outcomes(self) -> Figures:
        """Outcomes at endpoints that are not the fault of its own path.

        A gateway without a path to the endpoints sees failures at all of them.
        """
        return {} if self.reach.is_suspect else self.last_sync.outcomes

    @property
    def counted_loads(self) -> Figures:
        """Its part of the sum of the loads."""
        return self.last_sync.loads if self.is_counted else {}

    @property
    def counted_outcomes(self) -> Figures:
        """Its part of the sum of the outcomes."""
        return self.outcomes if self.is_counted else {}

    def to_peer(self) -> PeerGateway:
        """Return the description for the other gateways."""
        sync = self.last_sync
        figures = [*sync.loads.values(), *sync.waiting.values()]
        return PeerGateway(
            host=sync.host,
            zone=sync.zone,
            address=self.reach.relay_address,
            requests=sum(figure[0] for figure in figures),
        )

    def _cut_off_since(self, previous: GatewayRecord | None) -> float | None:
        if self.reach.is_cut_off:
            return self.received_at
        cut_off_at = previous.cut_off_at if previous else None
        if cut_off_at is None:
            return None
        if not self.reaches_endpoints:
            return self.received_at
        is_steady = self.received_at - cut_off_at >= _RELIST_S
        return None if is_steady else cut_off_at


class GatewayReach:
    """Sums up which gateways reach endpoints, and which endpoints.

    Parameters
    ----------
    rng : random.Random
        Chooses what a reply names.
    """

    __slots__ = (
        '_candidates',
        '_first_at',
        '_latest',
        '_reached',
        '_rng',
        '_summed_at',
    )

    def __init__(self, rng: random.Random) -> None:
        self._rng = rng
        self._first_at: float = 0
        self._summed_at: float = -_WARMUP_S
        # The two gateways that reached endpoints last.
        self._latest: list[GatewayRecord] = []
        self._reached: list[str] = []
        self._candidates: list[GatewayRecord] = []

    def is_due(self, now: float) -> bool:
        """Return whether to sum up the reports again."""
        if now >= self._summed_at + _WARMUP_S:
            # This host has begun to lead, possibly again.
            self._first_at = now
        return now >= self._summed_at + _SUMMARY_INTERVAL_S

    def sum_up(self, records: Iterable[GatewayRecord], now: float) -> None:
        """Sum up the reports of the gateways that are in touch."""
        self._summed_at = now
        sound = [record for record in records if record.reaches_endpoints]
        self._latest = nlargest(2, sound, key=lambda known: known.reached_at)
        self._candidates = [known for known in sound if known.may_take_requests]
        self._reached = sorted(
            {
                address
                for known in sound
                if known.received_at >= now - _REACHED_MAX_AGE_S
                for address in known.reach.reached
            }
        )

    def reply(self, record: GatewayRecord, now: float) -> dict[str, Any]:
        """Return what to tell a gateway, in wire form."""
        sync = record.last_sync
        reply = ReachReply(others_reach=self._unknown_if_new(now))
        for latest in reversed(self._latest):
            if latest.last_sync.incarnation != sync.incarnation:
                reply.others_reach = True
                reply.reached_s = now - latest.reached_at
        if record.reach.wants_peers:
            reply.reached = self._sample(self._reached, _MAX_REACHED)
            reply.peers = [
                peer.to_peer().to_wire() for peer in self._peers_of(sync)
            ]
        return reply.to_wire()

    def _unknown_if_new(self, now: float) -> bool | None:
        """Return None while gateways may not have synchronized yet."""
        return None if now < self._first_at + _WARMUP_S else False

    def _peers_of(self, sync: SyncRequest) -> list[GatewayRecord]:
        """Return other gateways in random order, mixed over the zones."""
        by_zone: dict[str, list[GatewayRecord]] = {}
        for candidate in self._candidates:
            if candidate.last_sync.host != sync.host:
                zone = candidate.last_sync.zone
                by_zone.setdefault(zone, []).append(candidate)
        ranked: list[tuple[int, GatewayRecord]] = []
        for records in by_zone.values():
            chosen = self._sample(records, _MAX_PEERS)
            ranked.extend(enumerate(chosen))
        self._rng.shuffle(ranked)
        ranked.sort(key=lambda pair: pair[0])
        return [record for _, record in ranked[:_MAX_PEERS]]

    def _sample(self, names: Sequence[Any], limit: int) -> list[Any]:
        return self._rng.sample(names, min(limit, len(names)))

"""Rows of the endpoint table."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

from apricotcart.endpoints import outcomes
from apricotcart.endpoints.limits import AdaptiveLimit

if TYPE_CHECKING:
    import random

    from apricotcart.endpoints.records import Endpoint, LoadReport
    from apricotcart.endpoints.selection import Need

# Load of other hosts changes within the duration of a request; a report
# loses its weight over this time, in seconds.
REPORT_DECAY_S = 4.0
_PACE_GAIN = 0.1


class EndpointRow:
    """What this host knows of one endpoint.

    ``share`` is the number of slots that this host may use, None before the
    first division. ``others`` is the load of other hosts by the last report.
    ``pace_s`` is the usual time for each output token.
    """

    __slots__ = (
        'endpoint',
        'limit',
        'share',
        'in_flight',
        'suspects',
        'others',
        'measured_at',
        'pace_s',
    )

    def __init__(self, endpoint: Endpoint, rng: random.Random) -> None:
        """Start idle."""
        self.endpoint = endpoint
        self.limit = AdaptiveLimit(rng)
        self.share: int | None = None
        self.in_flight = 0
        self.suspects = 0
        self.others: float = 0
        self.measured_at: float = 0
        self.pace_s: float = 0

    def slots(self) -> int:
        """Give the number of slots that this host may use."""
        if self.share is None:
            return self.endpoint.slots
        return min(self.share, self.endpoint.slots)

    def free_slots(self, now: float) -> int:
        """Give the number of requests that may be sent now."""
        if self.endpoint.leaving:
            return 0
        allowed = self.limit.allowed(now, self.slots())
        return max(0, allowed - self.in_flight)

    def is_free(self, now: float) -> bool:
        """Tell whether a request may be sent now."""
        return self.free_slots(now) > 0

    def may_serve(self, need: Need) -> bool:
        """Tell whether a slot for the request may become free."""
        endpoint = self.endpoint
        if endpoint.leaving or endpoint.pool != need.pool:
            return False
        if endpoint.cheap and not need.cheap_allowed:
            return False
        if need.model not in (endpoint.models or ('',)):
            return False
        return bool(self.slots() and self.limit.health)

    def blames_requests(self) -> bool:
        """Tell whether a crash makes the running requests suspects.

        A draining endpoint goes away by itself, and one that crashes again
        and again is the probable cause itself.
        """
        return not self.endpoint.leaving and not self.limit.is_unreliable()

    def on_outcome(self, now: float, outcome: str) -> None:
        """Adapt the limit to the outcome of a request."""
        if outcome == outcomes.OK:
            self.limit.on_success(self.slots())
        elif outcome == outcomes.REFUSED:
            self.limit.on_refused()
        elif outcome == outcomes.FAILED:
            self.limit.on_failed(now)
        elif outcome in (outcomes.CRASHED, outcomes.UNREACHABLE):
            self.limit.on_crashed(now)

    def on_report(self, report: LoadReport) -> None:
        """Take in a load report unless a later one is known."""
        if report.measured_at < self.measured_at:
            return
        self.measured_at = report.measured_at
        running = report.slots_used + report.queue
        self.others = max(0, running - self.in_flight)

    def on_pace(self, seconds_per_token: float) -> None:
        """Take in the pace of a finished response."""
        if not self.pace_s:
            self.pace_s = seconds_per_token
        self.pace_s += _PACE_GAIN * (seconds_per_token - self.pace_s)

    def load(self, now: float) -> float:
        """Give the estimated load by all hosts, in parts of the slots."""
        others: float = 0
        if self.others:
            age = max(0, now - self.measured_at)
            others = self.others * math.exp(-age / REPORT_DECAY_S)
        return (self.in_flight + others) / max(1, self.endpoint.slots)

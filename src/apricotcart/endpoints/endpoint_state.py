"""State of one endpoint as seen by one host."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

from apricotcart.endpoints import outcomes
from apricotcart.endpoints.limits import AdaptiveLimit

if TYPE_CHECKING:
    import random

    from apricotcart.endpoints.records import Endpoint, LoadReport
    from apricotcart.endpoints.selection import Requirements

# Time constant with which a load report decays. The load of other hosts changes
# within the duration of a request.
REPORT_DECAY_S = 4.0
_LATENCY_GAIN = 0.1


class EndpointState:
    """State of one endpoint as seen by this host.

    ``slot_limit`` is the number of slots that this host may use, None before
    the slots are first divided among the hosts. ``remote_requests`` is the
    number of requests of other hosts according to the last load report.
    ``inter_token_latency_s`` is a moving average.
    """

    __slots__ = (
        'endpoint',
        'limit',
        'slot_limit',
        'in_flight',
        'running_suspects',
        'remote_requests',
        'measured_at',
        'inter_token_latency_s',
    )

    def __init__(self, endpoint: Endpoint, rng: random.Random) -> None:
        self.endpoint = endpoint
        self.limit = AdaptiveLimit(rng)
        self.slot_limit: int | None = None
        self.in_flight = 0
        self.running_suspects = 0
        self.remote_requests: float = 0
        self.measured_at: float = 0
        self.inter_token_latency_s: float = 0

    def slots(self) -> int:
        """Return the number of slots that this host may use."""
        if self.slot_limit is None:
            return self.endpoint.slots
        return min(self.slot_limit, self.endpoint.slots)

    def free_slots(self, now: float) -> int:
        """Return the number of requests that may be sent now."""
        if self.endpoint.leaving:
            return 0
        allowed = self.limit.allowed(now, self.slots())
        return max(0, allowed - self.in_flight)

    def is_free(self, now: float) -> bool:
        """Return whether a request may be sent now."""
        return self.free_slots(now) > 0

    def may_serve(self, requirements: Requirements) -> bool:
        """Return whether a slot for the request may become free."""
        endpoint = self.endpoint
        if endpoint.leaving or endpoint.pool != requirements.pool:
            return False
        if endpoint.cheap and not requirements.cheap_allowed:
            return False
        if requirements.model not in (endpoint.models or ('',)):
            return False
        return bool(self.slots() and self.limit.health)

    def is_crash_attributable(self) -> bool:
        """Return whether a crash makes the running requests suspects.

        A draining endpoint is stopped on purpose, and an endpoint that
        crashes repeatedly is the probable cause itself.
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
        """Apply a load report unless a newer one is known."""
        if report.measured_at < self.measured_at:
            return
        self.measured_at = report.measured_at
        total_requests = report.slots_used + report.queue
        self.remote_requests = max(0, total_requests - self.in_flight)

    def on_inter_token_latency(self, seconds_per_token: float) -> None:
        """Update the inter-token latency from a finished response."""
        if not self.inter_token_latency_s:
            self.inter_token_latency_s = seconds_per_token
        self.inter_token_latency_s += _LATENCY_GAIN * (
            seconds_per_token - self.inter_token_latency_s
        )

    def load(self, now: float) -> float:
        """Return the estimated load of all hosts as a ratio of the slots."""
        remote_requests: float = 0
        if self.remote_requests:
            age_s = max(0, now - self.measured_at)
            remote_requests = self.remote_requests * math.exp(
                -age_s / REPORT_DECAY_S
            )
        return (self.in_flight + remote_requests) / max(1, self.endpoint.slots)

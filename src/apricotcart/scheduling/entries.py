"""Queued and running requests of the scheduler."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

from apricotcart.endpoints.outcomes import NOT_RUN_OUTCOMES
from apricotcart.errors.tree import MAY_HAVE_RUN, NOT_RUN

if TYPE_CHECKING:
    from apricotcart.scheduling.queues import LaneKey
    from apricotcart.scheduling.records import QueuedRequest, ServiceClass

# Cost of a prompt token in output tokens. Prefill processes prompt tokens in
# parallel, so each costs an engine far less than an output token.
PROMPT_TOKEN_COST = 0.2


class Entry:
    """A queued or running request.

    ``charged`` is the cost in tokens charged to the customer so far;
    ``tokens`` counts the output tokens received from the endpoint. ``late``
    is set once the first token can no longer arrive within its target.
    """

    __slots__ = (
        'req',
        'tier',
        'enqueued_at',
        'deadline_at',
        'expire_at',
        'expire_reason',
        'endpoint',
        'dispatched_at',
        'first_byte_at',
        'tokens',
        'charged',
        'cheap_allowed',
        'suspect',
        'late_at',
        'late',
        'run_state',
    )

    def __init__(
        self, req: QueuedRequest, service_class: ServiceClass, now: float
    ) -> None:
        """Initialize an entry that is queued at ``now``."""
        self.req = req
        self.tier = service_class.tier
        self.enqueued_at = now
        self.deadline_at = req.deadline_at or now + service_class.total_s
        self.expire_at = self.enqueued_at + service_class.max_wait_s
        self.expire_reason = ''
        self.endpoint = ''
        self.dispatched_at: float = 0
        self.first_byte_at: float = 0
        self.tokens = 0
        self.charged: float = 0
        self.cheap_allowed = req.resumable
        self.suspect = False
        # After this time the first token misses the target of its class.
        self.late_at = self.enqueued_at + service_class.first_token_s
        self.late = False
        self.run_state = NOT_RUN

    def continue_from(self, earlier: Entry | None) -> None:
        """Take over run state and elapsed queue time of an earlier attempt.

        The queue timeout applies to all attempts together. A stream that
        has started can no longer miss its first-token target.
        """
        if earlier is None:
            return
        self.run_state = earlier.run_state
        queued_s = earlier.dispatched_at - earlier.enqueued_at
        self.enqueued_at -= queued_s
        self.expire_at -= queued_s
        self.late_at -= queued_s
        if earlier.first_byte_at or earlier.late_at == math.inf:
            self.late_at = math.inf

    def on_end(self, outcome: str) -> None:
        """Record whether the attempt may have run."""
        if outcome not in NOT_RUN_OUTCOMES:
            self.run_state = MAY_HAVE_RUN

    def cost(self) -> float:
        """Return the tokens used so far, with prompt tokens at a lower cost."""
        return self.tokens + PROMPT_TOKEN_COST * self.req.prompt_tokens

    @property
    def customer(self) -> str:
        """Customer that is charged for the request."""
        return self.req.customer

    @property
    def order(self) -> float:
        """Equal for all: a customer's requests keep the order of arrival."""
        return 0

    @property
    def lane_key(self) -> LaneKey:
        """Key of the requests that suit the same endpoints."""
        req = self.req
        return self.late, (
            req.model,
            self.cheap_allowed,
            self.suspect,
            req.excluded_endpoints,
        )

    @property
    def request_id(self) -> str:
        """Identity of the request."""
        return self.req.request_id

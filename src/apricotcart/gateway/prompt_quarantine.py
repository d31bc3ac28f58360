"""Holds back requests whose prompt has a part that crashes endpoints."""

from __future__ import annotations

import threading
from collections.abc import Iterable, Mapping
from typing import Any, Final

from apricotcart.endpoints.prompt_suspects import (
    Crash,
    PromptSuspectReport,
    PromptSuspects,
)
from apricotcart.gateway.call import Call
from apricotcart.gateway.errors import (
    BrokenEndpointError,
    QuarantinedPromptError,
)
from apricotcart.gateway.exchanges.exchange import Exchange
from apricotcart.observability.decisions import (
    PROMPT_QUARANTINED,
    PROMPT_RELEASED,
    PROMPT_SUSPECTED,
    log_decision,
)
from apricotcart.timers.clock import boot_clock_s

# Time after its first event for which a crash may still be due to a request.
# After it, the endpoint has survived the request.
_BEGIN_S: Final = 0.5
_RETRY_AFTER_S: Final = 5.0


class PromptQuarantine:
    """Crashes and successes of this host, shared with the others by syncs."""

    __slots__ = ('_lock', '_suspects')

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._suspects = PromptSuspects()

    def holds(self, call: Call) -> bool:
        """Return whether a part of the request's prompt is quarantined."""
        return not self._suspects.quarantined.isdisjoint(_shared_parts(call))

    def require_allowed(self, call: Call) -> None:
        """Raise if the request must not be sent.

        Raises
        ------
        QuarantinedPromptError
            If a part is quarantined and the request has not run.
        BrokenEndpointError
            If a part is quarantined and the request may have run.
        """
        if not self.holds(call):
            return
        message = 'a part of the prompt has crashed several endpoints'
        if call.may_have_run:
            raise BrokenEndpointError(message)
        raise QuarantinedPromptError(message, retry_after_s=_RETRY_AFTER_S)

    def on_failure(
        self, call: Call, exchange: Exchange, exc: BaseException
    ) -> None:
        """Record a crash if the request may have caused it.

        Endpoints that drain end on purpose, and a caller that leaves or a
        response that was long under way says nothing about the prompt.
        """
        if not isinstance(exc, BrokenEndpointError) or call.is_caller_gone:
            return
        now = boot_clock_s()
        has_survived = exchange.began_at and now > exchange.began_at + _BEGIN_S
        if has_survived or not exchange.sent_at:
            return
        parts = _shared_parts(call)
        if not parts or not exchange.endpoint.accepts_requests:
            return
        endpoint_id = exchange.endpoint.instance.instance_id
        log_decision(
            PROMPT_SUSPECTED,
            request_id=call.metadata.attempt_id,
            endpoint=endpoint_id,
            parts=','.join(parts),
        )
        with self._lock:
            before = self._suspects.quarantined
            self._suspects.on_crash(
                Crash(sent_at=exchange.sent_at, at=now), endpoint_id, parts
            )
            self._log_changes(before)

    def on_event(self, call: Call, exchange: Exchange) -> None:
        """Record that an endpoint has sent an event of the response."""
        now = boot_clock_s()
        if not exchange.began_at:
            exchange.began_at = now
        elif now > exchange.began_at + _BEGIN_S and not exchange.is_proven:
            self.on_success(call, exchange)

    def on_success(self, call: Call, exchange: Exchange) -> None:
        """Record that an endpoint has survived the request."""
        parts = _shared_parts(call)
        if exchange.is_proven or not parts:
            return
        exchange.is_proven = True
        with self._lock:
            before = self._suspects.quarantined
            self._suspects.on_success(boot_clock_s(), parts)
            self._log_changes(before)

    def reports(self) -> list[dict[str, Any]]:
        """Return what this host knows, in wire form."""
        with self._lock:
            reports = self._suspects.reports(boot_clock_s())
        return [report.to_wire() for report in reports]

    def merge(self, reports: Iterable[Mapping[str, Any]]) -> None:
        """Apply what all hosts know, in wire form."""
        parsed = [PromptSuspectReport.from_wire(report) for report in reports]
        with self._lock:
            before = self._suspects.quarantined
            self._suspects.merge(boot_clock_s(), parsed)
            self._log_changes(before)

    def _log_changes(self, before: frozenset[str]) -> None:
        after = self._suspects.quarantined
        for part_id in after - before:
            log_decision(
                PROMPT_QUARANTINED,
                parts=part_id,
                endpoints=','.join(self._suspects.endpoints_of(part_id)),
            )
        for part_id in before - after:
            log_decision(PROMPT_RELEASED, parts=part_id)


def _shared_parts(call: Call) -> list[str]:
    # The last part belongs to the request or its session alone.
    return [part.part_id for part in call.metadata.parts[:-1]]

"""Holds back requests that crash endpoints, or parts of whose prompt do."""

from __future__ import annotations

import threading
from collections.abc import Iterable, Mapping
from typing import Any, Final

from apricotcart.endpoints.crash_reports import CrashReport
from apricotcart.endpoints.crash_suspects import CrashSuspects
from apricotcart.endpoints.crashes import Crash, Suspect, SuspectKind
from apricotcart.gateway.call import Call
from apricotcart.gateway.errors import (
    BrokenEndpointError,
    ConnectionEndedError,
    QuarantinedPromptError,
    QuarantinedRequestError,
)
from apricotcart.gateway.exchanges.end_check import EndCheck
from apricotcart.gateway.exchanges.endpoint_exchange import EndpointExchange
from apricotcart.observability.decisions import (
    CRASH_SUSPECTED,
    SUSPECT_QUARANTINED,
    SUSPECT_RELEASED,
    log_decision,
)
from apricotcart.timers.clock import boot_clock_s

# Time after its first event for which a crash may still be due to a request.
# After it, the endpoint has survived the request.
_BEGIN_S: Final = 0.5
_RETRY_AFTER_S: Final = 5.0


class CrashQuarantine:
    """Crashes and successes of this host, shared with the others by syncs."""

    __slots__ = ('_end_check', '_lock', '_suspects')

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._end_check = EndCheck()
        self._suspects = CrashSuspects()

    def holds(self, call: Call) -> bool:
        """Return whether the request or a part of it is quarantined."""
        return self._culprit(call) is not None

    def suspects(self, call: Call) -> bool:
        """Return whether the request or a part of it may crash endpoints."""
        with self._lock:
            return self._suspects.has_evidence(_suspects_of(call))

    def require_allowed(self, call: Call) -> None:
        """Raise if the request must not be sent.

        Raises
        ------
        QuarantinedPromptError, QuarantinedRequestError
            If it is quarantined and has not run.
        BrokenEndpointError
            If it is quarantined and may have run.
        """
        culprit = self._culprit(call)
        if culprit is None:
            return
        is_part = culprit.kind is SuspectKind.PART
        message = (
            'a part of the prompt has crashed several endpoints'
            if is_part
            else 'the request has crashed several endpoints'
        )
        if call.may_have_run:
            raise BrokenEndpointError(message)
        refusal = QuarantinedPromptError if is_part else QuarantinedRequestError
        raise refusal(
            message,
            retry_after_s=_RETRY_AFTER_S,
            fingerprint=call.fingerprint,
        )

    def on_failure(
        self, call: Call, exchange: EndpointExchange, exc: BaseException
    ) -> None:
        """Record a crash if the request may have caused it.

        Endpoints that drain end on purpose, and a caller that leaves, a
        response that is invalid or one that was long under way says nothing
        about the request. Neither does a connection that ends while its
        endpoint still runs.
        """
        if not isinstance(exc, ConnectionEndedError) or call.is_caller_gone:
            return
        now = boot_clock_s()
        if _has_survived(exchange, now) or not exchange.sent_at:
            return
        if not exchange.endpoint.accepts_requests:
            return
        instance = exchange.endpoint.instance
        if not self._end_check.has_ended(instance):
            return
        crash = Crash(sent_at=exchange.sent_at, at=now)
        log_decision(
            CRASH_SUSPECTED,
            request_id=call.metadata.attempt_id,
            fingerprint=call.fingerprint,
            endpoint=instance.instance_id,
            parts=','.join(_shared_parts(call)),
            duration_s=crash.run_s,
        )
        with self._lock:
            before = self._suspects.quarantined
            self._suspects.on_crash(crash, instance.run_id, _suspects_of(call))
            self._log_changes(before)

    def on_event(self, call: Call, exchange: EndpointExchange) -> None:
        """Record that an endpoint has sent an event of the response."""
        now = boot_clock_s()
        if not exchange.began_at:
            exchange.began_at = now
        elif now > exchange.began_at + _BEGIN_S and not exchange.is_proven:
            self.on_success(call, exchange)

    def on_success(self, call: Call, exchange: EndpointExchange) -> None:
        """Record that an endpoint has survived the request."""
        if exchange.is_proven:
            return
        exchange.is_proven = True
        with self._lock:
            before = self._suspects.quarantined
            self._suspects.on_success(boot_clock_s(), _suspects_of(call))
            self._log_changes(before)

    def reports(self) -> list[dict[str, Any]]:
        """Return what this host knows, in wire form."""
        with self._lock:
            reports = self._suspects.reports(boot_clock_s())
        return [report.to_wire() for report in reports]

    def merge(self, reports: Iterable[Mapping[str, Any]]) -> None:
        """Apply what all hosts know, in wire form."""
        parsed = [CrashReport.from_wire(report) for report in reports]
        with self._lock:
            before = self._suspects.quarantined
            self._suspects.merge(boot_clock_s(), parsed)
            self._log_changes(before)

    def _culprit(self, call: Call) -> Suspect | None:
        quarantined = self._suspects.quarantined
        if not quarantined:
            return None
        for suspect in _suspects_of(call):
            if suspect in quarantined:
                return suspect
        return None

    def _log_changes(self, before: frozenset[Suspect]) -> None:
        after = self._suspects.quarantined
        for suspect in after - before:
            log_decision(
                SUSPECT_QUARANTINED,
                kind=str(suspect.kind),
                suspect=suspect.name,
                endpoints=','.join(self._suspects.endpoints_of(suspect)),
            )
        for suspect in before - after:
            log_decision(
                SUSPECT_RELEASED, kind=str(suspect.kind), suspect=suspect.name
            )


def _has_survived(exchange: EndpointExchange, now: float) -> bool:
    """Return whether the endpoint crashed too late for the request."""
    if exchange.is_stream:
        return 0 < exchange.began_at < now - _BEGIN_S
    return exchange.has_response


def _suspects_of(call: Call) -> list[Suspect]:
    parts = [
        Suspect(SuspectKind.PART, part_id) for part_id in _shared_parts(call)
    ]
    return [*parts, Suspect(SuspectKind.REQUEST, call.fingerprint)]


def _shared_parts(call: Call) -> list[str]:
    # The last part belongs to the request or its session alone.
    return [part.part_id for part in call.metadata.parts[:-1]]

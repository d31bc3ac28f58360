"""Logs one line per decision about a request or about shared state.

This module declares every event and its fields, as the reference for readers
of the logs. No line contains a key, a prompt or an answer.
"""

from __future__ import annotations

import logging
import threading
import time
from collections.abc import Mapping
from typing import Any, Final

from apricotcart.observability.catalogue import (
    DECISION_S,
    DECISIONS,
    Metric,
)
from apricotcart.observability.metrics import Metrics
from apricotcart.observability.redaction import ALLOWED_FIELDS

_LOG = logging.getLogger('apricotcart.decisions')
_REASON: Final = 'reason'
_REQUEST_ID: Final = 'request_id'
_FINGERPRINT: Final = 'fingerprint'
_KIND: Final = 'kind'
_DURATION: Final = 'duration_s'
_ENDPOINT: Final = 'endpoint'
_ATTEMPT: Final = 'attempt'
_ZONE: Final = 'zone'
# Limit on the log lines per event and second; further decisions are counted
# but not logged.
_MAX_LINES_PER_S: Final = 300


class Event:
    """Declaration of one kind of log line.

    Parameters
    ----------
    name : str
        Value of the field ``event``.
    fields : str
        Names of the fields that the line can have.
    """

    __slots__ = ('fields', 'name')

    def __init__(self, name: str, *fields: str) -> None:
        self.name = name
        self.fields = frozenset(fields)


REQUEST_SENT: Final = Event(
    'request_sent',
    _REQUEST_ID,
    _FINGERPRINT,
    'route',
    _KIND,
    'customer',
    _ENDPOINT,
    _ZONE,
    'software',
    _ATTEMPT,
    'queue_wait_s',
    'deadline_s',
    'running',
    'running_elsewhere',
    'unread_tokens',
    'load_age_s',
    'levels_above',
    'levels_below',
    'copied_from',
    'version',
    'state_age_s',
)
SEND_FAILED: Final = Event(
    'send_failed',
    _REQUEST_ID,
    _ENDPOINT,
    _ATTEMPT,
    _REASON,
    'detail',
    'framing',
    _DURATION,
)
REQUEST_ANSWERED: Final = Event(
    'request_answered',
    _REQUEST_ID,
    'route',
    _KIND,
    _ENDPOINT,
    'peer',
    _ZONE,
    _ATTEMPT,
    'status',
    'framing',
    'first_s',
    'pause_s',
    _DURATION,
    'bytes_out',
)
REQUEST_REFUSED: Final = Event(
    'request_refused',
    _REQUEST_ID,
    'status',
    _REASON,
    'detail',
    _FINGERPRINT,
    'resumes',
    'software',
    'run_state',
    'retry_after_s',
    _DURATION,
    'version',
    'state_age_s',
)
STREAM_RESUMED: Final = Event(
    'stream_resumed',
    _REQUEST_ID,
    _ENDPOINT,
    'peer',
    _ZONE,
    'software',
    _ATTEMPT,
    _REASON,
)
STREAM_ORIGIN_FOUND: Final = Event(
    'stream_origin_found',
    _REQUEST_ID,
    'resumes',
    'software',
    'source',
    _DURATION,
)
VERSIONS_CHANGED: Final = Event('versions_changed', 'software')
STREAM_BROKEN: Final = Event(
    'stream_broken',
    _REQUEST_ID,
    _ENDPOINT,
    _ATTEMPT,
    _REASON,
    _DURATION,
)
# This host reaches no endpoint, or may not, and passes the request on.
REQUEST_PASSED_ON: Final = Event(
    'request_passed_on',
    _REQUEST_ID,
    'route',
    _KIND,
    'customer',
    'peer',
    _ZONE,
    _REASON,
    'reach',
    _ATTEMPT,
    'deadline_s',
)
# The duration ends with the headers of the response.
PASSED_ON_ANSWERED: Final = Event(
    'passed_on_answered', _REQUEST_ID, 'peer', 'status', _REASON, _DURATION
)
PASS_ON_FAILED: Final = Event(
    'pass_on_failed',
    _REQUEST_ID,
    'peer',
    _ATTEMPT,
    _REASON,
    'detail',
    'run_state',
    _DURATION,
)
REQUEST_TAKEN_OVER: Final = Event(
    'request_taken_over',
    _REQUEST_ID,
    'route',
    _KIND,
    'customer',
    'sender',
    _ATTEMPT,
    'deadline_s',
)
# A second attempt at a request whose first one is late; the duration is that
# of the first one so far.
HEDGE_SENT: Final = Event(
    'hedge_sent',
    _REQUEST_ID,
    'route',
    _ENDPOINT,
    _ZONE,
    _ATTEMPT,
    _DURATION,
)
# Whether the second attempt was answered first; the duration is its own.
HEDGE_ENDED: Final = Event(
    'hedge_ended', _REQUEST_ID, _ENDPOINT, _ZONE, 'is_used', _DURATION
)
CRASH_SUSPECTED: Final = Event(
    'crash_suspected',
    _REQUEST_ID,
    _FINGERPRINT,
    _ENDPOINT,
    'parts',
    _DURATION,
)
SUSPECT_QUARANTINED: Final = Event(
    'suspect_quarantined', _KIND, 'suspect', 'endpoints'
)
SUSPECT_RELEASED: Final = Event('suspect_released', _KIND, 'suspect')
ENDPOINT_NOTICE: Final = Event(
    'endpoint_notice',
    _ENDPOINT,
    'is_leaving',
    'limit_per_s',
    'rejections_per_s',
    'retry_after_s',
    'cold_s',
    _DURATION,
)
# What decided whether the host believes that it reaches no endpoint while
# other gateways do.
ENDPOINTS_CUT_OFF: Final = Event(
    'endpoints_cut_off',
    'failed_endpoints',
    'since_success_s',
    'others_reach',
    'view_age_s',
)
ENDPOINTS_REGAINED: Final = Event(
    'endpoints_regained',
    'failed_endpoints',
    'since_success_s',
    'others_reach',
    'view_age_s',
)
# A body was refused, or one that took long gave way to others, since the bodies
# of all callers hold too much.
BODY_REFUSED: Final = Event('body_refused', 'bytes_in', 'held_bytes', _DURATION)
BODY_GAVE_WAY: Final = Event(
    'body_gave_way', 'bytes_in', 'held_bytes', _DURATION
)
# An unfinished head of a request was dropped, since all of them hold too much.
HEAD_GAVE_WAY: Final = Event('head_gave_way', 'bytes_in', 'held_bytes')
# The answer of a caller that did not read it was ended, since answers hold too
# much, or since all threads of an address were in use.
ANSWER_GAVE_WAY: Final = Event(
    'answer_gave_way', 'bytes_out', 'held_bytes', _DURATION
)
# No connection could be accepted; the oldest idle ones were closed.
DESCRIPTORS_USED_UP: Final = Event('descriptors_used_up', 'connections', 'idle')
CALLER_LEFT: Final = Event('caller_left', _REQUEST_ID, _DURATION)
STATE_IN_FORCE: Final = Event(
    'state_in_force',
    'version',
    'routes',
    'state_age_s',
)
# A newer state is known and its blocks arrive; and it is complete. The bytes
# are compressed ones, and the duration counts since the version is known.
STATE_FETCHING: Final = Event(
    'state_fetching', 'version', 'blocks', 'bytes_in', 'missing', _DURATION
)
STATE_FETCHED: Final = Event(
    'state_fetched', 'version', 'blocks', 'bytes_in', _DURATION
)
STATE_ACKNOWLEDGED: Final = Event('state_acknowledged', 'version', _DURATION)
STATE_REFUSED: Final = Event('state_refused', _REASON)
# A quorum of control hosts has confirmed the copy while no leader did.
STATE_CONFIRMED: Final = Event(
    'state_confirmed', 'version', 'count', 'state_age_s', _DURATION
)
# A change was acknowledged although a gateway in touch may not have it.
COPIES_OUTDATED: Final = Event('copies_outdated', 'version', 'count')
# An operator has begun or ended the evacuation of a zone.
EVACUATION_ACKNOWLEDGED: Final = Event(
    'evacuation_acknowledged', _ZONE, 'is_evacuated'
)
EVACUATION_REFUSED: Final = Event('evacuation_refused', _REASON)
# It was acknowledged although a gateway in touch may not obey it yet.
EVACUATION_UNCONFIRMED: Final = Event(
    'evacuation_unconfirmed', _ZONE, 'revision'
)
# A gateway obeys a change; the zones are those that are evacuated from now on.
EVACUATIONS_IN_FORCE: Final = Event(
    'evacuations_in_force', 'revision', 'evacuated', 'returned'
)
# A gateway sends nothing, since it may not have heard of an evacuation.
EVACUATIONS_OUTDATED: Final = Event('evacuations_outdated', 'state_age_s')
# Endpoints that get requests only at the rate that cold ones take.
ENDPOINTS_COLD: Final = Event('endpoints_cold', 'count')
# A figure of the platform or of an endpoint was ignored.
FIGURE_IGNORED: Final = Event('figure_ignored', _KIND)
LEADER_FOUND: Final = Event('leader_found', 'leader')
CONTROL_CALL_FAILED: Final = Event(
    'control_call_failed',
    _KIND,
    'asked',
    _REASON,
    'detail',
    _DURATION,
)
LEADER_LOST: Final = Event('leader_lost', 'leader', _REASON)
DUTIES_TAKEN: Final = Event('duties_taken', 'fencing', 'term')
DUTIES_LOST: Final = Event('duties_lost', 'fencing', _REASON)
USAGE_SENT: Final = Event('usage_sent', 'window', 'requests')
ENDPOINTS_ORDERED: Final = Event(
    'endpoints_ordered',
    'pool',
    _ZONE,
    _KIND,
    'count',
    'outcome',
)
MEMBER_REMOVED: Final = Event('member_removed', 'member')
# The duration is that of the role before.
ROLE_CHANGED: Final = Event('role_changed', 'role', 'term', 'leader', _DURATION)
STORAGE_FULL: Final = Event('storage_full', 'term')
STORAGE_REGAINED: Final = Event('storage_regained', 'term', _DURATION)
# A planned stop ended; the counts are those of the moment of the exit.
PROCESS_STOPPED: Final = Event(
    'process_stopped',
    'role',
    _REASON,
    _DURATION,
    'connections',
    'idle',
    'being_read',
    'awaiting_request',
    'awaiting_thread',
    'unanswered',
    'closing',
    'unaccepted',
)

EVENTS: Final = (
    REQUEST_SENT,
    SEND_FAILED,
    REQUEST_ANSWERED,
    REQUEST_REFUSED,
    STREAM_RESUMED,
    STREAM_ORIGIN_FOUND,
    VERSIONS_CHANGED,
    STREAM_BROKEN,
    REQUEST_PASSED_ON,
    PASSED_ON_ANSWERED,
    PASS_ON_FAILED,
    REQUEST_TAKEN_OVER,
    CRASH_SUSPECTED,
    SUSPECT_QUARANTINED,
    SUSPECT_RELEASED,
    ENDPOINT_NOTICE,
    ENDPOINTS_CUT_OFF,
    ENDPOINTS_REGAINED,
    BODY_REFUSED,
    BODY_GAVE_WAY,
    HEAD_GAVE_WAY,
    ANSWER_GAVE_WAY,
    DESCRIPTORS_USED_UP,
    CALLER_LEFT,
    STATE_IN_FORCE,
    STATE_FETCHING,
    STATE_FETCHED,
    STATE_ACKNOWLEDGED,
    STATE_REFUSED,
    COPIES_OUTDATED,
    STATE_CONFIRMED,
    EVACUATION_ACKNOWLEDGED,
    EVACUATION_REFUSED,
    EVACUATION_UNCONFIRMED,
    EVACUATIONS_IN_FORCE,
    EVACUATIONS_OUTDATED,
    ENDPOINTS_COLD,
    FIGURE_IGNORED,
    LEADER_FOUND,
    CONTROL_CALL_FAILED,
    LEADER_LOST,
    DUTIES_TAKEN,
    DUTIES_LOST,
    USAGE_SENT,
    ENDPOINTS_ORDERED,
    MEMBER_REMOVED,
    ROLE_CHANGED,
    STORAGE_FULL,
    STORAGE_REGAINED,
    PROCESS_STOPPED,
)
# Fields that are durations in seconds, which a histogram records too.
_DURATION_FIELDS: Final = ('queue_wait_s', 'first_s', 'pause_s', _DURATION)
# Decimal places of floating-point fields, which keeps the lines short.
_DECIMAL_PLACES: Final = 4
# Longer texts are cut; clients choose some of them.
_MAX_TEXT_LENGTH: Final = 1024


class LineRateLimiter:
    """Limits the number of log lines per event and second."""

    __slots__ = ('_counts', '_dropped', '_lock', '_second')

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._second = 0
        self._counts: dict[str, int] = {}
        self._dropped: dict[str, int] = {}

    def admit_line(self, name: str, now: float) -> int | None:
        """Return the number of lines dropped before this one.

        Return None if this line exceeds the limit and is dropped too.
        """
        with self._lock:
            if int(now) != self._second:
                self._second = int(now)
                self._counts.clear()
            count = self._counts.get(name, 0) + 1
            self._counts[name] = count
            if count > _MAX_LINES_PER_S:
                self._dropped[name] = self._dropped.get(name, 0) + 1
                return None
            return self._dropped.pop(name, 0)


class DecisionCounter:
    """Counts every decision, including those whose line is dropped."""

    __slots__ = ('_metrics',)

    def __init__(self) -> None:
        self._metrics: Metrics | None = None

    def attach_metrics(self, metrics: Metrics) -> None:
        """Count decisions in ``metrics`` from now on."""
        self._metrics = metrics

    def add(self, metric: Metric, amount: float) -> None:
        """Add to a counter without labels."""
        if self._metrics is not None:
            self._metrics.count(metric, amount=amount)

    def set_gauge(self, metric: Metric, level: float) -> None:
        """Set a gauge without labels."""
        if self._metrics is not None:
            self._metrics.set_gauge(metric, level)

    def count(self, event: Event, fields: Mapping[str, Any]) -> None:
        """Count a decision and record the durations among its fields."""
        if self._metrics is None:
            return
        labels = {'event': event.name, _KIND: str(fields.get(_KIND, ''))}
        reason = str(fields.get(_REASON) or fields.get('status') or '')
        self._metrics.count(DECISIONS, {**labels, _REASON: reason})
        for name in _DURATION_FIELDS:
            seconds = fields.get(name)
            if seconds is not None:
                self._metrics.observe(
                    DECISION_S,
                    seconds,
                    {**labels, 'field': name},
                )


_LINE_RATE_LIMITER: Final = LineRateLimiter()
DECISION_COUNTER: Final = DecisionCounter()


def log_decision(event: Event, **fields: Any) -> None:
    """Count a decision and log its line, subject to the rate limit.

    Parameters
    ----------
    event : Event
        Event of the line.
    **fields : Any
        Values of the fields of the event; fields that are None are left
        out.
    """
    DECISION_COUNTER.count(event, fields)
    dropped = _LINE_RATE_LIMITER.admit_line(event.name, time.monotonic())
    if dropped is None:
        return
    extra: dict[str, Any] = {'event': event.name}
    if dropped:
        extra['dropped'] = dropped
    for name, field in fields.items():
        if field is not None:
            extra[name] = _shortened(field)
    _LOG.info(event.name, extra=extra)


def _shortened(field: Any) -> Any:
    if isinstance(field, float):
        return round(field, _DECIMAL_PLACES)
    if isinstance(field, str) and len(field) > _MAX_TEXT_LENGTH:
        kept = field[:_MAX_TEXT_LENGTH]
        return f'{kept}... ({len(field)} characters)'
    return field


def disallowed_fields() -> set[str]:
    """Return the event fields that the log filter would remove."""
    declared = {name for event in EVENTS for name in event.fields}
    return declared - ALLOWED_FIELDS

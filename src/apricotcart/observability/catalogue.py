"""Declares every metric: name, description and labels.

No metric has a customer label, since thousands of customers would multiply
the number of time series.
"""

from __future__ import annotations

from typing import Final

COUNTER: Final = 'counter'
GAUGE: Final = 'gauge'
HISTOGRAM: Final = 'histogram'

_CLASS: Final = 'class'

# Bucket bounds in seconds. They include the targets of 0.047 s between tokens
# and 0.64 s to the first token, so that the share of requests that meet a
# target can be read from the histogram.
LATENCY_BUCKETS_S: Final = (
    0.001,
    0.005,
    0.01,
    0.025,
    0.047,
    0.1,
    0.25,
    0.64,
    1.0,
    2.5,
    5.0,
    10.0,
    30.0,
    60.0,
)


class Metric:
    """Declaration of one metric."""

    __slots__ = ('kind', 'labels', 'description', 'name')

    def __init__(
        self, kind: str, name: str, description: str, *labels: str
    ) -> None:
        """Initialize the metric; its name gets the project's prefix."""
        self.kind = kind
        self.name = f'apricotcart_{name}'
        self.description = description
        self.labels = frozenset(labels)


REQUESTS: Final = Metric(
    COUNTER,
    'requests_total',
    'Requests from callers by class and outcome.',
    _CLASS,
    'outcome',
)
SHED: Final = Metric(
    COUNTER,
    'shed_total',
    'Requests rejected before they ran, by class and reason.',
    _CLASS,
    'reason',
)
RETRIES: Final = Metric(
    COUNTER, 'retries_total', 'Retries by reason.', 'reason'
)
TOKENS: Final = Metric(
    COUNTER,
    'tokens_total',
    'Prompt tokens (in) and output tokens (out) by class.',
    _CLASS,
    'direction',
)
WASTED_TOKENS: Final = Metric(
    COUNTER,
    'wasted_tokens_total',
    'Output tokens of requests that were not answered, by class.',
    _CLASS,
)
SYNCS: Final = Metric(
    COUNTER,
    'syncs_total',
    'Synchronisations with the control hosts by outcome.',
    'outcome',
)
COMMANDS: Final = Metric(
    COUNTER,
    'commands_total',
    'Commands to the replicated state by kind and outcome.',
    'kind',
    'outcome',
)
TERM: Final = Metric(
    GAUGE, 'term', 'Term of the replicated log, which elections increase.'
)
PLATFORM_CALLS: Final = Metric(
    COUNTER,
    'platform_calls_total',
    'Calls to the platform and to engines by kind and outcome.',
    'kind',
    'outcome',
)
DROPPED_SPANS: Final = Metric(
    COUNTER, 'dropped_spans_total', 'Spans dropped instead of written.'
)
DROPPED_LOG_RECORDS: Final = Metric(
    COUNTER,
    'dropped_log_records_total',
    'Log records dropped because the queue of the writer was full.',
)
QUEUED: Final = Metric(
    GAUGE, 'queued_requests', 'Requests waiting for an endpoint.', _CLASS
)
RUNNING: Final = Metric(
    GAUGE, 'running_requests', 'Requests sent to an endpoint.', _CLASS
)
CONFIG_REVISION: Final = Metric(
    GAUGE, 'config_revision', 'Revision of the cached configuration.'
)
CONFIG_AGE_S: Final = Metric(
    GAUGE,
    'config_age_seconds',
    'Time since the start of the last successful synchronisation, in s.',
)
ENTRY_HOSTS: Final = Metric(
    GAUGE,
    'entry_hosts',
    'Entry hosts known to the leader, by state.',
    'state',
)
IS_LEADER: Final = Metric(
    GAUGE, 'is_leader', '1 if this control host is the leader, otherwise 0.'
)
COMMIT_INDEX: Final = Metric(
    GAUGE, 'commit_index', 'Index of the last committed log entry.'
)
RESIDENT_BYTES: Final = Metric(
    GAUGE, 'resident_bytes', 'Resident memory of the process in bytes.'
)
QUEUE_WAIT_S: Final = Metric(
    HISTOGRAM,
    'queue_wait_seconds',
    'Time from the arrival of a request to its dispatch, in s.',
    _CLASS,
)
FIRST_TOKEN_S: Final = Metric(
    HISTOGRAM,
    'first_token_seconds',
    'Time from the arrival of a request to the first answer byte, in s.',
    _CLASS,
)
BETWEEN_TOKENS_S: Final = Metric(
    HISTOGRAM,
    'between_tokens_seconds',
    'Time between two chunks of a stream, in s.',
    _CLASS,
)
REQUEST_S: Final = Metric(
    HISTOGRAM, 'request_seconds', 'Duration of a request, in s.', _CLASS
)
COMMIT_S: Final = Metric(
    HISTOGRAM, 'commit_seconds', 'Time from a proposal to its commit, in s.'
)

DECISIONS: Final = Metric(
    COUNTER,
    'decisions_total',
    'Decisions by event of the log line, kind of route and reason.',
    'event',
    'kind',
    'reason',
)
DECISION_S: Final = Metric(
    HISTOGRAM,
    'decision_seconds',
    'Durations in log lines of decisions, in s, by event, kind and field.',
    'event',
    'kind',
    'field',
)

STATE_FETCH_BYTES: Final = Metric(
    COUNTER,
    'state_fetch_bytes_total',
    'Compressed bytes of the desired state that were fetched in blocks.',
)
STATE_FETCH_BLOCKS: Final = Metric(
    COUNTER,
    'state_fetch_blocks_total',
    'Blocks of the desired state that were fetched.',
)
STATE_FETCH_S: Final = Metric(
    GAUGE,
    'state_fetch_seconds',
    'Time since a newer desired state is known and not complete, in s.',
)

METRICS: Final = (
    DECISIONS,
    DECISION_S,
    REQUESTS,
    SHED,
    RETRIES,
    TOKENS,
    WASTED_TOKENS,
    SYNCS,
    COMMANDS,
    TERM,
    PLATFORM_CALLS,
    DROPPED_SPANS,
    DROPPED_LOG_RECORDS,
    QUEUED,
    RUNNING,
    CONFIG_REVISION,
    CONFIG_AGE_S,
    ENTRY_HOSTS,
    IS_LEADER,
    COMMIT_INDEX,
    RESIDENT_BYTES,
    QUEUE_WAIT_S,
    FIRST_TOKEN_S,
    BETWEEN_TOKENS_S,
    REQUEST_S,
    COMMIT_S,
    STATE_FETCH_BYTES,
    STATE_FETCH_BLOCKS,
    STATE_FETCH_S,
)

"""Redacts what is written to logs and spans.

No key, prompt or answer may leave the process this way. Only fields with an
allowed name are written; secrets are removed from text, and text is truncated
to a length that is too short for a useful prompt or answer.
"""

from __future__ import annotations

import re
from collections.abc import Mapping
from typing import Any, Final

MAX_TEXT_CHARS: Final = 200
REMOVED: Final = '[removed]'

# Names of the fields that a log line or a span may have; others are removed.
ALLOWED_FIELDS: Final = frozenset(
    (
        'asked',
        'attempt',
        'awaiting_request',
        'awaiting_thread',
        'being_read',
        'blocks',
        'bytes_in',
        'bytes_out',
        'class',
        'closing',
        'code',
        'cold_s',
        'connections',
        'copied_from',
        'count',
        'customer',
        'deadline_s',
        'detail',
        'dropped',
        'duration_s',
        'endpoint',
        'endpoints',
        'evacuated',
        'event',
        'failed_endpoints',
        'fencing',
        'fingerprint',
        'first_s',
        'framing',
        'host',
        'held_bytes',
        'idle',
        'incarnation',
        'index',
        'is_evacuated',
        'is_leaving',
        'is_used',
        'kind',
        'leader',
        'levels_above',
        'levels_below',
        'limit_per_s',
        'load_age_s',
        'member',
        'method',
        'missing',
        'model',
        'name',
        'op_id',
        'others_reach',
        'outcome',
        'parts',
        'pause_s',
        'peer',
        'pool',
        'queue_wait_s',
        'reach',
        'ready',
        'reason',
        'rejections_per_s',
        'request_id',
        'requests',
        'resumes',
        'retry_after_s',
        'returned',
        'revision',
        'role',
        'route',
        'routes',
        'run_state',
        'running',
        'running_elsewhere',
        'sender',
        'since_success_s',
        'software',
        'source',
        'span_id',
        'state_age_s',
        'status',
        'suspect',
        'term',
        'tier',
        'tokens_in',
        'tokens_out',
        'trace_id',
        'unaccepted',
        'unanswered',
        'unread_tokens',
        'version',
        'view_age_s',
        'window',
        'zone',
    )
)

_UNREDACTED_TYPES = (bool, int, float, type(None))
# Matches API keys anywhere in a text, credentials of headers, and the text
# fields of chat messages in JSON or Python syntax up to the end of the line.
_SECRET_PATTERN = re.compile(
    r'\back_[A-Za-z0-9_-]+'
    r'|(?:bearer|basic)\s+\S+'
    r'|authorization[\'"]?\s*[:=].*'
    r'|[\'"](?:content|prompt|messages|arguments|text)[\'"]\s*:.*',
    re.IGNORECASE,
)


def safe_text(text: str) -> str:
    """Return the text without secrets and message content, truncated."""
    redacted = _SECRET_PATTERN.sub(REMOVED, text)
    if len(redacted) > MAX_TEXT_CHARS:
        start = redacted[:MAX_TEXT_CHARS]
        return f'{start}... ({len(redacted)} characters)'
    return redacted


def safe_argument(argument: Any) -> Any:
    """Return the form in which an argument of a log call may be written.

    Numbers, booleans and None are unchanged and text is redacted. Any other
    value is replaced by the name of its type, since bytes and collections
    may contain a request body.
    """
    if isinstance(argument, _UNREDACTED_TYPES):
        return argument
    if isinstance(argument, str):
        return safe_text(argument)
    return f'<{type(argument).__name__}>'


def safe_fields(fields: Mapping[str, Any]) -> dict[str, Any]:
    """Return the allowed fields with redacted values."""
    return {
        name: safe_argument(field)
        for name, field in fields.items()
        if name in ALLOWED_FIELDS
    }

"""What may be written to logs and spans.

No key, prompt or answer may leave the process this way, so fields pass only
by name, and text is searched for secrets and cut to a length that no prompt
or answer of use fits in.
"""

from __future__ import annotations

import re
from collections.abc import Mapping
from typing import Any, Final

MAX_TEXT_CHARS: Final = 200
REMOVED: Final = '[removed]'

# Fields that a log call or a span may carry; any other is left out.
ALLOWED_FIELDS: Final = frozenset(
    (
        'attempt',
        'bytes_in',
        'bytes_out',
        'class',
        'code',
        'copied_from',
        'count',
        'customer',
        'deadline_s',
        'detail',
        'dropped',
        'duration_s',
        'endpoint',
        'endpoints',
        'event',
        'fencing',
        'first_s',
        'host',
        'incarnation',
        'index',
        'kind',
        'leader',
        'levels_above',
        'levels_below',
        'load_age_s',
        'member',
        'method',
        'model',
        'name',
        'op_id',
        'outcome',
        'pause_s',
        'pool',
        'queue_wait_s',
        'ready',
        'reason',
        'request_id',
        'requests',
        'retry_after_s',
        'revision',
        'role',
        'route',
        'routes',
        'run_state',
        'running',
        'running_elsewhere',
        'source',
        'span_id',
        'state_age_s',
        'status',
        'term',
        'tier',
        'tokens_in',
        'tokens_out',
        'trace_id',
        'unread_tokens',
        'version',
        'window',
        'zone',
    )
)

_PLAIN_TYPES = (bool, int, float, type(None))
# A secret key in any text, the credentials of a header, and the text fields
# of chat messages in JSON or Python form, up to the end of the line.
_SECRETS = re.compile(
    r'\back_[A-Za-z0-9_-]+'
    r'|(?:bearer|basic)\s+\S+'
    r'|authorization[\'"]?\s*[:=].*'
    r'|[\'"](?:content|prompt|messages|arguments|text)[\'"]\s*:.*',
    re.IGNORECASE,
)


def safe_text(text: str) -> str:
    """Remove secrets and message content, and cut the text to length."""
    cleaned = _SECRETS.sub(REMOVED, text)
    if len(cleaned) > MAX_TEXT_CHARS:
        start = cleaned[:MAX_TEXT_CHARS]
        return f'{start}... ({len(cleaned)} characters)'
    return cleaned


def safe_argument(argument: Any) -> Any:
    """Give what may be written of one argument of a log call.

    Numbers pass, text is cleaned, and anything else is written as its
    type's name: bytes and collections may hold a body.
    """
    if isinstance(argument, _PLAIN_TYPES):
        return argument
    if isinstance(argument, str):
        return safe_text(argument)
    return f'<{type(argument).__name__}>'


def safe_fields(fields: Mapping[str, Any]) -> dict[str, Any]:
    """Give the fields that may be written, with cleaned values."""
    return {
        name: safe_argument(field)
        for name, field in fields.items()
        if name in ALLOWED_FIELDS
    }

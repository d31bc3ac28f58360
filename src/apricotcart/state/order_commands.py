"""Fields of the order commands."""

from __future__ import annotations

from types import MappingProxyType
from typing import Final

from apricotcart.state.fields import (
    NAME_PATTERN,
    Blob,
    Choice,
    Integer,
    Text,
)
from apricotcart.state.schema import Schema

MAX_HASH_CHARS: Final = 128
MAX_HTTP_STATUS: Final = 999

_ORDER_KEY: Final = MappingProxyType(
    {
        'customer': Text(pattern=NAME_PATTERN),
        'idempotency_key': Text(),
        'attempt_id': Text(),
    },
)

ORDER_BEGIN: Final = Schema(
    {
        **_ORDER_KEY,
        'body_hash': Text(max_chars=MAX_HASH_CHARS),
        'host': Text(pattern=NAME_PATTERN),
        'incarnation': Integer(),
    },
)

ORDER_FINISH: Final = Schema(
    {
        **_ORDER_KEY,
        # Only the host of the attempt may send not_run.
        'result': Choice('done', 'not_run', 'unknown'),
        'status': Integer(high=MAX_HTTP_STATUS, default=0),
        'content_type': Text(default='application/octet-stream'),
        'body': Blob(default=b''),
    },
)

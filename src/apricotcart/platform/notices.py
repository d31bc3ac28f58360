"""Reads the headers in which endpoints say something about themselves."""

from __future__ import annotations

import math
import re
from typing import Final

from apricotcart.gateway.api import EndpointNotice, Headers

LIMIT: Final = 'server-limit'
LEAVING: Final = 'server-leaving'
_DECIMAL: Final = re.compile('[0-9]+(?:[.][0-9]*)?(?:[eE][+-]?[0-9]+)?')


def parse_notice(headers: Headers) -> EndpointNotice:
    """Return what an endpoint says about itself with a response."""
    limits = [_parse_decimal(text) for text in _texts_of(headers, LIMIT)]
    readable = [limit for limit in limits if limit is not None]
    return EndpointNotice(
        is_leaving=('1' in _texts_of(headers, LEAVING)),
        # Of several limits, the lowest keeps to all of them.
        limit_per_s=min(readable, default=None),
        is_limit_unreadable=bool(limits) and not readable,
    )


def _texts_of(headers: Headers, wanted: str) -> list[str]:
    return [text.strip() for name, text in headers if name.lower() == wanted]


def _parse_decimal(text: str) -> float | None:
    """Return a non-negative finite number, None if it is none."""
    if _DECIMAL.fullmatch(text.strip()) is None:
        return None
    number = float(text)
    return number if math.isfinite(number) else None

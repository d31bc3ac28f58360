"""Reads the headers in which endpoints say something about themselves."""

from __future__ import annotations

import math
import re
from http import HTTPStatus
from typing import Final

from apricotcart.gateway.api import EndpointNotice, Headers
from apricotcart.observability.decisions import (
    FIGURE_IGNORED,
    log_decision,
)

LIMIT: Final = 'server-limit'
LEAVING: Final = 'server-leaving'
BRITTLE: Final = 'server-brittle'
COLD: Final = 'warmup-ms'
_PAUSE: Final = 'retry-after'
_TURNED_AWAY: Final = frozenset(
    (HTTPStatus.SERVICE_UNAVAILABLE, HTTPStatus.TOO_MANY_REQUESTS)
)
# Longest pause that is believed. An endpoint that wants a longer one says so
# again with its next answer.
_MAX_PAUSE_S: Final = 300.0
_MS_PER_S: Final = 1000
# Longest time for which an endpoint is believed to be cold.
MAX_COLD_S: Final = 120.0
_DECIMAL: Final = re.compile('[0-9]+(?:[.][0-9]*)?(?:[eE][+-]?[0-9]+)?')


def parse_notice(headers: Headers, status: int) -> EndpointNotice:
    """Return what an endpoint says about itself with a response.

    Parameters
    ----------
    headers : list of (str, str)
        Headers of the response.
    status : int
        Its status; only one that turns the request away can ask for a pause.
    """
    limits = _texts_of(headers, LIMIT)
    limit_per_s = _lowest(limits)
    rejections = _texts_of(headers, BRITTLE)
    rejections_per_s = _lowest(rejections)
    return EndpointNotice(
        is_leaving=('1' in _texts_of(headers, LEAVING)),
        limit_per_s=limit_per_s,
        is_limit_unreadable=bool(limits) and limit_per_s is None,
        pause_s=_pause_s(headers) if status in _TURNED_AWAY else 0,
        rejections_per_s=(
            None if rejections_per_s is None else int(rejections_per_s)
        ),
        is_rejections_unreadable=(
            bool(rejections) and rejections_per_s is None
        ),
        cold_s=_cold_s(headers),
    )


def _lowest(texts: list[str]) -> float | None:
    """Return the lowest readable number, which keeps to all of them."""
    numbers = [_parse_decimal(text) for text in texts]
    return min(
        (number for number in numbers if number is not None), default=None
    )


def _cold_s(headers: Headers) -> float | None:
    """Return the longest time that is stated, None without a readable one."""
    texts = _texts_of(headers, COLD)
    numbers = [_parse_decimal(text) for text in texts]
    known = [number for number in numbers if number is not None]
    if len(known) < len(texts):
        log_decision(FIGURE_IGNORED, kind=COLD)
    if not known:
        return None
    return min(max(known) / _MS_PER_S, MAX_COLD_S)


def _pause_s(headers: Headers) -> float:
    """Return the longest time that is stated, 0 without a readable one.

    A date is not read: it would depend on the clocks of two hosts.
    """
    pauses_s = [_parse_decimal(text) for text in _texts_of(headers, _PAUSE)]
    longest_s = max(
        (pause_s for pause_s in pauses_s if pause_s is not None), default=0
    )
    return min(longest_s, _MAX_PAUSE_S)


def _texts_of(headers: Headers, wanted: str) -> list[str]:
    return [text.strip() for name, text in headers if name.lower() == wanted]


def _parse_decimal(text: str) -> float | None:
    """Return a non-negative finite number, None if it is none."""
    if _DECIMAL.fullmatch(text.strip()) is None:
        return None
    number = float(text)
    return number if math.isfinite(number) else None

"""Decides which engines keep the shared parts of prompts.

Answers the load of many prompts that share long parts: reading a part again
costs time that other prompts wait for, so that requests meet at one engine, or
at a second one when it is full, and any other engine copies the part.
"""

from __future__ import annotations

import heapq
from collections.abc import Iterable, Sequence
from typing import Final

from apricotcart.gateway.endpoint_state import EndpointRow, Need
from apricotcart.gateway.hashing import draw

# What copying a shared part costs as a share of reading it: the copy takes
# memory, and what another host had read there is less sure than at the home.
_COPY_SHARE: Final = 1.5
# The same at the second home, which the requests that leave a full home go to.
_SECOND_SHARE: Final = 0.5
# Shared tokens below which reading is as quick as copying.
_COPY_TOKENS: Final = 100
# An engine that was listed for less than this has read few parts yet, in
# seconds.
_SETTLED_S: Final = 5.0
# Endpoints that cache one part.
_HOMES: Final = 2


def homes_of(part_id: str, rows: Iterable[EndpointRow]) -> list[EndpointRow]:
    """Give the two endpoints that cache a part, none without a shared part.

    Each endpoint draws a number for the part and the highest win, so that
    all hosts agree and a change of the endpoints moves few parts.
    """
    if not part_id:
        return []
    return heapq.nlargest(
        _HOMES,
        rows,
        key=lambda row: draw(part_id, row.instance.instance_id),
    )


def source_of(
    chosen: EndpointRow,
    need: Need,
    now: float,
    rows: Iterable[EndpointRow],
) -> EndpointRow | None:
    """Give the engine that most likely keeps the shared parts.

    An engine that became the home a moment ago copies them from the one
    that was the home before, which may be leaving; others copy from
    there too until the new home has read some.

    Parameters
    ----------
    chosen : EndpointRow
        Where the request goes.
    need : Need
        The request.
    now : float
        Time in seconds.
    rows : iterable of EndpointRow
        Endpoints that may keep the parts.
    """
    if need.shared_tokens < _COPY_TOKENS or chosen.keeps(need.shared_part):
        return None
    others = [row for row in rows if row is not chosen and not row.has_failed]
    settled = [row for row in others if now >= row.listed_at + _SETTLED_S]
    homes = homes_of(need.shared_part, settled or others)
    return homes[0] if homes else None


def can_copy(need: Need, homes: Sequence[EndpointRow]) -> bool:
    """Tell whether shared parts are worth a copy from their home."""
    if not homes or homes[0].has_failed:
        return False
    return need.shared_tokens >= _COPY_TOKENS


def unread_of(
    row: EndpointRow,
    need: Need,
    homes: Sequence[EndpointRow],
) -> int:
    """Give the work of a prompt at an engine.

    All hosts send requests with the same shared parts to their home, so
    that another host has most likely had them read there.
    """
    if homes and row is homes[0]:
        return need.read_work(need.own_tokens)
    unread = row.unread_of(need)
    if not can_copy(need, homes):
        return unread
    share = _SECOND_SHARE if row in homes else _COPY_SHARE
    copied = need.own_tokens + int(need.shared_tokens * share)
    return min(unread, need.read_work(copied))

"""Decoder of the routes in operators' documents."""

from __future__ import annotations

from collections.abc import Mapping
from types import MappingProxyType
from typing import Final

from apricotcart.desired.records import Route, RouteKind, Split
from apricotcart.platform.fields import FieldReader

_MS_PER_S: Final = 1000
_ROUTE_KINDS: Final[Mapping[str, RouteKind]] = MappingProxyType(
    {
        'safe': RouteKind.IDEMPOTENT,
        'unsafe': RouteKind.ONCE,
        'streaming': RouteKind.STREAM,
    }
)


def parse_route(reader: FieldReader) -> Route:
    """Return the route of an entry; the reader records its faults."""
    return Route(
        name=reader.text('name'),
        host=reader.text('host'),
        prefix=reader.text('path_prefix'),
        kind=_parse_kind(reader),
        splits=_parse_splits(reader),
        timeout_s=reader.number('timeout_ms') / _MS_PER_S,
        # Target time to the first byte; 'timeout_ms' if there is none.
        target_s=reader.number('goal_ms', reader.number('timeout_ms'))
        / _MS_PER_S,
        pause_s=_parse_pause_s(reader),
        max_endpoints=reader.integer('max_attempts', 1),
        priority=reader.integer('priority', 0),
        is_public=reader.flag('public'),
        resumable=reader.flag('resumable'),
        # 'sticky' marks routes whose requests list the parts of their prompt.
        has_prompt=reader.flag('sticky'),
    )


def _parse_kind(reader: FieldReader) -> RouteKind:
    route_type = reader.text('route_type')
    kind = _ROUTE_KINDS.get(route_type)
    if kind is None:
        reader.add_fault(
            'route_type',
            f'{route_type!r} is not one of safe, unsafe or streaming',
        )
        return RouteKind.ONCE
    return kind


def _parse_splits(reader: FieldReader) -> list[Split]:
    if not reader.has('split'):
        return [Split(service=reader.text('service'), weight=1)]
    return [
        Split(service=entry.text('service'), weight=entry.number('weight'))
        for entry in reader.entries('split')
    ]


def _parse_pause_s(reader: FieldReader) -> float | None:
    # 'gap_goal_ms' is the target for the time between two events of a stream.
    if not reader.has('gap_goal_ms'):
        return None
    return reader.number('gap_goal_ms') / _MS_PER_S

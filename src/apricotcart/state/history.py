"""Bounded history of resource changes."""

from __future__ import annotations

from bisect import bisect_right
from collections.abc import Iterable
from typing import Any

from apricotcart.state.records import Event


class EventHistory:
    """The latest events in order of revision.

    Events of one revision are kept or dropped together, since they are one
    atomic change.

    Parameters
    ----------
    max_events : int
        Bound on the events kept.
    """

    __slots__ = ('_events', '_max_events', '_revisions', 'floor')

    def __init__(self, max_events: int) -> None:
        """Start empty, reaching back to revision 0."""
        self._events: list[Event] = []
        self._revisions: list[int] = []
        self._max_events = max_events
        self.floor = 0

    def __len__(self) -> int:
        """Count the events kept."""
        return len(self._events)

    def add(self, events: Iterable[Event]) -> None:
        """Append the events of one revision and drop the oldest."""
        for event in events:
            self._events.append(event)
            self._revisions.append(event.revision)
        excess = len(self._events) - self._max_events
        if excess > 0:
            self._drop_through(self._revisions[excess - 1])

    def since(self, revision: int) -> list[Event] | None:
        """Give the events after a revision, None if some were dropped."""
        if revision < self.floor:
            return None
        return self._events[bisect_right(self._revisions, revision) :]

    def to_wire(self) -> dict[str, Any]:
        """Give the history as a mapping."""
        return {
            'floor': self.floor,
            'events': [event.to_wire() for event in self._events],
        }

    def load(self, wire: dict[str, Any]) -> None:
        """Replace the history by one from ``to_wire``."""
        self.floor = wire['floor']
        self._events = [Event.from_wire(fields) for fields in wire['events']]
        self._revisions = [event.revision for event in self._events]

    def _drop_through(self, revision: int) -> None:
        count = bisect_right(self._revisions, revision)
        self._events = self._events[count:]
        self._revisions = self._revisions[count:]
        self.floor = revision

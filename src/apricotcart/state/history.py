"""Bounded history of resource events."""

from __future__ import annotations

from bisect import bisect_right
from collections.abc import Iterable
from typing import Any

from apricotcart.state.records import Event


class EventHistory:
    """The latest events, ordered by revision.

    Events of the same revision are kept or dropped together, since they form
    one atomic change.

    Parameters
    ----------
    max_events : int
        Maximum number of events kept.
    """

    __slots__ = ('_events', '_max_events', '_revisions', 'dropped_through')

    def __init__(self, max_events: int) -> None:
        """Initialize an empty history that starts after revision 0."""
        self._events: list[Event] = []
        self._revisions: list[int] = []
        self._max_events = max_events
        self.dropped_through = 0

    def __len__(self) -> int:
        """Return the number of events."""
        return len(self._events)

    def add(self, events: Iterable[Event]) -> None:
        """Append the events of one revision and drop the oldest ones."""
        for event in events:
            self._events.append(event)
            self._revisions.append(event.revision)
        excess = len(self._events) - self._max_events
        if excess > 0:
            self._drop_through(self._revisions[excess - 1])

    def since(self, revision: int) -> list[Event] | None:
        """Return the events after a revision, or None if some were dropped."""
        if revision < self.dropped_through:
            return None
        return self._events[bisect_right(self._revisions, revision) :]

    def to_wire(self) -> dict[str, Any]:
        """Return the snapshot form of the history."""
        return {
            'floor': self.dropped_through,
            'events': [event.to_wire() for event in self._events],
        }

    def load(self, wire: dict[str, Any]) -> None:
        """Load the output of ``to_wire``."""
        self.dropped_through = wire['floor']
        self._events = [Event.from_wire(fields) for fields in wire['events']]
        self._revisions = [event.revision for event in self._events]

    def _drop_through(self, revision: int) -> None:
        count = bisect_right(self._revisions, revision)
        self._events = self._events[count:]
        self._revisions = self._revisions[count:]
        self.dropped_through = revision

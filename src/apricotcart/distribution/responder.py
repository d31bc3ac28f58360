"""Builds the configuration part of sync replies on the leader."""

from __future__ import annotations

from collections.abc import Sequence
from typing import Final

from apricotcart.codec.packing import pack
from apricotcart.distribution.updates import ConfigUpdate
from apricotcart.state.machine import ClusterState
from apricotcart.state.records import OP_DELETE, OP_STATUS, Event, Identity

#: Updates kept for other hosts that hold the same revision.
_MAX_CACHED: Final = 64


class SyncResponder:
    """Gives each entry host what it lacks.

    Parameters
    ----------
    state : ClusterState
        The replicated state; the caller answers only after this leader has
        confirmed itself.
    """

    __slots__ = ('_cached', '_revision', '_state')

    def __init__(self, state: ClusterState) -> None:
        """Start without cached updates."""
        self._state = state
        self._revision = -1
        self._cached: dict[int | None, bytes] = {}

    def packed(self, held: int | None) -> bytes:
        """Give the update for a host, packed once for equal hosts.

        Parameters
        ----------
        held : int or None
            Revision that the host holds; None if it needs a snapshot.
        """
        if self._revision != self._state.revision:
            self._revision = self._state.revision
            self._cached = {}
        update = self._cached.get(held)
        if update is None:
            update = pack(self.respond(held).to_wire())
            if len(self._cached) < _MAX_CACHED:
                self._cached[held] = update
        return update

    def respond(self, held: int | None) -> ConfigUpdate:
        """Give the update for a host that holds a revision."""
        events = None if held is None else self._state.events_since(held)
        if events is None:
            revision, resources = self._state.all_resources()
            return ConfigUpdate(
                base=None,
                revision=revision,
                resources=resources,
            )
        return _delta(held, self._state.revision, events)


def _delta(
    held: int | None,
    revision: int,
    events: Sequence[Event],
) -> ConfigUpdate:
    latest: dict[Identity, Event] = {
        event.resource.identity: event
        for event in events
        if event.op != OP_STATUS
    }
    return ConfigUpdate(
        base=held,
        revision=revision,
        resources=[
            event.resource for event in latest.values() if event.op != OP_DELETE
        ],
        deleted=[
            identity
            for identity, event in latest.items()
            if event.op == OP_DELETE
        ],
    )

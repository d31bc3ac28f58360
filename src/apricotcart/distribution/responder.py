"""Builds the configuration updates in the leader's sync replies."""

from __future__ import annotations

from collections.abc import Sequence
from typing import Final

from apricotcart.codec.packing import pack
from apricotcart.distribution.updates import ConfigUpdate
from apricotcart.state.machine import ClusterState
from apricotcart.state.records import OP_DELETE, OP_STATUS, Event, Identity

#: Largest number of updates cached for hosts that hold the same revision.
_MAX_CACHED_UPDATES: Final = 64


class SyncResponder:
    """Builds the update that an entry host needs.

    Parameters
    ----------
    state : ClusterState
        The replicated state. The caller must confirm that this host still
        leads before it sends a reply.
    """

    __slots__ = ('_packed_updates', '_packed_revision', '_state')

    def __init__(self, state: ClusterState) -> None:
        self._state = state
        self._packed_revision = -1
        self._packed_updates: dict[int | None, bytes] = {}

    def packed_update(self, held_revision: int | None) -> bytes:
        """Return the packed update for a host.

        The update is packed once for all hosts that hold the same revision.

        Parameters
        ----------
        held_revision : int or None
            Revision that the host holds; None if it needs a snapshot.
        """
        if self._packed_revision != self._state.revision:
            self._packed_revision = self._state.revision
            self._packed_updates = {}
        update = self._packed_updates.get(held_revision)
        if update is None:
            update = pack(self.build_update(held_revision).to_wire())
            if len(self._packed_updates) < _MAX_CACHED_UPDATES:
                self._packed_updates[held_revision] = update
        return update

    def build_update(self, held_revision: int | None) -> ConfigUpdate:
        """Return the update for a host that holds a revision."""
        events = (
            None
            if held_revision is None
            else self._state.events_since(held_revision)
        )
        if events is None:
            revision, resources = self._state.all_resources()
            return ConfigUpdate(
                base=None,
                revision=revision,
                resources=resources,
            )
        return _delta(held_revision, self._state.revision, events)


def _delta(
    held_revision: int | None,
    revision: int,
    events: Sequence[Event],
) -> ConfigUpdate:
    latest: dict[Identity, Event] = {
        event.resource.identity: event
        for event in events
        if event.op != OP_STATUS
    }
    return ConfigUpdate(
        base=held_revision,
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

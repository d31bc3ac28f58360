"""Tells gateways the newest version of the desired state with each sync."""

from __future__ import annotations

import random
import threading
from collections.abc import Sequence
from typing import Final

from apricotcart.coordinator.exchange_messages import (
    GatewayFigures,
    SharedFigures,
)
from apricotcart.coordinator.shared_figures import FigureStore
from apricotcart.coordinator.state import CoordinatorState
from apricotcart.coordinator.state_blocks import deflate

# Compressed bytes of a state that is sent with the reply of a sync.
MAX_SMALL_BYTES: Final = 4096
# Length of a document that is not compressed at all, since syncs would wait for
# it and it would hardly become small enough.
_MAX_DOCUMENT_BYTES: Final = 65_536
# A gateway without a sync for this long is not named as a source.
_SOURCE_TTL_S: Final = 1.0
# Gateways that are named as sources to another one.
_SOURCES: Final = 6


class SmallDocument:
    """The desired state in compressed form, if it is small.

    Parameters
    ----------
    state : CoordinatorState
        State that the replicated log has applied.
    """

    __slots__ = ('_deflated', '_document', '_lock', '_state')

    def __init__(self, state: CoordinatorState) -> None:
        self._state = state
        self._lock = threading.Lock()
        self._document = b''
        self._deflated = b''

    def deflated(self) -> bytes | None:
        """Return the newest document, None if it is too large to be sent."""
        document = self._state.document
        if len(document) > _MAX_DOCUMENT_BYTES:
            return None
        with self._lock:
            if self._document is not document:
                self._deflated = deflate(document)
                self._document = document
            if len(self._deflated) > MAX_SMALL_BYTES:
                return None
            return self._deflated


class _Source:
    """A gateway, which may give others blocks.

    Attributes
    ----------
    address : str
        Its address for requests, empty if it gives no blocks.
    version : int
        Version of the desired state that it has.
    synced_at : float
        When it sent that, in seconds.
    """

    __slots__ = ('address', 'synced_at', 'version')

    def __init__(self, address: str, version: int, synced_at: float) -> None:
        self.address = address
        self.version = version
        self.synced_at = synced_at


class NewestState(FigureStore):
    """Sends a small state with the version, and sources of a large one.

    Parameters
    ----------
    state : CoordinatorState
        State of this host, which leads.
    rng : random.Random
        Selects the sources.
    """

    __slots__ = ('_document', '_lock', '_rng', '_sources', '_state')

    def __init__(self, state: CoordinatorState, rng: random.Random) -> None:
        self._state = state
        self._rng = rng
        self._lock = threading.Lock()
        self._sources: dict[str, _Source] = {}
        self._document = SmallDocument(state)

    def on_figures(
        self, incarnation: str, figures: GatewayFigures, now: float
    ) -> None:
        """Store which version a gateway has."""
        source = _Source(figures.state_address, figures.state_version, now)
        with self._lock:
            self._sources[incarnation] = source

    def add_shared(
        self, incarnation: str, shared: SharedFigures, now: float
    ) -> None:
        """Set the newest version, and how a gateway without it obtains it."""
        version = self._state.version
        shared.state_version = version
        own = self._sources.get(incarnation)
        if version < 0 or own is None or own.version >= version:
            return
        shared.state_document = self._document.deflated()
        if shared.state_document is None:
            shared.state_sources = self._select_sources(own, now)

    def _select_sources(self, own: _Source, now: float) -> Sequence[str]:
        """Return some gateways; while they fetch, their blocks differ."""
        with self._lock:
            self._sources = {
                incarnation: source
                for incarnation, source in self._sources.items()
                if now < source.synced_at + _SOURCE_TTL_S
            }
            addresses = [
                source.address
                for source in self._sources.values()
                if source.address and source is not own
            ]
        return self._rng.sample(addresses, min(_SOURCES, len(addresses)))

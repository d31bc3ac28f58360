"""Fetches a large desired state in blocks, apart from the syncs."""

from __future__ import annotations

import logging
import threading
from collections.abc import Callable, Collection, Sequence
from contextlib import ExitStack
from time import sleep
from typing import Final

from apricotcart.coordinator.applied_states import AppliedState
from apricotcart.coordinator.exchange_messages import (
    GatewayFigures,
    SharedFigures,
)
from apricotcart.coordinator.state_blocks import MAX_DOCUMENT_BYTES, inflate
from apricotcart.coordinator.state_transfer import BlockRequest
from apricotcart.errors.tree import ApricotcartError
from apricotcart.gateway.block_assembly import BlockAssembly
from apricotcart.gateway.block_client import BlockClient
from apricotcart.gateway.fetch_progress import FetchProgress
from apricotcart.gateway.shared_figures import FigureUser
from apricotcart.gateway.state import StateCopy
from apricotcart.gateway.state_adoption import StateAdoption
from apricotcart.gateway.state_sources import StateSources
from apricotcart.timers.clock import boot_clock_s

_LOG = logging.getLogger(__name__)
# Threads that fetch, each from another host.
FETCH_THREADS: Final = 3
# Wait of a thread that no host can send blocks to now.
_PAUSE_S: Final = 0.02
# Longest wait for a newer version before a thread looks again.
_IDLE_S: Final = 1.0


class StateFetch(FigureUser):
    """Obtains the newest desired state from any host that has it.

    Parameters
    ----------
    client_id : str
        Identifies this gateway to the hosts that send it blocks.
    state : StateCopy
        Knows the newest version, and stores the state.
    adoption : StateAdoption
        Puts a document in force.
    assembly : BlockAssembly
        Blocks that have arrived.
    sources : StateSources
        Chooses the host to ask.
    client : BlockClient
        Sends the requests.
    on_adopted : callable
        Called once a state is in force.
    """

    __slots__ = (
        '_address',
        '_adopting',
        '_adoption',
        '_assembly',
        '_client',
        '_client_id',
        '_is_wanted',
        '_on_adopted',
        '_progress',
        '_sources',
        '_state',
    )

    def __init__(
        self,
        *,
        client_id: str,
        state: StateCopy,
        adoption: StateAdoption,
        assembly: BlockAssembly,
        sources: StateSources,
        client: BlockClient,
        on_adopted: Callable[[], object],
    ) -> None:
        self._client_id = client_id
        self._address = ''
        self._state = state
        self._adoption = adoption
        self._assembly = assembly
        self._sources = sources
        self._client = client
        self._on_adopted = on_adopted
        self._adopting = threading.Lock()
        self._is_wanted = threading.Event()
        self._progress = FetchProgress()

    def serve_at(self, address: str) -> None:
        """Let the leader name this host as a source of blocks."""
        self._address = address

    def add_figures(self, figures: GatewayFigures, now: float) -> None:
        """Tell the leader which version this host has."""
        figures.state_version = self._state.version
        figures.fetches_state = True
        figures.state_address = self._address

    def apply_figures(self, shared: SharedFigures, requested_at: float) -> None:
        """Apply a small document, or let the threads fetch a large one."""
        if not self._state.is_outdated:
            return
        if shared.state_document is not None:
            self._adopt(inflate(shared.state_document, MAX_DOCUMENT_BYTES))
            return
        self._sources.replace_peers(
            address
            for address in shared.state_sources
            if address != self._address
        )
        self._begin()

    def learn(
        self,
        version: int,
        asked_at: float,
        states: Collection[AppliedState],
    ) -> None:
        """Use what a quorum of control hosts has applied.

        Parameters
        ----------
        version : int
            Version that no acknowledged change is newer than.
        asked_at : float
            When the hosts were asked, in seconds.
        states : collection of AppliedState
            Their answers.
        """
        self._state.observe(max(version, self._state.version), asked_at)
        if not self._state.is_outdated:
            return
        newest = max(states, key=lambda applied: applied.version)
        if newest.document is not None:
            self._adopt(inflate(newest.document, MAX_DOCUMENT_BYTES))
            return
        self._sources.prefer(
            self._client.address_of(applied.node_id)
            for applied in states
            if applied.version >= version
        )
        self._begin()

    def run_once(self) -> None:
        """Send one request if a newer state is wanted, else wait for one."""
        if not self._is_wanted.wait(_IDLE_S):
            return
        if not self._state.is_outdated:
            self._is_wanted.clear()
            self._client.close_unused()
            self._progress.stop()
            return
        now = boot_clock_s()
        self._progress.report(self._assembly.missing(), now)
        address = self._sources.choose(self._client.control_hosts, now)
        if address is None:
            sleep(_PAUSE_S)
            return
        try:
            has_sent = self._fetch_from(address)
        except ApricotcartError as exc:
            _LOG.info(
                'no blocks of the state from %s: %s', address, exc.message
            )
            self._sources.on_failure(address, boot_clock_s())
            return
        except BaseException:
            self._sources.on_failure(address, boot_clock_s())
            raise
        if has_sent:
            self._sources.on_blocks(address)
        else:
            self._sources.on_busy(address, boot_clock_s())

    def _begin(self) -> None:
        self._progress.begin(self._state.newest_version, boot_clock_s())
        self._is_wanted.set()

    def _fetch_from(self, address: str) -> bool:
        """Return whether a host has sent something that was lacking."""
        if self._assembly.version < self._state.newest_version:
            if not self._fetch_manifest(address):
                return False
        with ExitStack() as stack:
            digests = self._assembly.claim(boot_clock_s())
            stack.callback(self._assembly.release, digests)
            has_sent = bool(digests) and self._fetch_blocks(address, digests)
        self._adopt_complete()
        return has_sent

    def _fetch_manifest(self, address: str) -> bool:
        manifest = self._client.fetch_manifest(address)
        if manifest is None or manifest.version < self._state.newest_version:
            return False
        self._assembly.begin(manifest)
        return True

    def _fetch_blocks(self, address: str, digests: Sequence[bytes]) -> bool:
        req = BlockRequest(
            client=self._client_id,
            digests=digests,
            missing=self._assembly.missing(),
        )
        received = self._client.fetch_blocks(address, req)
        self._progress.add(len(received.blocks), received.length)
        return self._assembly.store(received.blocks) > 0

    def _adopt_complete(self) -> None:
        with self._adopting:
            if self._assembly.version <= self._state.version:
                return
            document = self._assembly.document()
            if document is None:
                return
            version = self._assembly.version
            if not self._adoption.adopt(document):
                # The host has read version and document around a change.
                self._assembly.drop_manifest()
                return
        self._progress.end(version, boot_clock_s())
        # The leader waits for this before it acknowledges a change.
        self._on_adopted()

    def _adopt(self, document: bytes) -> None:
        if self._adoption.adopt(document):
            self._assembly.add_document(document)

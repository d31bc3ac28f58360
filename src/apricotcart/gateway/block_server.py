"""Gives blocks of the desired state to other gateways."""

from __future__ import annotations

import logging
from typing import Final

import pynng

from apricotcart.codec.envelope import Sealer
from apricotcart.coordinator.state_transfer import (
    BlockSource,
    StateTransfer,
    StateTransferHandler,
)
from apricotcart.transport.requests import NngRequestServer

_LOG = logging.getLogger(__name__)
# Requests that are answered at the same time.
_WORKERS: Final = 4


class BlockServer:
    """Answers requests of gateways for blocks that this one has.

    Parameters
    ----------
    address : str
        Address to listen on.
    source : BlockSource
        Blocks of this host.
    sealer : Sealer
        Verifies requests and seals answers.
    """

    __slots__ = ('_address', '_sealer', '_server', '_transfer')

    def __init__(
        self, address: str, source: BlockSource, sealer: Sealer
    ) -> None:
        self._address = address
        self._sealer = sealer
        self._transfer = StateTransferHandler(StateTransfer(source))
        self._server: NngRequestServer | None = None

    def start(self) -> bool:
        """Listen; return False if the address is in use.

        The gateway then gives no blocks to others.
        """
        try:
            server = NngRequestServer(
                self._address, self._transfer, self._sealer, _WORKERS
            )
        except pynng.NNGException as exc:
            _LOG.warning('cannot listen on %s: %s', self._address, exc)
            return False
        self._server = server.start()
        return True
